// A hollow worker: it keeps a worker's protocol state without a real machine. Its tasks are timers.
// It has no sockets, and the caller passes in the time.
#pragma once

#include <functional>
#include <set>

#include "scale/messages.h"

namespace scheduler::scale {

// Keeps a reference to the environment. The times passed in must not decrease.
class HollowWorker {
  public:
    // Provides the jobs, and is notified about the tasks.
    struct Environment {
        std::function<std::optional<JobSpec>(const std::string& id)>
            job; // nothing if there is no such job
        std::function<double(const TaskId&)> task_duration_s;
        std::function<bool(const TaskId&)>
            completed; // whether the task has completed on any machine
        // Called when the worker takes on an attempt that it does not hold; `refused`: it does not
        // start the task.
        std::function<void(Time, const std::string& machine, const TaskId&, std::uint64_t attempt,
                           bool refused)>
            attempt_begun;
        // Called when the worker forgets an attempt, so long after its exit.
        std::function<void(double exited_for_s)> attempt_cleared;
        // Called when the task has its image and starts to run on the machine.
        std::function<void(Time, const std::string& machine, const TaskId&)> task_started;
        // Called when the task stops running. `done`: it completed.
        std::function<void(Time, const std::string& machine, const TaskId&, bool done)>
            task_stopped;
    };
    // Properties that stay the same while the machine is up.
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
    // Whether the state changed since the last heartbeat, so that the next one is sent early.
    bool changed() const { return changed_; }
    std::size_t tasks() const { return tasks_.size(); }

    // Returns the heartbeat to send, or the response to direct commands. `sent`: it is sent as a
    // heartbeat.
    Heartbeat heartbeat(Time now, bool sent);
    // Processes the response to a heartbeat that was sent at `sent` in `agent_epoch`. Returns false
    // if the response was dropped because of a lower fencing token or another agent epoch.
    bool on_heartbeat_response(Time now, std::uint64_t agent_epoch, Time sent,
                               const HeartbeatResponse& reply);
    // Returns the status of the response. 409: rejected because of a lower fencing token or another
    // agent epoch.
    int on_direct_commands(Time now, const DirectCommands& direct);
    // Processes image fetches and tasks that have finished by now, and the expiry of the lease.
    void advance(Time now);
    // Returns the time at which `advance` has something to do next.
    Time next_event_time() const;
    // Ends the machine and all its tasks.
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
        Time until = 0; // when the fetch ends, then when the run ends
        Time exited_at = 0;
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
    Time lease_start_;                     // when the last acknowledged heartbeat was sent
    Time token_change_reported_at_ = -1e9; // when a higher fencing token last counted as a change
    bool changed_ = true;
};

} // namespace scheduler::scale
