/// @file
/// Reports and their answers: see report_sender.h.
#include "simulation/report_sender.h"

#include <algorithm>
#include <utility>

#include "simulation/cluster_setup.h"

namespace scheduler::test {

namespace {
/// An answer counts until then.
constexpr double kAnswerTimeoutS = 4;
/// The worker gives an unanswered report up: just after the last answer that counts.
constexpr double kGiveUpS = 4.001;
constexpr double kRetryS = 1;
constexpr double kRedirectedS = 0.1;
constexpr double kNewSessionS = 0.01;
/// After the first answer of a new owner.
constexpr double kNewTokenS = 0.5;
/// Of the time between reports, as the answer took some.
constexpr double kReportShare = 0.9;
constexpr double kLeasesUntilCopy = 1.5;
} // namespace

ReportSender::ReportSender(const SimulationOptions& options, const RandomFaults& random_faults,
                           EventQueue& clock, RandomSource& random, NetworkModel& network,
                           PendingRequests& requests, ControllerModel& controllers,
                           WorkerModel& workers)
    : options_(options), troubles_(random_faults), clock_(clock), random_(random),
      network_(network), requests_(requests), controllers_(controllers), workers_(workers) {}

void ReportSender::send(const std::string& machine) {
    if (const Worker* worker = workers_.find(machine)) {
        send(machine, worker->session);
    }
}

void ReportSender::send_after(double seconds, const std::string& machine) {
    clock_.after(seconds, [this, machine] { send(machine); });
}

void ReportSender::send(const std::string& machine, std::uint64_t session) {
    const Worker* worker = workers_.find(machine);
    if (!worker || worker->session != session || worker->dead || links_[machine].flight != 0) {
        return;
    }
    if (clock_.now() < worker->hung_until) {
        clock_.at(worker->hung_until, [this, machine, session] { send(machine, session); });
        return;
    }
    Heartbeat heartbeat = workers_.make_report(machine);
    last_reports_[machine] = heartbeat;
    ++count_;
    Flight flight{++last_flight_, machine, session, clock_.now()};
    RequestId request_id = requests_.expect(
        [this, flight](const Response& answer, Time left) { answered(flight, answer, left); });
    links_[machine].flight = flight.number;
    clock_.after(kGiveUpS, [this, flight] { timed_out(flight); });
    transmit(*worker, request_id, heartbeat);
}

void ReportSender::transmit(const Worker& worker, RequestId request_id,
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
    });
    if (random_.fault(troubles_.heartbeats_for_next_leader)) {
        kept_reports_.push_back(heartbeat);
    }
    if (random_.chance(troubles_.late_heartbeats)) {
        double copy_s = random_.uniform(2, kLeasesUntilCopy * options_.lease_s);
        clock_.after(copy_s, [this, controller, heartbeat] {
            deliver_heartbeat_late(controller, heartbeat);
        });
    }
}

bool ReportSender::hears_answer(const Flight& flight) const {
    const Worker* worker = workers_.find(flight.machine);
    if (!worker || links_.at(flight.machine).flight != flight.number) {
        return false;
    }
    if (worker->cut || worker->deaf || worker->cut_outbound || clock_.now() < worker->hung_until) {
        return false;
    }
    return network_.zone_connected(links_.at(flight.machine).controller, worker->zone) &&
           clock_.now() <= flight.sent + kAnswerTimeoutS;
}

void ReportSender::answered(const Flight& flight, const Response& answer, Time left) {
    if (!hears_answer(flight)) {
        return;
    }
    links_[flight.machine].flight = 0;
    if (workers_.get(flight.machine).session != flight.session) {
        send_after(kNewSessionS, flight.machine);
    } else if (answer.status == 200) {
        accepted(flight, std::get<HeartbeatBody>(answer.body), left);
    } else {
        refused(flight, answer);
    }
}

void ReportSender::accepted(const Flight& flight, const HeartbeatBody& answer, Time left) {
    if (answer.fencing_token < workers_.get(flight.machine).token) {
        send_after(options_.report_s, flight.machine);
        return;
    }
    bool higher = workers_.accept_answer(flight.machine, answer, flight.sent, left);
    send_after(higher ? kNewTokenS : options_.report_s * kReportShare, flight.machine);
}

void ReportSender::refused(const Flight& flight, const Response& answer) {
    if (answer.status == 421) {
        Link& link = links_[flight.machine];
        const std::string& leader = std::get<LeaderRedirect>(answer.body).node;
        if (!leader.empty() && leader != controller_name(link.controller)) {
            link.controller = controller_number(leader);
            send_after(kRedirectedS, flight.machine);
            return;
        }
    }
    try_next_controller(flight.machine);
}

void ReportSender::timed_out(const Flight& flight) {
    Link& link = links_[flight.machine];
    if (workers_.find(flight.machine) && link.flight == flight.number) {
        link.flight = 0;
        try_next_controller(flight.machine);
    }
}

void ReportSender::try_next_controller(const std::string& machine) {
    Link& link = links_[machine];
    link.controller = (link.controller + 1) % options_.nodes;
    send_after(kRetryS, machine);
}

void ReportSender::give_kept_reports() {
    for (const auto& report : std::exchange(kept_reports_, {})) {
        for (int controller = 0; controller < options_.nodes; ++controller) {
            // Before and after the machine's first true report to the new owner.
            double after_s = random_.uniform(0, 1.5 * options_.report_s);
            clock_.after(random_.chance(0.5) ? after_s : 0.01, [this, controller, report] {
                deliver_heartbeat_late(controller, report);
            });
        }
    }
}

void ReportSender::deliver_heartbeat_late(int controller, const Heartbeat& heartbeat) {
    // The worker gave it up long ago.
    RequestId request_id = requests_.expect([](const Response&, Time) {});
    controllers_.input(controller, HeartbeatReceived{request_id, heartbeat});
}

} // namespace scheduler::test
