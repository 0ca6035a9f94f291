/// @file
/// The way back of a controller's calls: answers, and the lack of one.
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

/// A controller's call on its way.
struct CallMessage {
    int controller = 0;
    /// The controller's process life; a later one hears no answer.
    int life = 0;
    OutboundRequest call;
    /// When it left the controller.
    Time left = 0;
    /// Whatever comes of it, its caller hears no answer to it.
    bool silent = false;
};

/// Brings answers to their callers, and counts the direct commands that have none yet.
class ReplyChannel {
  public:
    ReplyChannel(const SimulationOptions& options, EventQueue& clock, NetworkModel& network,
                 ControllerModel& controllers);

    /// Counts direct commands as under way. False: the process has too many of them, they are not
    /// sent.
    bool admit_orders(const CallMessage& message);

    /// The answer arrives after the usual delay, unless the message is silent.
    void reply(const CallMessage& message, OutboundResponse response);
    /// The caller has its call back at once: it never left the process.
    void unsent(const CallMessage& message);
    /// The caller hears that there is no answer, `seconds` from now.
    void no_answer_after(double seconds, const CallMessage& message);
    /// The answer is there now.
    void deliver(const CallMessage& message, const OutboundResponse& response);

  private:
    struct ProcessKey {
        int controller = 0;
        int life = 0;
        auto operator<=>(const ProcessKey&) const = default;
    };
    struct CallKey {
        ProcessKey process;
        OutboundRequestId call = 0;
        auto operator<=>(const CallKey&) const = default;
    };

    void deliver(const CallKey& key, const OutboundResponse& response);

    const SimulationOptions& options_;
    EventQueue& clock_;
    NetworkModel& network_;
    ControllerModel& controllers_;
    std::map<ProcessKey, int> orders_under_way_;
    std::set<CallKey> orders_calls_;
};

} // namespace scheduler::test
