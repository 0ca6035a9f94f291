// Orders the pending work of a partition for idle slots: the partition's own jobs and the slot
// requests of other partitions' leaders. The sort keys are, in this order: starving (class, team or
// first task), priority, within the team's guarantee, bottleneck team, due time, arrival time.
#pragma once

#include <functional>
#include <set>

#include "core/jobs/job_store.h"
#include "core/messaging/messages.h"
#include "core/quotas/quota_ledger.h"

namespace scheduler {

// A pending job of this partition or a slot request of another partition. Exactly one of `job` and
// `slot_request` is set.
struct PendingJob {
    bool starving = false; // see PendingQueue::is_starving; also set with first_task_only
    Priority priority = Priority::normal;
    bool over_guarantee = false;
    bool bottleneck_team = false; // see PendingQueue::is_bottleneck
    Time due = 0;
    Time arrived_at = 0;
    Job* job = nullptr;
    SlotRequest* slot_request = nullptr;
    int borrower = 0; // the partition that sent the slot request
    JobKind kind = JobKind::array;
    bool spot = false;            // may use spot machines
    bool first_task_only = false; // only the job's first task has this rank

    // Returns whether the entry is for a first task that has been placed since it was queued.
    bool first_task_placed() const { return first_task_only && !job->awaits_first_task; }
    const std::string& image() const {
        return slot_request ? slot_request->image : job->spec.image;
    }
    double image_gb() const { return slot_request ? slot_request->image_gb : job->spec.image_gb; }
    bool same_rank(const PendingJob& other) const {
        return starving == other.starving && priority == other.priority &&
               over_guarantee == other.over_guarantee && bottleneck_team == other.bottleneck_team;
    }
};

// The latest slot requests of another partition's leader.
struct PeerSlotRequests {
    int partition = 0;
    Time received_at = 0;
    std::vector<SlotRequest>* requests = nullptr;
};

// Called only from the controller's event loop.
class PendingQueue {
  public:
    // Returns whether the job has tasks that may be placed now.
    using IsSchedulable = std::function<bool(Time, const Job&)>;
    using PeerRequests = std::function<std::vector<PeerSlotRequests>()>;
    PendingQueue(const ClusterSettings& settings, const SchedulingPolicy& policy, JobStore& jobs,
                 const QuotaLedger& quotas, IsSchedulable is_schedulable,
                 PeerRequests peer_requests);

    // Returns the pending work in order. The order is cached for one peer sync interval, because it
    // hardly changes between heartbeats. Computing it updates the due times of the jobs.
    const std::vector<PendingJob>& ordered(Time now);
    // Makes the next call of `ordered` compute the order again.
    void invalidate() { stale_ = true; }
    // Removes all entries, which point to jobs and slot requests. Called before any of those are
    // removed.
    void clear();

    // Updates the bottleneck teams and the starving classes and teams. `slots`: the slots of all
    // machines of the cluster. `remaining_slot_s`: the estimated run time left of all work of the
    // cluster, in slot seconds.
    void update_load(Time now, double slots, double remaining_slot_s);
    // Returns whether the team's work takes longer at the team's limit than all work of the cluster
    // takes on all machines.
    bool is_bottleneck(const std::string& team) const { return bottleneck_teams_.contains(team); }
    // Returns whether the job's class or team has overdue jobs, less than half of its jobs done and
    // less than its fair share of the slots. Its jobs are ordered first until that changes.
    bool is_starving(const JobSpec& spec) const {
        return starving_classes_.contains(spec.job_class) || starving_teams_.contains(spec.team);
    }
    // Returns the priority under which a pending job is ordered. With `first_task_only` it is the
    // highest priority, because a single task delays other jobs very little.
    static Priority effective_priority(const Job& job, bool first_task_only) {
        return first_task_only ? Priority::production : job.spec.priority;
    }
    // Update the numbers of arrived and completed jobs of the job's class and team.
    void on_job_arrived(const JobSpec& spec);
    void on_job_done(const JobSpec& spec);

    // Returns the estimated run time left of all tasks of the job, in seconds. Services run
    // indefinitely and count as 0.
    static double remaining_s(const Job& job);

  private:
    static constexpr double kNoObjectiveDelayS = 1e6;

    // The jobs of a class or team that were counted since this leadership term began.
    struct JobCounts {
        std::uint64_t arrived = 0;
        std::uint64_t done = 0;
        bool is_half_done() const { return 2 * done >= arrived; }
    };
    // What the placed tasks of a class or team use.
    struct Usage {
        double used_amount = 0;       // in the resources of TeamQuota::amount
        bool has_overdue_job = false; // at least one pending job is overdue: see is_overdue
    };
    using UsageByName = std::map<std::string, Usage>;
    using JobsByTeam = std::map<std::string, std::vector<Job*>>;
    Time due(Time now, const Job& job) const;
    double min_run_time_s(const Job& job) const;
    // Returns the due time of a job that cannot meet any objective: late enough for it to be
    // ordered after the jobs that can.
    static Time due_without_objective(const Job& job) {
        return job.first_seen + kNoObjectiveDelayS;
    }
    void update_due_times(Time now);
    JobsByTeam assign_due_times(Time now);
    void postpone_infeasible(Time now, const std::string& team, std::vector<Job*>& jobs);
    void append_jobs(Time now);
    void append_peer_requests(Time now);
    void find_bottleneck_teams(double slots, double remaining_slot_s);
    void find_starving(Time now, double slots);
    void find_starving_classes(const UsageByName& usages, double slots);
    void find_starving_teams(const UsageByName& usages, double slots);
    bool is_overdue(Time now, const Job& job) const;

    const ClusterSettings& settings_;
    const SchedulingPolicy& policy_;
    JobStore& jobs_;
    const QuotaLedger& quotas_;
    IsSchedulable is_schedulable_;
    PeerRequests peer_requests_;
    std::vector<PendingJob> queue_;
    bool stale_ = true;
    Time valid_until_ = 0;
    std::set<std::string> bottleneck_teams_;
    std::set<std::string> starving_classes_;
    std::set<std::string> starving_teams_;
    std::map<std::string, JobCounts> class_counts_;
    std::map<std::string, JobCounts> team_counts_;
    std::size_t partitions_with_teams_ = 1;
};

} // namespace scheduler
