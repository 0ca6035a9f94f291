#include "core/scheduling/quota_evictor.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace scheduler {

QuotaEvictor::QuotaEvictor(const Leadership& leadership, const ClusterSettings& settings,
                           const std::set<std::string>& own_teams, JobStore& jobs,
                           MachineTable& machines, const QuotaLedger& quotas,
                           const GangTracker& gangs, SlotBorrower& borrower,
                           OutboundRequests& requests, Delegate& delegate)
    : leadership_(leadership), settings_(settings), own_teams_(own_teams), jobs_(jobs),
      machines_(machines), quotas_(quotas), gangs_(gangs), borrower_(borrower), requests_(requests),
      delegate_(delegate) {}

void QuotaEvictor::mark_over_guarantee(const std::string& team) {
    const TeamQuota& quota = *quotas_.quota(team);
    double cpus = 0;
    double gpus = 0;
    for (auto& [name, machine] : machines_.all()) {
        for (auto& [task, placement] : machine.tasks) {
            if (placement.team == team && leadership_.is_own_attempt(placement.attempt)) {
                cpus += placement.cpus;
                gpus += placement.gpus;
                placement.over_guarantee = !quota.guarantees(cpus, gpus);
            }
        }
    }
}

void QuotaEvictor::evict_over_quota(Time now) {
    remove_finished_evictions(now);
    for (const auto& team : quotas_.teams_over_limit()) {
        if (own_teams_.contains(team)) {
            evict_team(now, team);
        }
    }
    stop_unreachable_directly(now);
}

void QuotaEvictor::remove_finished_evictions(Time now) {
    std::erase_if(pending_evictions_, [&](const auto& entry) {
        const auto& [task, eviction] = entry;
        const Job* job = jobs_.find(task.job);
        return now >= eviction.retry_at || !job || job->tasks[task.index] != TaskState::placed;
    });
}

// If this partition cannot reach a lender, remote tasks there would keep running for as long as the
// lender renews the machines' leases.
void QuotaEvictor::stop_unreachable_directly(Time now) {
    // Limits the stop commands sent in one call, so that sockets remain for launches.
    int stops_left = settings_.max_concurrent_commands / 2;
    for (auto& [task, eviction] : pending_evictions_) {
        if (stops_left > 0 && now >= eviction.direct_stop_at &&
            borrower_.stop_directly(task, eviction.grace_s)) {
            eviction.direct_stop_at = now + settings_.heartbeat_interval_s;
            --stops_left;
        }
    }
}

void QuotaEvictor::evict_team(Time now, const std::string& team) {
    QuotaLedger::Excess excess = remaining_excess(team);
    if (!excess.any()) {
        return;
    }
    std::vector<EvictionCandidate> candidates = eviction_candidates(team);
    std::sort(candidates.begin(), candidates.end());
    std::size_t stopped = 0;
    for (const EvictionCandidate& candidate : candidates) {
        if (!excess.any()) {
            break;
        }
        bool frees_cpus = excess.cpus > 0 && candidate.cpus > 0;
        bool frees_gpus = excess.gpus > 0 && candidate.gpus > 0;
        if (!frees_cpus && !frees_gpus) {
            continue;
        }
        excess.cpus -= candidate.cpus;
        excess.gpus -= candidate.gpus;
        evict(now, candidate);
        ++stopped;
    }
    if (stopped > 0) {
        requests_.log(LogLevel::info,
                      "event=tasks_evicted team=" + team + " stopped=" + std::to_string(stopped));
        delegate_.send_commands(now);
        borrower_.sync_soon();
    }
}

QuotaLedger::Excess QuotaEvictor::remaining_excess(const std::string& team) const {
    QuotaLedger::Excess excess = quotas_.excess(team);
    for (const auto& [task, eviction] : pending_evictions_) {
        const JobSpec& spec = jobs_.find(task.job)->spec;
        if (spec.team == team) {
            excess.cpus -= spec.cpus;
            excess.gpus -= spec.gpus;
        }
    }
    return excess;
}

