/// @file
/// The arrival of a controller's call at another controller, a worker, the cloud or the state
/// service.
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

/// The models that calls go to.
struct CallReceivers {
    ControllerModel& controllers;
    WorkerModel& workers;
    CloudModel& cloud;
    KvStoreModel& store;
};

/// Whether the call goes to the state service.
bool is_store_call(const OutboundBody& call);
/// Whether the call is about the configuration: see RandomSource::ConfigStream.
bool is_config_call(const OutboundBody& call);

/// Hands each call to its receiver, if the links are whole, and the answer to the reply channel.
class CallRouter {
  public:
    CallRouter(const SimulationOptions& options, EventQueue& clock, NetworkModel& network,
               PendingRequests& requests, ReplyChannel& replies, CallReceivers receivers);

    /// The call is there now.
    void arrive(const CallMessage& message);
    /// Entries that owners listed for each other so far.
    double listed() const { return listed_; }

  private:
    using MakeInput = std::function<Input(RequestId)>;

    /// Returns whether the call goes to another controller.
    bool arrive_at_controller(const CallMessage& message);
    void send_to_peer(const CallMessage& message, const std::string& peer,
                      const MakeInput& make_input);
    OutboundResponse peer_reply(const Response& answer);
    void arrive_at_worker(const CallMessage& message, const WorkerCommands& orders);
    void arrive_at_hung_worker(const CallMessage& message, const Worker& worker,
                               const WorkerCommands& orders);
    void arrive_at_store(const CallMessage& message);
    void no_answer_unless_silent(double seconds, const CallMessage& message);

    const SimulationOptions& options_;
    EventQueue& clock_;
    NetworkModel& network_;
    PendingRequests& requests_;
    ReplyChannel& replies_;
    CallReceivers receivers_;
    double listed_ = 0;
};

} // namespace scheduler::test
