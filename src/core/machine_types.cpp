#include "core/machine_types.h"

#include <algorithm>

#include "core/slot_lists.h"

namespace orchidlanding {

MachineTypes::MachineTypes(const std::vector<MachineType>& types) : all_(types) {
    for (const auto& t : all_) {
        by_fetch_.push_back(&t);
    }
    std::stable_sort(by_fetch_.begin(), by_fetch_.end(), [](const auto* a, const auto* b) {
        return a->fetch_gb_per_s > b->fetch_gb_per_s;
    });
}

const MachineType* MachineTypes::find(const std::string& name) const {
    for (const auto& t : all_) {
        if (t.name == name) {
            return &t;
        }
    }
    return nullptr;
}

const MachineType& MachineTypes::usual(const JobSpec& s) const {
    auto cost = [&](const MachineType& t) {
        bool fits =
            s.allows_type(t.name) && s.cpus <= t.cpus && s.gpus <= t.gpus && s.ram_gb <= t.ram_gb;
        return std::pair(!fits, t.price * slots_needed(t, s.cpus, s.gpus, s.ram_gb) / t.slots());
    };
    return *std::min_element(all_.begin(), all_.end(),
                             [&](const auto& a, const auto& b) { return cost(a) < cost(b); });
}

} // namespace orchidlanding
