#include "core/scheduling/slot_finder.h"

namespace scheduler {

namespace {
std::uint32_t planned_count(const std::map<std::string, std::uint32_t>& planned,
                            const std::string& key) {
    auto it = planned.find(key);
    return it == planned.end() ? 0 : it->second;
}
} // namespace

bool SlotFinder::is_schedulable(const Machine& machine) const {
    return machine.reporting && machine.fenced && machine.registered &&
           owned_shards_.may_lend(machine.shard) && !machine.draining && !machine.cordoned &&
           !machine.releasing && !machine.preemption_notice_s && !machine.fencing_exhausted() &&
           !machine.runs_unexpected_tasks() && !machine.has_unknown_resources() &&
           machine.consecutive_errors < policy_.quarantine_errors;
}

const std::string* SlotFinder::find(const SlotQuery& query) const {
    // Machines that have the image come first.
    for (bool image_cached : {true, false}) {
        for (const InstanceType* type : instance_types_.by_fetch_speed()) {
            if (!query.spec.allows_type(type->name)) {
                continue;
            }
            if (const std::string* found = find_on_type(query, *type, image_cached)) {
                return found;
            }
        }
    }
    return nullptr;
}

const std::string* SlotFinder::find_on_type(const SlotQuery& query, const InstanceType& type,
                                            bool image_cached) const {
    const JobSpec& spec = query.spec;
    auto accepts = [&](const std::string& name) {
        ++effort_;
        return fits(query, machines_.all().at(name));
    };
    SlotKind kind{type.name, query.spot};
    int min_slots = min_listed_slots(type, spec.cpus, spec.gpus, spec.ram_gb);
    return image_cached ? slots_.find_least_idle_warm(kind, min_slots, spec.image, accepts)
                        : slots_.find_least_idle(kind, min_slots, accepts);
}

bool SlotFinder::fits(const SlotQuery& query, const Machine& machine) const {
    const JobSpec& spec = query.spec;
    double tasks_on_machine = 1;
    std::uint32_t tasks_in_zone = 1;
    if (query.plan) {
        tasks_on_machine += planned_count(query.plan->tasks_by_machine, machine.name);
        tasks_in_zone += planned_count(query.plan->tasks_by_zone, machine.zone);
    }
    bool zone_allowed = query.job ? query.job->allows_zone(machine.zone, tasks_in_zone)
                                  : (!spec.zone || *spec.zone == machine.zone) &&
                                        spec.allows_tasks_in_zone(tasks_in_zone);
    return zone_allowed && (query.zone.empty() || query.zone == machine.zone) &&
           machine.command_in_flight == 0 && machine.available_to(spec.id) &&
           machine.free_cpus() >= tasks_on_machine * spec.cpus &&
           machine.free_ram() >= tasks_on_machine * spec.ram_gb &&
           machine.free_gpus() >= tasks_on_machine * spec.gpus &&
           !(query.task && machine.reports_exited(*query.task));
}

} // namespace scheduler
