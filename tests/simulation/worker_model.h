/// @file
/// The workers' machines: the tasks that they run, the commands that they execute, their faults.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "core/messaging/messages.h"
#include "simulation/event_queue.h"
#include "simulation/gang_model.h"
#include "simulation/history_checker.h"
#include "simulation/options.h"
#include "simulation/random_source.h"
#include "simulation/start_checker.h"
#include "simulation/worker.h"

namespace scheduler::test {

/// The only writer of the workers. Their reports are sent by ReportSender.
class WorkerModel {
  public:
    /// What workers cause elsewhere.
    struct Callbacks {
        /// The worker has something to report, beside its reports at regular times.
        std::function<void(const std::string& machine)> report_due;
        std::function<void(const TaskId&)> completed;
    };

    WorkerModel(const SimulationOptions& options, EventQueue& clock, RandomSource& random,
                HistoryChecker& history_checker, GangModel& gangs, StartChecker& start_checker,
                Callbacks callbacks);

    /// Machines: rented, up, and released.
    void add(Worker worker);
    void boot(const std::string& machine, bool cut_outbound);
    void remove(const std::string& machine) { workers_.erase(machine); }

    const Workers& all() const { return workers_; }
    const Worker& get(const std::string& machine) const { return workers_.at(machine); }
    /// Null: the cloud has no such machine.
    const Worker* find(const std::string& machine) const;

    /// Faults: see the members of Worker.
    void set_cut(const std::string& machine, bool cut) { workers_.at(machine).cut = cut; }
    void set_inbound_cut(const std::string& machine, bool deaf) {
        workers_.at(machine).deaf = deaf;
    }
    void set_outbound_cut(const std::string& machine, bool cut_outbound) {
        workers_.at(machine).cut_outbound = cut_outbound;
    }
    void hang(const std::string& machine, double seconds);
    void kill(const std::string& machine);
    /// The cloud says that it takes the machine, and does so after `notice_s`.
    void take(const std::string& machine, double notice_s);

    /// The worker's next report.
    Heartbeat make_report(const std::string& machine);
    /// Direct commands, which left their controller at `left`. Status 409: stale token or session.
    OutboundResponse execute_orders(const WorkerCommands& orders, Time left);
    /// The answer to a report that was sent at `sent`, with commands. Returns whether the
    /// controller's token is higher than the one before.
    bool accept_answer(const std::string& machine, const HeartbeatBody& answer, Time sent,
                       Time left);

    /// Lets all tasks but those of gangs go on until now.
    void step();
    /// For gangs: their tasks run, complete and end together.
    void run(const std::string& machine, const TaskId& task);
    void complete(const TaskId& task) { callbacks_.completed(task); }
    void exit(const std::string& machine, const TaskId& task, ExitReason why);

  private:
    void step(Worker& worker);
    void lose_lease(Worker& worker);
    /// Returns whether there is something to report.
    bool advance(Worker& worker, const TaskId& task, WorkerTask& state);
    bool image_fetched(Worker& worker, const TaskId& task, WorkerTask& state);
    Time end_of_run(const TaskId& task);
    void run_over(const TaskId& task, WorkerTask& state);
    void execute(Worker& worker, const std::vector<WorkerCommand>& commands, Time left);
    void stop(const WorkerCommand& command, WorkerTask& state);
    const JobSpec& spec(const TaskId& task) const { return history_checker_.spec(task.job); }

    const SimulationOptions& options_;
    EventQueue& clock_;
    RandomSource& random_;
    HistoryChecker& history_checker_;
    GangModel& gangs_;
    StartChecker& start_checker_;
    Callbacks callbacks_;
    Workers workers_;
};

} // namespace scheduler::test
