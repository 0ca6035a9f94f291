#include "net/event_loop.h"

#include <chrono>

namespace scheduler::net {

namespace {
Time now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}
} // namespace

void EventLoop::run() {
    Time next_tick = now();
    while (true) {
        std::deque<Input> batch;
        {
            std::unique_lock lock(mutex_);
            double left = next_tick - now();
            if (left > 0 && queue_.empty() && !stopping_) {
                wake_.wait_for(lock, std::chrono::duration<double>(left),
                               [this] { return stopping_ || !queue_.empty(); });
            }
            if (stopping_) {
                return;
            }
            batch.swap(queue_);
        }
        for (auto& input : batch) {
            execute(core_.handle(now(), std::move(input)));
        }
        if (now() >= next_tick) {
            execute(core_.handle(now(), TimerTick{}));
            next_tick = now() + core_.tick_s();
        }
    }
}

void EventLoop::stop() {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    wake_.notify_all();
}

void EventLoop::push(Input input) {
    {
        std::lock_guard lock(mutex_);
        queue_.push_back(std::move(input));
    }
    wake_.notify_one();
}

std::future<Response> EventLoop::expect(RequestId id) {
    std::lock_guard lock(pending_mutex_);
    return pending_[id].get_future();
}

std::optional<Response> EventLoop::wait(std::future<Response>& future, RequestId id,
                                        double timeout_s) {
    if (future.wait_for(std::chrono::duration<double>(timeout_s)) == std::future_status::ready) {
        return future.get();
    }
    std::lock_guard lock(pending_mutex_);
    pending_.erase(id);
    return std::nullopt;
}

void EventLoop::execute(Outputs outputs) {
    for (const auto& call : outputs.requests) {
        send_(call);
    }
    {
        std::lock_guard lock(pending_mutex_);
        for (auto& answer : outputs.responses) {
            auto it = pending_.find(answer.request_id);
            if (it != pending_.end()) {
                it->second.set_value(std::move(answer));
                pending_.erase(it);
            }
        }
    }
    for (const auto& line : outputs.log) {
        log_(line);
    }
}

} // namespace scheduler::net
