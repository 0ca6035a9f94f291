// Threads that grow with the work up to a limit, and go away again when there is little to do.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace scheduler::net {

class ThreadPool {
  public:
    // `max_queued`: work that may wait besides; 0: four times `max_threads`.
    ThreadPool(std::size_t max_threads, double idle_timeout_s, std::size_t max_queued = 0)
        : max_threads_(max_threads), max_queued_(max_queued > 0 ? max_queued : 4 * max_threads),
          idle_timeout_s_(idle_timeout_s) {}
    ~ThreadPool() { stop(); }
    ThreadPool(const ThreadPool&) = delete;
    ThreadPool& operator=(const ThreadPool&) = delete;

    // False: too much waits already.
    bool enqueue(std::function<void()> work);
    // Runs what is queued, then waits for all threads to end.
    void stop();

  private:
    void run();

    const std::size_t max_threads_;
    const std::size_t max_queued_;
    const double idle_timeout_s_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::condition_variable thread_exited_;
    std::deque<std::function<void()>> queue_;
    std::size_t threads_ = 0;
    std::size_t idle_ = 0;
    bool stopping_ = false;
};

} // namespace scheduler::net
