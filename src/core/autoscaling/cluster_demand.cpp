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
void sort_by_difficulty(std::vector<RestrictedTasks>& groups) {
    auto rank = [](const RestrictedTasks& group) {
        return std::tuple(group.spot, group.types.size(), -group.gpus, -group.cpus, -group.ram_gb);
    };
    std::stable_sort(groups.begin(), groups.end(),
                     [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
}

// Returns the slots that one of the tasks takes up on the type where it costs least; 0 if it may
// run on none of the types.
int slots_on_cheapest(const RestrictedTasks& tasks, const std::vector<InstanceType>& types) {
    int slots = 0;
    double lowest_price = 0;
    for (const auto& type : types) {
        int needed = slots_per_task(tasks, type);
        double price = type.price * needed / type.slots();
        if (needed > 0 && (slots == 0 || price < lowest_price)) {
            slots = needed;
            lowest_price = price;
        }
    }
    return slots;
}
} // namespace

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

void place_restricted_tasks(const std::vector<InstanceType>& types, ClusterDemand& demand) {
    if (demand.idle_unknown || demand.demand.restricted.empty()) {
        return;
    }
    std::vector<RestrictedTasks> groups = demand.demand.restricted;
    sort_by_difficulty(groups);
    TaskPacking packing(types, demand.idle);
    for (RestrictedTasks& group : groups) {
        int slots = slots_on_cheapest(group, types);
        group.tasks = packing.pack(group);
        if (slots == 0 || group.tasks == 0) {
            continue;
        }
        double& sum =
            group.spot ? demand.demand.spot_eligible_slots : demand.demand.on_demand_slots;
        sum = std::max(0.0, sum - static_cast<double>(group.tasks) * slots);
        demand.unplaced.push_back(group);
    }
    for (const auto& [kind, slots] : packing.packed_slots()) {
        demand.spare_slots[kind] = packing.idle_slots(kind);
    }
}

} // namespace scheduler
