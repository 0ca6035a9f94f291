// Checks the history of a region against the scheduler's rules. `test::HistoryChecker`
// (tests/simulation/history_checker.h, shared with the tests) checks the responses to users;
// `Checker` checks which tasks ran on which machines.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "scale/history.h"
#include "simulation/history_checker.h"

namespace scheduler::scale {

// Consumes the events of one region in order of time.
class Checker {
  public:
    // The configuration of the region.
    struct Settings {
        std::vector<TeamQuota> teams;
        InstanceType type;
        double cancel_s = 0; // after this long no task of a cancelled job may run
        // Seconds after a lower limit was written during which the previous limit may still be
        // used.
        double lowering_grace_s = 0;
        // Returns the job with this id, or nothing if no such job can have been submitted.
        std::function<std::optional<JobSpec>(const std::string& id)> job;
    };
    explicit Checker(Settings settings);

    void on_event(const Event& event);
    // Ends the history at this time and checks the tasks that still run.
    void finish(Time now);
    // Descriptions of the violations, each beginning with the name of the rule.
    const std::vector<std::string>& violations() const { return history_checker_.broken; }
    // The checker of the responses to users.
    const test::HistoryChecker& history_checker() const { return history_checker_; }
    // The number of tasks that are running.
    std::size_t running() const { return placements_.size(); }

  private:
    // The machine on which a task runs.
    struct Placement {
        std::string machine;
        std::string zone;
    };
    // A team's limit, in CPUs.
    struct Limit {
        double cpus_max = 0;
        double before = 0; // the highest earlier limit, still allowed until `until`
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
