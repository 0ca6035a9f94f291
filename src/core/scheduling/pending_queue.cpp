#include "core/scheduling/pending_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/model/partition_assignment.h"

namespace scheduler {

namespace {
// A team's work is infeasible if it takes more than this many times the time left until it is due.
// The factor is above 1 because run time estimates are inexact and the team may get more CPUs than
// it has now.
constexpr double kInfeasibleLoadFactor = 1.5;
// A pending job is overdue once its age exceeds this many times the time that its latest objective
// allows.
constexpr double kOverdueFactor = 2;

// A job that is expected to meet its due time. Ordered by remaining work.
struct AcceptedJob {
    double work_s = 0;
    std::string id;
    Job* job = nullptr;
    auto operator<=>(const AcceptedJob&) const = default;
};
} // namespace

PendingQueue::PendingQueue(const ClusterSettings& settings, const SchedulingPolicy& policy,
                           JobStore& jobs, const QuotaLedger& quotas, IsSchedulable is_schedulable,
                           PeerRequests peer_requests)
    : settings_(settings), policy_(policy), jobs_(jobs), quotas_(quotas),
      is_schedulable_(std::move(is_schedulable)), peer_requests_(std::move(peer_requests)) {
    std::set<int> partitions;
    for (const auto& [team, partition] : partitions_of_teams(settings_)) {
        partitions.insert(partition);
    }
    partitions_with_teams_ = std::max<std::size_t>(1, partitions.size());
    for (const auto& objective : settings_.objectives) {
        class_counts_[objective.job_class];
    }
}

void PendingQueue::clear() {
    queue_.clear();
    stale_ = true;
}

void PendingQueue::on_job_arrived(const JobSpec& spec) {
    ++class_counts_[spec.job_class].arrived;
    ++team_counts_[spec.team].arrived;
}

void PendingQueue::on_job_done(const JobSpec& spec) {
    ++class_counts_[spec.job_class].done;
    ++team_counts_[spec.team].done;
}

// Assumes that running tasks are half done on average.
double PendingQueue::remaining_s(const Job& job) {
    double tasks = static_cast<double>(job.waiting.size()) + 0.5 * job.placed;
    return job.spec.kind == JobKind::service ? 0 : tasks * job.spec.estimated_run_s;
}

// Returns the minimum time to finish the job, reached if the job gets all resources within its
// team's limit.
double PendingQueue::min_run_time_s(const Job& job) const {
    const JobSpec& spec = job.spec;
    const TeamQuota* quota = quotas_.quota(spec.team);
    double tasks_left = static_cast<double>(spec.tasks - job.done);
    double amount =
        spec.kind == JobKind::array ? tasks_left * quota->amount(spec.cpus, spec.gpus) : 0;
    return spec.estimated_run_s * std::max(1.0, amount / std::max(1.0, quota->limit()));
}

Time PendingQueue::due(Time now, const Job& job) const {
    // A job that can no longer meet any objective is ordered after those that can.
    Time earliest = due_without_objective(job);
    double min_run_s = min_run_time_s(job);
    for (const auto& objective : settings_.objectives) {
        if (objective.job_class != job.spec.job_class) {
            continue;
        }
        bool is_deadline = objective.kind == ServiceLevelObjective::Kind::deadline;
        if (is_deadline && !job.spec.deadline_s) {
            continue;
        }
        Time due_at =
            job.first_seen +
            (is_deadline ? *job.spec.deadline_s * objective.deadline_factor : objective.within_s);
        bool is_wait = objective.kind == ServiceLevelObjective::Kind::wait;
        if (due_at > now + (is_wait ? 0 : min_run_s)) {
            earliest = std::min(earliest, due_at);
        }
    }
    return earliest;
}

// Sets the due time of each open job, regardless of whether its team has the capacity to meet all
// due times. Also updates since when jobs have waited and whether they await their first task.
// Returns the jobs that could still meet an objective, by team.
PendingQueue::JobsByTeam PendingQueue::assign_due_times(Time now) {
    JobsByTeam by_team;
    for (const auto& [id, job] : jobs_.all()) {
        bool nothing_waiting = !job->open() || job->waiting.empty();
        job->waiting_since = nothing_waiting          ? 0
                             : job->waiting_since > 0 ? job->waiting_since
                                                      : now;
        // The largest job of a team is postponed again with each small job that arrives, so it
        // could wait indefinitely. Placing one of its tasks hardly delays the others.
        job->awaits_first_task = job->spec.kind == JobKind::array && job->placed + job->done == 0 &&
                                 job->waiting_since > 0 &&
                                 now - job->waiting_since > policy_.first_task_deadline_s;
        if (job->open()) {
            job->due = due(now, *job);
            if (job->due < due_without_objective(*job)) {
                by_team[job->spec.team].push_back(job.get());
            }
        }
    }
    return by_team;
}

// Postpones jobs of a team that cannot meet all due times with the CPUs that it has. Of the jobs
// due by the time that would be missed, the one with the most work left is postponed first:
// objectives count jobs, and one large job that is late anyway would make many small ones late
// (the Moore-Hodgson algorithm).
void PendingQueue::postpone_infeasible(Time now, const std::string& team, std::vector<Job*>& jobs) {
    std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
        return std::tie(a->spec.priority, a->due, a->spec.id) <
               std::tie(b->spec.priority, b->due, b->spec.id);
    });
    const TeamQuota& quota = *quotas_.quota(team);
    double entitled_amount = std::max(1.0, quotas_.entitled_amount(team));
    std::set<AcceptedJob> accepted;
    double total_work_s = 0;
    for (Job* job : jobs) {
        double work_s =
            remaining_s(*job) * quota.amount(job->spec.cpus, job->spec.gpus) / entitled_amount;
        total_work_s += work_s;
        accepted.insert({work_s, job->spec.id, job});
        while (total_work_s > kInfeasibleLoadFactor * (job->due - now) && !accepted.empty()) {
            auto largest = std::prev(accepted.end());
            if (largest->job->spec.priority < job->spec.priority) {
                break; // its higher priority puts it first regardless of due times
            }
            total_work_s -= largest->work_s;
            largest->job->due = due_without_objective(*largest->job);
            accepted.erase(largest);
        }
    }
}

