// Guarantees and limits of the teams, and what their tasks use: placed and doubtful ones alike.
#pragma once

#include "core/model/types.h"

namespace scheduler {

class QuotaLedger {
  public:
    // What a team's tasks that may be running somewhere use.
    struct UnreconciledUsage {
        double cpus = 0;
        double gpus = 0;
    };
    explicit QuotaLedger(const std::vector<TeamQuota>& facts);

    const TeamQuota* quota(const std::string& team) const;
    // Its guarantee and limit from now on. `held`: none is known, nothing of it fits.
    void configure(const TeamQuota& quota, bool held);
    // Of all teams, each in its own measure.
    double total_guarantee() const;
    // Whether the limits are known at all: nothing fits while they are not.
    void set_limits_known(bool known) { known_ = known; }
    // What is used beyond a limit; 0 or less: nothing.
    struct Excess {
        double cpus = 0;
        double gpus = 0;

        bool any() const { return cpus > 0 || gpus > 0; }
    };
    // What the team's known tasks use beyond its limit. Doubtful ones are left out: all unfinished
    // tasks of older jobs are in doubt after a failover, far more than ran.
    Excess excess(const std::string& team) const;
    std::vector<std::string> teams_over_limit() const;
    bool fits(const std::string& team, double cpus, double gpus) const;
    bool within_guarantee(const std::string& team, double cpus, double gpus) const;
    // What the team can count on, in its own measure: its guarantee, or what it has beyond that.
    double entitled_amount(const std::string& team) const;
    // Tasks that may be running somewhere count for the limit until they are accounted for.
    void set_unreconciled_usage(const std::map<std::string, UnreconciledUsage>& usage_by_team);
    void add_usage(const std::string& team, double cpus, double gpus);
    void remove_usage(const std::string& team, double cpus, double gpus);

  private:
    struct Team {
        TeamQuota quota;
        double cpus = 0;
        double gpus = 0;
        double unreconciled_cpus = 0;
        double unreconciled_gpus = 0;
        bool blocked = false;
    };
    std::map<std::string, Team> quotas_;
    bool known_ = true;
};

} // namespace scheduler
