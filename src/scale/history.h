// What workers and users saw, a line an event, written by their processes and read by the judge.
#pragma once

#include <cstdio>
#include <string>
#include <vector>

#include "core/model/types.h"

namespace scheduler::scale {

struct Event {
    enum class Kind {
        came,     // a task has its image: it is on the machine from now on
        went,     // it is not any more
        done,     // nor is it any more, and it has completed
        submit,   // a user's request, with its number
        poll,     //
        cancel,   //
        answered, // to the request of that number
        limit,    // a team's limit was written, `amount`, at the revision `request`
        in_force, // a controller says that it has all up to that revision in force
    };
    Kind kind = Kind::came;
    Time time = 0;
    std::string machine;
    std::string zone;
    bool spot = false;
    TaskId task;
    std::uint64_t request = 0;
    int status = 0;
    std::string stage; // answered; limit, in_force: the team
    double amount = 0;
};

class HistoryWriter {
  public:
    // Throws CannotPlay.
    explicit HistoryWriter(const std::string& file);
    ~HistoryWriter();
    HistoryWriter(const HistoryWriter&) = delete;
    HistoryWriter& operator=(const HistoryWriter&) = delete;
    void write(const Event& event);

  private:
    std::FILE* file_;
};

// Throws CannotPlay.
std::vector<Event> read_history(const std::string& file);

} // namespace scheduler::scale
