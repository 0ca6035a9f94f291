#include "simulation/worker_model.h"

#include <algorithm>
#include <utility>

#include "simulation/cluster_setup.h"

namespace scheduler::test {

namespace {
constexpr double kImageFetchS = 0.5;
// Services run until they are stopped.
constexpr Time kNever = 1e12;

void exit_with(WorkerTask& state, ExitReason exit_reason) {
    state.stage = TaskStage::exited;
    state.exit_reason = exit_reason;
}
} // namespace

WorkerModel::WorkerModel(const SimulationOptions& options, const RandomFaults& random_faults,
                         EventQueue& clock, RandomSource& random, HistoryChecker& history_checker,
                         GangModel& gangs, StartChecker& start_checker,
                         AttemptChecker& attempt_checker, Callbacks callbacks)
    : options_(options), random_faults_(random_faults), clock_(clock), random_(random),
      history_checker_(history_checker), gangs_(gangs), start_checker_(start_checker),
      attempt_checker_(attempt_checker), callbacks_(std::move(callbacks)) {}

void WorkerModel::add(Worker worker) {
    std::string name = worker.name;
    workers_[name] = std::move(worker);
}

void WorkerModel::boot(const std::string& machine, bool cut_outbound) {
    auto found = workers_.find(machine);
    if (found == workers_.end()) {
        return;
    }
    found->second.cut_outbound = cut_outbound;
    found->second.up = true;
    found->second.lease_renewed_at = clock_.now();
    callbacks_.heartbeat_due(machine);
}

const Worker* WorkerModel::find(const std::string& machine) const {
    auto found = workers_.find(machine);
    return found == workers_.end() ? nullptr : &found->second;
}

void WorkerModel::hang(const std::string& machine, double seconds) {
    Worker& worker = workers_.at(machine);
    worker.hung_until = clock_.now() + seconds;
    for (auto& [task, state] : worker.tasks) { // tasks make no progress meanwhile
        state.next_change += seconds;
    }
}

void WorkerModel::kill(const std::string& machine) {
    workers_.at(machine).dead = true;
    workers_.at(machine).tasks.clear();
}

void WorkerModel::forget_token(const std::string& machine) {
    Worker& worker = workers_.at(machine);
    worker.fencing_token = 0;
    std::erase_if(worker.tasks,
                  [](const auto& entry) { return entry.second.stage == TaskStage::exited; });
}

void WorkerModel::preempt(const std::string& machine, double notice_s) {
    Worker& worker = workers_.at(machine);
    worker.preempted_at = clock_.now() + notice_s;
    callbacks_.heartbeat_due(machine);
    clock_.at(worker.preempted_at, [this, machine] {
        if (workers_.contains(machine)) {
            kill(machine);
        }
    });
}

Heartbeat WorkerModel::make_heartbeat(const std::string& machine) {
    Worker& worker = workers_.at(machine);
    Heartbeat heartbeat;
    heartbeat.machine = worker.name;
    heartbeat.endpoint = worker.name + ":1";
    heartbeat.type = worker.type.name;
    heartbeat.zone = worker.zone;
    heartbeat.spot = worker.spot;
    heartbeat.agent_epoch = worker.agent_epoch;
    heartbeat.sequence = ++worker.heartbeat_sequence;
    heartbeat.fencing_token = worker.fencing_token;
    if (worker.preempted_at > 0) {
        heartbeat.preemption_notice_s = std::max(0.0, worker.preempted_at - clock_.now());
    }
    for (const auto& [task, state] : worker.tasks) {
        heartbeat.tasks.push_back({task, state.attempt, state.stage, state.exit_reason});
    }
    return heartbeat;
}

OutboundResponse WorkerModel::execute_commands(const WorkerCommands& batch, Time sent_at,
                                               CommandMessage message) {
    Worker& worker = workers_.at(batch.machine);
    OutboundResponse response;
    if (batch.fencing_token < worker.fencing_token || batch.agent_epoch != worker.agent_epoch) {
        response.status = 409;
    } else {
        worker.fencing_token = batch.fencing_token;
        execute(worker, batch.commands, sent_at, message);
        response.status = 200;
    }
    response.heartbeat = make_heartbeat(batch.machine);
    return response;
}

bool WorkerModel::accept_response(const std::string& machine, const HeartbeatBody& response,
                                  Time heartbeat_sent_at, Time response_sent_at,
                                  CommandMessage message) {
    Worker& worker = workers_.at(machine);
    bool higher = response.fencing_token > worker.fencing_token;
    worker.fencing_token = response.fencing_token;
    worker.lease_renewed_at = std::max(worker.lease_renewed_at, heartbeat_sent_at);
    execute(worker, response.commands, response_sent_at, message);
    return higher;
}

void WorkerModel::execute(Worker& worker, const std::vector<WorkerCommand>& commands, Time sent_at,
                          CommandMessage message) {
    for (const auto& command : commands) {
        auto found = worker.tasks.find(command.task);
        if (command.type == CommandType::start) {
            if (found == worker.tasks.end()) {
                begin(worker, command, sent_at, message);
            } // else: the same attempt has no effect, another one is rejected as busy
        } else if (found != worker.tasks.end() && found->second.attempt == command.attempt) {
            if (command.type == CommandType::stop) {
                stop(command, found->second);
            } else if (command.type == CommandType::clear &&
                       found->second.stage == TaskStage::exited) {
                worker.tasks.erase(found);
            }
        }
    }
}

void WorkerModel::begin(Worker& worker, const WorkerCommand& command, Time sent_at,
                        CommandMessage message) {
    attempt_checker_.begun(worker.name, command.task, command.attempt, message);
    WorkerTask& state = worker.tasks[command.task];
    state = {command.attempt,  TaskStage::fetching,
             ExitReason::none, clock_.now() + kImageFetchS,
             clock_.now(),     sent_at};
    if (random_.fault(random_faults_.refused_starts)) {
        exit_with(state, ExitReason::insufficient_capacity);
    }
}

void WorkerModel::stop(const WorkerCommand& command, WorkerTask& state) {
    const JobSpec& job = spec(command.task);
    if (state.stage == TaskStage::running && job.checkpoint_interval_s > 0 &&
        command.grace_s >= job.save_duration_s) {
        state.stage = TaskStage::saving;
        state.next_change = clock_.now() + job.save_duration_s;
        gangs_.stop_received(command.task.job, state.attempt);
    } else if (state.stage != TaskStage::exited &&
               (state.stage != TaskStage::saving || command.grace_s == 0)) {
        exit_with(state, ExitReason::stopped);
    }
}

void WorkerModel::step() {
    for (auto& [name, worker] : workers_) {
        step(worker);
    }
}

void WorkerModel::step(Worker& worker) {
    if (!worker.up || worker.dead) {
        return;
    }
    // A worker that hung for longer than its lease kills its tasks first when it resumes.
    if ((clock_.now() - worker.lease_renewed_at) * worker.clock_rate > options_.lease_s) {
        expire_lease(worker);
    }
    if (clock_.now() < worker.hung_until) {
        return;
    }
    bool changed = false;
    for (auto& [task, state] : worker.tasks) {
        changed |= advance(worker, task, state);
    }
    if (changed) {
        callbacks_.heartbeat_due(worker.name);
    }
}

void WorkerModel::expire_lease(Worker& worker) {
    worker.tasks.clear();
    ++worker.agent_epoch;
    worker.lease_renewed_at = clock_.now();
    callbacks_.heartbeat_due(worker.name);
}

bool WorkerModel::advance(Worker& worker, const TaskId& task, WorkerTask& state) {
    if (clock_.now() < state.next_change) {
        return false;
    }
    if (state.stage == TaskStage::fetching) {
        return finish_fetch(worker, task, state);
    }
    bool saving = state.stage == TaskStage::saving;
    bool running = state.stage == TaskStage::running;
    if ((!saving && !running) || spec(task).kind == JobKind::gang) {
        return false; // the tasks of a gang end together, see GangModel
    }
    if (saving) {
        exit_with(state, ExitReason::stopped);
    } else {
        finish_run(task, state);
    }
    return true;
}

bool WorkerModel::finish_fetch(Worker& worker, const TaskId& task, WorkerTask& state) {
    start_checker_.started(clock_.now(), workers_, worker, task);
    if (spec(task).kind != JobKind::gang) {
        state.stage = TaskStage::running;
        state.next_change = end_of_run(task);
        return false;
    }
    state.stage = TaskStage::waiting;
    state.stage_since = clock_.now();
    if (history_checker_.done(task)) { // the result of an earlier run is kept
        exit_with(state, ExitReason::done);
    }
    return true;
}

Time WorkerModel::end_of_run(const TaskId& task) {
    if (spec(task).kind == JobKind::service) {
        return kNever;
    }
    if (history_checker_.done(task)) {
        return clock_.now();
    }
    return clock_.now() + options_.run_s * random_.uniform(0.5, 1.5);
}

void WorkerModel::finish_run(const TaskId& task, WorkerTask& state) {
    exit_with(state, random_.chance(options_.error) ? ExitReason::error : ExitReason::done);
    if (state.exit_reason == ExitReason::done) {
        complete(task);
    }
}

void WorkerModel::run(const std::string& machine, const TaskId& task) {
    workers_.at(machine).tasks.at(task).stage = TaskStage::running;
}

void WorkerModel::exit(const std::string& machine, const TaskId& task, ExitReason exit_reason) {
    exit_with(workers_.at(machine).tasks.at(task), exit_reason);
}

} // namespace scheduler::test
