/// @file
/// The rules about machines that hold when a task comes to run on one.
#pragma once

#include <cstdint>
#include <map>

#include "simulation/history_checker.h"
#include "simulation/worker.h"

namespace scheduler::test {

/// Counts the starts of tasks and notes the rules ran_twice and wrong_place as broken.
class StartChecker {
  public:
    explicit StartChecker(HistoryChecker& history_checker) : history_checker_(history_checker) {}

    /// The task has its image, and is on the machine `worker` from `now` on.
    void started(Time now, const Workers& workers, const Worker& worker, const TaskId& task);

    int starts(const TaskId& task) const;
    /// Of all tasks.
    int starts() const;

  private:
    /// Returns how many tasks of the job the machine's zone holds now.
    std::size_t check_others(const Workers& workers, const Worker& worker, const TaskId& task);
    void check_place(const JobSpec& spec, const Worker& worker, std::size_t in_zone);

    HistoryChecker& history_checker_;
    std::map<TaskId, int> starts_;
};

} // namespace scheduler::test
