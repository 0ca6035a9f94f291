// Implementation of the capacity planner; see the header.
#include "core/autoscaling/capacity_planner.h"

#include <algorithm>
#include <cmath>

namespace scheduler {

namespace {
constexpr int kMaxMachinesPerOrder = 50; // the cloud provider's limit
// A machine without a heartbeat for this many intervals is silent.
constexpr double kSilentHeartbeats = 2;
// A machine whose last heartbeat is at most this many intervals old is responsive.
constexpr double kResponsiveHeartbeats = 1.5;
// A released machine is remembered for this many times the lag of the provider's list.
constexpr double kReleasedListLags = 10;
constexpr double kOrderRetryS = 1;
} // namespace

// A machine that has missed its heartbeats is most likely gone.
bool CapacityPlanner::is_silent(Time now, const Machine& machine) const {
    return machine.reporting &&
           now - machine.last_heartbeat > kSilentHeartbeats * settings_.heartbeat_interval_s;
}

bool CapacityPlanner::is_usable(Time now, const Machine& machine) const {
    bool down = !machine.reporting && (machine.agent_epoch > 0 || machine.registered);
    // A silent one is not counted: a replacement takes a boot time to come up.
    return !machine.draining && !machine.releasing && !machine.preemption_notice_s &&
           !machine.cordoned && !down && !is_silent(now, machine);
}

// Orders whose response is missing are sent again.
void CapacityPlanner::append_retries(Time now, std::vector<ScaleOut>& orders) {
    for (auto& pending : pending_) {
        if (!pending.in_flight && now >= pending.next) {
            pending.in_flight = true;
            orders.push_back(pending.order);
        }
    }
}

// Adds the slots of pending orders to the existing ones.
void CapacityPlanner::add_pending(const std::vector<InstanceType>& types, SlotsByKind& slots,
                                  ZoneSlots& zones) const {
    for (const auto& pending : pending_) {
        const ScaleOut& order = pending.order;
        auto type = std::find_if(types.begin(), types.end(), [&](const InstanceType& candidate) {
            return candidate.name == order.type;
        });
        if (type != types.end()) {
            (order.spot ? slots.spot : slots.on_demand) += order.count * type->slots();
            zones.existing[order.zone] += order.count * type->slots();
        }
    }
}

std::vector<ScaleOut> CapacityPlanner::plan_scale_out(Time now, const ClusterDemand& cluster_demand,
                                                      const std::vector<InstanceType>& types,
                                                      std::map<std::string, double> in_zone) {
    std::vector<ScaleOut> orders;
    append_retries(now, orders);
    if (types.empty()) {
        return orders;
    }
    const Demand& demand = cluster_demand.demand;
    ZoneSlots zones{std::move(in_zone), demand.zone_bound_slots};
    SlotsByKind slots{cluster_demand.on_demand_slots, cluster_demand.spot_slots};
    add_pending(types, slots, zones);
    order_lacking(now, types, false, demand.on_demand_slots - slots.on_demand, zones, orders);
    double spare = std::max(0.0, slots.on_demand - demand.on_demand_slots);
    order_lacking(now, types, true, demand.spot_eligible_slots - slots.spot - spare, zones, orders);
    return orders;
}

// For each zone the type with the lowest price per slot, of the offers that are not avoided now.
CapacityPlanner::TypesByZone
CapacityPlanner::cheapest_by_zone(Time now, const std::vector<InstanceType>& types,
                                  bool spot) const {
    std::vector<const InstanceType*> by_price;
    by_price.reserve(types.size());
    for (const auto& type : types) {
        by_price.push_back(&type);
    }
    std::stable_sort(by_price.begin(), by_price.end(), [&](const auto* a, const auto* b) {
        return a->price_of(spot) / a->slots() < b->price_of(spot) / b->slots();
    });
    TypesByZone cheapest;
    for (const auto* type : by_price) {
        for (const auto& zone : type->zones) {
            auto backoff = backoff_until_.find({SlotKind{type->name, spot}, zone});
            if (backoff == backoff_until_.end() || now >= backoff->second) {
                cheapest.emplace(zone, type);
            }
        }
    }
    return cheapest;
}

// Several orders at once where one may not ask for enough, each zone and kind within a quarter of
// what the provider accepts until the next round.
int CapacityPlanner::max_machines_per_zone() const {
    return kMaxMachinesPerOrder *
           static_cast<int>(
               std::max(1.0, settings_.cloud_requests_per_s * kPlanningIntervalHeartbeats *
                                 settings_.heartbeat_interval_s / 4));
}

// Orders what is lacking, machine by machine: where bound work needs it, then in the zone with the
// fewest slots so far, of the type with the lowest price per slot there. An offer that was refused
// is avoided for a while, so that the next zone or type has its turn.
void CapacityPlanner::order_lacking(Time now, const std::vector<InstanceType>& types, bool spot,
                                    double lacking_slots, ZoneSlots& zones,
                                    std::vector<ScaleOut>& orders) {
    TypesByZone open = cheapest_by_zone(now, types, spot);
    int max_machines = max_machines_per_zone();
    std::map<std::string, int> machines_by_zone;
    auto rank = [&](const std::string& zone) {
        return std::pair(zones.needed[zone] <= 0, zones.existing[zone]);
    };
    while (lacking_slots > 0 && !open.empty()) {
        auto next = std::min_element(open.begin(), open.end(), [&](const auto& a, const auto& b) {
            return rank(a.first) < rank(b.first);
        });
        const auto& [zone, type] = *next;
        lacking_slots -= type->slots();
        zones.existing[zone] += type->slots();
        zones.needed[zone] -= type->slots();
        if (++machines_by_zone[zone] == max_machines) {
            add_orders(now, *type, zone, spot, max_machines, orders);
            machines_by_zone.erase(zone);
            open.erase(next);
        }
    }
    for (const auto& [zone, machines] : machines_by_zone) {
        add_orders(now, *open.at(zone), zone, spot, machines, orders);
    }
}

void CapacityPlanner::add_orders(Time now, const InstanceType& type, const std::string& zone,
                                 bool spot, int count, std::vector<ScaleOut>& orders) {
    while (count > 0) {
        ScaleOut order{"r-" + std::to_string(term_) + "-" + std::to_string(next_order_++),
                       type.name, zone, spot, std::min(count, kMaxMachinesPerOrder)};
        count -= order.count;
        pending_.push_back({order, now, true});
        orders.push_back(order);
    }
}

void CapacityPlanner::on_scale_out_response(Time now, const ScaleOut& order, int status,
                                            std::size_t accepted) {
    auto it = std::find_if(pending_.begin(), pending_.end(), [&](const Pending& pending) {
        return pending.order.idempotency_key == order.idempotency_key;
    });
    if (it == pending_.end()) {
        return;
    }
    SlotKind kind{order.type, order.spot};
    if (status == 200 || status == 400 || status == 503) {
        // A 503 provisioned nothing; whether for lack of machines or because the provider itself is
        // down, the offer is avoided for a while.
        if (status != 200 || accepted < static_cast<std::size_t>(order.count)) {
            backoff_until_[{kind, order.zone}] = now + policy_.capacity_backoff_s;
        }
        pending_.erase(it);
        return;
    }
    it->in_flight = false;
    it->next = now + kOrderRetryS;
}

bool CapacityPlanner::was_released(Time now, const std::string& name) {
    std::erase_if(released_, [&](const auto& entry) {
        return now - entry.second > kReleasedListLags * settings_.list_lag_s;
    });
    return released_.contains(name);
}

// Follows a growing demand at once, and a falling one by an exponential decay.
void CapacityPlanner::update_recent_demand(Time now, const Demand& demand, double boot_s) {
    double decay = std::min(1.0, (now - recent_demand_at_) / (policy_.demand_decay_boots * boot_s));
    recent_demand_at_ = now;
    auto follow = [&](double& recent, double current) {
        recent = std::max(current, recent + (current - recent) * decay);
    };
    follow(recent_demand_.on_demand_slots, demand.on_demand_slots);
    follow(recent_demand_.spot_eligible_slots, demand.spot_eligible_slots);
}

// The slots of the kind that the recent demand needs, with some spare capacity.
double CapacityPlanner::wanted_slots(const ClusterDemand& demand, bool spot) const {
    double beyond_spot = std::max(0.0, recent_demand_.spot_eligible_slots - demand.spot_slots);
    double wanted =
        spot ? recent_demand_.spot_eligible_slots : recent_demand_.on_demand_slots + beyond_spot;
    if (wanted < 1) {
        return 0; // a decaying peak never reaches 0 quite
    }
    return wanted * (1 + policy_.spare_capacity_ratio);
}

std::vector<std::string> CapacityPlanner::plan_cordons(Time now, const MachineTable& machines,
                                                       const ClusterDemand& demand) {
    double boot_s = 0;
    for (const auto& [name, machine] : machines.all()) {
        boot_s = std::max(boot_s, machine.type.boot_s);
    }
    if (boot_s == 0) {
        return {};
    }
    update_recent_demand(now, demand.demand, boot_s);
    std::vector<std::string> changes;
    // While another partition has not reported, its demand may have grown since.
    bool may_cordon = now >= next_cordon_ && demand.complete;
    for (bool spot : {false, true}) {
        plan_cordons_of_kind(now, machines, demand, spot, may_cordon, changes);
    }
    return changes;
}

void CapacityPlanner::plan_cordons_of_kind(Time now, const MachineTable& machines,
                                           const ClusterDemand& demand, bool spot, bool may_cordon,
                                           std::vector<std::string>& changes) {
    double existing = spot ? demand.spot_slots : demand.on_demand_slots;
    double wanted = wanted_slots(demand, spot);
    std::vector<CordonCandidate> candidates;
    double own_slots = 0;
    for (const auto& [name, machine] : machines.all()) {
        if (machine.spot != spot || !machine.reporting) {
            continue;
        }
        double slots = machine.type.slots();
        if (machine.cordoned && existing < wanted) {
            existing += slots;
            changes.push_back(name);
        } else if (is_usable(now, machine) && !machine.has_service()) {
            own_slots += slots;
            candidates.push_back({-machine.free_slots() / slots, &machine});
        }
    }
    if (may_cordon && !candidates.empty()) {
        cordon_surplus(now, std::move(candidates), {own_slots, existing, wanted}, changes);
    }
}

// Cordons the emptiest machines first; equal ones in the order of their names: in the order of
// their addresses, no run would repeat another.
void CapacityPlanner::cordon_surplus(Time now, std::vector<CordonCandidate> candidates,
                                     const Surplus& surplus, std::vector<std::string>& changes) {
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto& a, const auto& b) { return a.busy_rank < b.busy_rank; });
    // A step is half of this partition's part of the surplus of all partitions: a cluster many
    // times as large shrinks in the same time.
    double existing = surplus.existing_slots;
    double own_slots = surplus.own_slots;
    double step_slots =
        0.5 * (existing - surplus.wanted_slots) * own_slots / std::max(own_slots, existing);
    bool is_first = true;
    for (const auto& candidate : candidates) {
        double slots = candidate.machine->type.slots();
        if (existing - slots < surplus.wanted_slots || (!is_first && step_slots < slots)) {
            break;
        }
        is_first = false;
        existing -= slots;
        step_slots -= slots;
        changes.push_back(candidate.machine->name);
        next_cordon_ = now + settings_.heartbeat_interval_s / 2;
    }
}

