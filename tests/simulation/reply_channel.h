// The way back of a controller's calls: answers, and the lack of one.
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

// A controller's call on its way.
struct RequestMessage {
    int controller = 0;
    // The controller's process incarnation; a later one hears no answer.
    int incarnation = 0;
    OutboundRequest request;
    // When it left the controller.
    Time sent_at = 0;
    // Whatever comes of it, its caller hears no answer to it.
    bool response_suppressed = false;
};

// Brings answers to their callers, and counts the direct commands that have none yet.
class ReplyChannel {
  public:
    ReplyChannel(const SimulationOptions& options, EventQueue& clock, NetworkModel& network,
                 ControllerModel& controllers);

    // Counts direct commands as under way. False: the process has too many of them, they are not
    // sent.
    bool admit_commands(const RequestMessage& message);

    // The answer arrives after the usual delay, unless the message is silent.
    void reply(const RequestMessage& message, OutboundResponse response);
    // The caller has its call back at once: it never left the process.
    void reject_unsent(const RequestMessage& message);
    // The caller hears that there is no answer, `seconds` from now.
    void time_out_after(double seconds, const RequestMessage& message);
    // The answer is there now.
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
