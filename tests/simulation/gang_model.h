/// @file
/// How the tasks of a gang run: they find each other by their attempt, run and complete together,
/// and notice when one of them is gone.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "simulation/event_queue.h"
#include "simulation/history_checker.h"
#include "simulation/options.h"
#include "simulation/worker.h"

namespace scheduler::test {

class WorkerModel;

/// Follows the attempts of gangs over all machines.
class GangModel {
  public:
    GangModel(const SimulationOptions& options, const EventQueue& clock,
              const HistoryChecker& history_checker);

    /// A task of this attempt was told to save its progress and stop.
    void stop_seen(const std::string& job, std::uint64_t attempt);
    /// Lets all gangs go on until now. Returns the machines on which a task changed.
    std::set<std::string> step(WorkerModel& workers);

    /// Times that all tasks of the gang began to run together.
    int runs(const std::string& job) const;
    /// Times that all tasks of the gang saved in good order.
    int saves(const std::string& job) const;

  private:
    struct AttemptKey {
        std::string job;
        std::uint64_t attempt = 0;
        auto operator<=>(const AttemptKey&) const = default;
    };
    struct Run {
        bool ran = false;
        Time end = 0;
        /// 0: no task was told to stop.
        Time first_stop = 0;
        /// 0: no task is known to be gone.
        Time mate_lost = 0;
    };
    struct Member {
        const Worker* worker = nullptr;
        TaskId task;
        const WorkerTask& state() const { return worker->tasks.at(task); }
    };
    using Members = std::vector<Member>;

    std::map<AttemptKey, Members> members_by_attempt(const Workers& workers) const;
    void advance(const AttemptKey& key, const Members& members);
    void assemble(const AttemptKey& key, Run& run, const Members& members, bool whole);
    void notice_loss(Run& run, const Members& members);
    bool all_saved(const Members& members) const;
    void leave(const Member& member, ExitReason why);

    const SimulationOptions& options_;
    const EventQueue& clock_;
    const HistoryChecker& history_checker_;
    std::map<AttemptKey, Run> runs_;
    std::map<std::string, int> run_counts_;
    std::map<std::string, int> save_counts_;
    /// Of the step under way.
    WorkerModel* workers_ = nullptr;
    std::set<std::string> changed_;
};

} // namespace scheduler::test
