// An event loop (libevent) with timers, which carries thousands of workers in one process.
#pragma once

#include <event2/event.h>

#include <functional>
#include <memory>
#include <vector>

namespace scheduler::scale {

// Used by one thread. Must outlive the servers on it and the requests sent from it.
class EventLoop {
  public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    event_base* base() { return base_; }
    // Calls `work` at this interval, first after one.
    void every(double seconds, std::function<void()> work);
    // Calls `work` once, after this time.
    void after(double seconds, std::function<void()> work);
    // Until SIGTERM.
    void run();

  private:
    struct Timer;
    event_base* base_;
    std::vector<std::unique_ptr<Timer>> timers_; // those of `every`
};

} // namespace scheduler::scale