// A machine that is not up: did it have enough time to come up, or to come back?
bool CapacityPlanner::is_lost(Time now, const Machine& machine) const {
    bool never_up = machine.agent_epoch == 0 && !machine.registered;
    if (never_up) {
        double age_s = machine.age_at_known_s + (now - machine.known_since);
        return age_s > boot_timeout_s(machine.type);
    }
    return now - machine.last_heartbeat > 2 * settings_.worker_lease_s; // its lease has expired
}

// May silent machines be taken for dead? If few machines are silent while the rest send heartbeats,
// these are dead, preempted or cut off. Many silent at once more likely mean a fault of this
// controller. While no machine is responsive, the first that becomes silent is not the only one.
bool CapacityPlanner::may_suspect_silent(Time now, const MachineTable& machines) const {
    double max_silence_s = kResponsiveHeartbeats * settings_.heartbeat_interval_s;
    std::size_t reporting = 0;
    std::size_t silent = 0;
    bool any_responsive = false;
    for (const auto& [name, machine] : machines.all()) {
        reporting += machine.reporting;
        silent += is_silent(now, machine);
        bool responsive = machine.reporting && now - machine.last_heartbeat < max_silence_s;
        any_responsive = any_responsive || responsive;
    }
    return (any_responsive || reporting == 1) && silent * 4 <= reporting + 3;
}

