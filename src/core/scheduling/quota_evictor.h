// Eviction of the tasks that exceed a team's quota after its limit was lowered.
//
// The tasks are stopped in order, those that lose the least work first. See "quota" in
// docs/configuration.md.
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

// Selects and stops the tasks that exceed the limits of the partition's teams. Tracks evictions in
// progress, so that no more tasks are stopped than the excess requires.
class QuotaEvictor {
  public:
    // Implemented by the partition leader.
    class Delegate {
      public:
        virtual ~Delegate() = default;
        // Stops all tasks of the gang's current attempt. With `may_save` they may save their state
        // first.
        virtual void end_attempt(Time now, const std::string& job, bool may_save) = 0;
        // Sends the commands that are queued for the machines.
        virtual void send_commands(Time now) = 0;
    };

    // `own_teams`: the teams whose usage is counted in this partition.
    QuotaEvictor(const Leadership& leadership, const ClusterSettings& settings,
                 const std::set<std::string>& own_teams, JobStore& jobs, MachineTable& machines,
                 const QuotaLedger& quotas, const GangTracker& gangs, SlotBorrower& borrower,
                 OutboundRequests& requests, Delegate& delegate);

    // Stops the tasks that exceed the limits of the partition's teams. Called on the timer and when
    // a limit changes.
    void evict_over_quota(Time now);

    // Marks the placements that exceed the team's current guarantee. Usage is summed in the order
    // of the machine table; the placements counted first are within the guarantee.
    void mark_over_guarantee(const std::string& team);

    // Number of machines examined so far, as a measure of work for tests.
    std::uint64_t effort() const { return effort_; }

  private:
    // What is lost by stopping a task, in increasing order.
    enum class Loss { saving_time, run_time, all_run_time };

    // A task that may be stopped, or all tasks of a gang.
    struct EvictionCandidate {
        TaskId task;                // for a gang, any of its tasks
        Machine* machine = nullptr; // null if the machine is another partition's
        std::uint64_t attempt = 0;
        bool is_gang = false;
        Loss loss = Loss::run_time;
        Time job_arrived_at = 0; // when its job became known
        double cpus = 0;
        double gpus = 0;
        double grace_s = 0; // how long the task may save its state

        bool operator<(const EvictionCandidate& other) const;
    };

    // An eviction in progress: the command to stop the task was queued.
    struct PendingEviction {
        Time retry_at = 0; // if the task is still placed then, it may be stopped again
        // A remote task is stopped directly if the lender has not acknowledged the command by then.
        Time direct_stop_at = 0;
        double grace_s = 0;
    };

    void remove_finished_evictions(Time now);
    void evict_team(Time now, const std::string& team);
    void evict(Time now, const EvictionCandidate& candidate);
    void stop_unreachable_directly(Time now);
    // Returns the usage beyond the team's limit that no eviction in progress frees.
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
