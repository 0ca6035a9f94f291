// What a worker's agent and the leader of its machine exchange: heartbeats and commands.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/model/task.h"

namespace scheduler {

// Sent by the agent on every machine once a heartbeat interval, and as the response to direct
// commands.
struct Heartbeat {
    std::string machine;
    std::string endpoint; // address that takes direct commands
    std::string type;     // instance type
    std::string zone;
    bool spot = false;
    std::uint64_t agent_epoch = 0;   // the incarnation of the agent; later ones are higher
    std::uint64_t sequence = 0;      // counts the heartbeats of one agent epoch
    std::uint64_t fencing_token = 0; // the highest token that the agent has accepted
    std::optional<double> preemption_notice_s; // seconds until the cloud takes the machine back
    std::vector<TaskStatus> tasks; // all tasks on the machine, exited ones until cleared
};

// `clear` lets the worker forget a task that has exited.
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
