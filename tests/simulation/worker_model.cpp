/// @file
/// Machines and their tasks: see worker_model.h.
#include "simulation/worker_model.h"

#include <algorithm>
#include <utility>

#include "simulation/cluster_setup.h"

namespace scheduler::test {

namespace {
constexpr double kFetchS = 0.5;
/// A service runs until it is stopped.
constexpr Time kNever = 1e12;

void exit_with(WorkerTask& state, ExitReason why) {
    state.stage = TaskStage::exited;
    state.why = why;
}
} // namespace

WorkerModel::WorkerModel(const SimulationOptions& options, EventQueue& clock, RandomSource& random,
                         HistoryChecker& history_checker, GangModel& gangs,
                         StartChecker& start_checker, Callbacks callbacks)
    : options_(options), clock_(clock), random_(random), history_checker_(history_checker),
      gangs_(gangs), start_checker_(start_checker), callbacks_(std::move(callbacks)) {}

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
    found->second.renewed = clock_.now();
    callbacks_.report_due(machine);
}

const Worker* WorkerModel::find(const std::string& machine) const {
    auto found = workers_.find(machine);
    return found == workers_.end() ? nullptr : &found->second;
}

void WorkerModel::hang(const std::string& machine, double seconds) {
    Worker& worker = workers_.at(machine);
    worker.hung_until = clock_.now() + seconds;
    for (auto& [task, state] : worker.tasks) { // they make no progress
        state.next += seconds;
    }
}

void WorkerModel::kill(const std::string& machine) {
    workers_.at(machine).dead = true;
    workers_.at(machine).tasks.clear();
}

void WorkerModel::take(const std::string& machine, double notice_s) {
    Worker& worker = workers_.at(machine);
    worker.taken = clock_.now() + notice_s;
    callbacks_.report_due(machine);
    clock_.at(worker.taken, [this, machine] {
        if (workers_.contains(machine)) {
            kill(machine);
        }
    });
}

Heartbeat WorkerModel::make_report(const std::string& machine) {
    Worker& worker = workers_.at(machine);
    Heartbeat heartbeat;
    heartbeat.machine = worker.name;
    heartbeat.endpoint = worker.name + ":1";
    heartbeat.type = kMachineTypeName;
    heartbeat.zone = worker.zone;
    heartbeat.spot = worker.spot;
    heartbeat.agent_epoch = worker.session;
    heartbeat.sequence = ++worker.tick;
    heartbeat.fencing_token = worker.token;
    if (worker.taken > 0) {
        heartbeat.preemption_notice_s = std::max(0.0, worker.taken - clock_.now());
    }
    for (const auto& [task, state] : worker.tasks) {
        heartbeat.tasks.push_back({task, state.attempt, state.stage, state.why});
    }
    return heartbeat;
}

OutboundResponse WorkerModel::execute_orders(const WorkerCommands& orders, Time left) {
    Worker& worker = workers_.at(orders.machine);
    OutboundResponse response;
    if (orders.fencing_token < worker.token || orders.agent_epoch != worker.session) {
        response.status = 409;
    } else {
        worker.token = orders.fencing_token;
        execute(worker, orders.commands, left);
        response.status = 200;
    }
    response.heartbeat = make_report(orders.machine);
    return response;
}

bool WorkerModel::accept_answer(const std::string& machine, const HeartbeatBody& answer, Time sent,
                                Time left) {
    Worker& worker = workers_.at(machine);
    bool higher = answer.fencing_token > worker.token;
    worker.token = answer.fencing_token;
    worker.renewed = std::max(worker.renewed, sent);
    execute(worker, answer.commands, left);
    return higher;
}

void WorkerModel::execute(Worker& worker, const std::vector<WorkerCommand>& commands, Time left) {
    for (const auto& command : commands) {
        auto found = worker.tasks.find(command.task);
        if (command.type == CommandType::start) {
            if (found == worker.tasks.end()) {
                worker.tasks[command.task] = {command.attempt,  TaskStage::fetching,
                                              ExitReason::none, clock_.now() + kFetchS,
                                              clock_.now(),     left};
            } // else the same attempt: no effect; another: refused as busy
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

void WorkerModel::stop(const WorkerCommand& command, WorkerTask& state) {
    const JobSpec& job = spec(command.task);
    if (state.stage == TaskStage::running && job.checkpoint_interval_s > 0 &&
        command.grace_s >= job.save_duration_s) {
        state.stage = TaskStage::saving;
        state.next = clock_.now() + job.save_duration_s;
        gangs_.stop_seen(command.task.job, state.attempt);
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
    // Hung for longer than its lease it kills its tasks on waking, before anything else.
    if ((clock_.now() - worker.renewed) * worker.rate > options_.lease_s) {
        lose_lease(worker);
    }
    if (clock_.now() < worker.hung_until) {
        return;
    }
    bool changed = false;
    for (auto& [task, state] : worker.tasks) {
        changed |= advance(worker, task, state);
    }
    if (changed) {
        callbacks_.report_due(worker.name);
    }
}

void WorkerModel::lose_lease(Worker& worker) {
    worker.tasks.clear();
    ++worker.session;
    worker.renewed = clock_.now();
    callbacks_.report_due(worker.name);
}

bool WorkerModel::advance(Worker& worker, const TaskId& task, WorkerTask& state) {
    if (clock_.now() < state.next) {
        return false;
    }
    if (state.stage == TaskStage::fetching) {
        return image_fetched(worker, task, state);
    }
    bool saving = state.stage == TaskStage::saving;
    bool running = state.stage == TaskStage::running;
    if ((!saving && !running) || spec(task).kind == JobKind::gang) {
        return false; // a gang's tasks end together, see GangModel
    }
    if (saving) {
        exit_with(state, ExitReason::stopped);
    } else {
        run_over(task, state);
    }
    return true;
}

bool WorkerModel::image_fetched(Worker& worker, const TaskId& task, WorkerTask& state) {
    start_checker_.started(clock_.now(), workers_, worker, task);
    if (spec(task).kind != JobKind::gang) {
        state.stage = TaskStage::running;
        state.next = end_of_run(task);
        return false;
    }
    state.stage = TaskStage::waiting;
    state.since = clock_.now();
    if (history_checker_.done(task)) { // the result is kept
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

void WorkerModel::run_over(const TaskId& task, WorkerTask& state) {
    exit_with(state, random_.chance(options_.error) ? ExitReason::error : ExitReason::done);
    if (state.why == ExitReason::done) {
        complete(task);
    }
}

void WorkerModel::run(const std::string& machine, const TaskId& task) {
    workers_.at(machine).tasks.at(task).stage = TaskStage::running;
}

void WorkerModel::exit(const std::string& machine, const TaskId& task, ExitReason why) {
    exit_with(workers_.at(machine).tasks.at(task), why);
}

} // namespace scheduler::test
