#include "core/machines/slot_lists.h"

#include <algorithm>
#include <cmath>

namespace scheduler {

namespace {
// Tolerance for rounding errors in sums of resources, in slots.
constexpr double kRounding = 1e-6;
} // namespace

int slots_needed(const InstanceType& type, double cpus, double gpus, double ram_gb) {
    double slots = type.slots();
    double needed = std::max({gpus, cpus * slots / type.cpus, ram_gb * slots / type.ram_gb});
    return std::max(1, static_cast<int>(std::ceil(needed - kRounding)));
}

int min_listed_slots(const InstanceType& type, double cpus, double gpus, double ram_gb) {
    return type.gpus > 0 ? static_cast<int>(std::ceil(gpus - kRounding))
                         : slots_needed(type, cpus, 0, ram_gb);
}

int idle_slots(double free_cpus, double free_gpus, double free_ram_gb, const InstanceType& type) {
    if (type.gpus > 0) {
        return static_cast<int>(std::floor(free_gpus + kRounding));
    }
    double ram_per_slot = type.ram_gb / type.cpus;
    return static_cast<int>(
        std::floor(std::min(free_cpus, free_ram_gb / ram_per_slot) + kRounding));
}

void SlotLists::set(const SlotKind& kind, const std::string& machine, int slots) {
    auto it = positions_.find(machine);
    if (it != positions_.end() && it->second == ListPosition{kind, slots}) {
        return;
    }
    bool was_listed = it != positions_.end();
    if (was_listed) {
        unlist(it);
    }
    if (slots >= 0) {
        lists_[kind][slots].insert(machine);
        positions_[machine] = {kind, slots};
    }
    if (was_listed != (slots >= 0)) {
        update_warm(machine, slots >= 0);
    }
}

void SlotLists::remove(const std::string& machine) {
    if (auto it = positions_.find(machine); it != positions_.end()) {
        unlist(it);
        update_warm(machine, false);
    }
}

void SlotLists::unlist(Positions::iterator position) {
    auto& lists = lists_[position->second.kind];
    auto list = lists.find(position->second.slots);
    list->second.erase(position->first);
    if (list->second.empty()) {
        lists.erase(list);
    }
    positions_.erase(position);
}

void SlotLists::update_warm(const std::string& machine, bool listed) {
    auto images = images_.find(machine);
    if (images == images_.end()) {
        return;
    }
    for (const auto& image : images->second.names) {
        auto& idle = warm_.at(image).idle;
        if (listed) {
            idle.insert(machine);
        } else {
            idle.erase(machine);
        }
    }
}

void SlotLists::set_images(const std::string& machine, const std::vector<std::string>& images,
                           std::uint64_t version) {
    CachedImages& cached = images_[machine];
    if (cached.version == version) {
        return;
    }
    update_warm(machine, false);
    for (const auto& image : cached.names) {
        auto it = warm_.find(image);
        if (--it->second.machines == 0) {
            warm_.erase(it);
        }
    }
    cached = {images, version};
    for (const auto& image : images) {
        ++warm_[image].machines;
    }
    if (positions_.contains(machine)) {
        update_warm(machine, true);
    }
}

std::uint64_t SlotLists::images_version(const std::string& machine) const {
    auto it = images_.find(machine);
    return it == images_.end() ? 0 : it->second.version;
}

void SlotLists::forget(const std::string& machine) {
    remove(machine);
    set_images(machine, {}, images_version(machine) + 1);
    images_.erase(machine);
}

} // namespace scheduler
