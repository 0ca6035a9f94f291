// Runs the tasks of gangs: those of the same attempt start and complete together, and stop when one
// of them is gone.
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

// Tracks the attempts of gangs over all machines.
class GangModel {
  public:
    GangModel(const SimulationOptions& options, const EventQueue& clock,
              const HistoryChecker& history_checker);

    // Called when a task of this attempt is told to save its progress and stop.
    void stop_received(const std::string& job, std::uint64_t attempt);
    // Advances all gangs to the current time. Returns the machines on which a task changed.
    std::set<std::string> step(WorkerModel& workers);

    // Returns how often all tasks of the gang started to run together.
    int runs(const std::string& job) const;
    // Returns how often all tasks of the gang saved their progress after a stop.
    int saves(const std::string& job) const;

  private:
    struct AttemptKey {
        std::string job;
        std::uint64_t attempt = 0;
        auto operator<=>(const AttemptKey&) const = default;
    };
    struct Attempt {
        bool ran = false;
        Time end = 0;
        // When the first task was told to stop; 0 if none was.
        Time first_stop_at = 0;
        // When a task was first found missing; 0 if none was.
        Time member_lost_at = 0;
    };
    struct Member {
        const Worker* worker = nullptr;
        TaskId task;
        const WorkerTask& state() const { return worker->tasks.at(task); }
    };
    using Members = std::vector<Member>;

    std::map<AttemptKey, Members> members_by_attempt(const Workers& workers) const;
    void advance(const AttemptKey& key, const Members& members);
    void assemble(const AttemptKey& key, Attempt& attempt, const Members& members, bool complete);
    void detect_lost_member(Attempt& attempt, const Members& members);
    bool all_saved(const Members& members) const;
    void exit_member(const Member& member, ExitReason exit_reason);

    const SimulationOptions& options_;
    const EventQueue& clock_;
    const HistoryChecker& history_checker_;
    std::map<AttemptKey, Attempt> attempts_;
    std::map<std::string, int> run_counts_;
    std::map<std::string, int> save_counts_;
    // Set only during step().
    WorkerModel* workers_ = nullptr;
    std::set<std::string> changed_;
};

} // namespace scheduler::test
