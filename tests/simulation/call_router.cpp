/// @file
/// The arrival of calls: see call_router.h.
#include "simulation/call_router.h"

#include "core/model/partition_assignment.h"
#include "simulation/cluster_setup.h"

namespace scheduler::test {

namespace {
/// A call between controllers or to a worker runs out of time.
constexpr double kCallTimeoutS = 1.5;
/// A watch that the state service does not take.
constexpr double kWatchRefusedS = 3;
} // namespace

bool is_store_call(const OutboundBody& call) {
    return std::holds_alternative<StoreGet>(call) || std::holds_alternative<StoreRange>(call) ||
           std::holds_alternative<StoreTransaction>(call) ||
           std::holds_alternative<StoreLeaseGrant>(call) ||
           std::holds_alternative<StoreLeaseRenewal>(call) ||
           std::holds_alternative<StoreWatch>(call);
}

bool is_config_call(const OutboundBody& call) {
    const auto* range = std::get_if<StoreRange>(&call);
    const auto* watch = std::get_if<StoreWatch>(&call);
    return (range && range->prefix == kQuotaConfigPrefix) ||
           (watch && watch->prefix == kQuotaConfigPrefix);
}

CallRouter::CallRouter(const SimulationOptions& options, EventQueue& clock, NetworkModel& network,
                       PendingRequests& requests, ReplyChannel& replies, CallReceivers receivers)
    : options_(options), clock_(clock), network_(network), requests_(requests), replies_(replies),
      receivers_(receivers) {}

void CallRouter::no_answer_unless_silent(double seconds, const CallMessage& message) {
    if (!message.silent) {
        replies_.no_answer_after(seconds, message);
    }
}

void CallRouter::arrive(const CallMessage& message) {
    const OutboundBody& body = message.call.body;
    if (arrive_at_controller(message)) {
        return;
    }
    if (const auto* orders = std::get_if<WorkerCommands>(&body)) {
        arrive_at_worker(message, *orders);
    } else if (network_.isolated(message.controller)) {
        no_answer_unless_silent(options_.report_s / 2, message);
    } else if (is_store_call(body)) {
        arrive_at_store(message);
    } else {
        replies_.reply(message, receivers_.cloud.serve(body));
    }
}

bool CallRouter::arrive_at_controller(const CallMessage& message) {
    const OutboundBody& body = message.call.body;
    if (const auto* exchange = std::get_if<PeerSyncCall>(&body)) {
        send_to_peer(message, exchange->node, [exchange](RequestId request_id) {
            return PeerSyncReceived{request_id, exchange->sync};
        });
    } else if (const auto* promise = std::get_if<LeaseExtensionCall>(&body)) {
        send_to_peer(message, promise->node, [promise](RequestId request_id) {
            return LeaseExtensionReceived{request_id, promise->extension};
        });
    } else if (const auto* cancelled = std::get_if<CancellationCall>(&body)) {
        send_to_peer(message, cancelled->node, [cancelled](RequestId request_id) {
            return CancellationsReceived{request_id, cancelled->jobs};
        });
    } else {
        return false;
    }
    return true;
}

// The answer itself may be lost too; then the call runs out of time.
void CallRouter::send_to_peer(const CallMessage& message, const std::string& peer,
                              const MakeInput& make_input) {
    const int to = controller_number(peer);
    replies_.no_answer_after(kCallTimeoutS, message);
    if (!receivers_.controllers.running(to) || !network_.peers_connected(message.controller, to)) {
        return;
    }
    RequestId request_id = requests_.expect([this, message](const Response& answer, Time) {
        if (!message.silent) {
            OutboundResponse response = peer_reply(answer);
            response.request_id = message.call.id;
            replies_.deliver(message, response);
        }
    });
    receivers_.controllers.input(to, make_input(request_id));
}

OutboundResponse CallRouter::peer_reply(const Response& answer) {
    OutboundResponse response;
    response.status = answer.status;
    if (const auto* exchange = std::get_if<PeerSyncResponse>(&answer.body)) {
        response.peer_sync = *exchange;
        listed_ += static_cast<double>(exchange->tasks.size() + exchange->pending_launches.size() +
                                       exchange->machines.size());
    } else if (const auto* promise = std::get_if<LeaseExtensionResponse>(&answer.body)) {
        response.lease_extension = *promise;
    }
    return response;
}

void CallRouter::arrive_at_worker(const CallMessage& message, const WorkerCommands& orders) {
    const Worker* worker = receivers_.workers.find(orders.machine);
    if (!worker || worker->dead || worker->cut || worker->deaf ||
        !network_.worker_connected(message.controller, worker->zone)) {
        no_answer_unless_silent(kCallTimeoutS, message);
    } else if (clock_.now() < worker->hung_until) {
        arrive_at_hung_worker(message, *worker, orders);
    } else {
        replies_.reply(message, receivers_.workers.execute_orders(orders, message.left));
    }
}

void CallRouter::arrive_at_hung_worker(const CallMessage& message, const Worker& worker,
                                       const WorkerCommands& orders) {
    replies_.no_answer_after(kCallTimeoutS, message);
    clock_.at(worker.hung_until, [this, orders, left = message.left] {
        const Worker* woken = receivers_.workers.find(orders.machine);
        if (woken && !woken->dead) {
            receivers_.workers.execute_orders(orders, left);
        }
    });
}

void CallRouter::arrive_at_store(const CallMessage& message) {
    KvStoreModel& store = receivers_.store;
    const auto* watch = std::get_if<StoreWatch>(&message.call.body);
    if (store.silent_to(message.controller)) {
        no_answer_unless_silent(options_.report_s / 2, message);
    } else if (store.down() || store.refuses(message.controller)) {
        if (watch) {
            replies_.no_answer_after(kWatchRefusedS, message);
            return;
        }
        OutboundResponse refused;
        refused.status = 503;
        replies_.reply(message, refused);
    } else if (watch) {
        store.watch({message.controller, message.life, message.call.id, *watch});
    } else {
        replies_.reply(message, store.serve(message.call.body));
    }
}

} // namespace scheduler::test
