// Delivers a controller's request to another controller, a worker, the cloud or the key-value
// store.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "core/messaging/messages.h"
#include "simulation/cloud_model.h"
#include "simulation/controller_model.h"
#include "simulation/event_queue.h"
#include "simulation/kv_store_model.h"
#include "simulation/network_model.h"
#include "simulation/options.h"
#include "simulation/pending_requests.h"
#include "simulation/reply_channel.h"
#include "simulation/worker_model.h"

namespace scheduler::test {

// The models that can receive a request.
struct RequestReceivers {
    ControllerModel& controllers;
    WorkerModel& workers;
    CloudModel& cloud;
    KvStoreModel& store;
};

// Returns whether the request goes to the key-value store.
bool is_store_request(const OutboundBody& request);
// Returns whether the request reads or watches the quota configuration. See
// RandomSource::ConfigStream.
bool is_quota_config_request(const OutboundBody& request);

// Passes each request to its receiver if the network allows it, and the response to ReplyChannel.
class RequestRouter {
  public:
    RequestRouter(const SimulationOptions& options, EventQueue& clock, NetworkModel& network,
                  PendingRequests& requests, ReplyChannel& replies, RequestReceivers receivers);

    // Called when the request arrives at its destination. Returns whether it was carried out there
    // at once; a request that is refused or does not reach its receiver was not.
    bool arrive(const RequestMessage& message);
    // Returns the number of tasks, pending launches and machines in all peer sync responses so far.
    double inventory_entries() const { return inventory_entries_; }

  private:
    using MakeInput = std::function<Input(RequestId)>;

    // Returns none if the request does not go to another controller.
    std::optional<bool> arrive_at_controller(const RequestMessage& message);
    bool send_to_peer(const RequestMessage& message, const std::string& peer,
                      const MakeInput& make_input);
    OutboundResponse peer_reply(const Response& peer_response);
    bool arrive_at_worker(const RequestMessage& message, const WorkerCommands& batch);
    void arrive_at_hung_worker(const RequestMessage& message, const Worker& worker,
                               const WorkerCommands& batch);
    bool arrive_at_store(const RequestMessage& message);
    void time_out_unless_suppressed(double seconds, const RequestMessage& message);

    const SimulationOptions& options_;
    EventQueue& clock_;
    NetworkModel& network_;
    PendingRequests& requests_;
    ReplyChannel& replies_;
    RequestReceivers receivers_;
    double inventory_entries_ = 0;
};

} // namespace scheduler::test
