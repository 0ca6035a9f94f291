// The workers: the tasks that they run, the commands that they execute, and their faults.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "core/messaging/messages.h"
#include "simulation/attempt_checker.h"
#include "simulation/event_queue.h"
#include "simulation/gang_model.h"
#include "simulation/history_checker.h"
#include "simulation/options.h"
#include "simulation/random_source.h"
#include "simulation/start_checker.h"
#include "simulation/worker.h"

namespace scheduler::test {

// The only writer of the workers' state. Their heartbeats are sent by HeartbeatSender.
class WorkerModel {
  public:
    // Events that workers cause elsewhere.
    struct Callbacks {
        // The worker has something to report in addition to its regular heartbeats.
        std::function<void(const std::string& machine)> heartbeat_due;
        std::function<void(const TaskId&)> completed;
    };

    WorkerModel(const SimulationOptions& options, const RandomFaults& random_faults,
                EventQueue& clock, RandomSource& random, HistoryChecker& history_checker,
                GangModel& gangs, StartChecker& start_checker, AttemptChecker& attempt_checker,
                Callbacks callbacks);

    // Machines are added, booted and removed.
    void add(Worker worker);
    void boot(const std::string& machine, bool cut_outbound);
    void remove(const std::string& machine) { workers_.erase(machine); }

    const Workers& all() const { return workers_; }
    const Worker& get(const std::string& machine) const { return workers_.at(machine); }
    // Returns null if the cloud has no such machine.
    const Worker* find(const std::string& machine) const;

    // Faults. See the members of Worker.
    void set_cut(const std::string& machine, bool cut) { workers_.at(machine).cut = cut; }
    void set_inbound_cut(const std::string& machine, bool cut_inbound) {
        workers_.at(machine).cut_inbound = cut_inbound;
    }
    void set_outbound_cut(const std::string& machine, bool cut_outbound) {
        workers_.at(machine).cut_outbound = cut_outbound;
    }
    void hang(const std::string& machine, double seconds);
    void kill(const std::string& machine);
    // Loses the highest fencing token that the worker has seen, and the exited tasks.
    void forget_token(const std::string& machine);
    // Gives notice that the cloud preempts the machine, and ends it after `notice_s`.
    void preempt(const std::string& machine, double notice_s);

    // Returns the worker's next heartbeat.
    Heartbeat make_heartbeat(const std::string& machine);
    // Executes direct commands that left their controller at `sent_at`. Returns status 409 if the
    // fencing token or the agent epoch is stale.
    OutboundResponse execute_commands(const WorkerCommands& batch, Time sent_at,
                                      CommandMessage message);
    // Handles the response, with commands, to a heartbeat. Returns whether the
    // controller's fencing token is higher than the last one.
    bool accept_response(const std::string& machine, const HeartbeatBody& response,
                         Time heartbeat_sent_at, Time response_sent_at, CommandMessage message);

    // Advances all tasks except those of gangs to the current time.
    void step();
    // For GangModel, which runs, completes and ends the tasks of gangs together.
    void run(const std::string& machine, const TaskId& task);
    void complete(const TaskId& task) { callbacks_.completed(task); }
    void exit(const std::string& machine, const TaskId& task, ExitReason exit_reason);

  private:
    void step(Worker& worker);
    void expire_lease(Worker& worker);
    // Returns whether there is something to report.
    bool advance(Worker& worker, const TaskId& task, WorkerTask& state);
    bool finish_fetch(Worker& worker, const TaskId& task, WorkerTask& state);
    Time end_of_run(const TaskId& task);
    void finish_run(const TaskId& task, WorkerTask& state);
    void execute(Worker& worker, const std::vector<WorkerCommand>& commands, Time sent_at,
                 CommandMessage message);
    void begin(Worker& worker, const WorkerCommand& command, Time sent_at, CommandMessage message);
    void stop(const WorkerCommand& command, WorkerTask& state);
    const JobSpec& spec(const TaskId& task) const { return history_checker_.spec(task.job); }

    const SimulationOptions& options_;
    const RandomFaults& random_faults_;
    EventQueue& clock_;
    RandomSource& random_;
    HistoryChecker& history_checker_;
    GangModel& gangs_;
    StartChecker& start_checker_;
    AttemptChecker& attempt_checker_;
    Callbacks callbacks_;
    Workers workers_;
};

} // namespace scheduler::test
