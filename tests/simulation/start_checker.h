// Checks the rules about machines that apply when a task starts on one.
#pragma once

#include <cstdint>
#include <map>

#include "simulation/history_checker.h"
#include "simulation/worker.h"

namespace scheduler::test {

// Counts the starts of tasks and reports the rules ran_twice and wrong_place as broken.
class StartChecker {
  public:
    explicit StartChecker(HistoryChecker& history_checker) : history_checker_(history_checker) {}

    // Called when the task has its image; it is on the machine `worker` from `now` on.
    void started(Time now, const Workers& workers, const Worker& worker, const TaskId& task);

    int starts(const TaskId& task) const;
    // Returns the number of starts of all tasks.
    int starts() const;

  private:
    // Returns how many tasks of the job are in the machine's zone now.
    std::size_t check_others(const Workers& workers, const Worker& worker, const TaskId& task);
    void check_place(const JobSpec& spec, const Worker& worker, std::size_t in_zone);

    HistoryChecker& history_checker_;
    std::map<TaskId, int> starts_;
};

} // namespace scheduler::test
