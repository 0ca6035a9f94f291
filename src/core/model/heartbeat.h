// Heartbeats and commands, which a worker's agent and the leader of its machine exchange.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/model/task.h"

namespace scheduler {

// The state of a machine and its tasks. The agent on each machine sends one per heartbeat interval,
// and one in response to direct commands.
struct Heartbeat {
    std::string machine;
    std::string endpoint; // address that takes direct commands
    std::string type;     // instance type
    std::string zone;
    bool spot = false;
    std::uint64_t agent_epoch = 0;   // incarnation of the agent; increases with each restart
    std::uint64_t sequence = 0;      // number of the heartbeat within the agent epoch
    std::uint64_t fencing_token = 0; // the highest token the agent has accepted
    std::optional<double> preemption_notice_s; // seconds until the cloud takes the machine back
    std::vector<TaskStatus> tasks; // all tasks on the machine; exited ones until they are cleared
};

// `clear` makes the worker forget a task that has exited.
enum class CommandType { start, stop, clear };

// A command to a worker about one attempt of a task. Sent in the response to its heartbeat, or
// directly in WorkerCommands.
struct WorkerCommand {
    CommandType type = CommandType::start;
    TaskId task;
    std::uint64_t attempt = 0;
    double grace_s = 0; // stop: seconds to save the task's state before it is killed
};

} // namespace scheduler
