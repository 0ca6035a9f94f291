// What workers and users saw, a line an event, to_field by their processes and read by the checker.
#pragma once

#include <cstdio>
#include <string>
#include <vector>

#include "core/model/types.h"

namespace scheduler::scale {

// What was seen at one moment. Which fields are set depends on the kind.
struct Event {
    enum class Kind {
        task_started,   // a task has its image: it is on the machine from now on
        task_stopped,   // it is not any more, without having completed
        task_completed, // it is not any more and has completed
        submit,         // a user's request, with its number
        poll,           // as submit
        cancel,         // as submit
        response,       // to the request of that number
        quota_written,  // a team's limit was to_field, `amount`, at the revision `request`
        quota_applied,  // a controller says that it applies all changes up to that revision
    };
    Kind kind = Kind::task_started;
    Time time = 0; // as now() gives it
    std::string machine;
    std::string zone;
    bool spot = false;
    TaskId task;
    std::uint64_t request = 0;
    int status = 0;
    std::string stage; // of a response; quota_written: the team
    double amount = 0;
};

// Appends events to a file, a line each. Used by one process.
class HistoryWriter {
  public:
    // Throws ScaleTestError.
    explicit HistoryWriter(const std::string& file);
    ~HistoryWriter();
    HistoryWriter(const HistoryWriter&) = delete;
    HistoryWriter& operator=(const HistoryWriter&) = delete;
    void write(const Event& event);

  private:
    std::FILE* file_;
};

// In the order of the file. Throws ScaleTestError if it cannot be read.
std::vector<Event> read_history(const std::string& file);

} // namespace scheduler::scale
