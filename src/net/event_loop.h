// Owns the core: one thread, one queue of inputs, and the way of each output out of it.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <unordered_map>

#include "core/controller.h"

namespace scheduler::net {

class EventLoop {
  public:
    using SendRequest = std::function<void(const OutboundRequest&)>;
    using WriteLog = std::function<void(const LogLine&)>;

    EventLoop(Controller& controller, SendRequest send, WriteLog log)
        : controller_(controller), send_(std::move(send)), log_(std::move(log)) {}

    // Runs until `stop`, on the thread that calls it.
    void run();
    void stop();
    void push(Input input);
    // Puts a request to the core and waits for its answer; none if it does not come in time.
    template <class Request> std::optional<Response> submit(Request request, double timeout_s) {
        const RequestId id = next_request_++;
        request.request_id = id;
        std::future<Response> future = add_pending(id);
        push(Input(std::move(request)));
        return await_response(future, id, timeout_s);
    }

  private:
    std::future<Response> add_pending(RequestId id);
    std::optional<Response> await_response(std::future<Response>& future, RequestId id,
                                           double timeout_s);
    void deliver(Outputs outputs);

    Controller& controller_;
    SendRequest send_;
    WriteLog log_;
    std::mutex mutex_;
    std::condition_variable input_available_;
    std::deque<Input> queue_;
    bool stopping_ = false;
    std::mutex pending_mutex_;
    std::unordered_map<RequestId, std::promise<Response>> pending_;
    std::atomic<RequestId> next_request_{1};
};

} // namespace scheduler::net
