/// @file
/// The reports of workers on their way to controllers, and the answers on their way back.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/messaging/messages.h"
#include "simulation/controller_model.h"
#include "simulation/event_queue.h"
#include "simulation/network_model.h"
#include "simulation/options.h"
#include "simulation/pending_requests.h"
#include "simulation/random_source.h"
#include "simulation/worker_model.h"

namespace scheduler::test {

/// Sends the workers' reports: one at a time each, to the controller that the worker takes for its
/// own.
class ReportSender {
  public:
    ReportSender(const SimulationOptions& options, const RandomFaults& random_faults,
                 EventQueue& clock, RandomSource& random, NetworkModel& network,
                 PendingRequests& requests, ControllerModel& controllers, WorkerModel& workers);

    /// The controller that a new machine reports to first.
    void connect(const std::string& machine, int controller) {
        links_[machine].controller = controller;
    }
    /// Sends a report, unless one is under way. A hung worker sends it when it goes on.
    void send(const std::string& machine);

    /// A report that the machine sent once comes to the controller only now, or once more.
    void deliver_heartbeat_late(int controller, const Heartbeat& heartbeat);
    /// Gives the copies of reports kept so far to all controllers.
    void give_kept_reports();

    int controller_of(const std::string& machine) const { return links_.at(machine).controller; }
    const Heartbeat& last_sent_heartbeat(const std::string& machine) const {
        return last_reports_.at(machine);
    }
    /// Reports sent so far.
    double count() const { return count_; }

  private:
    /// A worker's own view of its controller.
    struct Link {
        int controller = 0;
        /// The report that is under way; 0: none.
        std::uint64_t flight = 0;
    };
    /// A report under way.
    struct Flight {
        std::uint64_t number = 0;
        std::string machine;
        std::uint64_t session = 0;
        Time sent = 0;
    };

    void send(const std::string& machine, std::uint64_t session);
    void send_after(double seconds, const std::string& machine);
    void transmit(const Worker& worker, RequestId request_id, const Heartbeat& heartbeat);
    void answered(const Flight& flight, const Response& answer, Time left);
    void accepted(const Flight& flight, const HeartbeatBody& answer, Time left);
    void refused(const Flight& flight, const Response& answer);
    void timed_out(const Flight& flight);
    void try_next_controller(const std::string& machine);
    bool hears_answer(const Flight& flight) const;

    const SimulationOptions& options_;
    const RandomFaults& troubles_;
    EventQueue& clock_;
    RandomSource& random_;
    NetworkModel& network_;
    PendingRequests& requests_;
    ControllerModel& controllers_;
    WorkerModel& workers_;
    std::map<std::string, Link> links_;
    std::uint64_t last_flight_ = 0;
    std::map<std::string, Heartbeat> last_reports_;
    std::vector<Heartbeat> kept_reports_;
    double count_ = 0;
};

} // namespace scheduler::test
