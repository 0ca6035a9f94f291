#include "core/slot_lists.h"

#include <algorithm>
#include <cmath>

namespace orchidlanding {

namespace {
constexpr double kRounding = 1e-6;
}

int slots_needed(const MachineType& type, double cpus, double gpus, double ram_gb) {
    double slots = type.slots();
    double most = std::max({gpus, cpus * slots / type.cpus, ram_gb * slots / type.ram_gb});
    return std::max(1, static_cast<int>(std::ceil(most - kRounding)));
}

int slots_listed(const MachineType& type, double cpus, double gpus, double ram_gb) {
    return type.gpus > 0 ? static_cast<int>(std::ceil(gpus - kRounding))
                         : slots_needed(type, cpus, 0, ram_gb);
}

int slots_idle(double free_cpus, double free_gpus, double free_ram_gb, const MachineType& type) {
    if (type.gpus > 0) {
        return static_cast<int>(std::floor(free_gpus + kRounding));
    }
    double share = type.ram_gb / type.cpus;
    return static_cast<int>(std::floor(std::min(free_cpus, free_ram_gb / share) + kRounding));
}

void SlotLists::set(const SlotKind& kind, const std::string& machine, int slots) {
    auto it = where_.find(machine);
    if (it != where_.end() && it->second == std::pair(kind, slots)) {
        return;
    }
    remove(machine);
    if (slots >= 0) {
        lists_[kind][slots].insert(machine);
        where_[machine] = {kind, slots};
    }
}

void SlotLists::remove(const std::string& machine) {
    auto it = where_.find(machine);
    if (it == where_.end()) {
        return;
    }
    auto& lists = lists_[it->second.first];
    auto list = lists.find(it->second.second);
    list->second.erase(machine);
    if (list->second.empty()) {
        lists.erase(list);
    }
    where_.erase(it);
}

} // namespace orchidlanding
