// Sends the requests of controllers and injects the faults that messages can have on their way.
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
#include "simulation/message_copies.h"
#include "simulation/network_model.h"
#include "simulation/options.h"
#include "simulation/random_source.h"
#include "simulation/reply_channel.h"
#include "simulation/request_router.h"

namespace scheduler::test {

// Sends each request. It arrives after a delay, very late or never, and the response may be lost.
class RequestTransport {
  public:
    // The models that the transport depends on.
    struct Models {
        const SimulationOptions& options;
        const RandomFaults& random_faults;
        EventQueue& clock;
        RandomSource& random;
        NetworkModel& network;
        MessageCopies& copies;
        ControllerModel& controllers;
        KvStoreModel& store;
        ReplyChannel& replies;
        RequestRouter& router;
    };

    explicit RequestTransport(Models models) : models_(models) {}

    // Sends a request of a controller.
    void send(int controller, const OutboundRequest& request);
    // Delivers the request once more, now. Nobody waits for the response.
    void deliver_copy(RequestMessage message);
    // Returns the number of requests of this kind sent so far: "get", "range", "txn", "orders",
    // "peer", ...
    std::size_t count(const std::string& kind) const;

    // Called for each request before it is sent. If it returns true, the request is dropped and its
    // sender gets no response.
    std::function<bool(int controller, const OutboundBody&)> intercept;
    // Called for each request other than a read that was carried out.
    std::function<void(const RequestMessage&)> on_carried_out;
    // Selects transactions that are executed at once while only the response is lost.
    std::function<bool(int controller, const StoreTransaction&)> lose_response;

  private:
    // Returns whether the request ends before it is sent: rejected, refused or dropped by the test.
    bool handled_before_sending(const RequestMessage& message);
    // Returns whether a fault delays the request, a transaction. It is executed later if the store
    // responds to the sender now.
    bool delayed_by_fault(const RequestMessage& message);
    void apply_later(const StoreTransaction& transaction);
    // Returns the seconds until arrival, or none if the message is lost. May mark the response as
    // suppressed.
    std::optional<double> draw_delay(RequestMessage& message);
    // Returns the seconds until arrival for direct commands that a fault delays.
    std::optional<double> draw_command_delay(RequestMessage& message);
    void draw_lost_response(RequestMessage& message);
    double draw_store_delay(RequestMessage& message);
    // Suppresses the response; the sender gives up after `timeout_s`.
    void suppress_response(RequestMessage& message, double timeout_s);

    Models models_;
    std::map<std::string, std::size_t> counts_;
};

} // namespace scheduler::test
