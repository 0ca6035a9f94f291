#include "core/autoscaling/task_packing.h"

#include <algorithm>
#include <cmath>

#include "core/machines/slot_lists.h"

namespace scheduler {

namespace {
// Tolerance for rounding errors in quotients of slots.
constexpr double kRounding = 1e-6;

bool allows_type(const RestrictedTasks& tasks, const std::string& type) {
    return std::binary_search(tasks.types.begin(), tasks.types.end(), type);
}

std::uint32_t tasks_in(double slots, int slots_per_task) {
    return static_cast<std::uint32_t>(std::floor(slots / slots_per_task + kRounding));
}
} // namespace

int slots_per_task(const RestrictedTasks& tasks, const InstanceType& type) {
    if (!allows_type(tasks, type.name)) {
        return 0;
    }
    return slots_needed(type, tasks.cpus, tasks.gpus, tasks.ram_gb);
}

std::uint32_t tasks_per_machine(const RestrictedTasks& tasks, const InstanceType& type) {
    int slots = slots_per_task(tasks, type);
    return slots > 0 ? tasks_in(type.slots(), slots) : 0;
}

TaskPacking::TaskPacking(const std::vector<InstanceType>& types, const IdleMachines& idle)
    : types_(types) {
    for (const auto& type : types_) {
        for (bool spot : {false, true}) {
            SlotKind kind{type.name, spot};
            auto found = idle.find(kind);
            if (found == idle.end()) {
                continue;
            }
            for (std::size_t i = 0; i < kIdleParts; ++i) {
                if (std::uint32_t machines = found->second.at(i); machines > 0) {
                    double idle_part = static_cast<double>(i + 1) / kIdleParts;
                    machines_[kind][idle_part * type.slots()] += machines;
                }
            }
        }
    }
}

std::uint32_t TaskPacking::pack(const RestrictedTasks& tasks) {
    std::uint32_t left = tasks.tasks;
    for (bool spot : {true, false}) {
        if (spot && !tasks.spot) {
            continue;
        }
        for (const auto& type : types_) {
            if (int slots = slots_per_task(tasks, type); slots > 0) {
                left -= pack_on_kind({type.name, spot}, slots, left);
            }
        }
    }
    return left;
}

// Packs up to `tasks` tasks of `slots` slots each. Returns how many fit.
std::uint32_t TaskPacking::pack_on_kind(const SlotKind& kind, int slots, std::uint32_t tasks) {
    auto found = machines_.find(kind);
    if (found == machines_.end()) {
        return 0;
    }
    MachinesByIdleSlots left_over;
    std::uint32_t packed = 0;
    auto& machines = found->second;
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
    if (packed > 0) {
        packed_slots_[kind] += static_cast<double>(packed) * slots;
    }
    return packed;
}

double TaskPacking::idle_slots(const SlotKind& kind) const {
    auto found = machines_.find(kind);
    double slots = 0;
    if (found != machines_.end()) {
        for (const auto& [idle, machines] : found->second) {
            slots += idle * machines;
        }
    }
    return slots;
}

} // namespace scheduler
