#include "core/scheduling/slot_finder.h"

namespace scheduler {

namespace {
std::uint32_t planned_at(const std::map<std::string, std::uint32_t>& planned,
                         const std::string& where) {
    auto it = planned.find(where);
    return it == planned.end() ? 0 : it->second;
}
} // namespace

bool SlotFinder::is_schedulable(const Machine& machine) const {
    return machine.reporting && machine.fenced && machine.registered &&
           owned_shards_.may_lend(machine.shard) && !machine.draining && !machine.cordoned &&
           !machine.releasing && !machine.preemption_notice_s && !machine.runs_unexpected_tasks() &&
           !machine.has_unknown_resources() &&
           machine.consecutive_errors < policy_.quarantine_errors;
}

const std::string* SlotFinder::find(const SlotQuery& query) const {
    // A machine that has the image before one that has to fetch it.
    for (bool warm : {true, false}) {
        for (const InstanceType* type : instance_types_.by_fetch_speed()) {
            if (!query.spec.allows_type(type->name)) {
                continue;
            }
            if (const std::string* found = find_on_type(query, *type, warm)) {
                return found;
            }
        }
    }
    return nullptr;
}

const std::string* SlotFinder::find_on_type(const SlotQuery& query, const InstanceType& type,
                                            bool warm) const {
    const JobSpec& spec = query.spec;
    auto accepts = [&](const std::string& name) {
        ++effort_;
        return has_room(query, machines_.all().at(name));
    };
    SlotKind kind{type.name, query.spot};
    int least = min_listed_slots(type, spec.cpus, spec.gpus, spec.ram_gb);
    return warm ? slots_.find_least_idle_warm(kind, least, spec.image, accepts)
                : slots_.find_least_idle(kind, least, accepts);
}

bool SlotFinder::has_room(const SlotQuery& query, const Machine& machine) const {
    const JobSpec& spec = query.spec;
    double on_machine = 1;
    std::uint32_t in_zone = 1;
    if (query.plan) {
        on_machine += planned_at(query.plan->tasks_by_machine, machine.name);
        in_zone += planned_at(query.plan->tasks_by_zone, machine.zone);
    }
    bool zone_allowed = query.job ? query.job->allows_zone(machine.zone, in_zone)
                                  : (!spec.zone || *spec.zone == machine.zone) &&
                                        spec.allows_tasks_in_zone(in_zone);
    return zone_allowed && (query.zone.empty() || query.zone == machine.zone) &&
           machine.command_in_flight == 0 && machine.available_to(spec.id) &&
           machine.free_cpus() >= on_machine * spec.cpus &&
           machine.free_ram() >= on_machine * spec.ram_gb &&
           machine.free_gpus() >= on_machine * spec.gpus &&
           !(query.task && machine.reports_exited(*query.task));
}

} // namespace scheduler
