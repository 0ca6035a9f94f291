/// @file
/// The sending of controllers' calls, with all faults that messages meet on their way.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/messaging/messages.h"
#include "simulation/call_router.h"
#include "simulation/controller_model.h"
#include "simulation/event_queue.h"
#include "simulation/kv_store_model.h"
#include "simulation/network_model.h"
#include "simulation/options.h"
#include "simulation/random_source.h"
#include "simulation/reply_channel.h"

namespace scheduler::test {

/// Sends each call on its way: it arrives after a while, or late, or never, and its caller may
/// hear nothing of it.
class CallTransport {
  public:
    /// What the transport works with.
    struct Parts {
        const SimulationOptions& options;
        const RandomFaults& random_faults;
        EventQueue& clock;
        RandomSource& random;
        NetworkModel& network;
        ControllerModel& controllers;
        KvStoreModel& store;
        ReplyChannel& replies;
        CallRouter& router;
    };

    explicit CallTransport(Parts partitions) : parts_(partitions) {}

    /// Sends a controller's call.
    void send(int controller, const OutboundRequest& call);
    /// Calls of this kind that were sent so far: "get", "range", "txn", "orders", "peer", ...
    std::size_t count(const std::string& kind) const;

    /// Sees each call as it is sent. True: it goes no further, and its caller hears no answer.
    std::function<bool(int controller, const OutboundBody&)> intercept;
    /// Transactions that are carried out at once and whose answer alone is lost.
    std::function<bool(int controller, const StoreTransaction&)> lose_response;

  private:
    /// Returns whether the call ends before it is on its way.
    bool stopped_at_source(const CallMessage& message);
    /// Returns whether the call is a transaction that is carried out late.
    bool held_back(const CallMessage& message);
    void carry_out_late(const StoreTransaction& transaction);
    /// Returns the seconds until the arrival; none: the message is lost. Notes whether the caller
    /// hears an answer.
    std::optional<double> draw_delay(CallMessage& message);
    /// For direct commands that are held up: the seconds until the arrival.
    std::optional<double> draw_held_orders(CallMessage& message);
    void draw_lost_answer(CallMessage& message);
    double draw_slow_store(CallMessage& message);
    /// The caller hears no answer, and gives up after so long.
    void silence(CallMessage& message, double give_up_s);

    Parts parts_;
    std::map<std::string, std::size_t> counts_;
};

} // namespace scheduler::test
