#include "scale/cloud_model.h"

#include <algorithm>

namespace scheduler::scale {

namespace {
constexpr double kListedAfterDeath_s = 30;
constexpr double kListLag_s = 2;
} // namespace

CloudModel::CloudModel(const Plan& plan, Time now) : plan_(plan), next_(plan.workers()) {
    for (int w = 0; w < plan.workers(); ++w) {
        machines_[plan.machine_name(w)] = {
            w, plan.worker_zone(w), plan.worker_spot(w), now, now, -1, true};
    }
}

std::vector<std::string> CloudModel::provision(Time now, const std::string& order,
                                               const std::string& zone, bool spot, int count) {
    if (auto before = orders_.find(order); before != orders_.end()) {
        return before->second;
    }
    std::vector<std::string> names;
    // What was released or died can be had again, in its zone and kind. The zone and the kind of a
    // worker are functions of its number, so numbers that do not fit are passed over.
    for (int& available = available_[{zone, spot}]; available > 0 && int(names.size()) < count;
         --available) {
        while (plan_.worker_zone(next_) != zone || plan_.worker_spot(next_) != spot) {
            ++next_;
        }
        std::string name = plan_.machine_name(next_);
        machines_[name] = {next_, zone, spot, now, now + plan_.machine_type().boot_s, -1, false};
        names.push_back(name);
        ++next_;
    }
    if (!names.empty()) {
        orders_[order] = names;
    }
    return names;
}

void CloudModel::release(const std::vector<std::string>& machines) {
    for (const auto& name : machines) {
        if (auto it = machines_.find(name); it != machines_.end()) {
            if (it->second.died < 0) {
                ++available_[{it->second.zone, it->second.spot}];
            }
            machines_.erase(it);
        }
    }
}

void CloudModel::terminate(Time now, const std::string& machine) {
    auto it = machines_.find(machine);
    if (it != machines_.end() && it->second.died < 0) {
        it->second.died = now;
        ++available_[{it->second.zone, it->second.spot}];
    }
}

CloudModel::Page CloudModel::list(Time now, const std::string& after, std::size_t limit) const {
    Page page;
    auto it = machines_.upper_bound(after);
    for (; it != machines_.end() && page.hosts.size() < limit; ++it) {
        if (is_listed(now, it->second)) {
            page.hosts.push_back(host_of(now, it->first, it->second));
        }
    }
    page.more = it != machines_.end();
    return page;
}

bool CloudModel::is_listed(Time now, const Machine& machine) {
    bool is_initial = machine.up <= machine.rented;
    return is_initial || machine.rented + kListLag_s <= now;
}

InstanceState CloudModel::stage_of(Time now, const Machine& machine) {
    if (machine.died >= 0 && now > machine.died + kListedAfterDeath_s) {
        return InstanceState::failed;
    }
    return now < machine.up ? InstanceState::booting : InstanceState::running;
}

Instance CloudModel::host_of(Time now, const std::string& name, const Machine& machine) const {
    Instance instance;
    instance.name = name;
    instance.endpoint =
        plan_.worker_host(machine.number) + ":" + std::to_string(plan_.worker_port());
    instance.type = plan_.machine_type().name;
    instance.zone = machine.zone;
    instance.spot = machine.spot;
    instance.state = stage_of(now, machine);
    instance.age_s = now - machine.rented;
    return instance;
}

std::vector<std::string> CloudModel::take_booted(Time now) {
    std::vector<std::string> out;
    for (auto& [name, machine] : machines_) {
        if (!machine.boot_reported && now >= machine.up && machine.died < 0) {
            machine.boot_reported = true;
            out.push_back(name);
        }
    }
    return out;
}

} // namespace scheduler::scale
