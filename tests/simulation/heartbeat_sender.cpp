#include "simulation/heartbeat_sender.h"

#include <algorithm>
#include <utility>

#include "simulation/cluster_setup.h"

namespace scheduler::test {

namespace {
// Later responses are ignored.
constexpr double kResponseTimeoutS = 4;
// The worker gives up an unanswered heartbeat just after the last valid response can arrive.
constexpr double kGiveUpS = 4.001;
constexpr double kRetryDelayS = 1;
constexpr double kRedirectDelayS = 0.1;
constexpr double kNewEpochDelayS = 0.01;
// Delay after the first response of a new leader.
constexpr double kNewLeaderDelayS = 0.5;
// Share of the heartbeat interval until the next heartbeat; the rest is left for the response.
constexpr double kHeartbeatIntervalShare = 0.9;
constexpr double kLatestCopyLeases = 1.5;
// Tells messages to workers that answer heartbeats apart from direct commands.
constexpr int kNoController = -1;
} // namespace

HeartbeatSender::HeartbeatSender(const SimulationOptions& options,
                                 const RandomFaults& random_faults, EventQueue& clock,
                                 RandomSource& random, NetworkModel& network, MessageCopies& copies,
                                 PendingRequests& requests, ControllerModel& controllers,
                                 WorkerModel& workers)
    : options_(options), random_faults_(random_faults), clock_(clock), random_(random),
      network_(network), copies_(copies), requests_(requests), controllers_(controllers),
      workers_(workers) {}

void HeartbeatSender::send(const std::string& machine) {
    if (const Worker* worker = workers_.find(machine)) {
        send(machine, worker->agent_epoch);
    }
}

void HeartbeatSender::send_after(double seconds, const std::string& machine) {
    clock_.after(seconds, [this, machine] { send(machine); });
}

void HeartbeatSender::send(const std::string& machine, std::uint64_t agent_epoch) {
    const Worker* worker = workers_.find(machine);
    if (!worker || worker->agent_epoch != agent_epoch || worker->dead ||
        links_[machine].in_flight != 0) {
        return;
    }
    if (clock_.now() < worker->hung_until) {
        clock_.at(worker->hung_until, [this, machine, agent_epoch] { send(machine, agent_epoch); });
        return;
    }
    Heartbeat heartbeat = workers_.make_heartbeat(machine);
    last_heartbeats_[machine] = heartbeat;
    ++count_;
    InFlightHeartbeat in_flight{++last_number_, machine, agent_epoch, clock_.now()};
    RequestId request_id =
        requests_.expect([this, in_flight](const Response& response, Time sent_at) {
            answered(in_flight, response, sent_at);
        });
    links_[machine].in_flight = in_flight.number;
    clock_.after(kGiveUpS, [this, in_flight] { timed_out(in_flight); });
    transmit(*worker, request_id, heartbeat);
}

void HeartbeatSender::transmit(const Worker& worker, RequestId request_id,
                               const Heartbeat& heartbeat) {
    const int controller = links_[worker.name].controller;
    bool lost = random_.chance(options_.drop);
    bool late = random_.chance(options_.late);
    if (worker.cut || worker.cut_outbound || !network_.worker_connected(controller, worker.zone) ||
        (lost && random_.chance(0.5))) {
        return;
    }
    double delay_s = late ? network_.late_delay() : network_.delay();
    clock_.after(delay_s, [this, controller, request_id, heartbeat] {
        controllers_.input(controller, HeartbeatReceived{request_id, heartbeat});
        copies_.carried_out(
            [this, controller, heartbeat] { deliver_heartbeat_late(controller, heartbeat); });
    });
    if (random_.fault(random_faults_.heartbeats_for_next_leader)) {
        kept_heartbeats_.push_back(heartbeat);
    }
    if (random_.chance(random_faults_.late_heartbeats)) {
        double copy_s = random_.uniform(2, kLatestCopyLeases * options_.lease_s);
        clock_.after(copy_s, [this, controller, heartbeat] {
            deliver_heartbeat_late(controller, heartbeat);
        });
    }
}

bool HeartbeatSender::receives_response(const InFlightHeartbeat& in_flight) const {
    const Worker* worker = workers_.find(in_flight.machine);
    if (!worker || links_.at(in_flight.machine).in_flight != in_flight.number) {
        return false;
    }
    if (worker->cut || worker->cut_inbound || worker->cut_outbound ||
        clock_.now() < worker->hung_until) {
        return false;
    }
    return network_.zone_connected(links_.at(in_flight.machine).controller, worker->zone) &&
           clock_.now() <= in_flight.sent + kResponseTimeoutS;
}

void HeartbeatSender::answered(const InFlightHeartbeat& in_flight, const Response& response,
                               Time sent_at) {
    if (!receives_response(in_flight)) {
        return;
    }
    links_[in_flight.machine].in_flight = 0;
    if (workers_.get(in_flight.machine).agent_epoch != in_flight.agent_epoch) {
        send_after(kNewEpochDelayS, in_flight.machine);
    } else if (response.status == 200) {
        accepted(in_flight, std::get<HeartbeatBody>(response.body), sent_at);
    } else {
        refused(in_flight, response);
    }
}

void HeartbeatSender::accepted(const InFlightHeartbeat& in_flight, const HeartbeatBody& response,
                               Time sent_at) {
    if (response.fencing_token < workers_.get(in_flight.machine).fencing_token) {
        send_after(options_.report_s, in_flight.machine);
        return;
    }
    bool higher = workers_.accept_response(in_flight.machine, response, in_flight.sent, sent_at,
                                           {kNoController, 0, in_flight.number});
    send_after(higher ? kNewLeaderDelayS : options_.report_s * kHeartbeatIntervalShare,
               in_flight.machine);
}

void HeartbeatSender::refused(const InFlightHeartbeat& in_flight, const Response& response) {
    if (response.status == 421) {
        Link& link = links_[in_flight.machine];
        const std::string& leader = std::get<LeaderRedirect>(response.body).node;
        if (!leader.empty() && leader != controller_name(link.controller)) {
            link.controller = controller_number(leader);
            send_after(kRedirectDelayS, in_flight.machine);
            return;
        }
    }
    try_next_controller(in_flight.machine);
}

void HeartbeatSender::timed_out(const InFlightHeartbeat& in_flight) {
    Link& link = links_[in_flight.machine];
    if (workers_.find(in_flight.machine) && link.in_flight == in_flight.number) {
        link.in_flight = 0;
        try_next_controller(in_flight.machine);
    }
}

void HeartbeatSender::try_next_controller(const std::string& machine) {
    Link& link = links_[machine];
    link.controller = (link.controller + 1) % options_.nodes;
    send_after(kRetryDelayS, machine);
}

void HeartbeatSender::deliver_kept_heartbeats() {
    for (const auto& heartbeat : std::exchange(kept_heartbeats_, {})) {
        for (int controller = 0; controller < options_.nodes; ++controller) {
            // Before and after the machine's first current heartbeat to the new leader.
            double after_s = random_.uniform(0, 1.5 * options_.report_s);
            clock_.after(random_.chance(0.5) ? after_s : 0.01, [this, controller, heartbeat] {
                deliver_heartbeat_late(controller, heartbeat);
            });
        }
    }
}

void HeartbeatSender::deliver_heartbeat_late(int controller, const Heartbeat& heartbeat) {
    // The worker gave up on it long ago.
    RequestId request_id = requests_.expect([](const Response&, Time) {});
    controllers_.input(controller, HeartbeatReceived{request_id, heartbeat});
}

} // namespace scheduler::test