void PendingQueue::update_due_times(Time now) {
    for (auto& [team, jobs] : assign_due_times(now)) {
        postpone_infeasible(now, team, jobs);
    }
}

void PendingQueue::append_jobs(Time now) {
    for (const auto& [id, job] : jobs_.all()) {
        const JobSpec& spec = job->spec;
        if (is_schedulable_(now, *job)) {
            queue_.push_back({job->awaits_first_task || is_starving(spec),
                              effective_priority(*job, job->awaits_first_task),
                              !quotas_.within_guarantee(spec.team, spec.cpus, spec.gpus),
                              bottleneck_teams_.contains(spec.team), job->due, job->first_seen,
                              job.get(), nullptr, 0, spec.kind, spec.spot, job->awaits_first_task});
        }
    }
}

void PendingQueue::append_peer_requests(Time now) {
    for (const auto& peer : peer_requests_()) {
        if (now - peer.received_at > settings_.heartbeat_interval_s / 2) {
            continue; // outdated: a reachable peer would have synced again
        }
        for (auto& request : *peer.requests) {
            if (request.count > 0) {
                queue_.push_back({request.starving, request.priority, request.over_guarantee,
                                  request.bottleneck_team, peer.received_at + request.due_s,
                                  peer.received_at - request.age_s, nullptr, &request,
                                  peer.partition, request.kind, request.spot});
            }
        }
    }
}

const std::vector<PendingJob>& PendingQueue::ordered(Time now) {
    if (!stale_ && now < valid_until_) {
        return queue_;
    }
    stale_ = false;
    valid_until_ = now + policy_.peer_sync_interval_s;
    queue_.clear();
    update_due_times(now);
    append_jobs(now);
    append_peer_requests(now);
    std::sort(queue_.begin(), queue_.end(), [](const PendingJob& a, const PendingJob& b) {
        return std::tie(b.starving, a.priority, a.over_guarantee, b.bottleneck_team, a.due,
                        a.arrived_at) < std::tie(a.starving, b.priority, b.over_guarantee,
                                                 a.bottleneck_team, b.due, b.arrived_at);
    });
    return queue_;
}

void PendingQueue::update_load(Time now, double slots, double remaining_slot_s) {
    find_bottleneck_teams(slots, remaining_slot_s);
    find_starving(now, slots);
}

