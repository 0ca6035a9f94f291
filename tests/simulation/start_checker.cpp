#include "simulation/start_checker.h"

namespace scheduler::test {

void StartChecker::started(Time now, const Workers& workers, const Worker& worker,
                           const TaskId& task) {
    ++starts_[task];
    history_checker_.started(now, task, worker.tasks.at(task).sent_at);
    std::size_t in_zone = check_others(workers, worker, task);
    check_place(history_checker_.spec(task.job), worker, in_zone);
}

std::size_t StartChecker::check_others(const Workers& workers, const Worker& worker,
                                       const TaskId& task) {
    const JobSpec& spec = history_checker_.spec(task.job);
    std::size_t in_zone = 1;
    for (const auto& [name, other] : workers) {
        if (other.dead) {
            continue;
        }
        for (const auto& [held, state] : other.tasks) {
            bool itself = &other == &worker && held == task;
            if (held.job != task.job || !on_machine(state.stage) || itself) {
                continue;
            }
            in_zone += other.zone == worker.zone;
            if (held == task) {
                history_checker_.broken.push_back("ran_twice " + task.job + "/" +
                                                  std::to_string(task.index) + " on " +
                                                  worker.name + " and " + name);
            }
            if (spec.one_zone && other.zone != worker.zone) {
                history_checker_.broken.push_back("wrong_place one_zone " + task.job);
            }
        }
    }
    return in_zone;
}

void StartChecker::check_place(const JobSpec& spec, const Worker& worker, std::size_t in_zone) {
    if (spec.spread && in_zone > (spec.tasks + 1) / 2) {
        history_checker_.broken.push_back("wrong_place spread " + spec.id);
    }
    if ((worker.spot && !spec.spot) || (spec.zone && *spec.zone != worker.zone)) {
        history_checker_.broken.push_back("wrong_place " + spec.id);
    }
}

int StartChecker::starts(const TaskId& task) const {
    auto found = starts_.find(task);
    return found == starts_.end() ? 0 : found->second;
}

int StartChecker::starts() const {
    int sum = 0;
    for (const auto& [task, count] : starts_) {
        sum += count;
    }
    return sum;
}

} // namespace scheduler::test
