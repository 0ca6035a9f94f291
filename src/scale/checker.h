// Checks the rules against the history of a region: `test::HistoryChecker`
// (tests/simulation/history_checker.h, the same that the tests use) what users were told, `Checker`
// what ran where.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "scale/history.h"
#include "simulation/history_checker.h"

namespace scheduler::scale {

// Takes the events of a region in the order of their times.
class Checker {
  public:
    // What holds in the region.
    struct Settings {
        std::vector<TeamQuota> teams;
        InstanceType type;
        double cancel_s = 0; // until no task of a cancelled job may run
        // Seconds from the writing of a lower limit during which the one before may still be used.
        double lowering_grace_s = 0;
        // None: no such job can have been submitted.
        std::function<std::optional<JobSpec>(const std::string& id)> job;
    };
    explicit Checker(Settings settings);

    void on_event(const Event& event);
    // The history is over at this time: checks what runs then.
    void finish(Time now);
    // Broken rules, in words.
    const std::vector<std::string>& violations() const { return history_checker_.broken; }
    // The rules on what users were told.
    const test::HistoryChecker& history_checker() const { return history_checker_; }
    // Tasks on machines.
    std::size_t running() const { return placements_.size(); }

  private:
    // Where a task runs.
    struct Placement {
        std::string machine;
        std::string zone;
    };
    // A team's limit, in CPUs.
    struct Limit {
        double cpus_max = 0;
        double before = 0; // the highest before it, allowed until `until`
        Time until = 0;

        double allowed(Time now) const;
    };
    void response(const Event& event);
    void quota_written(const Event& event);
    void task_started(const Event& event);
    void task_stopped(const Event& event);
    void check_quota(Time now, const std::string& team, const std::string& when);
    void add_violation(const std::string& what) { history_checker_.broken.push_back(what); }

    Settings settings_;
    test::HistoryChecker history_checker_;
    std::map<TaskId, Placement> placements_;
    std::map<std::string, std::map<std::string, std::uint32_t>> zones_; // running tasks, by job
    std::map<std::string, double> used_;                                // CPUs, by team
    std::map<std::string, Limit> limits_;                               // by team
};

} // namespace scheduler::scale
