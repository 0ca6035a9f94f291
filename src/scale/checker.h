// Judges a run by the rules, from what workers and users saw: `Judge` (tests/judge.h, the same that
// the tests have) what users were told, this what ran where.
#pragma once

#include <functional>
#include <map>
#include <set>

#include "judge.h"
#include "scale/history.h"

namespace scheduler::scale {

class Checker {
  public:
    struct Setting {
        std::vector<TeamQuota> teams;
        InstanceType type;
        double cancel_s = 0;
        // Seconds from the writing of a lower limit during which the one before may still be used.
        double lowering_s = 0;
        std::function<std::optional<JobSpec>(const std::string& id)> job;
    };
    explicit Checker(Setting setting);

    // In the order of their times.
    void take(const Event& event);
    // The history is over.
    void end(Time now);
    const std::vector<std::string>& broken() const { return judge_.broken; }
    const test::Judge& judge() const { return judge_; }
    // Tasks on machines.
    std::size_t running() const { return there_.size(); }

  private:
    struct Place {
        std::string machine;
        std::string zone;
    };
    struct Limit {
        double cpus_max = 0;
        double before = 0; // still allowed ...
        Time until = 0;    // ... until then
    };
    void came(const Event& event);
    void went(const Event& event);
    void judge_quota(Time now, const std::string& team, const std::string& when);
    void break_rule(const std::string& what) { judge_.broken.push_back(what); }

    Setting setting_;
    test::Judge judge_;
    std::map<TaskId, Place> there_;
    std::map<std::string, std::map<std::string, std::uint32_t>> zones_; // of a job's tasks
    std::map<std::string, double> used_;                                // CPUs, by team
    std::map<std::string, Limit> limits_;                               // that were written
};

} // namespace scheduler::scale
