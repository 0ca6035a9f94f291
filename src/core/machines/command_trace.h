// The latest commands that a partition leader sent to workers, kept in memory to explain a task
// that a worker reports although its leader did not expect it there.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/model/heartbeat.h"
#include "core/model/time.h"

namespace scheduler {

// A command as it was sent.
struct SentCommand {
    Time at = 0;
    std::string machine;
    std::uint64_t agent_epoch = 0;
    std::uint64_t fencing_token = 0;
    bool directly = false; // otherwise in a heartbeat response
    WorkerCommand command;
};

// A ring with a fixed number of entries; the oldest are overwritten. Not thread-safe.
class CommandTrace {
  public:
    explicit CommandTrace(std::size_t capacity) : capacity_(capacity) {}

    void record(SentCommand sent);
    // Returns log lines, without `event=`, for the commands about the task, oldest first.
    std::vector<std::string> describe(const TaskId& task) const;

  private:
    std::size_t capacity_;
    std::size_t next_ = 0; // the entry that is overwritten next
    std::vector<SentCommand> entries_;
};

} // namespace scheduler
