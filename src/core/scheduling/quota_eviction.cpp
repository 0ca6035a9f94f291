// A team that uses more than its limit, which was lowered under it: what is over goes by orderly
// stops, least loss first. See "quota" in docs/configuration.md.
#include <algorithm>
#include <utility>

#include "core/partition_leader.h"

namespace scheduler {

void PartitionLeader::apply_quota(Time now, const TeamQuota& quota) {
    quotas_.configure(quota, quota_config_.is_blocked(quota.name));
    if (!own_teams_.contains(quota.name)) {
        return; // another part's: its work is counted there
    }
    mark_over_guarantee(quota.name);
    queue_.invalidate();
    demand_.invalidate();
    if (!failover_.loaded() || !leadership_.is_active(now)) {
        return;
    }
    evict_over_quota(now);
    schedule(now);
    retry_preemption(now);
    send_commands(now);
    borrower_.sync_soon();
    borrower_.sync_due_peers(now);
}

// Is the configuration known that owners before us had in force, and new enough to start tasks by?
void PartitionLeader::refresh_quota_config(Time now) {
    if (bool known = quota_config_.is_known(now, leadership_.since());
        known != quota_config_known_) {
        quota_config_known_ = known;
        quotas_.set_known(known);
        queue_.invalidate();
    }
}

// Which tasks run beyond the team's guarantee as it is now: those that count first are within it.
void PartitionLeader::mark_over_guarantee(const std::string& team) {
    const TeamQuota& quota = *quotas_.quota(team);
    double cpus = 0;
    double gpus = 0;
    for (auto& [name, m] : machines_.all()) {
        for (auto& [task, p] : m.tasks) {
            if (p.team == team && leadership_.is_own_attempt(p.attempt)) {
                cpus += p.cpus;
                gpus += p.gpus;
                p.over_guarantee = !quota.guarantees(cpus, gpus);
            }
        }
    }
}

void PartitionLeader::evict_over_quota(Time now) {
    std::erase_if(pending_evictions_, [&](const auto& s) {
        const Job* job = jobs_.find(s.first.job);
        return now >= s.second.retry_at || !job || job->tasks[s.first.index] != TaskState::placed;
    });
    for (const auto& team : quotas_.excess()) {
        if (own_teams_.contains(team)) {
            evict_over_quota(now, team);
        }
    }
    stop_unreached_directly(now);
}

// Guests of owners whom our calls do not reach would stay for as long as these renew their leases.
void PartitionLeader::stop_unreached_directly(Time now) {
    int most =
        settings_.max_concurrent_commands / 2; // a step; starts have their share of the sockets
    for (auto& [task, going] : pending_evictions_) {
        if (most > 0 && now >= going.direct_stop_at &&
            borrower_.stop_directly(task, going.grace_s)) {
            going.direct_stop_at = now + settings_.heartbeat_interval_s;
            --most;
        }
    }
}

void PartitionLeader::evict_over_quota(Time now, const std::string& team) {
    auto [cpus, gpus] = quotas_.excess(team);
    for (const auto& [task, going] : pending_evictions_) { // on their way already
        const JobSpec& spec = jobs_.find(task.job)->spec;
        if (spec.team == team) {
            cpus -= spec.cpus;
            gpus -= spec.gpus;
        }
    }
    if (cpus <= 0 && gpus <= 0) {
        return;
    }
    std::vector<EvictionCandidate> all = eviction_candidates(team);
    // How long a task on another part's machine has run is that owner's to know, and it chose the
    // attempt's number too: so those of the youngest jobs go first.
    std::sort(all.begin(), all.end(), [](const EvictionCandidate& a, const EvictionCandidate& b) {
        return std::tie(a.loss, b.job_since, a.task) < std::tie(b.loss, a.job_since, b.task);
    });
    std::size_t stopped = 0;
    for (const EvictionCandidate& s : all) {
        if (cpus <= 0 && gpus <= 0) {
            break;
        }
        if ((cpus <= 0 || s.cpus <= 0) && (gpus <= 0 || s.gpus <= 0)) {
            continue; // it frees nothing of what is over
        }
        cpus -= s.cpus;
        gpus -= s.gpus;
        // A silent machine has none of it by then.
        PendingEviction going{now + s.grace_s + settings_.worker_lease_s,
                              now + settings_.heartbeat_interval_s / 2, s.grace_s};
        if (s.gang) {
            const Job& job = *jobs_.find(s.task.job);
            for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
                if (job.tasks[i] == TaskState::placed) {
                    pending_evictions_[{s.task.job, i}] = going;
                }
            }
            end_attempt(now, s.task.job, s.grace_s > 0);
        } else if (pending_evictions_[s.task] = going; s.machine) {
            machines_.queue_stop(*s.machine, s.task, s.attempt, s.grace_s);
        } else {
            borrower_.stop_task(s.task, s.grace_s);
        }
        ++stopped;
    }
    if (stopped > 0) {
        requests_.log(LogLevel::info,
                      "event=tasks_evicted team=" + team + " stopped=" + std::to_string(stopped));
        send_commands(now);
        borrower_.sync_soon();
    }
}

// What of the team can be stopped now, and what is lost by it.
std::vector<PartitionLeader::EvictionCandidate>
PartitionLeader::eviction_candidates(const std::string& team) {
    std::vector<EvictionCandidate> out;
    std::set<std::string> gangs;
    auto add = [&](const TaskId& task, Machine* machine, std::uint64_t attempt) {
        const Job* job = jobs_.find(task.job);
        if (!job || !job->open() || job->spec.team != team || pending_evictions_.contains(task)) {
            return;
        }
        const JobSpec& spec = job->spec;
        double save_s = kSaveGraceFactor * spec.save_s;
        bool saves = spec.checkpoint_s > 0 && save_s <= settings_.worker_lease_s / 2;
        EvictionCandidate shed;
        shed.loss =
            saves ? EvictionCandidate::Loss::saving_time : EvictionCandidate::Loss::run_time;
        shed.job_since = job->first_seen;
        shed.task = task;
        shed.cpus = spec.cpus;
        shed.gpus = spec.gpus;
        shed.machine = machine;
        shed.attempt = attempt;
        shed.grace_s = saves ? std::max(save_s, settings_.heartbeat_interval_s / 12) : 0;
        if (spec.kind == JobKind::gang) {
            const GangTracker::Attempt* a = gangs_.find(task.job);
            if (!gangs.insert(task.job).second || (a && a->ending)) {
                return; // whole, once
            }
            shed.gang = true;
            shed.cpus *= job->placed;
            shed.gpus *= job->placed;
            if (!saves) {
                shed.loss = EvictionCandidate::Loss::all_run_time;
            }
        }
        out.push_back(shed);
    };
    for (auto& [name, m] : machines_.all()) {
        ++effort_;
        for (const auto& [task, p] : m.tasks) {
            // One that is on its way can be told only when it is listed.
            if (p.team == team && leadership_.is_own_attempt(p.attempt) &&
                p.via == Placement::Via::reported && p.stage != TaskStage::saving) {
                add(task, &m, p.attempt);
            }
        }
    }
    for (const auto& [task, r] : borrower_.remote_tasks()) {
        add(task, nullptr, r.attempt);
    }
    return out;
}

} // namespace scheduler