// Has the idle machine been idle for long, and are its slots not wanted? `slots`: those that exist,
// from which the machine's are taken if so.
bool CapacityPlanner::is_surplus(Time now, const Machine& machine, SlotsByKind& slots) const {
    double max_idle_s = policy_.idle_scale_in_boots * machine.type.boot_s;
    if (now - machine.idle_since <= max_idle_s) {
        return false;
    }
    double& existing = machine.spot ? slots.spot : slots.on_demand;
    double wanted =
        machine.spot ? recent_demand_.spot_eligible_slots : recent_demand_.on_demand_slots;
    if (existing - machine.type.slots() < wanted - 1) {
        return false;
    }
    existing -= machine.type.slots();
    return true;
}

bool CapacityPlanner::should_release(Time now, const Machine& machine, const ClusterDemand& demand,
                                     bool may_suspect, SlotsByKind& slots) const {
    if (machine.releasing) {
        return false;
    }
    if (!machine.reporting) {
        return is_lost(now, machine);
    }
    if (may_suspect && is_silent(now, machine)) {
        return true; // the release makes sure that nothing runs there, well before the lease does
    }
    if (!machine.empty() || machine.has_unexpected() || machine.command_in_flight != 0) {
        return false;
    }
    if (machine.draining || machine.cordoned ||
        machine.consecutive_errors >= policy_.quarantine_errors) {
        return true;
    }
    return demand.complete && is_surplus(now, machine, slots);
}

std::vector<std::string> CapacityPlanner::plan_scale_in(Time now, const MachineTable& machines,
                                                        const ClusterDemand& demand,
                                                        bool may_suspect) const {
    may_suspect = may_suspect && may_suspect_silent(now, machines);
    SlotsByKind slots{demand.on_demand_slots, demand.spot_slots};
    std::vector<std::string> names;
    for (const auto& [name, machine] : machines.all()) {
        if (should_release(now, machine, demand, may_suspect, slots)) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace scheduler