// Finds the teams whose work takes longer at the team's limit than all work of the cluster takes on
// all machines. Such a team determines when all work is done: whenever it runs below its limit, the
// end is delayed.
void PendingQueue::find_bottleneck_teams(double slots, double remaining_slot_s) {
    std::map<std::string, double> remaining_work_by_team; // in seconds times TeamQuota::amount
    for (const auto& [id, job] : jobs_.all()) {
        const TeamQuota* quota = quotas_.quota(job->spec.team);
        if (job->open() && quota) {
            double amount = quota->amount(job->spec.cpus, job->spec.gpus);
            remaining_work_by_team[quota->name] += remaining_s(*job) * amount;
        }
    }
    double cluster_duration_s = remaining_slot_s / std::max(1.0, slots);
    double threshold_s = std::max(cluster_duration_s, settings_.heartbeat_interval_s);
    bottleneck_teams_.clear();
    for (const auto& [team, work] : remaining_work_by_team) {
        if (work > threshold_s * quotas_.quota(team)->limit()) {
            bottleneck_teams_.insert(team);
        }
    }
}

// Returns whether the job is far past its latest objective: see kOverdueFactor. A job whose
// objectives allow less than the worker lease is treated as if they allowed that much.
bool PendingQueue::is_overdue(Time now, const Job& job) const {
    double latest_objective_s = settings_.worker_lease_s;
    for (const auto& objective : settings_.objectives) {
        if (objective.job_class == job.spec.job_class) {
            bool is_deadline = objective.kind == ServiceLevelObjective::Kind::deadline;
            double deadline_s = job.spec.deadline_s.value_or(0) * objective.deadline_factor;
            latest_objective_s =
                std::max(latest_objective_s, is_deadline ? deadline_s : objective.within_s);
        }
    }
    return now > job.first_seen + kOverdueFactor * latest_objective_s;
}

// Finds the classes and teams that need a minimum share of the slots. Without it, some of them
// would be delayed indefinitely under sustained overload. A class with overdue jobs gets an equal
// share of the slots, and a team with overdue jobs a share in proportion to its guarantee, until
// half of its jobs are done. What it runs beyond its share is ordered as usual.
//
// Jobs do not count as overdue as soon as they miss an objective, because granting the share that
// early makes more jobs miss their objectives than it saves: when it was, recheck and thesis jobs
// alike met fewer objectives than they had before.
void PendingQueue::find_starving(Time now, double slots) {
    UsageByName classes;
    UsageByName teams;
    for (const auto& [id, job] : jobs_.all()) {
        const JobSpec& spec = job->spec;
        const TeamQuota* quota = quotas_.quota(spec.team);
        if (!job->open() || !quota) {
            continue;
        }
        bool has_overdue_job = !job->waiting.empty() && is_overdue(now, *job);
        for (Usage* usage : {&classes[spec.job_class], &teams[spec.team]}) {
            usage->used_amount += job->placed * quota->amount(spec.cpus, spec.gpus);
            usage->has_overdue_job = usage->has_overdue_job || has_overdue_job;
        }
    }
    find_starving_classes(classes, slots);
    find_starving_teams(teams, slots);
}

void PendingQueue::find_starving_classes(const UsageByName& usages, double slots) {
    double fair_share = slots /
                        static_cast<double>(std::max<std::size_t>(1, class_counts_.size())) /
                        static_cast<double>(partitions_with_teams_);
    starving_classes_.clear();
    for (const auto& [name, usage] : usages) {
        if (usage.has_overdue_job && !class_counts_[name].is_half_done() &&
            usage.used_amount < fair_share) {
            starving_classes_.insert(name);
        }
    }
}

void PendingQueue::find_starving_teams(const UsageByName& usages, double slots) {
    double total_guarantee = std::max(1.0, quotas_.total_guarantee());
    starving_teams_.clear();
    for (const auto& [name, usage] : usages) {
        const TeamQuota& quota = *quotas_.quota(name);
        double guaranteed = quota.amount(quota.guaranteed_cpus, quota.guaranteed_gpus);
        double fair_share = guaranteed / total_guarantee * slots;
        if (usage.has_overdue_job && !team_counts_[name].is_half_done() &&
            usage.used_amount < fair_share) {
            starving_teams_.insert(name);
        }
    }
}

} // namespace scheduler
