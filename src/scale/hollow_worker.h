// A hollow worker: the state that a worker keeps for the controllers, by the protocol, without a
// machine under it. Its tasks are timers. On a clock that is handed in, without sockets.
#pragma once

#include <functional>
#include <set>

#include "scale/messages.h"

namespace scheduler::scale {

// Keeps a reference to the environment. Times handed in do not decrease.
class HollowWorker {
  public:
    // What the worker is told of the jobs, and whom it tells of its tasks.
    struct Environment {
        std::function<std::optional<JobSpec>(const std::string& id)> job; // none: no such job
        std::function<double(const TaskId&)> task_duration_s;
        std::function<bool(const TaskId&)> completed; // on whatever machine, before
        // The task has its image: it is on the machine from now on.
        std::function<void(Time, const std::string& machine, const TaskId&)> task_started;
        // It is not any more. `done`: it ran to its end.
        std::function<void(Time, const std::string& machine, const TaskId&, bool done)>
            task_stopped;
    };
    // What does not change while the machine is up.
    struct Identity {
        std::string name;
        std::string endpoint;
        std::string zone;
        bool spot = false;
    };
    HollowWorker(Time now, Identity identity, const InstanceType& type, double lease_s,
                 const Environment& environment);

    const std::string& name() const { return identity_.name; }
    const std::string& endpoint() const { return identity_.endpoint; }
    std::uint64_t agent_epoch() const { return agent_epoch_; }
    // Since the last heartbeat.
    bool changed() const { return changed_; }
    std::size_t tasks() const { return tasks_.size(); }

    // For the next heartbeat, or the answer to a direct command. `sent`: it counts as a heartbeat.
    Heartbeat heartbeat(Time now, bool sent);
    // The reply to a heartbeat that was sent at `sent` in `agent_epoch`. False: dropped, for a
    // lower fencing_token or another agent_epoch.
    bool on_heartbeat_response(Time now, std::uint64_t agent_epoch, Time sent,
                               const HeartbeatResponse& reply);
    // Returns the status of the response. 409: refused, for a lower fencing_token or another
    // agent_epoch.
    int on_direct_commands(Time now, const DirectCommands& direct);
    // Images that arrived and tasks that ended by now; a lease that is over.
    void advance(Time now);
    // When `advance` has something to do next.
    Time next_event_time() const;
    // The machine and all on it is gone.
    void terminate(Time now);

  private:
    // One attempt to run a task.
    struct AttemptKey {
        TaskId task;
        std::uint64_t attempt = 0;
        auto operator<=>(const AttemptKey&) const = default;
    };
    struct Task {
        TaskStage stage = TaskStage::fetching;
        ExitReason exit_reason = ExitReason::none;
        Time until = 0; // of the fetch, then of the run
        double cpus = 0;
        double ram_gb = 0;
        std::string image;
    };
    void execute(Time now, const std::vector<WorkerCommand>& commands);
    void start(Time now, const WorkerCommand& command);
    bool occupied(const TaskId& task) const;
    void exit(Time now, const TaskId& task_id, Task& task, ExitReason exit_reason);
    void drop_all_tasks(Time now);

    Identity identity_;
    InstanceType type_;
    double lease_s_;
    const Environment& environment_;
    std::map<AttemptKey, Task> tasks_;
    std::set<std::string> images_;
    double cpus_ = 0;
    double ram_gb_ = 0;
    std::uint64_t agent_epoch_ = 1;
    std::uint64_t sequence_ = 0;
    std::uint64_t fencing_token_ = 0;
    Time lease_start_;                     // the sending of the last heartbeat that was answered
    Time token_change_reported_at_ = -1e9; // when a higher fencing_token last counted as a change
    bool changed_ = true;
};

} // namespace scheduler::scale
