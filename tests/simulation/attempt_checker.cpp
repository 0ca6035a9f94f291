#include "simulation/attempt_checker.h"

namespace scheduler::test {

void AttemptChecker::begun(const std::string& machine, const TaskId& task, std::uint64_t attempt,
                           CommandMessage message) {
    bool is_gang = history_checker_.spec(task.job).kind == JobKind::gang;
    bool is_new = begun_.insert({task, attempt, is_gang ? message : CommandMessage{}}).second;
    if (!is_new) {
        history_checker_.broken.push_back("began_twice " + task.job + "/" +
                                          std::to_string(task.index) + " attempt " +
                                          std::to_string(attempt) + " on " + machine);
    }
}

} // namespace scheduler::test
