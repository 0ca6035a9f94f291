#include "simulation/request_transport.h"

namespace scheduler::test {

namespace {
constexpr double kRequestTimeoutS = 1.5;
// Delayed commands and transactions arrive after 2 to 12 s.
constexpr double kMinFaultDelayS = 2;
constexpr double kMaxFaultDelayS = 12;
// Kinds of requests by the variant index of the request's body.
constexpr const char* kRequestKinds[] = {"get",    "range",   "txn",     "grant",     "renew",
                                         "watch",  "catalog", "list",    "rent",      "release",
                                         "orders", "peer",    "promise", "cancelled", "standing"};

bool is_watch(const RequestMessage& message) {
    return std::holds_alternative<StoreWatch>(message.request.body);
}

// Returns whether the request does more than read. A copy of a read has no effect.
bool changes_state(const RequestMessage& message) {
    const OutboundBody& body = message.request.body;
    return !is_watch(message) && !std::holds_alternative<StoreGet>(body) &&
           !std::holds_alternative<StoreRange>(body) &&
           !std::holds_alternative<ListInstanceTypes>(body) &&
           !std::holds_alternative<ListInstances>(body);
}

bool is_worker_command(const RequestMessage& message) {
    return std::holds_alternative<WorkerCommands>(message.request.body);
}
} // namespace

std::size_t RequestTransport::count(const std::string& kind) const {
    auto found = counts_.find(kind);
    return found == counts_.end() ? 0 : found->second;
}

void RequestTransport::send(int controller, const OutboundRequest& request) {
    RandomSource::ConfigStream stream(models_.random, is_quota_config_request(request.body));
    ++counts_[kRequestKinds[request.body.index()]];
    RequestMessage message{controller, models_.controllers.incarnation(controller), request,
                           models_.clock.now()};
    if (handled_before_sending(message)) {
        return;
    }
    std::optional<double> delay_s = draw_delay(message);
    if (!delay_s) {
        return;
    }
    models_.clock.after(*delay_s, [this, message] {
        bool config = !is_watch(message) && is_quota_config_request(message.request.body);
        RandomSource::ConfigStream arrival_stream(models_.random, config);
        if (models_.router.arrive(message) && changes_state(message)) {
            if (on_carried_out) {
                on_carried_out(message);
            }
            models_.copies.carried_out([this, message] { deliver_copy(message); });
        }
    });
}

void RequestTransport::deliver_copy(RequestMessage message) {
    message.response_suppressed = true;
    models_.router.arrive(message);
}

bool RequestTransport::handled_before_sending(const RequestMessage& message) {
    if (is_worker_command(message) && !models_.replies.admit_commands(message)) {
        models_.replies.reject_unsent(message);
        return true;
    }
    if (std::holds_alternative<CancellationCall>(message.request.body) &&
        !models_.options.cancellation_broadcasts) {
        models_.replies.time_out_after(models_.network.delay(), message); // refused at once
        return true;
    }
    if (intercept && intercept(message.controller, message.request.body)) {
        models_.replies.time_out_after(kRequestTimeoutS, message);
        return true;
    }
    return false;
}

std::optional<double> RequestTransport::draw_delay(RequestMessage& message) {
    bool lost = models_.random.chance(models_.options.drop);
    bool late = !is_watch(message) && models_.random.chance(models_.options.late);
    if (delayed_by_fault(message)) {
        return std::nullopt;
    }
    if (lost || late) { // the sender gets no response; the message may still arrive, much later
        suppress_response(message, kRequestTimeoutS);
        if (lost && models_.random.chance(0.5)) {
            return std::nullopt;
        }
    }
    double delay_s = late ? models_.network.late_delay() : models_.network.delay();
    delay_s = draw_command_delay(message).value_or(delay_s);
    draw_lost_response(message);
    return delay_s + draw_store_delay(message);
}

bool RequestTransport::delayed_by_fault(const RequestMessage& message) {
    const auto* transaction = std::get_if<StoreTransaction>(&message.request.body);
    if (!transaction || !models_.random.chance(models_.random_faults.late_writes)) {
        return false;
    }
    models_.replies.time_out_after(models_.options.report_s / 2, message);
    const KvStoreModel& store = models_.store;
    if (!store.down() && !store.refuses(message.controller) &&
        !store.silent_to(message.controller)) {
        apply_later(*transaction);
    }
    return true;
}

void RequestTransport::apply_later(const StoreTransaction& transaction) {
    double delay_s = models_.random.uniform(kMinFaultDelayS, kMaxFaultDelayS);
    models_.clock.after(delay_s, [&store = models_.store, transaction] {
        if (!store.down()) {
            store.serve(transaction);
        }
    });
}

std::optional<double> RequestTransport::draw_command_delay(RequestMessage& message) {
    if (!is_worker_command(message) ||
        !models_.random.chance(models_.random_faults.delayed_commands)) {
        return std::nullopt;
    }
    double delay_s = models_.random.uniform(kMinFaultDelayS, kMaxFaultDelayS);
    suppress_response(message, models_.options.report_s / 4);
    return delay_s;
}

void RequestTransport::draw_lost_response(RequestMessage& message) {
    const auto* transaction = std::get_if<StoreTransaction>(&message.request.body);
    if (!transaction) {
        return;
    }
    bool chosen = lose_response && lose_response(message.controller, *transaction);
    if (chosen || models_.random.fault(models_.random_faults.lost_responses)) {
        suppress_response(message, models_.options.report_s / 2);
    }
}

double RequestTransport::draw_store_delay(RequestMessage& message) {
    if (!is_store_request(message.request.body) || is_watch(message)) {
        return 0;
    }
    double slow_s = models_.random.chance(0.5) ? models_.random_faults.store_delay_s : 0;
    if (slow_s > models_.options.report_s / 2) { // the sender has given up by then
        suppress_response(message, models_.options.report_s / 2);
    }
    return slow_s;
}

void RequestTransport::suppress_response(RequestMessage& message, double timeout_s) {
    message.response_suppressed = true;
    models_.replies.time_out_after(timeout_s, message);
}

} // namespace scheduler::test
