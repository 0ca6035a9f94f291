#include "core/autoscaling/capacity_planner.h"

#include <algorithm>
#include <cmath>

namespace scheduler {

namespace {
constexpr int kMostPerOrder = 50;     // the cloud's own limit
constexpr double kMissedReports = 2;  // silent for so many report times: suspect
constexpr double kHeardReports = 1.5; // a worker that is heard has reported within so many
} // namespace

// One that has missed its reports is most likely gone.
bool CapacityPlanner::is_silent(Time now, const Machine& machine) const {
    return machine.reporting &&
           now - machine.last_heartbeat > kMissedReports * settings_.heartbeat_interval_s;
}

bool CapacityPlanner::is_usable(Time now, const Machine& machine) const {
    bool down = !machine.reporting && (machine.agent_epoch > 0 || machine.registered);
    // Another in place of a silent one takes a boot to come.
    return !machine.draining && !machine.releasing && !machine.preemption_notice_s &&
           !machine.cordoned && !down && !is_silent(now, machine);
}

std::vector<ScaleOut> CapacityPlanner::plan_scale_out(Time now, const ClusterDemand& cluster_demand,
                                                      const std::vector<InstanceType>& types,
                                                      std::map<std::string, double> in_zone) {
    std::vector<ScaleOut> out;
    for (auto& p : pending_) {
        if (!p.in_flight && now >= p.next) {
            p.in_flight = true;
            out.push_back(p.order);
        }
    }
    if (types.empty()) {
        return out;
    }
    const Demand& demand = cluster_demand.demand;
    double ordinary = cluster_demand.on_demand_slots;
    double spot = cluster_demand.spot_slots;
    for (const auto& p : pending_) {
        auto t = std::find_if(types.begin(), types.end(),
                              [&](const InstanceType& m) { return m.name == p.order.type; });
        if (t != types.end()) {
            (p.order.spot ? spot : ordinary) += p.order.count * t->slots();
            in_zone[p.order.zone] += p.order.count * t->slots();
        }
    }
    std::map<std::string, double> bound = demand.zone_bound_slots;
    order_lacking(now, types, false, demand.on_demand_slots - ordinary, out, in_zone, bound);
    double spare = std::max(0.0, ordinary - demand.on_demand_slots);
    order_lacking(now, types, true, demand.any_kind_slots - spot - spare, out, in_zone, bound);
    return out;
}

// Rents what is lacking, machine by machine: where work is bound to, then in the zone with the
// fewest slots so far, of the type with the lowest price for a slot there. What is refused is left
// alone for a while, so that the next zone or type has its turn.
void CapacityPlanner::order_lacking(Time now, const std::vector<InstanceType>& types, bool spot,
                                    double lack, std::vector<ScaleOut>& out,
                                    std::map<std::string, double>& in_zone,
                                    std::map<std::string, double>& bound) {
    std::vector<const InstanceType*> cheapest;
    for (const auto& type : types) {
        cheapest.push_back(&type);
    }
    std::stable_sort(cheapest.begin(), cheapest.end(), [&](const auto* a, const auto* b) {
        return a->price_of(spot) / a->slots() < b->price_of(spot) / b->slots();
    });
    std::map<std::string, const InstanceType*> open; // by zone
    for (const auto* type : cheapest) {
        for (const auto& zone : type->zones) {
            auto until = backoff_until_.find({SlotKind{type->name, spot}, zone});
            if (until == backoff_until_.end() || now >= until->second) {
                open.emplace(zone, type);
            }
        }
    }
    // Several requests at once where one may not ask for enough, each zone and kind within a
    // quarter of what the cloud takes until the next time.
    int most =
        kMostPerOrder * static_cast<int>(std::max(1.0, settings_.cloud_requests_per_s *
                                                           kPlanningIntervalHeartbeats *
                                                           settings_.heartbeat_interval_s / 4));
    std::map<std::string, int> count;
    while (lack > 0 && !open.empty()) {
        auto least = std::min_element(open.begin(), open.end(), [&](const auto& a, const auto& b) {
            return std::pair(bound[a.first] <= 0, in_zone[a.first]) <
                   std::pair(bound[b.first] <= 0, in_zone[b.first]);
        });
        const auto& [zone, t] = *least;
        lack -= t->slots();
        in_zone[zone] += t->slots();
        bound[zone] -= t->slots();
        if (++count[zone] == most) {
            add_orders(now, *t, zone, spot, count[zone], out);
            count.erase(zone);
            open.erase(least);
        }
    }
    for (const auto& [zone, machines] : count) {
        add_orders(now, *open.at(zone), zone, spot, machines, out);
    }
}

void CapacityPlanner::add_orders(Time now, const InstanceType& type, const std::string& zone,
                                 bool spot, int count, std::vector<ScaleOut>& out) {
    while (count > 0) {
        ScaleOut order{"r-" + std::to_string(term_) + "-" + std::to_string(next_order_++),
                       type.name, zone, spot, std::min(count, kMostPerOrder)};
        count -= order.count;
        pending_.push_back({order, now, true});
        out.push_back(order);
    }
}

void CapacityPlanner::on_scale_out_response(Time now, const ScaleOut& order, int status,
                                            std::size_t got) {
    auto it = std::find_if(pending_.begin(), pending_.end(),
                           [&](const Pending& p) { return p.order.order_id == order.order_id; });
    if (it == pending_.end()) {
        return;
    }
    SlotKind kind{order.type, order.spot};
    if (status == 200 || status == 400 || status == 503) {
        // A 503 rented nothing; whether for lack of machines or of the cloud itself, this zone
        // is left alone for a while.
        if (status != 200 || got < static_cast<std::size_t>(order.count)) {
            backoff_until_[{kind, order.zone}] = now + policy_.capacity_backoff_s;
        }
        pending_.erase(it);
        return;
    }
    it->in_flight = false;
    it->next = now + 1;
}

bool CapacityPlanner::was_released(Time now, const std::string& name) {
    std::erase_if(released_,
                  [&](const auto& r) { return now - r.second > 10 * settings_.list_lag_s; });
    return released_.contains(name);
}

std::vector<std::string> CapacityPlanner::plan_cordons(Time now, const MachineTable& machines,
                                                       const ClusterDemand& demand) {
    double boot_s = 0;
    for (const auto& [name, m] : machines.all()) {
        boot_s = std::max(boot_s, m.type.boot_s);
    }
    if (boot_s == 0) {
        return {};
    }
    double fade = std::min(1.0, (now - recent_demand_at_) / (policy_.demand_decay_boots * boot_s));
    recent_demand_at_ = now;
    auto follow = [&](double& recent, double current) {
        recent = std::max(current, recent + (current - recent) * fade);
    };
    follow(recent_demand_.on_demand_slots, demand.demand.on_demand_slots);
    follow(recent_demand_.any_kind_slots, demand.demand.any_kind_slots);
    std::vector<std::string> changes;
    // While another part is not heard, what it wants may be more than it wanted then.
    bool step = now >= next_trim_ && demand.complete;
    for (bool spot : {false, true}) {
        double have = spot ? demand.spot_slots : demand.on_demand_slots;
        double want = spot ? recent_demand_.any_kind_slots
                           : recent_demand_.on_demand_slots +
                                 std::max(0.0, recent_demand_.any_kind_slots - demand.spot_slots);
        want = want < 1
                   ? 0
                   : want * (1 + policy_.spare_capacity_ratio); // a fading peak is never quite 0
        std::vector<std::pair<double, const Machine*>> usables; // by the share that is free on them
        double own = 0;
        for (const auto& [name, m] : machines.all()) {
            if (m.spot != spot || !m.reporting) {
                continue;
            }
            if (m.cordoned && have < want) {
                have += m.type.slots();
                changes.push_back(name);
            } else if (is_usable(now, m) && !m.has_service()) {
                own += m.type.slots();
                usables.emplace_back(-m.free_slots() / m.type.slots(), &m);
            }
        }
        if (!step || usables.empty()) {
            continue;
        }
        // This part's share of what all parts have too much, half of it a step: a fleet many
        // times as large shrinks in the same time. The emptiest machines go first.
        // Equals in the order of their names: by address, no run would repeat another.
        std::stable_sort(usables.begin(), usables.end(),
                         [](const auto& a, const auto& b) { return a.first < b.first; });
        double room = 0.5 * (have - want) * own / std::max(own, have);
        bool first = true;
        for (const auto& [free, m] : usables) {
            if (have - m->type.slots() < want || (!first && room < m->type.slots())) {
                break;
            }
            first = false;
            have -= m->type.slots();
            room -= m->type.slots();
            changes.push_back(m->name);
            next_trim_ = now + settings_.heartbeat_interval_s / 2;
        }
    }
    return changes;
}

std::vector<std::string> CapacityPlanner::plan_scale_in(Time now, const MachineTable& machines,
                                                        const ClusterDemand& demand,
                                                        bool may_suspect) const {
    std::vector<std::string> out;
    double ordinary = demand.on_demand_slots;
    double spot = demand.spot_slots;
    std::size_t reporting = 0;
    std::size_t missing = 0;
    bool heard = false;
    for (const auto& [name, m] : machines.all()) {
        reporting += m.reporting;
        missing += is_silent(now, m);
        heard = heard || (m.reporting &&
                          now - m.last_heartbeat < kHeardReports * settings_.heartbeat_interval_s);
    }
    // While none is heard, the first that falls due is not the only one that is silent.
    may_suspect = may_suspect && (heard || reporting == 1);
    for (const auto& [name, m] : machines.all()) {
        if (m.releasing) {
            continue;
        }
        if (!m.reporting && m.agent_epoch == 0 && !m.registered) { // has never been up
            if (m.age_at_known_s + (now - m.known_since) > boot_timeout_s(m.type)) {
                out.push_back(name);
            }
            continue;
        }
        if (!m.reporting) { // its lease has run out; it may come back, but has had its time
            if (now - m.last_heartbeat > 2 * settings_.worker_lease_s) {
                out.push_back(name);
            }
            continue;
        }
        // Few machines silent while the rest report: these are dead, taken or cut off. A
        // release makes sure that nothing runs there, well before the lease does. Many silent
        // at once are more likely our own trouble.
        if (may_suspect && is_silent(now, m) && missing * 4 <= reporting + 3) {
            out.push_back(name);
            continue;
        }
        if (!m.empty() || m.has_unexpected() || m.command_in_flight != 0) {
            continue;
        }
        if (m.draining || m.cordoned || m.consecutive_errors >= policy_.quarantine_errors) {
            out.push_back(name);
            continue;
        }
        if (demand.complete && now - m.idle_since > policy_.idle_scale_in_boots * m.type.boot_s) {
            double& have = m.spot ? spot : ordinary;
            double want = m.spot ? recent_demand_.any_kind_slots : recent_demand_.on_demand_slots;
            if (have - m.type.slots() >= want - 1) {
                have -= m.type.slots();
                out.push_back(name);
            }
        }
    }
    return out;
}

} // namespace scheduler
