// The state of a simulated worker.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/model/types.h"

namespace scheduler::test {

// A task held by a worker.
struct WorkerTask {
    std::uint64_t attempt = 0;
    TaskStage stage = TaskStage::fetching;
    ExitReason exit_reason = ExitReason::none;
    // When the fetch of its image, its run or the saving of its progress is over.
    Time next_change = 0;
    // When it reached its stage; only set where gangs need it.
    Time stage_since = 0;
    // When its start command left the controller.
    Time sent_at = 0;
};

// A worker's machine, its faults and its tasks.
struct Worker {
    std::string name;
    InstanceType type;
    std::string zone;
    bool spot = false;
    // It has booted.
    bool up = false;
    bool dead = false;
    // All of its messages are lost, in both directions.
    bool cut = false;
    // Its heartbeats arrive; responses and direct commands do not.
    bool cut_inbound = false;
    // Its heartbeats reach no controller; direct commands arrive.
    bool cut_outbound = false;
    Time hung_until = 0;
    // When the cloud preempts it; 0 if no notice was given.
    Time preempted_at = 0;
    std::uint64_t agent_epoch = 1;
    std::uint64_t heartbeat_sequence = 0;
    std::uint64_t fencing_token = 0;
    // Start of its lease: when the last heartbeat that was answered had been sent.
    Time lease_renewed_at = 0;
    // Rate of its steady clock, relative to the simulation's clock.
    double clock_rate = 1;
    std::map<TaskId, WorkerTask> tasks;
};

// All machines of the cloud, by name.
using Workers = std::map<std::string, Worker>;

// Returns whether a task of this stage uses its machine.
inline bool on_machine(TaskStage stage) {
    return stage != TaskStage::exited && stage != TaskStage::fetching;
}

} // namespace scheduler::test
