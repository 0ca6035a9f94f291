#include "core/scheduling/pending_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/model/partition_assignment.h"

namespace scheduler {

namespace {
// Work for more than this many times the time there is cannot be done by then, though estimates err
// and a team may get more CPUs than it has now.
constexpr double kHopeless = 1.5;
// A job that has waited for this many times as long as its last aim gives it is left behind.
constexpr double kLeftBehind = 2;
} // namespace

PendingQueue::PendingQueue(const ClusterSettings& settings, const SchedulingPolicy& policy,
                           JobStore& jobs, const QuotaLedger& quotas, IsSchedulable waits,
                           PeerRequests wanted)
    : settings_(settings), policy_(policy), jobs_(jobs), quotas_(quotas),
      is_schedulable_(std::move(waits)), peer_requests_(std::move(wanted)) {
    std::set<int> partitions;
    for (const auto& [team, partition] : partitions_of_teams(settings_)) {
        partitions.insert(partition);
    }
    partitions_with_teams_ = std::max<std::size_t>(1, partitions.size());
    for (const auto& objective : settings_.objectives) {
        classes_[objective.job_class];
    }
}

void PendingQueue::clear() {
    queue_.clear();
    stale_ = true;
}

void PendingQueue::on_job_arrived(const JobSpec& spec) {
    ++classes_[spec.job_class].seen;
    ++served_teams_[spec.team].seen;
}

void PendingQueue::on_job_done(const JobSpec& spec) {
    ++classes_[spec.job_class].done;
    ++served_teams_[spec.team].done;
}

// Run time left of the job's tasks. Those that run are half done on the whole; replicas run for
// ever.
double PendingQueue::remaining_s(const Job& job) {
    double tasks = static_cast<double>(job.waiting.size()) + 0.5 * job.placed;
    return job.spec.kind == JobKind::service ? 0 : tasks * job.spec.estimate_s;
}

Time PendingQueue::due(Time now, const Job& job) const {
    // A job that has missed all its aims stands behind those that can still meet one.
    Time next = latest_due(job);
    // What is left takes at least this long, even with all that its team may use.
    const JobSpec& spec = job.spec;
    const TeamQuota* quota = quotas_.quota(spec.team);
    double left = static_cast<double>(spec.tasks - job.done);
    double at_once = spec.kind == JobKind::array ? left * quota->amount(spec.cpus, spec.gpus) : 0;
    double shortest = spec.estimate_s * std::max(1.0, at_once / std::max(1.0, quota->limit()));
    for (const auto& objective : settings_.objectives) {
        if (objective.job_class != job.spec.job_class) {
            continue;
        }
        bool own = objective.kind == ServiceLevelObjective::Kind::deadline;
        if (own && !job.spec.deadline_s) {
            continue;
        }
        Time at =
            job.first_seen + (own ? *job.spec.deadline_s * objective.times : objective.within_s);
        bool starts = objective.kind == ServiceLevelObjective::Kind::wait;
        if (at > now + (starts ? 0 : shortest)) {
            next = std::min(next, at);
        }
    }
    return next;
}

// Gives each job its due time. Where a team cannot meet all of them with the CPUs it has, the job
// with most work left of those due by then stands behind: aims count jobs, and one large job that
// would be late all the same makes many small ones late (the rule of Moore and Hodgson).
void PendingQueue::rebuild(Time now) {
    std::map<std::string, std::vector<Job*>> by_team;
    for (const auto& [id, job] : jobs_.all()) {
        bool idle = !job->open() || job->waiting.empty();
        job->waiting_since = idle ? 0 : job->waiting_since > 0 ? job->waiting_since : now;
        // The largest is put behind again with each small one that comes, so it would wait for as
        // long as they come. One task costs the others next to nothing.
        job->awaits_first_task = job->spec.kind == JobKind::array && job->placed + job->done == 0 &&
                                 job->waiting_since > 0 &&
                                 now - job->waiting_since > policy_.first_task_deadline_s;
        if (job->open()) {
            job->due = due(now, *job);
            if (job->due < latest_due(*job)) {
                by_team[job->spec.team].push_back(job.get());
            }
        }
    }
    for (auto& [team, jobs] : by_team) {
        std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
            return std::tie(a->spec.priority, a->due, a->spec.id) <
                   std::tie(b->spec.priority, b->due, b->spec.id);
        });
        const TeamQuota& quota = *quotas_.quota(team);
        double slots = std::max(1.0, quotas_.entitled_amount(team));
        std::set<std::tuple<double, std::string, Job*>>
            taken; // by work, so that the largest is last
        double busy = 0;
        for (Job* job : jobs) {
            double work = remaining_s(*job) * quota.amount(job->spec.cpus, job->spec.gpus) / slots;
            busy += work;
            taken.insert({work, job->spec.id, job});
            while (busy > kHopeless * (job->due - now) && !taken.empty()) {
                auto largest = std::prev(taken.end());
                Job* out = std::get<Job*>(*largest);
                if (out->spec.priority < job->spec.priority) {
                    break; // it runs first whatever its due time
                }
                busy -= std::get<double>(*largest);
                out->due = latest_due(*out);
                taken.erase(largest);
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
    rebuild(now);
    for (const auto& [id, job] : jobs_.all()) {
        const JobSpec& spec = job->spec;
        if (is_schedulable_(now, *job)) {
            queue_.push_back({job->awaits_first_task || is_starving(spec),
                              rank(*job, job->awaits_first_task),
                              !quotas_.within_guarantee(spec.team, spec.cpus, spec.gpus),
                              bottleneck_teams_.contains(spec.team), job->due, job->first_seen,
                              job.get(), nullptr, 0, spec.kind, spec.spot, job->awaits_first_task});
        }
    }
    for (const auto& peer : peer_requests_()) {
        if (now - peer.at > settings_.heartbeat_interval_s / 2) {
            continue; // it would have called again
        }
        for (auto& want : *peer.requests) {
            if (want.count > 0) {
                queue_.push_back({want.starving, want.priority, want.over_guarantee,
                                  want.bottleneck_team, peer.at + want.due_s, peer.at - want.age_s,
                                  nullptr, &want, peer.partition, want.kind, want.spot});
            }
        }
    }
    std::sort(queue_.begin(), queue_.end(), [](const PendingJob& a, const PendingJob& b) {
        return std::tie(b.starving, a.priority, a.over_guarantee, b.bottleneck_team, a.due,
                        a.since) < std::tie(a.starving, b.priority, b.over_guarantee,
                                            a.bottleneck_team, b.due, b.since);
    });
    return queue_;
}

void PendingQueue::update_load(Time now, double slots, double left_slot_s) {
    find_bottleneck_teams(slots, left_slot_s);
    find_starving(now, slots);
}

// A team whose work takes longer at the team's limit than all work takes on all machines decides
// when everything is over: each moment that it runs below its limit is added to the end.
void PendingQueue::find_bottleneck_teams(double slots, double left_slot_s) {
    std::map<std::string, double> left; // in the team's own measure
    for (const auto& [id, job] : jobs_.all()) {
        const TeamQuota* f = quotas_.quota(job->spec.team);
        if (job->open() && f) {
            left[f->name] += remaining_s(*job) * f->amount(job->spec.cpus, job->spec.gpus);
        }
    }
    double together = left_slot_s / std::max(1.0, slots);
    bottleneck_teams_.clear();
    for (const auto& [team, work] : left) {
        if (work >
            std::max(together, settings_.heartbeat_interval_s) * quotas_.quota(team)->limit()) {
            bottleneck_teams_.insert(team);
        }
    }
}

bool PendingQueue::is_left_behind(Time now, const Job& job) const {
    double last = settings_.worker_lease_s;
    for (const auto& objective : settings_.objectives) {
        if (objective.job_class == job.spec.job_class) {
            bool own = objective.kind == ServiceLevelObjective::Kind::deadline;
            last = std::max(last, own ? job.spec.deadline_s.value_or(0) * objective.times
                                      : objective.within_s);
        }
    }
    return now > job.first_seen + kLeftBehind * last;
}

// Under lasting overload some class or team would stand behind the others for ever. So a class with
// jobs that are left behind keeps an even share of the slots, and such a team the share that its
// guarantee is of all guarantees, until half of its jobs are served. What it runs beyond that
// stands in the order as before. Sooner than that the share costs more aims than it saves: with
// jobs that had only just missed theirs it took rechecks and theses alike below what they had.
void PendingQueue::find_starving(Time now, double slots) {
    struct Use {
        double running = 0;
        bool behind = false;
    };
    std::map<std::string, Use> classes; // in the teams' own measures
    std::map<std::string, Use> teams;
    for (const auto& [id, job] : jobs_.all()) {
        const JobSpec& spec = job->spec;
        const TeamQuota* f = quotas_.quota(spec.team);
        if (!job->open() || !f) {
            continue;
        }
        bool behind = !job->waiting.empty() && is_left_behind(now, *job);
        for (Use* use : {&classes[spec.job_class], &teams[spec.team]}) {
            use->running += job->placed * f->amount(spec.cpus, spec.gpus);
            use->behind = use->behind || behind;
        }
    }
    double even = slots / static_cast<double>(std::max<std::size_t>(1, classes_.size())) /
                  static_cast<double>(partitions_with_teams_);
    starving_classes_.clear();
    for (const auto& [name, use] : classes) {
        if (use.behind && !classes_[name].half() && use.running < even) {
            starving_classes_.insert(name);
        }
    }
    starving_teams_.clear();
    double guarantees = std::max(1.0, quotas_.total_guarantee());
    for (const auto& [name, use] : teams) {
        const TeamQuota& f = *quotas_.quota(name);
        double shard = f.amount(f.guaranteed_cpus, f.guaranteed_gpus) / guarantees * slots;
        if (use.behind && !served_teams_[name].half() && use.running < shard) {
            starving_teams_.insert(name);
        }
    }
}

} // namespace scheduler
