// What waits, in the order in which idle slots go to it: our own jobs, and the slots that the
// owners of other parts want for theirs. The order is: what keeps a class or a team from starving,
// priority, guarantee before borrowing, the team whose work takes longest, due time, arrival.
#pragma once

#include <functional>
#include <set>

#include "core/jobs/job_store.h"
#include "core/model/messages.h"
#include "core/quotas/quota_ledger.h"

namespace scheduler {

// A job of ours that waits, or slots wanted by another part.
struct PendingJob {
    bool starving = false; // its class or team is to keep a share: see WaitingOrder::kept
    Priority priority = Priority::normal;
    bool over_guarantee = false;
    bool bottleneck_team = false; // its team's work takes longest
    Time due = 0;
    Time since = 0;
    Job* job = nullptr;                  // ours ...
    SlotRequest* slot_request = nullptr; // ... or a peer's,
    int borrower = 0;                    // the owner of this part
    JobKind kind = JobKind::array;
    bool spot = false;            // may use spot machines
    bool first_task_only = false; // it stands here for one task only

    // Its one task has been placed since.
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

// What the owner of another part asked for of late.
struct PeerSlotRequests {
    int partition = 0;
    Time at = 0;
    std::vector<SlotRequest>* requests = nullptr;
};

class PendingQueue {
  public:
    // Has the job tasks to be placed now?
    using IsSchedulable = std::function<bool(Time, const Job&)>;
    using PeerRequests = std::function<std::vector<PeerSlotRequests>()>;
    PendingQueue(const ClusterSettings& settings, const SchedulingPolicy& policy, JobStore& jobs,
                 const QuotaLedger& quotas, IsSchedulable waits, PeerRequests wanted);

    // Kept for a moment, since it hardly changes from one report to the next.
    const std::vector<PendingJob>& ordered(Time now);
    // It is to be made anew at the next call.
    void invalidate() { stale_ = true; }
    // Jobs or wants that it points to are about to go.
    void clear();

    // How much there is to do by now: `slots` of all machines, `left_slot_s` of all parts' work.
    // Finds the teams whose work takes longest, and the classes and teams that are to keep a share.
    void update_load(Time now, double slots, double left_slot_s);
    bool is_bottleneck(const std::string& team) const { return bottleneck_teams_.contains(team); }
    bool is_starving(const JobSpec& spec) const {
        return starving_classes_.contains(spec.job_class) || starving_teams_.contains(spec.team);
    }
    // Among those that wait, its first task comes before all others.
    static Priority rank(const Job& job, bool begins) {
        return begins ? Priority::production : job.spec.priority;
    }
    void on_job_arrived(const JobSpec& spec);
    void on_job_done(const JobSpec& spec);

    // Run time left of the job's tasks, by the estimate.
    static double remaining_s(const Job& job);

  private:
    struct Served { // jobs of a class or team, since this owner began
        std::uint64_t seen = 0;
        std::uint64_t done = 0;
        bool half() const { return 2 * done >= seen; }
    };
    Time due(Time now, const Job& job) const;
    static Time latest_due(const Job& job) { return job.first_seen + 1e6; }
    void rebuild(Time now);
    void find_bottleneck_teams(double slots, double left_slot_s);
    void find_starving(Time now, double slots);
    bool is_left_behind(Time now, const Job& job) const;

    const ClusterSettings& settings_;
    const SchedulingPolicy& policy_;
    JobStore& jobs_;
    const QuotaLedger& quotas_;
    IsSchedulable is_schedulable_;
    PeerRequests peer_requests_;
    std::vector<PendingJob> queue_;
    bool stale_ = true;
    Time valid_until_ = 0;
    std::set<std::string> bottleneck_teams_; // teams whose work takes longer than all work together
    std::set<std::string> starving_classes_;
    std::set<std::string> starving_teams_;
    std::map<std::string, Served> classes_;
    std::map<std::string, Served> served_teams_;
    std::size_t partitions_with_teams_ = 1;
};

} // namespace scheduler
