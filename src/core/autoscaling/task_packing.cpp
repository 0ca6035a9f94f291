#include "core/autoscaling/task_packing.h"

#include <algorithm>
#include <cmath>

#include "core/machines/slot_lists.h"

namespace scheduler {

namespace {
// Tolerance for rounding errors in quotients of slots.
constexpr double kRounding = 1e-6;

bool allows_type(const TaskGroup& tasks, const std::string& type) {
    return std::binary_search(tasks.types.begin(), tasks.types.end(), type);
}

std::uint32_t tasks_in(double slots, int slots_per_task) {
    return static_cast<std::uint32_t>(std::floor(slots / slots_per_task + kRounding));
}
} // namespace

bool allows_zone(const TaskGroup& tasks, const std::string& zone) {
    return tasks.zones.empty() || std::binary_search(tasks.zones.begin(), tasks.zones.end(), zone);
}

bool allows_zone_and_spot(const TaskGroup& tasks, const MachinePool& pool) {
    return (tasks.spot || !pool.kind.spot) && allows_zone(tasks, pool.zone);
}

int slots_per_task(const TaskGroup& tasks, const InstanceType& type) {
    if (!allows_type(tasks, type.name)) {
        return 0;
    }
    return slots_needed(type, tasks.cpus, tasks.gpus, tasks.ram_gb);
}

std::uint32_t tasks_per_machine(const TaskGroup& tasks, const InstanceType& type) {
    int slots = slots_per_task(tasks, type);
    return slots > 0 ? tasks_in(type.slots(), slots) : 0;
}

TaskPacking::TaskPacking(const std::vector<InstanceType>& types, const IdleMachines& idle) {
    for (const auto& type : types) {
        types_[type.name] = type;
    }
    for (const auto& [pool, machines] : idle) {
        auto type = types_.find(pool.kind.type);
        if (type == types_.end()) {
            continue;
        }
        for (std::size_t i = 0; i < kIdleParts; ++i) {
            if (machines.at(i) > 0) {
                double idle_part = static_cast<double>(i + 1) / kIdleParts;
                machines_[pool][idle_part * type->second.slots()] += machines.at(i);
            }
        }
    }
}

void TaskPacking::add_machines(const MachinePool& pool, std::uint32_t count) {
    if (auto type = types_.find(pool.kind.type); type != types_.end()) {
        machines_[pool][type->second.slots()] += count;
    }
}

std::uint32_t TaskPacking::pack(const TaskGroup& tasks) {
    std::uint32_t left = tasks.tasks;
    for (bool spot : {true, false}) {
        for (auto& [pool, machines] : machines_) {
            bool allowed = pool.kind.spot == spot && allows_zone_and_spot(tasks, pool);
            int slots = allowed ? slots_per_task(tasks, types_.at(pool.kind.type)) : 0;
            if (slots == 0) {
                continue;
            }
            if (std::uint32_t packed = pack_in_pool(machines, slots, left); packed > 0) {
                left -= packed;
                used_pools_.insert(pool);
            }
        }
    }
    return left;
}

// Packs up to `tasks` tasks of `slots` slots each. Returns how many fit.
std::uint32_t TaskPacking::pack_in_pool(MachinesByIdleSlots& machines, int slots,
                                        std::uint32_t tasks) {
    MachinesByIdleSlots left_over;
    std::uint32_t packed = 0;
    auto bin = machines.lower_bound(slots - kRounding);
    while (bin != machines.end() && packed < tasks) {
        const double idle = bin->first;
        std::uint32_t on_machine = std::min(tasks_in(idle, slots), tasks - packed);
        std::uint32_t used = std::min(bin->second, (tasks - packed) / on_machine);
        packed += used * on_machine;
        left_over[idle - static_cast<double>(on_machine) * slots] += used;
        bin->second -= used;
        if (bin->second == 0) {
            bin = machines.erase(bin);
        }
    }
    for (const auto& [idle, count] : left_over) {
        machines[idle] += count;
    }
    return packed;
}

double TaskPacking::idle_slots(const MachinePool& pool) const {
    auto found = machines_.find(pool);
    double slots = 0;
    if (found != machines_.end()) {
        for (const auto& [idle, machines] : found->second) {
            slots += idle * machines;
        }
    }
    return slots;
}

} // namespace scheduler
