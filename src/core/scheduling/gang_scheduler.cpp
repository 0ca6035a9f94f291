// The owner of a part and its gangs: all slots or none before any start, an orderly end, and the
// next attempt only after every task of the last is known gone. See docs/design.md, "Gangs".
#include <algorithm>
#include <utility>

#include "core/model/partition_assignment.h"
#include "core/partition_leader.h"

namespace scheduler {

// The zones to try for a gang, each as its only one where it asks for that; else any mix of them.
std::vector<std::string> PartitionLeader::candidate_zones(bool one_zone) const {
    std::set<std::string> zones;
    if (one_zone) {
        for (const auto& partition : settings_.partitions) {
            zones.insert(partition.zone);
        }
        zones.insert(settings_.zones.begin(), settings_.zones.end());
    } else {
        zones.insert("");
    }
    return {zones.begin(), zones.end()};
}

// Finds slots for as many of the members as there are, without striking any.
GangPlacement PartitionLeader::plan_gang(bool spot, const JobSpec& shape,
                                         const std::vector<std::uint32_t>& members, const Job* job,
                                         const std::string& zone,
                                         std::map<std::string, std::uint32_t> in_zone) const {
    GangPlacement plan;
    plan.tasks_by_zone = std::move(in_zone);
    for (std::uint32_t member : members) {
        TaskId task{shape.id, member};
        const std::string* found = slot_finder_.find(
            {.spot = spot, .spec = shape, .task = &task, .job = job, .plan = &plan, .zone = zone});
        if (!found) {
            break;
        }
        plan.machines.push_back(*found);
        ++plan.tasks_by_machine[*found];
        ++plan.tasks_by_zone[machines_.all().at(*found).zone];
    }
    return plan;
}

bool PartitionLeader::schedule_gang(Time now, bool spot, Job& job) {
    const JobSpec& spec = job.spec;
    if (!has_schedulable_tasks(now, job) || !gang_fits_quota(job)) {
        return false;
    }
    std::vector<std::uint32_t> members(job.waiting.begin(), job.waiting.end());
    for (const auto& zone : candidate_zones(spec.one_zone)) {
        GangPlacement plan = plan_gang(spot, spec, members, &job, zone, {});
        if (plan.machines.size() == members.size()) {
            launch_gang(now, job, members, plan, 0);
            return true;
        }
    }
    return false;
}

bool PartitionLeader::gang_fits_quota(const Job& job) const {
    const JobSpec& spec = job.spec;
    auto n = static_cast<double>(job.waiting.size());
    return quotas_.fits(spec.team, n * spec.cpus, n * spec.gpus);
}

// `number`: of the attempt that other members are part of; 0: the gang's own, or a new one.
void PartitionLeader::launch_gang(Time now, Job& job, const std::vector<std::uint32_t>& members,
                                  const GangPlacement& plan, std::uint64_t number) {
    const std::string id = job.spec.id;
    const GangTracker::Attempt* attempt = gangs_.find(id);
    if (number == 0) {
        number =
            attempt ? attempt->number : leadership_.next_attempt(leadership_.partition(), true);
    }
    if (!attempt) {
        gangs_.begin(now, id, number);
    }
    for (std::size_t i = 0; i < members.size(); ++i) {
        launch_on(now, *machines_.find(plan.machines[i]), job, members[i], number);
    }
}

// ---- Slots of other parts ----

// What is wanted for a gang from one peer: all of it, or every other time what our own slots and
// those held already lack.
bool PartitionLeader::request_gang_slots(const Job& job, bool rest, SlotRequest& request) {
    const JobSpec& spec = job.spec;
    const GangTracker::Attempt* attempt = gangs_.find(spec.id);
    bool gathers = gang_reservation_ && gang_reservation_->job == spec.id;
    request.one_zone = spec.one_zone;
    request.spread = spec.spread;
    request.gang_size = spec.tasks;
    std::vector<std::uint32_t> members(job.waiting.begin(), job.waiting.end());
    request.attempt = attempt ? attempt->number : 0;
    if (spec.one_zone && !job.placed_by_zone.empty()) {
        request.zone =
            job.placed_by_zone.begin()->first; // a lost mate comes back where the others are
    } else if (rest && !attempt && members.size() > 1 && (gathers || !gang_reservation_)) {
        std::string zone;
        if (gathers) {
            std::erase_if(members,
                          [&](std::uint32_t m) { return gang_reservation_->grants.contains(m); });
            zone = spec.one_zone && !gang_reservation_->grants.empty()
                       ? gang_reservation_->grants.begin()->second.second.zone
                       : "";
        }
        std::size_t most = 0;
        for (const auto& z : candidate_zones(spec.one_zone)) {
            if (!zone.empty() && z != zone) {
                continue;
            }
            for (bool spot : {true, false}) {
                std::size_t here =
                    spot && !spec.spot
                        ? 0
                        : plan_gang(spot, spec, members, &job, z, {}).machines.size();
                if (here > most) {
                    most = here;
                    zone = z;
                }
            }
        }
        // Our own slots are the last to be struck, so they are for the last members.
        members.resize(members.size() - most);
        if (!zone.empty()) {
            request.zone = zone;
        }
        request.accepts_partial = true;
        if (!gathers && !members.empty()) {
            gang_reservation_ = GangReservation{
                spec.id, leadership_.next_attempt(leadership_.partition(), true), {}, 0};
        }
        request.attempt = gang_reservation_ ? gang_reservation_->attempt : 0;
    }
    if (members.empty()) {
        return false; // our own slots will do
    }
    if (request.attempt == 0) {
        request.attempt = leadership_.next_attempt(leadership_.partition(), true);
    }
    request.count = static_cast<std::uint32_t>(members.size());
    request.gang_members = std::move(members);
    return true;
}

void PartitionLeader::release_reservation() {
    if (gang_reservation_) {
        for (const auto& [member, held] : gang_reservation_->grants) {
            borrower_.return_grant(held.first, held.second);
        }
        gang_reservation_.reset();
    }
}

// The whole set that was asked for came, or a part of what is being gathered. With our own slots
// for the rest it becomes an attempt; else it is held for a moment or goes back, and nothing
// starts.
void PartitionLeader::on_gang_grants(Time now, int partition,
                                     const std::vector<SlotGrant>& grants) {
    Job* job = jobs_.find(grants.front().job);
    std::uint64_t number = grants.front().launch.attempt;
    bool gathers = gang_reservation_ && gang_reservation_->attempt == number;
    bool ok = job && leadership_.is_active(now) && has_schedulable_tasks(now, *job) &&
              gang_fits_quota(*job);
    const GangTracker::Attempt* attempt = ok ? gangs_.find(job->spec.id) : nullptr;
    ok = ok && (!attempt || attempt->number == number);
    std::map<std::uint32_t, std::pair<int, SlotGrant>> held;
    std::map<std::string, std::uint32_t> in_zone;
    if (gathers) {
        held = gang_reservation_->grants;
        for (const auto& [member, h] : held) {
            ++in_zone[h.second.zone];
        }
    }
    for (const auto& grant : grants) {
        bool zone_ok = ok && job->allows_zone(grant.zone, in_zone[grant.zone] + 1) &&
                       !(job->spec.one_zone && !held.empty() &&
                         held.begin()->second.second.zone != grant.zone);
        if (zone_ok && job->waiting.contains(grant.launch.index) &&
            borrower_.grant_suits(*job, grant) &&
            held.emplace(grant.launch.index, std::pair(partition, grant)).second) {
            ++in_zone[grant.zone];
        } else if (auto same = held.find(grant.launch.index);
                   same == held.end() || same->second.second.machine != grant.machine) {
            borrower_.return_grant(partition, grant); // but not the very slot that is held
        }
    }
    if (!ok) {
        return;
    }
    const JobSpec& spec = job->spec;
    std::vector<std::uint32_t> rest;
    for (std::uint32_t member : job->waiting) {
        if (!held.contains(member)) {
            rest.push_back(member);
        }
    }
    std::erase_if(in_zone, [](const auto& z) { return z.second == 0; });
    std::string zone = spec.one_zone && !held.empty() ? held.begin()->second.second.zone : "";
    GangPlacement plan;
    for (bool spot : {true, false}) {
        if (plan.machines.size() < rest.size() && (!spot || spec.spot)) {
            plan = plan_gang(spot, spec, rest, job, zone, in_zone);
        }
    }
    if (!held.empty() && plan.machines.size() == rest.size()) {
        if (gathers) {
            gang_reservation_.reset(); // what it held is used now
        }
        launch_gang(now, *job, rest, plan, number);
        for (const auto& [member, h] : held) {
            borrower_.launch(h.first, h.second, *job, member);
            if (gathers) {
                borrower_.request_full_resync(h.first);
            }
        }
    } else if (gathers) {
        gang_reservation_->grants = std::move(held);
        if (gang_reservation_->until == 0) {
            gang_reservation_->until =
                now + settings_.heartbeat_interval_s; // before their owner takes them back
        }
    } else {
        for (const auto& [member, h] : held) {
            borrower_.return_grant(h.first, h.second);
        }
    }
}

// Strikes all the slots that are wanted for a gang, or none; as many as there are if its owner
// gathers the rest elsewhere.
bool PartitionLeader::lend_gang_slots(Time now, bool spot, int borrower, SlotRequest& request) {
    if (request.count == 0 || lender_.slots_left(borrower) < request.count) {
        return false;
    }
    JobSpec shape = requested_resources(request);
    GangPlacement best;
    for (const auto& zone : candidate_zones(request.one_zone)) {
        GangPlacement plan = plan_gang(spot, shape, request.gang_members, nullptr, zone, {});
        if (plan.machines.size() > best.machines.size()) {
            best = std::move(plan);
        }
    }
    std::size_t n = best.machines.size();
    if (n == 0 || (n < request.gang_members.size() && !request.accepts_partial)) {
        return false;
    }
    for (std::size_t i = 0; i < n; ++i) {
        lender_.lend(now, *machines_.find(best.machines[i]), borrower, request,
                     request.gang_members[i]);
    }
    request.count = 0; // asked and answered
    return true;
}

// ---- The end of an attempt ----

// All its tasks are told at once, and directly: those that are not told in time cannot save.
void PartitionLeader::end_attempt(Time now, const std::string& id, bool saves) {
    Job* job = jobs_.find(id);
    if (!job || !gangs_.end(id, saves)) {
        return;
    }
    requests_.log(LogLevel::info, "event=gang_attempt_ended job=" + id +
                                      " placed=" + std::to_string(job->placed) +
                                      " saves=" + (saves ? "1" : "0"));
    double grace_s = saves ? kSaveGraceFactor * job->spec.save_s : 0;
    borrower_.stop_job(id, grace_s);
    for (auto& [name, m] : machines_.all()) {
        for (const auto& g : machines_.cancel_queued_starts(m, &id)) {
            on_task_removed(now, name, g);
        }
        for (auto it = m.tasks.lower_bound({id, 0}); it != m.tasks.end() && it->first.job == id;
             ++it) {
            if (it->second.via == Placement::Via::reported &&
                partition_of_attempt(it->second.attempt) == leadership_.partition()) {
                machines_.queue_stop(m, it->first, it->second.attempt, grace_s);
            }
        }
    }
}

// Another task of the gang is known gone. One that is done shows that all are: they complete
// together, even if the machine of another was lost before it could say so.
void PartitionLeader::on_gang_task_gone(Time now, Job& job, ExitReason why) {
    const std::string id = job.spec.id;
    if (job.done > 0) {
        finish_gang_members(now, job);
    } else if (const GangTracker::Attempt* a = gangs_.find(id);
               a && (a->ran || why == ExitReason::gang_incomplete ||
                     why == ExitReason::gang_member_lost)) {
        end_attempt(now, id, false);
    }
    if (job.placed == 0) {
        gangs_.on_attempt_gone(id);
        queue_.invalidate();
    }
}

void PartitionLeader::finish_gang_members(Time now, Job& job) {
    std::vector<std::uint32_t> mates(job.waiting.begin(), job.waiting.end());
    for (std::uint32_t mate : mates) {
        jobs_.mark_done(job, mate);
    }
    if (job.complete() && job.open()) {
        finish_job(now, job);
    }
}

// What a listing of one of our machines means for gangs.
void PartitionLeader::observe_gangs(Time now, const Machine& machine) {
    std::set<std::string> leaving;
    for (const auto& [task, p] : machine.tasks) {
        if (p.kind != JobKind::gang || partition_of_attempt(p.attempt) != leadership_.partition()) {
            continue;
        }
        if (p.stage == TaskStage::running && p.via == Placement::Via::reported) {
            gangs_.on_running(task.job);
        }
        if (machine.preemption_notice_s) {
            leaving.insert(task.job);
        }
    }
    for (const auto& id : leaving) {
        end_attempt(now, id, true);
    }
}

void PartitionLeader::supervise_gangs(Time now) {
    if (!reconciled_) {
        return;
    }
    if (gang_reservation_) {
        const Job* job = jobs_.find(gang_reservation_->job);
        bool late = gang_reservation_->until > 0 && now > gang_reservation_->until;
        if (late || !job || !has_schedulable_tasks(now, *job)) {
            release_reservation();
        }
    }
    for (const auto& id : gangs_.overdue(now, jobs_)) {
        end_attempt(now, id, false);
    }
    for (const auto& [id, job] : jobs_.all()) {
        if (job->spec.kind == JobKind::gang && job->open() && job->done > 0 &&
            !job->waiting.empty()) {
            finish_gang_members(now, *job); // the owner before us saw one of them done
        }
    }
}

} // namespace scheduler
