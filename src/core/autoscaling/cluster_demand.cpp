#include "core/autoscaling/cluster_demand.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "core/autoscaling/task_packing.h"

namespace scheduler {

namespace {
// Tolerance for rounding errors in sums of resources, in parts of a machine.
constexpr double kRounding = 1e-6;

// Orders the groups by how hard they are to place, the hardest first: those that may run on fewer
// kinds of machines, and of these the ones with larger tasks.
void sort_by_difficulty(std::vector<TaskGroup>& groups) {
    auto rank = [](const TaskGroup& group) {
        return std::tuple(group.spot, group.zones.empty(), group.zones.size(), group.types.size(),
                          -group.gpus, -group.cpus, -group.ram_gb);
    };
    std::stable_sort(groups.begin(), groups.end(),
                     [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
}
} // namespace

MachinePool pool_of(const Machine& machine) {
    return {{machine.type.name, machine.spot}, machine.zone};
}

MachinePool pool_of(const ScaleOut& request) {
    return {{request.type, request.spot}, request.zone};
}

std::size_t idle_parts(const Machine& machine) {
    const InstanceType& type = machine.type;
    double idle = std::min(machine.free_cpus() / type.cpus, machine.free_ram() / type.ram_gb);
    if (type.gpus > 0) {
        idle = std::min(idle, machine.free_gpus() / type.gpus);
    }
    double parts = std::floor(idle * static_cast<double>(kIdleParts) + kRounding);
    return static_cast<std::size_t>(std::clamp(parts, 0.0, static_cast<double>(kIdleParts)));
}

double idle_slots(const Machine& machine) {
    return machine.type.slots() * static_cast<double>(idle_parts(machine)) / kIdleParts;
}

void place_task_groups(const std::vector<InstanceType>& types, ClusterDemand& demand) {
    if (demand.idle_unknown || demand.demand.groups.empty()) {
        return;
    }
    std::vector<TaskGroup> groups = demand.demand.groups;
    sort_by_difficulty(groups);
    TaskPacking packing(types, demand.idle);
    for (TaskGroup& group : groups) {
        std::uint32_t left = packing.pack(group);
        if (left == 0) {
            continue;
        }
        group.slots *= static_cast<double>(left) / group.tasks;
        group.tasks = left;
        double& sum =
            group.spot ? demand.demand.spot_eligible_slots : demand.demand.on_demand_slots;
        sum = std::max(0.0, sum - group.slots);
        demand.unplaced.push_back(group);
    }
    for (const auto& pool : packing.used_pools()) {
        demand.spare_slots[pool] = packing.idle_slots(pool);
    }
}

} // namespace scheduler
