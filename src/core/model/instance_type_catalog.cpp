#include "core/model/instance_type_catalog.h"

#include <algorithm>

#include "core/machines/slot_lists.h"

namespace scheduler {

namespace {
bool may_run_on(const JobSpec& spec, const InstanceType& type) {
    return spec.allows_type(type.name) && spec.cpus <= type.cpus && spec.gpus <= type.gpus &&
           spec.ram_gb <= type.ram_gb;
}
} // namespace

InstanceTypeCatalog::InstanceTypeCatalog(const std::vector<InstanceType>& types) : all_(types) {
    for (const auto& type : all_) {
        by_fetch_.push_back(&type);
    }
    std::stable_sort(by_fetch_.begin(), by_fetch_.end(), [](const auto* a, const auto* b) {
        return a->fetch_gb_per_s > b->fetch_gb_per_s;
    });
}

const InstanceType* InstanceTypeCatalog::find(const std::string& name) const {
    for (const auto& type : all_) {
        if (type.name == name) {
            return &type;
        }
    }
    return nullptr;
}

const InstanceType& InstanceTypeCatalog::cheapest_fitting(const JobSpec& spec) const {
    auto cost = [&](const InstanceType& type) {
        return std::pair(!may_run_on(spec, type),
                         type.price * slots_needed(type, spec.cpus, spec.gpus, spec.ram_gb) /
                             type.slots());
    };
    return *std::min_element(all_.begin(), all_.end(),
                             [&](const auto& a, const auto& b) { return cost(a) < cost(b); });
}

bool InstanceTypeCatalog::all_fit(const JobSpec& spec) const {
    return std::all_of(all_.begin(), all_.end(),
                       [&](const InstanceType& type) { return may_run_on(spec, type); });
}

std::vector<std::string> InstanceTypeCatalog::fitting(const JobSpec& spec) const {
    std::vector<std::string> names;
    for (const auto& type : all_) {
        if (may_run_on(spec, type)) {
            names.push_back(type.name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace scheduler
