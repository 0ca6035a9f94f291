/// Eviction of a team's tasks beyond a quota limit that was lowered under them.
///
/// What is over the limit goes by orderly stops, those that lose least first. See "quota" in
/// docs/configuration.md.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/leadership/leadership.h"
#include "core/machines/machine_table.h"
#include "core/quotas/quota_ledger.h"
#include "core/scheduling/gang_tracker.h"
#include "core/stealing/slot_borrower.h"

namespace scheduler {

/// Chooses and stops the tasks that a partition's teams run beyond their limits, and remembers
/// those that are on their way out, so that no more are stopped than the excess needs.
class QuotaEvictor {
  public:
    /// What it needs of the partition leader.
    class Delegate {
      public:
        virtual ~Delegate() = default;
        /// Stops all tasks of the gang's running attempt. `may_save`: they may save first.
        virtual void end_attempt(Time now, const std::string& job, bool may_save) = 0;
        /// Sends the commands that are queued for the machines.
        virtual void send_commands(Time now) = 0;
    };

    /// `own_teams`: the teams whose usage is counted in this partition.
    QuotaEvictor(const Leadership& leadership, const ClusterSettings& settings,
                 const std::set<std::string>& own_teams, JobStore& jobs, MachineTable& machines,
                 const QuotaLedger& quotas, const GangTracker& gangs, SlotBorrower& borrower,
                 OutboundRequests& requests, Delegate& delegate);

    /// Stops what the partition's own teams run beyond their limits. To be called on the timer and
    /// when a limit changes.
    void evict_over_quota(Time now);

    /// Marks the placements that run beyond the team's guarantee as it is now: those that count
    /// first are within it.
    void mark_over_guarantee(const std::string& team);

    /// Machines looked at so far.
    std::uint64_t effort() const { return effort_; }

  private:
    /// What would be lost by stopping a task; the least first.
    enum class Loss { saving_time, run_time, all_run_time };

    /// What may be stopped: a task, or all of a gang.
    struct EvictionCandidate {
        TaskId task;                // of a gang: the one it was found by
        Machine* machine = nullptr; // none: another partition's
        std::uint64_t attempt = 0;
        bool is_gang = false;
        Loss loss = Loss::run_time;
        Time job_arrived_at = 0; // when its job became known
        double cpus = 0;
        double gpus = 0;
        double grace_s = 0; // time to save that it is given

        bool operator<(const EvictionCandidate& other) const;
    };

    /// A task that was told to stop.
    struct PendingEviction {
        Time retry_at = 0; // if it is still placed by then, it may be told again
        // A task on another partition's machine is stopped directly, if its leader has not taken
        // the command by then.
        Time direct_stop_at = 0;
        double grace_s = 0;
    };

    void remove_finished_evictions(Time now);
    void evict_team(Time now, const std::string& team);
    void evict(Time now, const EvictionCandidate& candidate);
    void stop_unreachable_directly(Time now);
    /// What the team uses beyond its limit and is not on its way out yet.
    QuotaLedger::Excess remaining_excess(const std::string& team) const;
    std::vector<EvictionCandidate> eviction_candidates(const std::string& team);
    void add_candidate(EvictionCandidate candidate, const std::string& team,
                       std::set<std::string>& gangs_seen,
                       std::vector<EvictionCandidate>& candidates) const;
    void set_costs(EvictionCandidate& candidate, const Job& job) const;

    const Leadership& leadership_;
    const ClusterSettings& settings_;
    const std::set<std::string>& own_teams_;
    JobStore& jobs_;
    MachineTable& machines_;
    const QuotaLedger& quotas_;
    const GangTracker& gangs_;
    SlotBorrower& borrower_;
    OutboundRequests& requests_;
    Delegate& delegate_;
    std::map<TaskId, PendingEviction> pending_evictions_;
    std::uint64_t effort_ = 0;
};

} // namespace scheduler
