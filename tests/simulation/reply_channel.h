// Brings responses, or timeouts, back to the controllers that sent the requests.
#pragma once

#include <compare>
#include <map>
#include <set>

#include "core/messaging/messages.h"
#include "simulation/controller_model.h"
#include "simulation/event_queue.h"
#include "simulation/network_model.h"
#include "simulation/options.h"

namespace scheduler::test {

// A request of a controller on its way.
struct RequestMessage {
    int controller = 0;
    // The incarnation of the controller's process; a later one does not receive the response.
    int incarnation = 0;
    OutboundRequest request;
    // When it left the controller.
    Time sent_at = 0;
    // The sender receives no response, whatever becomes of the request.
    bool response_suppressed = false;
};

// Delivers responses to their senders, and counts the direct commands that have none yet.
class ReplyChannel {
  public:
    ReplyChannel(const SimulationOptions& options, EventQueue& clock, NetworkModel& network,
                 ControllerModel& controllers);

    // Counts direct commands as in progress. Returns false if the process has too many of them;
    // they are not sent then.
    bool admit_commands(const RequestMessage& message);

    // Delivers the response after the usual delay, unless the message's response is suppressed.
    void reply(const RequestMessage& message, OutboundResponse response);
    // Returns the request to its sender at once, marked as never sent.
    void reject_unsent(const RequestMessage& message);
    // Reports to the sender, `seconds` from now, that there is no response.
    void time_out_after(double seconds, const RequestMessage& message);
    // Delivers the response now.
    void deliver(const RequestMessage& message, const OutboundResponse& response);

  private:
    struct ProcessKey {
        int controller = 0;
        int incarnation = 0;
        auto operator<=>(const ProcessKey&) const = default;
    };
    struct RequestKey {
        ProcessKey process;
        OutboundRequestId request_id = 0;
        auto operator<=>(const RequestKey&) const = default;
    };

    void deliver(const RequestKey& key, const OutboundResponse& response);

    const SimulationOptions& options_;
    EventQueue& clock_;
    NetworkModel& network_;
    ControllerModel& controllers_;
    std::map<ProcessKey, int> commands_in_progress_;
    std::set<RequestKey> command_requests_;
};

} // namespace scheduler::test
