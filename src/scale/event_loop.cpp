#include "scale/event_loop.h"

#include <csignal>
#include <utility>

#include "scale/libevent_helpers.h"

namespace scheduler::scale {

struct EventLoop::Timer {
    std::function<void()> work;
    event* handle = nullptr;
};

EventLoop::EventLoop() : base_(event_base_new()) {}

EventLoop::~EventLoop() {
    for (auto& timer : timers_) {
        event_free(timer->handle);
    }
    event_base_free(base_);
}

void EventLoop::every(double seconds, std::function<void()> work) {
    timers_.push_back(std::make_unique<Timer>());
    Timer& timer = *timers_.back();
    timer.work = std::move(work);
    timer.handle = event_new(
        base_, -1, EV_PERSIST,
        [](evutil_socket_t, short, void* fired) { static_cast<Timer*>(fired)->work(); }, &timer);
    timeval interval = timeval_of(seconds);
    event_add(timer.handle, &interval);
}

void EventLoop::after(double seconds, std::function<void()> work) {
    using Work = std::function<void()>;
    timeval delay = timeval_of(seconds);
    event_base_once(
        base_, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* held) {
            std::unique_ptr<Work> owned(static_cast<Work*>(held));
            (*owned)();
        },
        new Work(std::move(work)), &delay);
}

void EventLoop::run() {
    event* terminate = evsignal_new(
        base_, SIGTERM,
        [](evutil_socket_t, short, void* base) {
            event_base_loopbreak(static_cast<event_base*>(base));
        },
        base_);
    event_add(terminate, nullptr);
    event_base_dispatch(base_);
    event_free(terminate);
}

} // namespace scheduler::scale
