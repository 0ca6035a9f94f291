// The teams' quotas and what their tasks use. See docs/design.md, "quota": only the leader of a
// team's partition places its tasks, and counts each one until it is known to be gone.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/model/types.h"

namespace scheduler {

// Counts CPUs and GPUs of the placed tasks of each team, and of its doubtful ones: tasks that may
// be running somewhere until reconciliation shows whether they are.
class QuotaLedger {
  public:
    explicit QuotaLedger(const std::vector<TeamQuota>& quotas);

    // Null: unknown team.
    const TeamQuota* quota(const std::string& team) const;
    // The team's quota from now on. `blocked`: no valid one is known, so nothing of it fits.
    void configure(const TeamQuota& quota, bool blocked);
    // Sum of the guarantees of all teams, each as TeamQuota::amount.
    double total_guarantee() const;
    // Whether the quotas are known at all: nothing fits while they are not.
    void set_known(bool known) { known_ = known; }
    // CPUs and GPUs that the team's placed tasks use beyond its limit; 0: none. Doubtful ones are
    // left out: after a failover all unfinished tasks of older jobs are in doubt, far more than
    // ran.
    std::pair<double, double> excess(const std::string& team) const;
    // Teams that use more than their limit.
    std::vector<std::string> excess() const;
    // Whether the limit leaves room for so much more, doubtful tasks counted.
    bool fits(const std::string& team, double cpus, double gpus) const;
    // Whether the guarantee covers so much more, beside the placed tasks.
    bool within_guarantee(const std::string& team, double cpus, double gpus) const;
    // What the team can count on, as TeamQuota::amount: its guarantee, or its usage beyond that.
    double entitled_amount(const std::string& team) const;
    // CPUs and GPUs of each team's doubtful tasks, which count for the limit until they are
    // reconciled. Teams not named have none.
    void set_doubtful(const std::map<std::string, std::pair<double, double>>& cpus_and_gpus);
    // A task was placed; a placed task is gone.
    void add_usage(const std::string& team, double cpus, double gpus);
    void remove_usage(const std::string& team, double cpus, double gpus);

  private:
    struct Team {
        TeamQuota quota;
        double cpus = 0;
        double gpus = 0;
        double doubtful_cpus = 0;
        double doubtful_gpus = 0;
        bool blocked = false;
    };
    std::map<std::string, Team> quotas_;
    bool known_ = true;
};

} // namespace scheduler
