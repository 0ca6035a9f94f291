#include "core/autoscaling/restricted_task_groups.h"

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

void RestrictedTaskGroups::add(const JobSpec& spec, const std::vector<std::string>& allowed_types,
                               double tasks) {
    if (tasks <= 0) {
        return;
    }
    auto [entry, is_new] = groups_.try_emplace(
        Requirements{allowed_types, spec.spot, spec.cpus, spec.gpus, spec.ram_gb});
    if (is_new) {
        entry->second.cheapest_type = types_.cheapest_fitting(spec).name;
    }
    entry->second.tasks += tasks;
}

RestrictedTaskGroups::Groups RestrictedTaskGroups::united_by_types(const Groups& groups) {
    // The highest requirements of each group to be, by what its members have in common.
    std::map<Requirements, Requirements> highest;
    auto common = [](const Requirements& requirements) {
        return Requirements{requirements.types, requirements.spot};
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
    }
    return united;
}

RestrictedTaskGroups::Groups RestrictedTaskGroups::restricted_to_cheapest(const Groups& groups) {
    Groups restricted;
    for (const auto& [requirements, group] : groups) {
        Requirements narrower = requirements;
        narrower.types = {group.cheapest_type};
        Group& entry = restricted.try_emplace(narrower).first->second;
        entry.cheapest_type = group.cheapest_type;
        entry.tasks += group.tasks;
    }
    return restricted;
}

std::vector<RestrictedTasks> RestrictedTaskGroups::all() const {
    Groups groups = groups_;
    if (groups.size() > kMaxGroups) {
        groups = united_by_types(groups);
    }
    if (groups.size() > kMaxGroups) {
        groups = united_by_types(restricted_to_cheapest(groups_));
    }
    std::vector<RestrictedTasks> all;
    for (const auto& [requirements, group] : groups) {
        all.push_back({requirements.types, requirements.spot, requirements.cpus, requirements.gpus,
                       requirements.ram_gb, rounded_up(group.tasks)});
    }
    return all;
}

} // namespace scheduler
