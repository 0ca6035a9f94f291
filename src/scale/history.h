// The history of a run: the events that workers and users observed, one per line. Written by their
// processes and read by the checker.
#pragma once

#include <cstdio>
#include <string>
#include <vector>

#include "core/model/types.h"

namespace scheduler::scale {

// One observed event. The kind decides which fields are set.
struct Event {
    enum class Kind {
        task_started,     // a task has its image and runs on the machine from now on
        task_stopped,     // it stopped running without having completed
        task_completed,   // it stopped running and has completed
        submit,           // a user's request, numbered `request`
        poll,             // as submit
        cancel,           // as submit
        response,         // the response to the request numbered `request`
        quota_written,    // a team's limit was set to `amount`, at the revision `request`
        quota_applied,    // a controller reported that it applies all changes up to the revision
                          // `request`
        attempt_repeated, // a worker takes on an attempt of a task, numbered `request`, a second
                          // time
    };
    Kind kind = Kind::task_started;
    Time time = 0; // as returned by now()
    std::string machine;
    std::string zone;
    bool spot = false;
    TaskId task;
    std::uint64_t request = 0;
    int status = 0;
    std::string stage; // the stage in a response; for quota_written, the team
    double amount = 0;
};

// Writes events to a file, one per line. Used by one process.
class HistoryWriter {
  public:
    // Throws ScaleTestError if the file cannot be opened.
    explicit HistoryWriter(const std::string& file);
    ~HistoryWriter();
    HistoryWriter(const HistoryWriter&) = delete;
    HistoryWriter& operator=(const HistoryWriter&) = delete;
    void write(const Event& event);

  private:
    std::FILE* file_;
};

// Returns the events in the order of the file. Throws ScaleTestError if it cannot be read.
std::vector<Event> read_history(const std::string& file);

} // namespace scheduler::scale
