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

// Returns whether the current reservation is for this gang.
bool GangScheduler::has_reservation_for(const Job& job) const {
    return reservation_ && reservation_->job == job.spec.id;
}

// Returns the zones to try for a gang. Without `one_zone` the only entry is empty: the tasks may be
// in any mix of zones.
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

// Plans slots for as many of the members as possible, in their order, without reserving them.
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

// Launches the members on the planned machines. `attempt` is the attempt of the other members; if
// it is 0, the gang's current attempt is used, or a new one begins.
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
        // A lost member is replaced in the zone of the others.
        request.zone = job.placed_by_zone.begin()->first;
    } else if (missing_only && !attempt && members.size() > 1 &&
               (has_reservation_for(job) || !reservation_)) {
        request_missing(job, members, request);
    }
    if (members.empty()) {
        return false; // the partition's own slots suffice
    }
    if (request.attempt == 0) {
        request.attempt = leadership_.next_attempt(leadership_.partition(), true);
    }
    request.count = static_cast<std::uint32_t>(members.size());
    request.gang_members = std::move(members);
    return true;
}

// Removes the members for which there is a held slot or a slot of this partition, and begins a
// reservation for the others.
void GangScheduler::request_missing(const Job& job, Members& members, SlotRequest& request) {
    const JobSpec& spec = job.spec;
    bool has_reservation = has_reservation_for(job);
    std::string zone;
    if (has_reservation) {
        const HeldGrants& held = reservation_->grants;
        std::erase_if(members, [&](std::uint32_t member) { return held.contains(member); });
        zone = spec.one_zone && !held.empty() ? held.begin()->second.grant.zone : "";
    }
    // The partition's own slots are taken last, so they are planned for the last members.
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

// Returns for how many of the members this partition has slots. Searches `zone` only; if it is
// empty, sets it to the first zone with any slots.
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

// If the partition's own slots suffice for the remaining members, launches all members as one
// attempt. Otherwise nothing is launched: the grants are held if they belong to the reservation,
// and returned if not.
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
            reservation_.reset(); // its grants are used now
        }
        launch(now, *job, remaining, own_placement, number);
        launch_with_grants(*job, held, has_reservation);
    } else if (has_reservation) {
        reservation_->grants = std::move(held);
        if (reservation_->until == 0) {
            // Must be earlier than the lender fences the slots.
            reservation_->until = now + settings_.heartbeat_interval_s;
        }
    } else {
        return_grants(held);
    }
}

// Returns whether the gang may be launched now, on slots granted for this attempt.
bool GangScheduler::can_use_grants(Time now, const Job* job, std::uint64_t attempt) const {
    if (!job || !leadership_.is_active(now) || !delegate_.has_schedulable_tasks(now, *job) ||
        !gang_fits_quota(quotas_, *job)) {
        return false;
    }
    const GangTracker::Attempt* current = gangs_.find(job->spec.id);
    return !current || current->number == attempt;
}

// Adds the grants that the job can use to the held ones and returns the others to the lender. `job`
// is null if none can be used.
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
            // Not returned if it repeats the grant of the slot that is already held.
            borrower_.return_grant(partition, grant);
        }
    }
}

// Plans this partition's slots for the members without a held grant. The plan is shorter if there
// are not enough slots.
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

// Launches tasks on the held grants. With `from_reservation` the slots were held for a while, so
// the inventories of their lenders may be outdated and full ones are requested.
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
    request.count = 0; // the request is served
    return true;
}

// ---- The end of an attempt ----

// Stops all tasks at the same time and without waiting for heartbeats: a task that is not stopped
// in time cannot save its state.
void GangScheduler::end_attempt(Time now, const std::string& id, bool may_save) {
    Job* job = jobs_.find(id);
    if (!job || !gangs_.end(id, may_save)) {
        return;
    }
    requests_.log(LogLevel::info, "event=gang_attempt_ended job=" + id +
                                      " placed=" + std::to_string(job->placed) +
                                      " saves=" + (may_save ? "1" : "0"));
    double grace_s = may_save ? kSaveGraceFactor * job->spec.save_duration_s : 0;
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
        if (placement.launch_state == Placement::LaunchState::reported &&
            leadership_.is_own_attempt(placement.attempt)) {
            machines_.queue_stop(machine, it->first, placement.attempt, grace_s);
        }
    }
}

// The tasks of a gang complete together, so one completed task implies that all have completed,
// even if the machine of another task was lost before it reported the completion.
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
    std::set<std::string> preempted_gangs; // gangs with tasks on this machine
    for (const auto& [task, placement] : machine.tasks) {
        if (placement.kind != JobKind::gang || !leadership_.is_own_attempt(placement.attempt)) {
            continue;
        }
        if (placement.stage == TaskStage::running &&
            placement.launch_state == Placement::LaunchState::reported) {
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
            finish_members(now, *job); // an earlier leader recorded the completion of one task
        }
    }
}

// Returns the held slots if they did not suffice in time, or if the job no longer needs them.
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
