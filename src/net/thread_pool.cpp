#include "net/thread_pool.h"

#include <chrono>
#include <system_error>
#include <thread>

namespace scheduler::net {

bool ThreadPool::enqueue(std::function<void()> work) {
    std::unique_lock lock(mutex_);
    if (stopping_ || queue_.size() >= max_queued_) {
        return false;
    }
    queue_.push_back(std::move(work));
    if (queue_.size() > idle_ && threads_ < max_threads_) {
        ++threads_;
        try {
            std::thread([this] { run(); }).detach();
        } catch (const std::system_error&) { // no new thread: existing ones run the work
            --threads_;
            if (threads_ == 0) {
                queue_.pop_back();
                return false;
            }
        }
    }
    lock.unlock();
    wake_.notify_one();
    return true;
}

void ThreadPool::run() {
    std::unique_lock lock(mutex_);
    while (true) {
        if (queue_.empty()) {
            if (stopping_) {
                break;
            }
            ++idle_;
            bool woken = wake_.wait_for(lock, std::chrono::duration<double>(idle_timeout_s_),
                                        [this] { return stopping_ || !queue_.empty(); });
            --idle_;
            if (!woken) {
                break;
            }
            continue;
        }
        auto work = std::move(queue_.front());
        queue_.pop_front();
        lock.unlock();
        work();
        work = nullptr;
        lock.lock();
    }
    --threads_;
    thread_exited_.notify_all();
}

void ThreadPool::stop() {
    std::unique_lock lock(mutex_);
    stopping_ = true;
    wake_.notify_all();
    thread_exited_.wait(lock, [this] { return threads_ == 0; });
}

} // namespace scheduler::net
