#include "core/autoscaling/task_groups.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace scheduler {

namespace {
constexpr std::size_t kMaxGroups = 16; // in a message
// Tolerance for rounding errors in sums of fractions of tasks.
constexpr double kRounding = 1e-6;

std::uint32_t rounded_up(double tasks) {
    return static_cast<std::uint32_t>(std::clamp(std::ceil(tasks - kRounding), 1.0, 1e9));
}
} // namespace

void TaskGroups::add(const JobSpec& spec, const Places& places, double tasks, double slots) {
    if (tasks <= 0) {
        return;
    }
    auto [entry, is_new] =
        groups_.try_emplace(Requirements{places, spec.spot, spec.cpus, spec.gpus, spec.ram_gb});
    if (is_new) {
        entry->second.cheapest_type = types_.cheapest_fitting(spec).name;
    }
    entry->second.tasks += tasks;
    entry->second.slots += slots;
}

TaskGroups::Groups TaskGroups::united_by_places(const Groups& groups) {
    // The highest requirements of each group to be, by what its members have in common.
    std::map<Requirements, Requirements> highest;
    auto common = [](const Requirements& requirements) {
        return Requirements{requirements.places, requirements.spot};
    };
    for (const auto& [requirements, group] : groups) {
        Requirements& united =
            highest.try_emplace(common(requirements), requirements).first->second;
        united.cpus = std::max(united.cpus, requirements.cpus);
        united.gpus = std::max(united.gpus, requirements.gpus);
        united.ram_gb = std::max(united.ram_gb, requirements.ram_gb);
    }
    Groups united;
    for (const auto& [requirements, group] : groups) {
        Group& entry = united.try_emplace(highest.at(common(requirements))).first->second;
        entry.cheapest_type = group.cheapest_type;
        entry.tasks += group.tasks;
        entry.slots += group.slots;
    }
    return united;
}

TaskGroups::Groups TaskGroups::limited_to_one_place(const Groups& groups) {
    Groups one_place;
    for (const auto& [requirements, group] : groups) {
        Requirements limited = requirements;
        limited.places.types = {group.cheapest_type};
        limited.places.zones.resize(std::min<std::size_t>(limited.places.zones.size(), 1));
        Group& entry = one_place.try_emplace(limited).first->second;
        entry.cheapest_type = group.cheapest_type;
        entry.tasks += group.tasks;
        entry.slots += group.slots;
    }
    return one_place;
}

std::vector<TaskGroup> TaskGroups::all() const {
    Groups groups = groups_;
    if (groups.size() > kMaxGroups) {
        groups = united_by_places(groups);
    }
    if (groups.size() > kMaxGroups) {
        groups = united_by_places(limited_to_one_place(groups_));
    }
    std::vector<TaskGroup> all;
    for (const auto& [requirements, group] : groups) {
        all.push_back({requirements.places.types, requirements.places.zones, requirements.spot,
                       requirements.cpus, requirements.gpus, requirements.ram_gb,
                       rounded_up(group.tasks), group.slots});
    }
    return all;
}

} // namespace scheduler
