/// @file
/// Answers to calls: see reply_channel.h.
#include "simulation/reply_channel.h"

namespace scheduler::test {

namespace {
/// Direct commands that wait in a controller's process, by those that it sends at once.
constexpr int kWaitingOrders = 5;
} // namespace

ReplyChannel::ReplyChannel(const SimulationOptions& options, EventQueue& clock,
                           NetworkModel& network, ControllerModel& controllers)
    : options_(options), clock_(clock), network_(network), controllers_(controllers) {}

bool ReplyChannel::admit_orders(const CallMessage& message) {
    ProcessKey process{message.controller, message.life};
    int& under_way = orders_under_way_[process];
    if (under_way >= kWaitingOrders * options_.max_concurrent_commands) {
        return false;
    }
    ++under_way;
    orders_calls_.insert({process, message.call.id});
    return true;
}

void ReplyChannel::reply(const CallMessage& message, OutboundResponse response) {
    if (message.silent) {
        return;
    }
    response.request_id = message.call.id;
    CallKey key{{message.controller, message.life}, message.call.id};
    clock_.after(network_.delay(), [this, key, response] { deliver(key, response); });
}

void ReplyChannel::unsent(const CallMessage& message) {
    OutboundResponse response;
    response.request_id = message.call.id;
    response.never_sent = true;
    CallKey key{{message.controller, message.life}, message.call.id};
    clock_.after(0, [this, key, response] { deliver(key, response); });
}

void ReplyChannel::no_answer_after(double seconds, const CallMessage& message) {
    OutboundResponse none;
    none.request_id = message.call.id;
    CallKey key{{message.controller, message.life}, message.call.id};
    clock_.after(seconds, [this, key, none] { deliver(key, none); });
}

void ReplyChannel::deliver(const CallMessage& message, const OutboundResponse& response) {
    deliver(CallKey{{message.controller, message.life}, message.call.id}, response);
}

void ReplyChannel::deliver(const CallKey& key, const OutboundResponse& response) {
    if (orders_calls_.erase(key) > 0) {
        --orders_under_way_[key.process];
    }
    controllers_.deliver(key.process.controller, key.process.life, response);
}

} // namespace scheduler::test
