#include "core/scheduling/task_scheduler.h"

#include <algorithm>

namespace scheduler {

TaskScheduler::TaskScheduler(const Dependencies& dependencies, const Delegate& delegate)
    : leadership_(dependencies.leadership), policy_(dependencies.policy),
      machines_(dependencies.machines), quotas_(dependencies.quotas), slots_(dependencies.slots),
      slot_finder_(dependencies.slot_finder), queue_(dependencies.queue),
      lender_(dependencies.lender), gang_scheduler_(dependencies.gang_scheduler),
      launcher_(dependencies.launcher), delegate_(delegate) {}

void TaskScheduler::schedule(Time now) {
    if (slots_.empty()) {
        return;
    }
    queue_.invalidate();
    // Jobs that may use spot machines are placed on spot machines first, and the other jobs on
    // on-demand machines. Only then do spot-eligible jobs get on-demand slots: ordered by rank
    // alone, they would displace jobs that cannot use anything else.
    fill_slots(now, true, true);
    fill_slots(now, false, false);
    fill_slots(now, false, true);
}

void TaskScheduler::fill_slots(Time now, bool spot, bool spot_jobs) {
    std::set<TaskResources> exhausted;
    for (const PendingJob& candidate : queue_.ordered(now)) {
        if (candidate.spot != spot_jobs) {
            continue;
        }
        if (candidate.slot_request) {
            fill_request(now, spot, candidate, exhausted);
        } else if (candidate.job->spec.kind == JobKind::gang) {
            gang_scheduler_.schedule(now, spot, *candidate.job);
        } else {
            fill_job(now, spot, candidate, exhausted);
        }
    }
}

// Lends slots for a request of another partition. `exhausted` holds the requirements for which no
// slots are left.
void TaskScheduler::fill_request(Time now, bool spot, const PendingJob& candidate,
                                 const std::set<TaskResources>& exhausted) {
    SlotRequest& request = *candidate.slot_request;
    if (candidate.kind == JobKind::gang) {
        gang_scheduler_.lend_slots(now, spot, candidate.borrower, request);
    } else if (!exhausted.contains({request.cpus, request.gpus, request.ram_gb})) {
        lend_slots(now, spot, candidate.borrower, request);
    }
}

// Starts tasks of one of the partition's jobs. `exhausted` holds the requirements for which no
// slots are left; those of the job are added if none is found.
void TaskScheduler::fill_job(Time now, bool spot, const PendingJob& candidate,
                             std::set<TaskResources>& exhausted) {
    Job& job = *candidate.job;
    const JobSpec& spec = job.spec;
    bool is_unconstrained = !spec.types && !spec.zone && !spec.one_zone && !spec.spread;
    TaskResources resources{spec.cpus, spec.gpus, spec.ram_gb};
    if (is_unconstrained && exhausted.contains(resources)) {
        return; // an earlier job with these requirements found no slot
    }
    while (!job.waiting.empty() && !candidate.first_task_placed() &&
           quotas_.fits(spec.team, spec.cpus, spec.gpus)) {
        if (!schedule_task(now, spot, job, job.waiting.first())) {
            if (is_unconstrained) {
                exhausted.insert(resources);
            }
            return;
        }
    }
}

bool TaskScheduler::schedule_task(Time now, bool spot, Job& job, std::uint32_t index) {
    TaskId task{job.spec.id, index};
    const std::string* machine_name =
        slot_finder_.find({.spot = spot, .spec = job.spec, .task = &task, .job = &job});
    if (!machine_name) {
        return false;
    }
    launcher_.launch(now, *machines_.find(*machine_name), job, index,
                     leadership_.next_attempt(leadership_.partition(), false));
    return true;
}

// Lends idle slots of any machine for tasks of another partition.
void TaskScheduler::lend_slots(Time now, bool spot, int borrower, SlotRequest& request) {
    JobSpec spec = requested_resources(request);
    while (request.count > 0 && lender_.slots_left(borrower) > 0) {
        const std::string* machine_name = slot_finder_.find({.spot = spot, .spec = spec});
        if (!machine_name) {
            return;
        }
        lender_.lend(now, *machines_.find(*machine_name), borrower, request);
    }
}

bool TaskScheduler::fits_request(const Machine& machine, const PendingJob& candidate) const {
    const SlotRequest& request = *candidate.slot_request;
    return request.count > 0 && lender_.slots_left(candidate.borrower) > 0 &&
           machine.available_to(request.job) && request.cpus <= machine.free_cpus() &&
           request.ram_gb <= machine.free_ram() && request.gpus <= machine.free_gpus() &&
           (!request.types || std::find(request.types->begin(), request.types->end(),
                                        machine.type.name) != request.types->end()) &&
           (!request.zone || *request.zone == machine.zone);
}

// Returns whether the machine's idle slots can serve the candidate now.
bool TaskScheduler::fits_machine(Time now, const Machine& machine,
                                 const PendingJob& candidate) const {
    if (candidate.slot_request) {
        return fits_request(machine, candidate);
    }
    const JobSpec& spec = candidate.job->spec;
    return delegate_.has_schedulable_tasks(now, *candidate.job) && !candidate.first_task_placed() &&
           machine.available_to(spec.id) && spec.cpus <= machine.free_cpus() &&
           spec.ram_gb <= machine.free_ram() && spec.gpus <= machine.free_gpus() &&
           quotas_.fits(spec.team, spec.cpus, spec.gpus) && spec.allows_type(machine.type.name) &&
           candidate.job->allows_zone(machine.zone) &&
           !machine.reports_exited({spec.id, candidate.job->waiting.first()});
}

// Returns the candidate to place next on the machine, null if there is none. Among candidates of
// the same rank, one whose image is cached on the machine is preferred to one that is due slightly
// earlier: slots are idle while an image is fetched.
const PendingJob* TaskScheduler::best_for(Time now, const Machine& machine, bool spot_jobs,
                                          const std::vector<PendingJob>& pending,
                                          const Candidates& insufficient) {
    const PendingJob* best = nullptr;
    Time best_due = 0;
    for (const PendingJob& candidate : pending) {
        ++effort_;
        if (best && (!candidate.same_rank(*best) || candidate.due >= best_due)) {
            break; // no later candidate is better, even with a cached image
        }
        if (candidate.spot != spot_jobs || insufficient.contains(&candidate) ||
            !fits_machine(now, machine, candidate)) {
            continue;
        }
        double fetch_s = machine.fetch_s(candidate.image(), candidate.image_gb());
        Time due = candidate.due + policy_.warm_image_patience * fetch_s;
        if (!best || due < best_due) {
            best = &candidate;
            best_due = due;
        }
    }
    return best;
}

void TaskScheduler::schedule_on(Time now, Machine& machine) {
    if (!slot_finder_.is_schedulable(machine) || machine.command_in_flight != 0) {
        return;
    }
    const std::vector<PendingJob>& pending = queue_.ordered(now);
    Candidates insufficient; // gangs for which there are not enough slots
    // On-demand slots go first to jobs that may not use spot machines.
    for (bool spot_jobs : {false, true}) {
        if (machine.spot && !spot_jobs) {
            continue;
        }
        while (const PendingJob* candidate =
                   best_for(now, machine, spot_jobs, pending, insufficient)) {
            if (!place_on(now, machine, *candidate)) {
                insufficient.insert(candidate);
            }
        }
    }
}

// Assigns slots of the machine to the candidate; a gang may get slots of other machines too.
// Returns false if it is a gang and there are not enough slots.
bool TaskScheduler::place_on(Time now, Machine& machine, const PendingJob& candidate) {
    if (candidate.kind == JobKind::gang) {
        return candidate.slot_request
                   ? gang_scheduler_.lend_slots(now, machine.spot, candidate.borrower,
                                                *candidate.slot_request)
                   : gang_scheduler_.schedule(now, machine.spot, *candidate.job);
    }
    if (candidate.slot_request) {
        lender_.lend(now, machine, candidate.borrower, *candidate.slot_request);
    } else {
        launcher_.launch(now, machine, *candidate.job, candidate.job->waiting.first(),
                         leadership_.next_attempt(leadership_.partition(), false));
    }
    return true;
}

} // namespace scheduler
