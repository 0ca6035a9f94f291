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

std::vector<std::string> CloudModel::rent(Time now, const std::string& order,
                                          const std::string& zone, bool spot, int count) {
    if (auto before = orders_.find(order); before != orders_.end()) {
        return before->second;
    }
    std::vector<std::string> names;
    // What was released or died can be had again, in its zone and kind. The zone and the kind of a
    // worker are functions of its number, so numbers that do not fit are passed over.
    for (int& room = room_[{zone, spot}]; room > 0 && int(names.size()) < count; --room) {
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
                ++room_[{it->second.zone, it->second.spot}];
            }
            machines_.erase(it);
        }
    }
}

void CloudModel::died(Time now, const std::string& machine) {
    auto it = machines_.find(machine);
    if (it != machines_.end() && it->second.died < 0) {
        it->second.died = now;
        ++room_[{it->second.zone, it->second.spot}];
    }
}

std::vector<Instance> CloudModel::list(Time now, const std::string& after, std::size_t limit,
                                       bool& more) const {
    std::vector<Instance> out;
    auto it = machines_.upper_bound(after);
    for (; it != machines_.end() && out.size() < limit; ++it) {
        const Machine& m = it->second;
        if (m.rented + kListLag_s > now && m.up > m.rented) {
            continue;
        }
        Instance instance;
        instance.name = it->first;
        instance.endpoint = plan_.worker_host(m.number) + ":" + std::to_string(plan_.worker_port());
        instance.type = plan_.machine_type().name;
        instance.zone = m.zone;
        instance.spot = m.spot;
        instance.state = m.died >= 0 && now > m.died + kListedAfterDeath_s ? InstanceState::failed
                         : now < m.up                                      ? InstanceState::booting
                                                                           : InstanceState::running;
        instance.age_s = now - m.rented;
        out.push_back(std::move(instance));
    }
    more = it != machines_.end();
    return out;
}

std::vector<std::string> CloudModel::up(Time now) {
    std::vector<std::string> out;
    for (auto& [name, m] : machines_) {
        if (!m.named && now >= m.up && m.died < 0) {
            m.named = true;
            out.push_back(name);
        }
    }
    return out;
}

} // namespace scheduler::scale
