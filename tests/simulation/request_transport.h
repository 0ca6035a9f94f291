// The sending of controllers' calls, with all faults that messages meet on their way.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "core/messaging/messages.h"
#include "simulation/controller_model.h"
#include "simulation/event_queue.h"
#include "simulation/kv_store_model.h"
#include "simulation/network_model.h"
#include "simulation/options.h"
#include "simulation/random_source.h"
#include "simulation/reply_channel.h"
#include "simulation/request_router.h"

namespace scheduler::test {

// Sends each call on its way: it arrives after a while, or late, or never, and its caller may
// hear nothing of it.
class RequestTransport {
  public:
    // What the transport works with.
    struct Models {
        const SimulationOptions& options;
        const RandomFaults& random_faults;
        EventQueue& clock;
        RandomSource& random;
        NetworkModel& network;
        ControllerModel& controllers;
        KvStoreModel& store;
        ReplyChannel& replies;
        RequestRouter& router;
    };

    explicit RequestTransport(Models models) : models_(models) {}

    // Sends a controller's call.
    void send(int controller, const OutboundRequest& request);
    // Calls of this kind that were sent so far: "get", "range", "txn", "orders", "peer", ...
    std::size_t count(const std::string& kind) const;

    // Sees each call as it is sent. True: it goes no further, and its caller hears no answer.
    std::function<bool(int controller, const OutboundBody&)> intercept;
    // Transactions that are carried out at once and whose answer alone is lost.
    std::function<bool(int controller, const StoreTransaction&)> lose_response;

  private:
    // Returns whether the call ends before it is on its way.
    bool handled_before_sending(const RequestMessage& message);
    // Returns whether the call is a transaction that is carried out late.
    bool delayed_by_fault(const RequestMessage& message);
    void apply_later(const StoreTransaction& transaction);
    // Returns the seconds until the arrival; none: the message is lost. Notes whether the caller
    // hears an answer.
    std::optional<double> draw_delay(RequestMessage& message);
    // For direct commands that are held up: the seconds until the arrival.
    std::optional<double> draw_command_delay(RequestMessage& message);
    void draw_lost_response(RequestMessage& message);
    double draw_store_delay(RequestMessage& message);
    // The caller hears no answer, and gives up after so long.
    void suppress_response(RequestMessage& message, double timeout_s);

    Models models_;
    std::map<std::string, std::size_t> counts_;
};

} // namespace scheduler::test
