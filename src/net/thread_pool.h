// Threads that grow with the work up to a limit, and go away again when there is little to do.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace scheduler::net {

class ThreadPool {
  public:
    // `queue`: work that may wait besides; 0: four times `most`.
    ThreadPool(std::size_t most, double linger_s, std::size_t queue = 0)
        : most_(most), most_queued_(queue > 0 ? queue : 4 * most), linger_s_(linger_s) {}
    ~ThreadPool() { stop(); }
    ThreadPool(const ThreadPool&) = delete;
    ThreadPool& operator=(const ThreadPool&) = delete;

    // False: too much waits already.
    bool enqueue(std::function<void()> work);
    // Runs what is queued, then waits for all threads to end.
    void stop();

  private:
    void run();

    const std::size_t most_;
    const std::size_t most_queued_;
    const double linger_s_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::condition_variable ended_;
    std::deque<std::function<void()>> queue_;
    std::size_t threads_ = 0;
    std::size_t idle_ = 0;
    bool stopping_ = false;
};

} // namespace scheduler::net
