#include "simulation/request_router.h"

#include "core/model/partition_assignment.h"
#include "simulation/cluster_setup.h"

namespace scheduler::test {

namespace {
// Timeout of requests to other controllers and workers.
constexpr double kRequestTimeoutS = 1.5;
// Delay until a watch that the store does not accept fails.
constexpr double kRefusedWatchDelayS = 3;

CommandMessage command_message(const RequestMessage& message) {
    return {message.controller, message.incarnation, message.request.id};
}
} // namespace

bool is_store_request(const OutboundBody& request) {
    return std::holds_alternative<StoreGet>(request) ||
           std::holds_alternative<StoreRange>(request) ||
           std::holds_alternative<StoreTransaction>(request) ||
           std::holds_alternative<StoreLeaseGrant>(request) ||
           std::holds_alternative<StoreLeaseRenewal>(request) ||
           std::holds_alternative<StoreWatch>(request);
}

bool is_quota_config_request(const OutboundBody& request) {
    const auto* range = std::get_if<StoreRange>(&request);
    const auto* watch = std::get_if<StoreWatch>(&request);
    return (range && range->prefix == kQuotaConfigPrefix) ||
           (watch && watch->prefix == kQuotaConfigPrefix);
}

RequestRouter::RequestRouter(const SimulationOptions& options, EventQueue& clock,
                             NetworkModel& network, PendingRequests& requests,
                             ReplyChannel& replies, RequestReceivers receivers)
    : options_(options), clock_(clock), network_(network), requests_(requests), replies_(replies),
      receivers_(receivers) {}

void RequestRouter::time_out_unless_suppressed(double seconds, const RequestMessage& message) {
    if (!message.response_suppressed) {
        replies_.time_out_after(seconds, message);
    }
}

bool RequestRouter::arrive(const RequestMessage& message) {
    const OutboundBody& body = message.request.body;
    if (auto carried_out = arrive_at_controller(message)) {
        return *carried_out;
    }
    if (const auto* batch = std::get_if<WorkerCommands>(&body)) {
        return arrive_at_worker(message, *batch);
    }
    if (network_.isolated(message.controller)) {
        time_out_unless_suppressed(options_.report_s / 2, message);
        return false;
    }
    if (is_store_request(body)) {
        return arrive_at_store(message);
    }
    OutboundResponse response = receivers_.cloud.serve(body);
    replies_.reply(message, response);
    return response.status == 200;
}

std::optional<bool> RequestRouter::arrive_at_controller(const RequestMessage& message) {
    const OutboundBody& body = message.request.body;
    if (const auto* sync = std::get_if<PeerSyncCall>(&body)) {
        return send_to_peer(message, sync->node, [sync](RequestId request_id) {
            return PeerSyncReceived{request_id, sync->sync};
        });
    }
    if (const auto* extension = std::get_if<LeaseExtensionCall>(&body)) {
        return send_to_peer(message, extension->node, [extension](RequestId request_id) {
            return LeaseExtensionReceived{request_id, extension->extension};
        });
    }
    if (const auto* cancelled = std::get_if<CancellationCall>(&body)) {
        return send_to_peer(message, cancelled->node, [cancelled](RequestId request_id) {
            return CancellationsReceived{request_id, cancelled->jobs};
        });
    }
    return std::nullopt;
}

// The response may be lost as well; then the request times out.
bool RequestRouter::send_to_peer(const RequestMessage& message, const std::string& peer,
                                 const MakeInput& make_input) {
    const int to = controller_number(peer);
    replies_.time_out_after(kRequestTimeoutS, message);
    if (!receivers_.controllers.running(to) || !network_.peers_connected(message.controller, to)) {
        return false;
    }
    RequestId request_id = requests_.expect([this, message](const Response& peer_response, Time) {
        if (!message.response_suppressed) {
            OutboundResponse response = peer_reply(peer_response);
            response.request_id = message.request.id;
            replies_.deliver(message, response);
        }
    });
    receivers_.controllers.input(to, make_input(request_id));
    return true;
}

OutboundResponse RequestRouter::peer_reply(const Response& peer_response) {
    OutboundResponse response;
    response.status = peer_response.status;
    if (const auto* sync = std::get_if<PeerSyncResponse>(&peer_response.body)) {
        response.peer_sync = *sync;
        inventory_entries_ += static_cast<double>(
            sync->tasks.size() + sync->pending_launches.size() + sync->machines.size());
    } else if (const auto* extension = std::get_if<LeaseExtensionResponse>(&peer_response.body)) {
        response.lease_extension = *extension;
    }
    return response;
}

bool RequestRouter::arrive_at_worker(const RequestMessage& message, const WorkerCommands& batch) {
    const Worker* worker = receivers_.workers.find(batch.machine);
    if (!worker || worker->dead || worker->cut || worker->cut_inbound ||
        !network_.worker_connected(message.controller, worker->zone)) {
        time_out_unless_suppressed(kRequestTimeoutS, message);
        return false;
    }
    if (clock_.now() < worker->hung_until) {
        arrive_at_hung_worker(message, *worker, batch);
        return false;
    }
    replies_.reply(message, receivers_.workers.execute_commands(batch, message.sent_at,
                                                                command_message(message)));
    return true;
}

void RequestRouter::arrive_at_hung_worker(const RequestMessage& message, const Worker& worker,
                                          const WorkerCommands& batch) {
    replies_.time_out_after(kRequestTimeoutS, message);
    clock_.at(worker.hung_until, [this, batch, message] {
        const Worker* woken = receivers_.workers.find(batch.machine);
        if (woken && !woken->dead) {
            receivers_.workers.execute_commands(batch, message.sent_at, command_message(message));
        }
    });
}

bool RequestRouter::arrive_at_store(const RequestMessage& message) {
    KvStoreModel& store = receivers_.store;
    const auto* watch = std::get_if<StoreWatch>(&message.request.body);
    if (store.silent_to(message.controller)) {
        time_out_unless_suppressed(options_.report_s / 2, message);
        return false;
    }
    if (store.down() || store.refuses(message.controller)) {
        if (watch) {
            replies_.time_out_after(kRefusedWatchDelayS, message);
            return false;
        }
        OutboundResponse refused;
        refused.status = 503;
        replies_.reply(message, refused);
        return false;
    }
    if (watch) {
        store.watch({message.controller, message.incarnation, message.request.id, *watch});
    } else {
        replies_.reply(message, store.serve(message.request.body));
    }
    return true;
}

} // namespace scheduler::test
