// Checks that a worker begins each attempt of a task only once.
#pragma once

#include <compare>
#include <cstdint>
#include <set>
#include <string>

#include "simulation/history_checker.h"

namespace scheduler::test {

// The message that carried a start command, told apart from all others.
struct CommandMessage {
    int controller = 0;
    int incarnation = 0;
    std::uint64_t id = 0;
    auto operator<=>(const CommandMessage&) const = default;
};

// Reports an attempt that begins a second time as broken, also if the task is on no other machine
// by then.
class AttemptChecker {
  public:
    explicit AttemptChecker(HistoryChecker& history_checker) : history_checker_(history_checker) {}

    // Called when a worker takes on a task that it does not hold. The tasks of a gang that replace
    // lost ones have the same attempt number, so there a message must not begin the task twice.
    void begun(const std::string& machine, const TaskId& task, std::uint64_t attempt,
               CommandMessage message);

  private:
    struct Begun {
        TaskId task;
        std::uint64_t attempt = 0;
        CommandMessage message; // gangs only
        auto operator<=>(const Begun&) const = default;
    };

    HistoryChecker& history_checker_;
    std::set<Begun> begun_;
};

} // namespace scheduler::test
