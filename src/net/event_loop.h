// Runs the controller on a single thread: feeds it inputs from a queue and delivers its outputs,
// which are requests to other processes, responses to waiting requests, and log lines.
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

    // Processes inputs and timer ticks on the calling thread until `stop` is called.
    void run();
    // Makes `run` return; inputs still in the queue are dropped.
    void stop();
    // Queues an input for the controller.
    void push(Input input);
    // Passes a request to the controller and waits for its response. Returns nullopt if there is no
    // response within `timeout_s`. Must not be called on the thread of `run`.
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
