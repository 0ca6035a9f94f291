// Sends the heartbeats of workers to controllers and brings the responses back.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/messaging/messages.h"
#include "simulation/controller_model.h"
#include "simulation/event_queue.h"
#include "simulation/message_copies.h"
#include "simulation/network_model.h"
#include "simulation/options.h"
#include "simulation/pending_requests.h"
#include "simulation/random_source.h"
#include "simulation/worker_model.h"

namespace scheduler::test {

// Sends at most one heartbeat per worker at a time, to the controller that the worker believes is
// responsible for it.
class HeartbeatSender {
  public:
    HeartbeatSender(const SimulationOptions& options, const RandomFaults& random_faults,
                    EventQueue& clock, RandomSource& random, NetworkModel& network,
                    MessageCopies& copies, PendingRequests& requests, ControllerModel& controllers,
                    WorkerModel& workers);

    // Sets the controller to which a new machine sends its first heartbeat.
    void connect(const std::string& machine, int controller) {
        links_[machine].controller = controller;
    }
    // Sends a heartbeat unless one is in flight. A hung worker sends it when it resumes.
    void send(const std::string& machine);

    // Delivers an earlier heartbeat of the machine now, for the first time or again.
    void deliver_heartbeat_late(int controller, const Heartbeat& heartbeat);
    // Delivers the copies of heartbeats kept so far to all controllers.
    void deliver_kept_heartbeats();

    int controller_of(const std::string& machine) const { return links_.at(machine).controller; }
    const Heartbeat& last_sent_heartbeat(const std::string& machine) const {
        return last_heartbeats_.at(machine);
    }
    // Returns the number of heartbeats sent so far.
    double count() const { return count_; }

  private:
    // A worker's view of its controller.
    struct Link {
        int controller = 0;
        // Number of the heartbeat that is in flight; 0 if none is.
        std::uint64_t in_flight = 0;
    };
    // A heartbeat that has been sent and has no response yet.
    struct InFlightHeartbeat {
        std::uint64_t number = 0;
        std::string machine;
        std::uint64_t agent_epoch = 0;
        Time sent = 0;
    };

    void send(const std::string& machine, std::uint64_t agent_epoch);
    void send_after(double seconds, const std::string& machine);
    void transmit(const Worker& worker, RequestId request_id, const Heartbeat& heartbeat);
    void answered(const InFlightHeartbeat& in_flight, const Response& response, Time sent_at);
    void accepted(const InFlightHeartbeat& in_flight, const HeartbeatBody& response, Time sent_at);
    void refused(const InFlightHeartbeat& in_flight, const Response& response);
    void timed_out(const InFlightHeartbeat& in_flight);
    void try_next_controller(const std::string& machine);
    bool receives_response(const InFlightHeartbeat& in_flight) const;

    const SimulationOptions& options_;
    const RandomFaults& random_faults_;
    EventQueue& clock_;
    RandomSource& random_;
    NetworkModel& network_;
    MessageCopies& copies_;
    PendingRequests& requests_;
    ControllerModel& controllers_;
    WorkerModel& workers_;
    std::map<std::string, Link> links_;
    std::uint64_t last_number_ = 0;
    std::map<std::string, Heartbeat> last_heartbeats_;
    std::vector<Heartbeat> kept_heartbeats_;
    double count_ = 0;
};

} // namespace scheduler::test
