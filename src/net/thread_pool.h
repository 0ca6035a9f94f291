// A thread pool that starts threads as work arrives, up to a limit, and ends idle ones.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace scheduler::net {

class ThreadPool {
  public:
    // A thread ends after `idle_timeout_s` without work. At most `max_queued` pieces of work wait
    // for a thread; 0 means four times `max_threads`.
    ThreadPool(std::size_t max_threads, double idle_timeout_s, std::size_t max_queued = 0)
        : max_threads_(max_threads), max_queued_(max_queued > 0 ? max_queued : 4 * max_threads),
          idle_timeout_s_(idle_timeout_s) {}
    ~ThreadPool() { stop(); }
    ThreadPool(const ThreadPool&) = delete;
    ThreadPool& operator=(const ThreadPool&) = delete;

    // Returns false, without queueing the work, if the queue is full or the pool is stopping.
    bool enqueue(std::function<void()> work);
    // Runs the queued work to its end, then waits until all threads have ended.
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
