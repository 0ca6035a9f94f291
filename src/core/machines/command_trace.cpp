#include "core/machines/command_trace.h"

#include <utility>

namespace scheduler {

namespace {
const char* name_of(CommandType type) {
    switch (type) {
    case CommandType::start: return "start";
    case CommandType::stop: return "stop";
    case CommandType::clear: return "clear";
    }
    return "unknown";
}

std::string describe(const SentCommand& sent) {
    return std::string("command=") + name_of(sent.command.type) + " task=" + sent.command.task.job +
           "/" + std::to_string(sent.command.task.index) +
           " attempt=" + std::to_string(sent.command.attempt) + " machine=" + sent.machine +
           " agent_epoch=" + std::to_string(sent.agent_epoch) +
           " token=" + std::to_string(sent.fencing_token) +
           " via=" + (sent.directly ? "direct" : "heartbeat") + " at=" + std::to_string(sent.at);
}
} // namespace

void CommandTrace::record(SentCommand sent) {
    if (entries_.size() < capacity_) {
        entries_.push_back(std::move(sent));
        return;
    }
    entries_[next_] = std::move(sent);
    next_ = (next_ + 1) % capacity_;
}

std::vector<std::string> CommandTrace::describe(const TaskId& task) const {
    std::vector<std::string> lines;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        const SentCommand& sent = entries_[(next_ + i) % entries_.size()];
        if (sent.command.task == task) {
            lines.push_back(scheduler::describe(sent));
        }
    }
    return lines;
}

} // namespace scheduler
