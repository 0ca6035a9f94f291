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
            double remaining_s = next_tick - now();
            if (remaining_s > 0 && queue_.empty() && !stopping_) {
                input_available_.wait_for(lock, std::chrono::duration<double>(remaining_s),
                                          [this] { return stopping_ || !queue_.empty(); });
            }
            if (stopping_) {
                return;
            }
            batch.swap(queue_);
        }
        for (auto& input : batch) {
            deliver(controller_.handle(now(), std::move(input)));
        }
        if (now() >= next_tick) {
            deliver(controller_.handle(now(), TimerTick{}));
            next_tick = now() + controller_.tick_s();
        }
    }
}

void EventLoop::stop() {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    input_available_.notify_all();
}

void EventLoop::push(Input input) {
    {
        std::lock_guard lock(mutex_);
        queue_.push_back(std::move(input));
    }
    input_available_.notify_one();
}

std::future<Response> EventLoop::add_pending(RequestId id) {
    std::lock_guard lock(pending_mutex_);
    return pending_[id].get_future();
}

std::optional<Response> EventLoop::await_response(std::future<Response>& future, RequestId id,
                                                  double timeout_s) {
    if (future.wait_for(std::chrono::duration<double>(timeout_s)) == std::future_status::ready) {
        return future.get();
    }
    std::lock_guard lock(pending_mutex_);
    pending_.erase(id);
    return std::nullopt;
}

void EventLoop::deliver(Outputs outputs) {
    for (const auto& request : outputs.requests) {
        send_(request);
    }
    {
        std::lock_guard lock(pending_mutex_);
        for (auto& response : outputs.responses) {
            auto pending = pending_.find(response.request_id);
            if (pending != pending_.end()) {
                pending->second.set_value(std::move(response));
                pending_.erase(pending);
            }
        }
    }
    for (const auto& line : outputs.log) {
        log_(line);
    }
}

} // namespace scheduler::net
