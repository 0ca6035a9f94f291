// Guarantees and limits of the teams, and the resources that their tasks use.
#pragma once

#include "core/model/types.h"

namespace scheduler {

// Tracks the usage of each team by placed tasks and by unreconciled tasks, which may be running,
// and checks it against the quotas.
class QuotaLedger {
  public:
    // The resources that a team's unreconciled tasks use if they are running.
    struct UnreconciledUsage {
        double cpus = 0;
        double gpus = 0;
    };
    explicit QuotaLedger(const std::vector<TeamQuota>& quotas);

    // Returns null if there is no such team.
    const TeamQuota* quota(const std::string& team) const;
    // Sets the quota of a team. `blocked`: no valid quota is known, so no task of the team fits.
    void configure(const TeamQuota& quota, bool blocked);
    // Returns the sum of all guarantees, each in the resource of TeamQuota::amount.
    double total_guarantee() const;
    // Sets whether the limits are known. While they are not, no task fits.
    void set_limits_known(bool known) { known_ = known; }
    // Usage beyond a team's limit; 0 if the limit is kept.
    struct Excess {
        double cpus = 0;
        double gpus = 0;

        bool any() const { return cpus > 0 || gpus > 0; }
    };
    // Returns what the team's placed tasks use beyond its limit. Unreconciled tasks are not
    // counted: after a failover, these are all unfinished tasks of older jobs, far more than were
    // running.
    Excess excess(const std::string& team) const;
    std::vector<std::string> teams_over_limit() const;
    // Returns whether the team may use this much more without exceeding its limit. Counts
    // unreconciled tasks as running.
    bool fits(const std::string& team, double cpus, double gpus) const;
    // Returns whether the team's placed tasks with this much more are within its guarantee.
    bool within_guarantee(const std::string& team, double cpus, double gpus) const;
    // Returns the larger of the team's guarantee and its usage, in the resource of
    // TeamQuota::amount.
    double entitled_amount(const std::string& team) const;
    // Sets the usage of unreconciled tasks, which counts toward the limit, for all teams.
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
