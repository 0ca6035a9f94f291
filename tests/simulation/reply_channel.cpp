#include "simulation/reply_channel.h"

namespace scheduler::test {

namespace {
// Direct commands that a controller's process holds, per one that it sends concurrently.
constexpr int kQueuedPerConcurrentCommand = 5;
} // namespace

ReplyChannel::ReplyChannel(const SimulationOptions& options, EventQueue& clock,
                           NetworkModel& network, ControllerModel& controllers)
    : options_(options), clock_(clock), network_(network), controllers_(controllers) {}

bool ReplyChannel::admit_commands(const RequestMessage& message) {
    ProcessKey process{message.controller, message.incarnation};
    int& under_way = commands_in_progress_[process];
    if (under_way >= kQueuedPerConcurrentCommand * options_.max_concurrent_commands) {
        return false;
    }
    ++under_way;
    command_requests_.insert({process, message.request.id});
    return true;
}

void ReplyChannel::reply(const RequestMessage& message, OutboundResponse response) {
    if (message.response_suppressed) {
        return;
    }
    response.request_id = message.request.id;
    RequestKey key{{message.controller, message.incarnation}, message.request.id};
    clock_.after(network_.delay(), [this, key, response] { deliver(key, response); });
}

void ReplyChannel::reject_unsent(const RequestMessage& message) {
    OutboundResponse response;
    response.request_id = message.request.id;
    response.never_sent = true;
    RequestKey key{{message.controller, message.incarnation}, message.request.id};
    clock_.after(0, [this, key, response] { deliver(key, response); });
}

void ReplyChannel::time_out_after(double seconds, const RequestMessage& message) {
    OutboundResponse none;
    none.request_id = message.request.id;
    RequestKey key{{message.controller, message.incarnation}, message.request.id};
    clock_.after(seconds, [this, key, none] { deliver(key, none); });
}

void ReplyChannel::deliver(const RequestMessage& message, const OutboundResponse& response) {
    deliver(RequestKey{{message.controller, message.incarnation}, message.request.id}, response);
}

void ReplyChannel::deliver(const RequestKey& key, const OutboundResponse& response) {
    if (command_requests_.erase(key) > 0) {
        --commands_in_progress_[key.process];
    }
    controllers_.deliver(key.process.controller, key.process.incarnation, response);
}

} // namespace scheduler::test
