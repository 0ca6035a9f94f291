/// @file
/// What a simulated worker consists of.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/model/types.h"

namespace scheduler::test {

/// A task that a worker holds.
struct WorkerTask {
    std::uint64_t attempt = 0;
    TaskStage stage = TaskStage::fetching;
    ExitReason why = ExitReason::none;
    /// When its image is there, its run over, or its progress saved.
    Time next = 0;
    /// When it came to its stage, as far as gangs need it.
    Time since = 0;
    /// When its start left the controller.
    Time left = 0;
};

/// A worker's machine, its faults and its tasks.
struct Worker {
    std::string name;
    std::string zone;
    bool spot = false;
    /// It has booted.
    bool up = false;
    bool dead = false;
    /// No message comes or goes.
    bool cut = false;
    /// Its reports arrive, answers and direct commands do not.
    bool deaf = false;
    /// It reaches no controller, direct commands arrive.
    bool cut_outbound = false;
    Time hung_until = 0;
    /// When the cloud takes it; 0: it has not said so.
    Time taken = 0;
    std::uint64_t session = 1;
    std::uint64_t tick = 0;
    std::uint64_t token = 0;
    /// Its lease: the report answered last was sent then.
    Time renewed = 0;
    /// Of its steady clock.
    double rate = 1;
    std::map<TaskId, WorkerTask> tasks;
};

/// All machines of the cloud, by name.
using Workers = std::map<std::string, Worker>;

/// Whether a task of this stage uses its machine.
inline bool on_machine(TaskStage stage) {
    return stage != TaskStage::exited && stage != TaskStage::fetching;
}

} // namespace scheduler::test
