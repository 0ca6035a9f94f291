#include "core/scheduling/gang_scheduler.h"

#include <algorithm>
#include <utility>

namespace scheduler {

GangScheduler::GangScheduler(const Dependencies& dependencies, Delegate& delegate)
    : leadership_(dependencies.leadership), settings_(dependencies.settings),
      jobs_(dependencies.jobs), machines_(dependencies.machines), quotas_(dependencies.quotas),
      gangs_(dependencies.gangs), slot_finder_(dependencies.slot_finder),
      queue_(dependencies.queue), lender_(dependencies.lender), borrower_(dependencies.borrower),
      launcher_(dependencies.launcher), requests_(dependencies.requests), delegate_(delegate) {}

GangScheduler::Members GangScheduler::waiting_members(const Job& job) {
    return {job.waiting.begin(), job.waiting.end()};
}

GangScheduler::TasksByZone GangScheduler::count_by_zone(const HeldGrants& held) {
    TasksByZone counts;
    for (const auto& [member, held_grant] : held) {
        ++counts[held_grant.grant.zone];
    }
    return counts;
}

// Are slots being held for this gang?
bool GangScheduler::has_reservation_for(const Job& job) const {
    return reservation_ && reservation_->job == job.spec.id;
}

// The zones to try for a gang, each as its only one where it asks for that; else any mix of them.
std::vector<std::string> GangScheduler::candidate_zones(bool one_zone) const {
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

// Finds slots for as many of the members as there are, without taking any.
GangPlacement GangScheduler::plan(const PlanRequest& request) const {
    GangPlacement plan;
    plan.tasks_by_zone = request.tasks_by_zone;
    for (std::uint32_t member : request.members) {
        TaskId task{request.spec.id, member};
        const std::string* found = slot_finder_.find({.spot = request.spot,
                                                      .spec = request.spec,
                                                      .task = &task,
                                                      .job = request.job,
                                                      .plan = &plan,
                                                      .zone = request.zone});
        if (!found) {
            break;
        }
        plan.machines.push_back(*found);
        ++plan.tasks_by_machine[*found];
        ++plan.tasks_by_zone[machines_.all().at(*found).zone];
    }
    return plan;
}

bool GangScheduler::schedule(Time now, bool spot, Job& job) {
    if (!delegate_.has_schedulable_tasks(now, job) || !gang_fits_quota(quotas_, job)) {
        return false;
    }
    Members members = waiting_members(job);
    for (const auto& zone : candidate_zones(job.spec.one_zone)) {
        GangPlacement found =
            plan({.spot = spot, .spec = job.spec, .members = members, .job = &job, .zone = zone});
        if (found.machines.size() == members.size()) {
            launch(now, job, members, found, 0);
            return true;
        }
    }
    return false;
}

// `attempt`: the one that other members are part of; 0: the gang's own, or a new one.
void GangScheduler::launch(Time now, Job& job, const Members& members, const GangPlacement& plan,
                           std::uint64_t attempt) {
    const GangTracker::Attempt* current = gangs_.find(job.spec.id);
    if (attempt == 0) {
        attempt =
            current ? current->number : leadership_.next_attempt(leadership_.partition(), true);
    }
    if (!current) {
        gangs_.begin(now, job.spec.id, attempt);
    }
    for (std::size_t i = 0; i < members.size(); ++i) {
        launcher_.launch(now, *machines_.find(plan.machines[i]), job, members[i], attempt);
    }
}

// ---- Slots of other partitions ----

bool GangScheduler::request_slots(const Job& job, bool missing_only, SlotRequest& request) {
    const JobSpec& spec = job.spec;
    const GangTracker::Attempt* attempt = gangs_.find(spec.id);
    request.one_zone = spec.one_zone;
    request.spread = spec.spread;
    request.gang_size = spec.tasks;
    request.attempt = attempt ? attempt->number : 0;
    Members members = waiting_members(job);
    if (spec.one_zone && !job.placed_by_zone.empty()) {
        // A lost member comes back where the others are.
        request.zone = job.placed_by_zone.begin()->first;
    } else if (missing_only && !attempt && members.size() > 1 &&
               (has_reservation_for(job) || !reservation_)) {
        request_missing(job, members, request);
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

// Leaves only the members that neither a held slot nor one of our own is there for, and begins to
// gather slots for them.
void GangScheduler::request_missing(const Job& job, Members& members, SlotRequest& request) {
    const JobSpec& spec = job.spec;
    bool has_reservation = has_reservation_for(job);
    std::string zone;
    if (has_reservation) {
        const HeldGrants& held = reservation_->grants;
        std::erase_if(members, [&](std::uint32_t member) { return held.contains(member); });
        zone = spec.one_zone && !held.empty() ? held.begin()->second.grant.zone : "";
    }
    // Our own slots are the last to be taken, so they are for the last members.
    std::size_t own_slots = count_own_slots(job, members, zone);
    members.resize(members.size() - own_slots);
    if (!zone.empty()) {
        request.zone = zone;
    }
    request.accepts_partial = true;
    if (!has_reservation && !members.empty()) {
        std::uint64_t attempt = leadership_.next_attempt(leadership_.partition(), true);
        reservation_ = GangReservation{spec.id, attempt, {}, 0};
    }
    request.attempt = reservation_ ? reservation_->attempt : 0;
}

// How many of the members our own slots would do for. `zone`: the only one to look in; if empty,
// the first zone with any slots is chosen and put there.
std::size_t GangScheduler::count_own_slots(const Job& job, const Members& members,
                                           std::string& zone) const {
    const JobSpec& spec = job.spec;
    std::size_t max_slots = 0;
    for (const auto& candidate : candidate_zones(spec.one_zone)) {
        if (!zone.empty() && candidate != zone) {
            continue;
        }
        for (bool spot : {true, false}) {
            if (spot && !spec.spot) {
                continue;
            }
            GangPlacement found = plan(
                {.spot = spot, .spec = spec, .members = members, .job = &job, .zone = candidate});
            if (found.machines.size() > max_slots) {
                max_slots = found.machines.size();
                zone = candidate;
            }
        }
    }
    return max_slots;
}

// With our own slots for the rest the grants become an attempt; else they are held for a moment or
// go back, and nothing starts.
void GangScheduler::on_grants(Time now, int partition, const std::vector<SlotGrant>& grants) {
    Job* job = jobs_.find(grants.front().job);
    std::uint64_t number = grants.front().launch.attempt;
    bool has_reservation = reservation_ && reservation_->attempt == number;
    bool usable = can_use_grants(now, job, number);
    HeldGrants held;
    if (has_reservation) {
        held = reservation_->grants;
    }
    hold_or_return(usable ? job : nullptr, partition, grants, held);
    if (!usable) {
        return;
    }
    Members remaining = waiting_members(*job);
    std::erase_if(remaining, [&](std::uint32_t member) { return held.contains(member); });
    GangPlacement own_placement = plan_remaining(*job, remaining, held);
    if (!held.empty() && own_placement.machines.size() == remaining.size()) {
        if (has_reservation) {
            reservation_.reset(); // what it held is used now
        }
        launch(now, *job, remaining, own_placement, number);
        launch_with_grants(*job, held, has_reservation);
    } else if (has_reservation) {
        reservation_->grants = std::move(held);
        if (reservation_->until == 0) {
            // Before their leader takes them back.
            reservation_->until = now + settings_.heartbeat_interval_s;
        }
    } else {
        return_grants(held);
    }
}

bool GangScheduler::can_use_grants(Time now, const Job* job, std::uint64_t attempt) const {
    if (!job || !leadership_.is_active(now) || !delegate_.has_schedulable_tasks(now, *job) ||
        !gang_fits_quota(quotas_, *job)) {
        return false;
    }
    const GangTracker::Attempt* current = gangs_.find(job->spec.id);
    return !current || current->number == attempt;
}

// Adds the grants that suit the job to those held and returns the others. `job` is null if none
// can be used.
void GangScheduler::hold_or_return(const Job* job, int partition,
                                   const std::vector<SlotGrant>& grants, HeldGrants& held) {
    TasksByZone in_zone = count_by_zone(held);
    for (const auto& grant : grants) {
        std::uint32_t member = grant.launch.index;
        bool zone_ok =
            job && job->allows_zone(grant.zone, in_zone[grant.zone] + 1) &&
            !(job->spec.one_zone && !held.empty() && held.begin()->second.grant.zone != grant.zone);
        if (zone_ok && job->waiting.contains(member) && borrower_.fits_grant(*job, grant) &&
            held.emplace(member, HeldGrant{partition, grant}).second) {
            ++in_zone[grant.zone];
            continue;
        }
        auto same = held.find(member);
        if (same == held.end() || same->second.grant.machine != grant.machine) {
            borrower_.return_grant(partition, grant); // but not the very slot that is held
        }
    }
}

// Our own slots for the members that no slot is held for; fewer if there are not enough.
GangPlacement GangScheduler::plan_remaining(const Job& job, const Members& remaining,
                                            const HeldGrants& held) const {
    const JobSpec& spec = job.spec;
    bool keep_zone = spec.one_zone && !held.empty();
    PlanRequest request{.spec = spec,
                        .members = remaining,
                        .job = &job,
                        .zone = keep_zone ? held.begin()->second.grant.zone : "",
                        .tasks_by_zone = count_by_zone(held)};
    GangPlacement found;
    for (bool spot : {true, false}) {
        if (found.machines.size() < remaining.size() && (!spot || spec.spot)) {
            request.spot = spot;
            found = plan(request);
        }
    }
    return found;
}

// `gathered`: the slots came from several partitions, so what these were asked for is out of date.
void GangScheduler::launch_with_grants(Job& job, const HeldGrants& held, bool from_reservation) {
    for (const auto& [member, held_grant] : held) {
        borrower_.launch(held_grant.partition, held_grant.grant, job, member);
        if (from_reservation) {
            borrower_.request_full_resync(held_grant.partition);
        }
    }
}

void GangScheduler::return_grants(const HeldGrants& held) {
    for (const auto& [member, held_grant] : held) {
        borrower_.return_grant(held_grant.partition, held_grant.grant);
    }
}

void GangScheduler::release_reservation() {
    if (reservation_) {
        return_grants(reservation_->grants);
        reservation_.reset();
    }
}

bool GangScheduler::lend_slots(Time now, bool spot, int borrower, SlotRequest& request) {
    if (request.count == 0 || lender_.slots_left(borrower) < request.count) {
        return false;
    }
    JobSpec spec = requested_resources(request);
    GangPlacement best;
    for (const auto& zone : candidate_zones(request.one_zone)) {
        GangPlacement found =
            plan({.spot = spot, .spec = spec, .members = request.gang_members, .zone = zone});
        if (found.machines.size() > best.machines.size()) {
            best = std::move(found);
        }
    }
    std::size_t count = best.machines.size();
    if (count == 0 || (count < request.gang_members.size() && !request.accepts_partial)) {
        return false;
    }
    for (std::size_t i = 0; i < count; ++i) {
        lender_.lend(now, *machines_.find(best.machines[i]), borrower, request,
                     request.gang_members[i]);
    }
    request.count = 0; // asked and answered
    return true;
}

// ---- The end of an attempt ----

// All its tasks are told at once, and directly: those that are not told in time cannot save.
void GangScheduler::end_attempt(Time now, const std::string& id, bool may_save) {
    Job* job = jobs_.find(id);
    if (!job || !gangs_.end(id, may_save)) {
        return;
    }
    requests_.log(LogLevel::info, "event=gang_attempt_ended job=" + id +
                                      " placed=" + std::to_string(job->placed) +
                                      " saves=" + (may_save ? "1" : "0"));
    double grace_s = may_save ? kSaveGraceFactor * job->spec.save_s : 0;
    borrower_.stop_job(id, grace_s);
    for (auto& [name, machine] : machines_.all()) {
        stop_tasks_on(now, machine, id, grace_s);
    }
}

void GangScheduler::stop_tasks_on(Time now, Machine& machine, const std::string& job,
                                  double grace_s) {
    for (const auto& removed : machines_.cancel_queued_starts(machine, &job)) {
        delegate_.on_task_removed(now, machine.name, removed);
    }
    auto it = machine.tasks.lower_bound({job, 0});
    for (; it != machine.tasks.end() && it->first.job == job; ++it) {
        const Placement& placement = it->second;
        if (placement.via == Placement::Via::reported &&
            leadership_.is_own_attempt(placement.attempt)) {
            machines_.queue_stop(machine, it->first, placement.attempt, grace_s);
        }
    }
}

// One that is done shows that all are: they complete together, even if the machine of another was
// lost before it could say so.
void GangScheduler::on_task_gone(Time now, Job& job, ExitReason reason) {
    const std::string id = job.spec.id;
    const GangTracker::Attempt* attempt = gangs_.find(id);
    if (job.done > 0) {
        finish_members(now, job);
    } else if (attempt && (attempt->has_run || reason == ExitReason::gang_incomplete ||
                           reason == ExitReason::gang_member_lost)) {
        end_attempt(now, id, false);
    }
    if (job.placed == 0) {
        gangs_.on_attempt_gone(id);
        queue_.invalidate();
    }
}

void GangScheduler::finish_members(Time now, Job& job) {
    for (std::uint32_t member : waiting_members(job)) {
        jobs_.mark_done(job, member);
    }
    if (job.complete() && job.open()) {
        delegate_.on_gang_complete(now, job);
    }
}

void GangScheduler::on_machine_inventory(Time now, const Machine& machine) {
    std::set<std::string> preempted_gangs; // gangs with tasks on a machine that is about to go
    for (const auto& [task, placement] : machine.tasks) {
        if (placement.kind != JobKind::gang || !leadership_.is_own_attempt(placement.attempt)) {
            continue;
        }
        if (placement.stage == TaskStage::running && placement.via == Placement::Via::reported) {
            gangs_.on_task_running(task.job);
        }
        if (machine.preemption_notice_s) {
            preempted_gangs.insert(task.job);
        }
    }
    for (const auto& id : preempted_gangs) {
        end_attempt(now, id, true);
    }
}

void GangScheduler::run_periodic_checks(Time now) {
    if (!delegate_.reconciled()) {
        return;
    }
    check_reservation(now);
    for (const auto& id : gangs_.overdue_gangs(now, jobs_)) {
        end_attempt(now, id, false);
    }
    for (const auto& [id, job] : jobs_.all()) {
        if (job->spec.kind == JobKind::gang && job->open() && job->done > 0 &&
            !job->waiting.empty()) {
            finish_members(now, *job); // the leader before us saw one of them done
        }
    }
}

// Held slots go back when they were not enough in time, or are wanted no more.
void GangScheduler::check_reservation(Time now) {
    if (!reservation_) {
        return;
    }
    const Job* job = jobs_.find(reservation_->job);
    bool expired = reservation_->until > 0 && now > reservation_->until;
    if (expired || !job || !delegate_.has_schedulable_tasks(now, *job)) {
        release_reservation();
    }
}

} // namespace scheduler
