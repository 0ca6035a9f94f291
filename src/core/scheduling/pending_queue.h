// The pending work of a partition, in the order in which it gets idle slots: the partition's own
// jobs and the slot requests of other partitions' leaders. The order is: what keeps a job class or
// a team from starving, priority, work within the team's guarantee, the bottleneck team, due time,
// arrival.
#pragma once

#include <functional>
#include <set>

#include "core/jobs/job_store.h"
#include "core/messaging/messages.h"
#include "core/quotas/quota_ledger.h"

namespace scheduler {

// A pending job of this partition, or a slot request of another one.
struct PendingJob {
    bool starving = false; // its class or team starves: see PendingQueue::is_starving
    Priority priority = Priority::normal;
    bool over_guarantee = false;
    bool bottleneck_team = false; // see PendingQueue::is_bottleneck
    Time due = 0;
    Time arrived_at = 0;
    Job* job = nullptr;                  // of this partition, or null
    SlotRequest* slot_request = nullptr; // of another partition, or null
    int borrower = 0;                    // that partition
    JobKind kind = JobKind::array;
    bool spot = false;            // may use spot machines
    bool first_task_only = false; // one of its tasks has this place, no more

    // Has that one task been placed since?
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
    // Does the job have tasks to be placed now?
    using IsSchedulable = std::function<bool(Time, const Job&)>;
    using PeerRequests = std::function<std::vector<PeerSlotRequests>()>;
    PendingQueue(const ClusterSettings& settings, const SchedulingPolicy& policy, JobStore& jobs,
                 const QuotaLedger& quotas, IsSchedulable is_schedulable,
                 PeerRequests peer_requests);

    // The pending work in order. The result is cached for a moment, since it hardly changes from
    // one heartbeat to the next. Updates the due times of jobs when it is computed.
    const std::vector<PendingJob>& ordered(Time now);
    // The order is to be computed again at the next call.
    void invalidate() { stale_ = true; }
    // Drops all pointers: jobs or requests are about to be removed.
    void clear();

    // Updates the bottleneck teams, and the classes and teams that starve. `slots`: of all machines
    // of the cluster; `remaining_slot_s`: the run time left of all its work, in slot seconds.
    void update_load(Time now, double slots, double remaining_slot_s);
    // Does the team's own work take longer than all work of the cluster together?
    bool is_bottleneck(const std::string& team) const { return bottleneck_teams_.contains(team); }
    // Is the job's class or team to get a minimum of the slots, as its jobs are left behind?
    bool is_starving(const JobSpec& spec) const {
        return starving_classes_.contains(spec.job_class) || starving_teams_.contains(spec.team);
    }
    // The priority of a pending job. `begins`: only its first task is wanted, which comes before
    // the tasks of others.
    static Priority effective_priority(const Job& job, bool first_task_only) {
        return first_task_only ? Priority::production : job.spec.priority;
    }
    // Counts the jobs of the class and the team that arrived, and those that are done.
    void on_job_arrived(const JobSpec& spec);
    void on_job_done(const JobSpec& spec);

    // The estimated run time left of all tasks of the job, in seconds.
    static double remaining_s(const Job& job);

  private:
    static constexpr double kNoObjectiveDueS = 1e6;

    // Jobs of a class or team since this leadership began.
    struct JobCounts {
        std::uint64_t seen = 0;
        std::uint64_t done = 0;
        bool is_half_done() const { return 2 * done >= seen; }
    };
    // How much a class or team runs, in its teams' own measures.
    struct Usage {
        double running = 0;
        bool has_overdue_job = false; // it has a pending job that is left behind
    };
    using UsageByName = std::map<std::string, Usage>;
    using JobsByTeam = std::map<std::string, std::vector<Job*>>;
    Time due(Time now, const Job& job) const;
    double min_run_time_s(const Job& job) const;
    // The due time of a job that cannot meet any objective.
    static Time due_without_objective(const Job& job) { return job.first_seen + kNoObjectiveDueS; }
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
    std::set<std::string> bottleneck_teams_; // see is_bottleneck
    std::set<std::string> starving_classes_;
    std::set<std::string> starving_teams_;
    std::map<std::string, JobCounts> class_counts_;
    std::map<std::string, JobCounts> team_counts_;
    std::size_t partitions_with_teams_ = 1;
};

} // namespace scheduler
