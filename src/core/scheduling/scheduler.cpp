// What waits, in which order, and which idle slots it gets.
#include <algorithm>
#include <tuple>
#include <utility>

#include "core/model/partition_assignment.h"
#include "core/partition_leader.h"

namespace scheduler {

void PartitionLeader::update_slot_lists(Machine& machine) {
    int idle =
        idle_slots(machine.free_cpus(), machine.free_gpus(), machine.free_ram(), machine.type);
    bool listed = slot_finder_.is_schedulable(machine) && (idle > 0 || machine.type.gpus > 0);
    slots_.set({machine.type.name, machine.spot}, machine.name, listed ? idle : -1);
    if (slots_.images_version(machine.name) != machine.images_version) {
        std::vector<std::string> images;
        for (const auto& image : machine.images) {
            images.push_back(image.name);
        }
        slots_.set_images(machine.name, images, machine.images_version);
    }
    lender_.on_machine_changed(machine);
}

bool PartitionLeader::schedule_task(Time now, bool spot, Job& job, std::uint32_t index) {
    const JobSpec& spec = job.spec;
    TaskId task{spec.id, index};
    const std::string* found =
        slot_finder_.find({.spot = spot, .spec = spec, .task = &task, .job = &job});
    if (!found) {
        return false;
    }
    launch_on(now, *machines_.find(*found), job, index,
              leadership_.next_attempt(leadership_.partition(), false));
    return true;
}

void PartitionLeader::launch_on(Time now, Machine& machine, Job& job, std::uint32_t index,
                                std::uint64_t attempt) {
    const JobSpec& spec = job.spec;
    Placement placement = placement_for(spec);
    placement.attempt = attempt;
    placement.over_guarantee = !quotas_.within_guarantee(spec.team, spec.cpus, spec.gpus);
    machines_.queue_start(now, machine, {spec.id, index}, std::move(placement));
    jobs_.mark_placed(job, index, machine.zone);
    quotas_.add_usage(spec.team, spec.cpus, spec.gpus);
    update_slot_lists(machine);
}

bool PartitionLeader::has_schedulable_tasks(Time now, const Job& job) const {
    // After an outage for all, an owner whose claim had outlived it once started replicas of a job
    // that had been cancelled before, until the first answer of its watch.
    return staleness_.is_fresh(now) &&
           (failover_.reconciled() || (failover_.loaded() && !job.in_doubt)) && job.open() &&
           !job.waiting.empty() && now >= job.backoff_until &&
           (job.spec.kind != JobKind::gang || gangs_.may_place(now, job));
}

void PartitionLeader::schedule(Time now) {
    if (!failover_.loaded() || !leadership_.is_active(now) || slots_.empty()) {
        return;
    }
    queue_.invalidate();
    // Each job on its own kind of machine first. What is left of the ordinary ones then serves
    // the jobs that may use spot machines as well: were they let in by rank, jobs that have
    // nowhere else to go would stand behind them.
    fill_slots(now, true, true);
    fill_slots(now, false, false);
    fill_slots(now, false, true);
}

// Strikes slots from our lists for tasks of another part.
void PartitionLeader::lend_slots(Time now, bool spot, int borrower, SlotRequest& request) {
    JobSpec shape = requested_resources(request);
    while (request.count > 0 && lender_.slots_left(borrower) > 0) {
        const std::string* found = slot_finder_.find({.spot = spot, .spec = shape});
        if (!found) {
            return;
        }
        lender_.lend(now, *machines_.find(*found), borrower, request);
    }
}

void PartitionLeader::fill_slots(Time now, bool spot, bool spot_jobs) {
    using Shape = std::tuple<double, double, double>;
    std::set<Shape> full;
    for (const PendingJob& candidate : queue_.ordered(now)) {
        if (candidate.spot != spot_jobs) {
            continue;
        }
        if (candidate.slot_request) {
            Shape shape{candidate.slot_request->cpus, candidate.slot_request->gpus,
                        candidate.slot_request->ram_gb};
            if (candidate.kind == JobKind::gang) {
                gang_scheduler_.lend_slots(now, spot, candidate.borrower, *candidate.slot_request);
            } else if (!full.contains(shape)) {
                lend_slots(now, spot, candidate.borrower, *candidate.slot_request);
            }
            continue;
        }
        const JobSpec& spec = candidate.job->spec;
        bool plain = !spec.types && !spec.zone && !spec.one_zone && !spec.spread;
        Shape shape{spec.cpus, spec.gpus, spec.ram_gb};
        if (spec.kind == JobKind::gang) {
            gang_scheduler_.schedule(now, spot, *candidate.job);
            continue;
        }
        if (plain && full.contains(shape)) {
            continue; // no slot for its like a moment ago, so none now
        }
        while (!candidate.job->waiting.empty() && !candidate.first_task_placed() &&
               quotas_.fits(spec.team, spec.cpus, spec.gpus)) {
            if (!schedule_task(now, spot, *candidate.job, candidate.job->waiting.first())) {
                if (plain) {
                    full.insert(shape);
                }
                break;
            }
        }
    }
}

// Can the slots of this machine serve the candidate now?
bool PartitionLeader::fits_machine(Time now, const Machine& machine,
                                   const PendingJob& candidate) const {
    if (candidate.slot_request) {
        const SlotRequest& request = *candidate.slot_request;
        return request.count > 0 && lender_.slots_left(candidate.borrower) > 0 &&
               machine.available_to(request.job) && request.cpus <= machine.free_cpus() &&
               request.ram_gb <= machine.free_ram() && request.gpus <= machine.free_gpus() &&
               (!request.types || std::find(request.types->begin(), request.types->end(),
                                            machine.type.name) != request.types->end()) &&
               (!request.zone || *request.zone == machine.zone);
    }
    const JobSpec& spec = candidate.job->spec;
    return has_schedulable_tasks(now, *candidate.job) && !candidate.first_task_placed() &&
           machine.available_to(spec.id) && spec.cpus <= machine.free_cpus() &&
           spec.ram_gb <= machine.free_ram() && spec.gpus <= machine.free_gpus() &&
           quotas_.fits(spec.team, spec.cpus, spec.gpus) && spec.allows_type(machine.type.name) &&
           candidate.job->allows_zone(machine.zone) &&
           !machine.reports_exited({spec.id, candidate.job->waiting.first()});
}

// The idle slots of one machine, as its report gives them. Of the candidates of the same rank, one
// whose image the machine has goes before one due a little earlier whose image it would have to
// fetch: while it is fetched, the slots stand idle.
void PartitionLeader::schedule_on(Time now, Machine& machine) {
    if (!failover_.loaded() || !leadership_.is_active(now) || !slot_finder_.is_schedulable(machine) ||
        machine.command_in_flight != 0) {
        return;
    }
    const std::vector<PendingJob>& order = queue_.ordered(now);
    std::set<const PendingJob*> lacking; // gangs for which this machine is not enough
    auto best_of = [&](bool spot_jobs) {
        const PendingJob* best = nullptr;
        Time best_due = 0;
        for (const PendingJob& candidate : order) {
            ++effort_;
            if (best && (!candidate.same_rank(*best) || candidate.due >= best_due)) {
                break; // no warm image makes up for that
            }
            if (candidate.spot != spot_jobs || lacking.contains(&candidate) ||
                !fits_machine(now, machine, candidate)) {
                continue;
            }
            double fetch_s =
                machine.has_image(candidate.image())
                    ? 0
                    : candidate.image_gb() / std::max(1e-3, machine.type.fetch_gb_per_s);
            Time at = candidate.due + policy_.warm_image_patience * fetch_s;
            if (!best || at < best_due) {
                best = &candidate;
                best_due = at;
            }
        }
        return best;
    };
    // Ordinary machines serve first what may use nothing else.
    for (bool spot_jobs : {false, true}) {
        if (machine.spot && !spot_jobs) {
            continue;
        }
        while (const PendingJob* candidate = best_of(spot_jobs)) {
            if (candidate->kind == JobKind::gang) {
                bool placed =
                    candidate->slot_request
                        ? gang_scheduler_.lend_slots(now, machine.spot, candidate->borrower,
                                                     *candidate->slot_request)
                        : gang_scheduler_.schedule(now, machine.spot, *candidate->job);
                if (!placed) {
                    lacking.insert(candidate);
                }
            } else if (candidate->slot_request) {
                lender_.lend(now, machine, candidate->borrower, *candidate->slot_request);
            } else {
                launch_on(now, machine, *candidate->job, candidate->job->waiting.first(),
                          leadership_.next_attempt(leadership_.partition(), false));
            }
        }
    }
}

} // namespace scheduler
