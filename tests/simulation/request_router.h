// The arrival of a controller's call at another controller, a worker, the cloud or the state
// service.
#pragma once

#include <functional>
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

// The models that calls go to.
struct RequestReceivers {
    ControllerModel& controllers;
    WorkerModel& workers;
    CloudModel& cloud;
    KvStoreModel& store;
};

// Whether the call goes to the state service.
bool is_store_request(const OutboundBody& request);
// Whether the call is about the configuration: see RandomSource::ConfigStream.
bool is_quota_config_request(const OutboundBody& request);

// Hands each call to its receiver, if the links are whole, and the answer to the reply channel.
class RequestRouter {
  public:
    RequestRouter(const SimulationOptions& options, EventQueue& clock, NetworkModel& network,
                  PendingRequests& requests, ReplyChannel& replies, RequestReceivers receivers);

    // The call is there now.
    void arrive(const RequestMessage& message);
    // Entries that owners listed for each other so far.
    double inventory_entries() const { return inventory_entries_; }

  private:
    using MakeInput = std::function<Input(RequestId)>;

    // Returns whether the call goes to another controller.
    bool arrive_at_controller(const RequestMessage& message);
    void send_to_peer(const RequestMessage& message, const std::string& peer,
                      const MakeInput& make_input);
    OutboundResponse peer_reply(const Response& peer_response);
    void arrive_at_worker(const RequestMessage& message, const WorkerCommands& batch);
    void arrive_at_hung_worker(const RequestMessage& message, const Worker& worker,
                               const WorkerCommands& batch);
    void arrive_at_store(const RequestMessage& message);
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
