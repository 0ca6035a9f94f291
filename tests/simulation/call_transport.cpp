/// @file
/// The sending of calls: see call_transport.h.
#include "simulation/call_transport.h"

namespace scheduler::test {

namespace {
constexpr double kCallTimeoutS = 1.5;
/// Held commands and late transactions arrive after so long.
constexpr double kShortestHoldS = 2;
constexpr double kLongestHoldS = 12;
/// By the index of the call's body.
constexpr const char* kCallKinds[] = {"get",    "range",   "txn",     "grant",     "renew",
                                      "watch",  "catalog", "list",    "rent",      "release",
                                      "orders", "peer",    "promise", "cancelled", "standing"};

bool is_watch(const CallMessage& message) {
    return std::holds_alternative<StoreWatch>(message.call.body);
}

bool is_orders(const CallMessage& message) {
    return std::holds_alternative<WorkerCommands>(message.call.body);
}
} // namespace

std::size_t CallTransport::count(const std::string& kind) const {
    auto found = counts_.find(kind);
    return found == counts_.end() ? 0 : found->second;
}

void CallTransport::send(int controller, const OutboundRequest& call) {
    RandomSource::ConfigStream stream(parts_.random, is_config_call(call.body));
    ++counts_[kCallKinds[call.body.index()]];
    CallMessage message{controller, parts_.controllers.life(controller), call, parts_.clock.now()};
    if (stopped_at_source(message)) {
        return;
    }
    std::optional<double> delay_s = draw_delay(message);
    if (!delay_s) {
        return;
    }
    parts_.clock.after(*delay_s, [this, message] {
        bool config = !is_watch(message) && is_config_call(message.call.body);
        RandomSource::ConfigStream arrival_stream(parts_.random, config);
        parts_.router.arrive(message);
    });
}

bool CallTransport::stopped_at_source(const CallMessage& message) {
    if (is_orders(message) && !parts_.replies.admit_orders(message)) {
        parts_.replies.unsent(message);
        return true;
    }
    if (std::holds_alternative<CancellationCall>(message.call.body) &&
        !parts_.options.cancellation_broadcasts) {
        parts_.replies.no_answer_after(parts_.network.delay(), message); // refused at once
        return true;
    }
    if (intercept && intercept(message.controller, message.call.body)) {
        parts_.replies.no_answer_after(kCallTimeoutS, message);
        return true;
    }
    return false;
}

std::optional<double> CallTransport::draw_delay(CallMessage& message) {
    bool lost = parts_.random.chance(parts_.options.drop);
    bool late = !is_watch(message) && parts_.random.chance(parts_.options.late);
    if (held_back(message)) {
        return std::nullopt;
    }
    if (lost || late) { // the caller hears nothing; the message may still arrive, much later
        silence(message, kCallTimeoutS);
        if (lost && parts_.random.chance(0.5)) {
            return std::nullopt;
        }
    }
    double delay_s = late ? parts_.network.late_delay() : parts_.network.delay();
    delay_s = draw_held_orders(message).value_or(delay_s);
    draw_lost_answer(message);
    return delay_s + draw_slow_store(message);
}

bool CallTransport::held_back(const CallMessage& message) {
    const auto* transaction = std::get_if<StoreTransaction>(&message.call.body);
    if (!transaction || !parts_.random.chance(parts_.random_faults.late_writes)) {
        return false;
    }
    parts_.replies.no_answer_after(parts_.options.report_s / 2, message);
    const KvStoreModel& store = parts_.store;
    if (!store.down() && !store.refuses(message.controller) &&
        !store.silent_to(message.controller)) {
        carry_out_late(*transaction);
    }
    return true;
}

void CallTransport::carry_out_late(const StoreTransaction& transaction) {
    double delay_s = parts_.random.uniform(kShortestHoldS, kLongestHoldS);
    parts_.clock.after(delay_s, [&store = parts_.store, transaction] {
        if (!store.down()) {
            store.serve(transaction);
        }
    });
}

std::optional<double> CallTransport::draw_held_orders(CallMessage& message) {
    if (!is_orders(message) || !parts_.random.chance(parts_.random_faults.delayed_commands)) {
        return std::nullopt;
    }
    double delay_s = parts_.random.uniform(kShortestHoldS, kLongestHoldS);
    silence(message, parts_.options.report_s / 4);
    return delay_s;
}

void CallTransport::draw_lost_answer(CallMessage& message) {
    const auto* transaction = std::get_if<StoreTransaction>(&message.call.body);
    if (!transaction) {
        return;
    }
    bool chosen = lose_response && lose_response(message.controller, *transaction);
    if (chosen || parts_.random.fault(parts_.random_faults.lost_responses)) {
        silence(message, parts_.options.report_s / 2);
    }
}

double CallTransport::draw_slow_store(CallMessage& message) {
    if (!is_store_call(message.call.body) || is_watch(message)) {
        return 0;
    }
    double slow_s = parts_.random.chance(0.5) ? parts_.random_faults.store_delay_s : 0;
    if (slow_s > parts_.options.report_s / 2) { // the caller has given it up by then
        silence(message, parts_.options.report_s / 2);
    }
    return slow_s;
}

void CallTransport::silence(CallMessage& message, double give_up_s) {
    message.silent = true;
    parts_.replies.no_answer_after(give_up_s, message);
}

} // namespace scheduler::test
