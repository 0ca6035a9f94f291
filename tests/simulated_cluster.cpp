#include "simulated_cluster.h"

#include <utility>

#include "core/model/partition_assignment.h"

namespace scheduler::test {

namespace {
constexpr double kCapacityCheckIntervalS = 1;
} // namespace

SimulatedCluster::SimulatedCluster(SimulationOptions options)
    : options_(std::move(options)), random_(options_.seed),
      history_checker_(options_.cancel_s, team_quotas(options_), machine_types(options_)),
      network_(controller_zones(options_), random_faults, random_),
      copies_(options_, random_faults, clock_, random_),
      controllers_(options_, clock_, random_, network_, requests_, controller_callbacks()),
      store_(clock_, random_, network_, store_callbacks()),
      gangs_(options_, clock_, history_checker_), start_checker_(history_checker_),
      attempt_checker_(history_checker_),
      workers_(options_, random_faults, clock_, random_, history_checker_, gangs_, start_checker_,
               attempt_checker_, worker_callbacks()),
      heartbeats_(options_, random_faults, clock_, random_, network_, copies_, requests_,
                  controllers_, workers_),
      cloud_(options_, random_faults, clock_, random_, workers_, heartbeats_),
      replies_(options_, clock_, network_, controllers_),
      router_(options_, clock_, network_, requests_, replies_,
              {controllers_, workers_, cloud_, store_}),
      transport_({options_, random_faults, clock_, random_, network_, copies_, controllers_, store_,
                  replies_, router_}),
      users_(options_, random_faults, clock_, random_, copies_, requests_, controllers_,
             history_checker_),
      quotas_(options_, clock_, workers_, store_, history_checker_) {
    clock_.every(QuotaModel::kCheckS, [this] { step(); });
}

ControllerModel::Callbacks SimulatedCluster::controller_callbacks() {
    return {
        .logged = [this](int node, const std::string& line) { line_logged(node, line); },
        .answered = [this](const Response& answer) { users_.answered(answer); },
        .requested = [this](int node,
                            const OutboundRequest& request) { transport_.send(node, request); },
        .restarted = [this] { copies_.controller_restarted(); },
    };
}

KvStoreModel::Callbacks SimulatedCluster::store_callbacks() {
    return {
        .deliver =
            [this](const WatchRequest& request, const OutboundResponse& response) {
                controllers_.deliver(request.controller, request.incarnation, response);
            },
        .leadership_written =
            [this] {
                heartbeats_.deliver_kept_heartbeats();
                copies_.leader_began();
            },
    };
}

WorkerModel::Callbacks SimulatedCluster::worker_callbacks() {
    return {
        .heartbeat_due = [this](const std::string& machine) { heartbeats_.send(machine); },
        .completed = [this](const TaskId& task) { users_.task_completed(task); },
    };
}

void SimulatedCluster::step() {
    store_.expire_leases();
    store_.fire_watches();
    workers_.step();
    for (const auto& machine : gangs_.step(workers_)) {
        heartbeats_.send(machine);
    }
    for (const auto& [name, worker] : workers_.all()) {
        for (const auto& [task, state] : worker.tasks) {
            if (on_machine(state.stage) && !worker.dead) {
                history_checker_.task_on_machine(now(), task);
            }
        }
    }
    quotas_.check();
}

void SimulatedCluster::line_logged(int node, const std::string& line) {
    ++log_counts_[line.substr(0, line.find(' '))];
    if (line.starts_with("event=quota_updated ")) {
        quotas_.record_applied(line);
    }
    if (on_log) {
        on_log(now(), node, line);
    }
}

std::size_t SimulatedCluster::log_count(const std::string& event) const {
    auto found = log_counts_.find(event);
    return found == log_counts_.end() ? 0 : found->second;
}

void SimulatedCluster::add_existing_job(const JobSpec& spec, Outcome outcome) {
    const char* stage = "cancelled";
    if (outcome == Outcome::none) {
        stage = "pending";
    } else if (outcome == Outcome::done) {
        stage = "done";
    }
    history_checker_.record_earlier_response(now(), spec, stage);
    put(kJobPrefix + spec.id,
        outcome == Outcome::done ? JobRecord{outcome, {}} : JobRecord{outcome, spec});
}

void SimulatedCluster::put(const std::string& key, StoredRecord record) {
    store_.put(key, std::move(record));
}

void SimulatedCluster::start_polling_open_jobs() {
    history_checker_.faults_ended(now());
    if (users_.start_polling()) {
        clock_.every(kCapacityCheckIntervalS,
                     [this] { observe_waiting(now(), store_, workers_.all(), history_checker_); });
    }
}

SimulatedCluster::Counts SimulatedCluster::counts() const {
    return {heartbeats_.count(), static_cast<double>(start_checker_.starts()),
            router_.inventory_entries(), controllers_.effort()};
}

} // namespace scheduler::test
