// The identity of tasks, and their state as reported by workers and peers.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace scheduler {

// Identifies one task of a job, independent of the attempt that runs it.
struct TaskId {
    std::string job;
    std::uint32_t index = 0;
    auto operator<=>(const TaskId&) const = default;
};

// Identifies one launch of one task, see launch_id in partition_assignment.h: the attempt number,
// and for the tasks of a gang, which share an attempt, the index of the task as well (0 otherwise).
struct LaunchId {
    std::uint64_t attempt = 0;
    std::uint32_t index = 0;
    auto operator<=>(const LaunchId&) const = default;
};

// The stages of a task on its worker, in order: fetching its image, waiting for the other members
// of its gang, running, saving its state after a stop, exited. Peers exchange the numeric values of
// this enumeration and of ExitReason, so the order of the enumerators must not change.
enum class TaskStage { fetching, waiting, running, saving, exited };

// Why a task exited; `none` while it has not exited. `insufficient_capacity`, `busy` (the worker
// still runs another attempt of the task) and `unknown` also stand for launches that the worker
// refused.
enum class ExitReason {
    none,
    done,
    stopped,
    gang_member_lost,
    gang_incomplete,
    error,
    insufficient_capacity,
    busy,
    unknown
};

// The state of one attempt of a task, as its worker's heartbeat reports it.
struct TaskStatus {
    TaskId task;
    std::uint64_t attempt = 0;
    TaskStage stage = TaskStage::running;
    ExitReason exit_reason = ExitReason::none; // set once the stage is `exited`
};

// The state of a task on a machine of another partition, reported by the leader that holds the
// machine's shard to the leader of the task's job, in PeerSyncResponse and InventoryRecord.
struct RemoteTaskStatus {
    TaskStatus status;
    std::string machine;
    std::string zone;               // of the machine
    bool resources_unknown = false; // the machine's leader lacks the task's resources: see
                                    // RemoteTaskCommand::Type::describe
    bool draining = false;          // the machine will be terminated ...
    bool preemption_notice = false; // ... because of a preemption notice from the cloud
};

} // namespace scheduler