void QuotaEvictor::evict(Time now, const EvictionCandidate& candidate) {
    PendingEviction eviction;
    // The lease of an unreachable machine has expired by then, so its task is gone too.
    eviction.retry_at = now + candidate.grace_s + settings_.worker_lease_s;
    eviction.direct_stop_at = now + settings_.heartbeat_interval_s / 2;
    eviction.grace_s = candidate.grace_s;
    const std::string& id = candidate.task.job;
    if (candidate.is_gang) {
        const Job& job = *jobs_.find(id);
        for (std::uint32_t index = 0; index < job.spec.tasks; ++index) {
            if (job.tasks[index] == TaskState::placed) {
                pending_evictions_[{id, index}] = eviction;
            }
        }
        delegate_.end_attempt(now, id, candidate.grace_s > 0);
        return;
    }
    pending_evictions_[candidate.task] = eviction;
    if (candidate.machine) {
        machines_.queue_stop(*candidate.machine, candidate.task, candidate.attempt,
                             candidate.grace_s);
    } else {
        borrower_.stop_task(candidate.task, candidate.grace_s);
    }
}

// Tasks of the youngest jobs are evicted first. The run time of a remote task is known only to the
// lender, which also chooses the attempt number, so neither can be compared.
bool QuotaEvictor::EvictionCandidate::operator<(const EvictionCandidate& other) const {
    return std::tie(loss, other.job_arrived_at, task) <
           std::tie(other.loss, job_arrived_at, other.task);
}

// Returns the tasks and gangs of the team that can be stopped now.
std::vector<QuotaEvictor::EvictionCandidate>
QuotaEvictor::eviction_candidates(const std::string& team) {
    std::vector<EvictionCandidate> candidates;
    std::set<std::string> gangs_seen;
    for (auto& [name, machine] : machines_.all()) {
        ++effort_;
        for (const auto& [task, placement] : machine.tasks) {
            // A launch in flight can be stopped only once the worker has reported the task.
            if (placement.team == team && leadership_.is_own_attempt(placement.attempt) &&
                placement.launch_state == Placement::LaunchState::reported &&
                placement.stage != TaskStage::saving) {
                add_candidate({task, &machine, placement.attempt}, team, gangs_seen, candidates);
            }
        }
    }
    for (const auto& [task, remote] : borrower_.remote_tasks()) {
        add_candidate({task, nullptr, remote.attempt}, team, gangs_seen, candidates);
    }
    return candidates;
}

// Adds the task if it may be stopped. A gang is added once, as a whole.
void QuotaEvictor::add_candidate(EvictionCandidate candidate, const std::string& team,
                                 std::set<std::string>& gangs_seen,
                                 std::vector<EvictionCandidate>& candidates) const {
    const std::string& id = candidate.task.job;
    const Job* job = jobs_.find(id);
    if (!job || !job->open() || job->spec.team != team ||
        pending_evictions_.contains(candidate.task)) {
        return;
    }
    if (job->spec.kind == JobKind::gang) {
        const GangTracker::Attempt* attempt = gangs_.find(id);
        bool is_new = gangs_seen.insert(id).second;
        if (!is_new || (attempt && attempt->ending)) {
            return;
        }
        candidate.is_gang = true;
    }
    set_costs(candidate, *job);
    candidates.push_back(std::move(candidate));
}

// Sets the resources that the eviction frees, and what is lost by it.
void QuotaEvictor::set_costs(EvictionCandidate& candidate, const Job& job) const {
    const JobSpec& spec = job.spec;
    double save_duration_s = kSaveGraceFactor * spec.save_duration_s;
    bool may_save =
        spec.checkpoint_interval_s > 0 && save_duration_s <= settings_.worker_lease_s / 2;
    candidate.job_arrived_at = job.first_seen;
    candidate.cpus = spec.cpus;
    candidate.gpus = spec.gpus;
    if (may_save) {
        candidate.loss = Loss::saving_time;
        candidate.grace_s = std::max(save_duration_s, settings_.heartbeat_interval_s / 12);
    } else {
        candidate.loss = candidate.is_gang ? Loss::all_run_time : Loss::run_time;
    }
    if (candidate.is_gang) {
        candidate.cpus *= job.placed;
        candidate.gpus *= job.placed;
    }
}

} // namespace scheduler
