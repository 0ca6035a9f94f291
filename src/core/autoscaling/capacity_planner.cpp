#include "core/autoscaling/capacity_planner.h"

#include <algorithm>
#include <cmath>

#include "core/autoscaling/task_packing.h"

namespace scheduler {

namespace {
constexpr int kMaxMachinesPerRequest = 50; // limit of the cloud provider
// A machine without a heartbeat for this many heartbeat intervals is silent.
constexpr double kSilentHeartbeats = 2;
// A machine whose last heartbeat is less than this many heartbeat intervals old is responsive.
constexpr double kResponsiveHeartbeats = 1.5;
// A released machine is remembered for this multiple of the lag of the provider's list.
constexpr double kReleasedListLags = 10;
constexpr double kScaleOutRetryS = 1;
// Tolerance for rounding errors in sums of slots.
constexpr double kRoundingSlots = 1e-6;
} // namespace

// Returns whether the machine has missed heartbeats: most likely it is gone.
bool CapacityPlanner::is_silent(Time now, const Machine& machine) const {
    return machine.reporting &&
           now - machine.last_heartbeat > kSilentHeartbeats * settings_.heartbeat_interval_s;
}

bool CapacityPlanner::is_usable(Time now, const Machine& machine) const {
    bool down = !machine.reporting && (machine.agent_epoch > 0 || machine.registered);
    // A silent machine is not usable, so that its replacement, which takes a boot time to come up,
    // is provisioned at once.
    return !machine.draining && !machine.releasing && !machine.preemption_notice_s &&
           !machine.cordoned && !down && !is_silent(now, machine);
}

// Appends the pending requests whose retry is due.
void CapacityPlanner::append_retries(Time now, std::vector<ScaleOut>& requests) {
    for (auto& pending : pending_) {
        if (!pending.in_flight && now >= pending.next) {
            pending.in_flight = true;
            requests.push_back(pending.request);
        }
    }
}

// Counts the slots of pending requests as existing ones.
void CapacityPlanner::add_pending(const std::vector<InstanceType>& types, SlotsByKind& slots,
                                  ZoneSlots& zones) const {
    for (const auto& pending : pending_) {
        const ScaleOut& request = pending.request;
        auto type = std::find_if(types.begin(), types.end(), [&](const InstanceType& candidate) {
            return candidate.name == request.type;
        });
        if (type != types.end()) {
            (request.spot ? slots.spot : slots.on_demand) += request.count * type->slots();
            zones.existing[request.zone] += request.count * type->slots();
        }
    }
}

void CapacityPlanner::count_requested_machines(ClusterDemand& demand) const {
    for (const auto& pending : pending_) {
        demand.idle[pool_of(pending.request)].back() +=
            static_cast<std::uint32_t>(pending.request.count);
    }
}

std::vector<ScaleOut> CapacityPlanner::plan_scale_out(Time now, const ClusterDemand& cluster_demand,
                                                      const std::vector<InstanceType>& types,
                                                      std::map<std::string, double> slots_by_zone) {
    std::vector<ScaleOut> requests;
    append_retries(now, requests);
    if (types.empty()) {
        return requests;
    }
    const Demand& demand = cluster_demand.demand;
    ZoneSlots zones{std::move(slots_by_zone), demand.zone_bound_slots};
    SlotsByKind slots{cluster_demand.on_demand_slots, cluster_demand.spot_slots};
    add_pending(types, slots, zones);
    request_for_unplaced_tasks(now, types, cluster_demand.unplaced, zones, requests);
    request_missing_slots(now, types, false, demand.on_demand_slots - slots.on_demand, zones,
                          requests);
    double spare = std::max(0.0, slots.on_demand - demand.on_demand_slots);
    request_missing_slots(now, types, true, demand.spot_eligible_slots - slots.spot - spare, zones,
                          requests);
    return requests;
}

// Returns for each zone the type that provides the missing capacity at the lowest price, among the
// offers that are not avoided now.
CapacityPlanner::TypesByZone
CapacityPlanner::cheapest_by_zone(Time now, const std::vector<InstanceType>& types,
                                  const MissingCapacity& missing) const {
    const bool spot = missing.spot;
    std::vector<const InstanceType*> by_price;
    by_price.reserve(types.size());
    for (const auto& type : types) {
        if (missing.per_machine(type) > 0) {
            by_price.push_back(&type);
        }
    }
    std::stable_sort(by_price.begin(), by_price.end(), [&](const auto* a, const auto* b) {
        return a->price_of(spot) / missing.per_machine(*a) <
               b->price_of(spot) / missing.per_machine(*b);
    });
    TypesByZone cheapest;
    for (const auto* type : by_price) {
        for (const auto& zone : type->zones) {
            if (!missing.allows_zone(zone)) {
                continue;
            }
            auto backoff = backoff_until_.find({SlotKind{type->name, spot}, zone});
            if (backoff == backoff_until_.end() || now >= backoff->second) {
                cheapest.emplace(zone, type);
            }
        }
    }
    return cheapest;
}

// The number of machines to request in a zone in one planning round, in several requests if needed.
// Each zone and kind may use a quarter of the requests that the provider's rate limit admits until
// the next round.
int CapacityPlanner::max_machines_per_zone() const {
    return kMaxMachinesPerRequest *
           static_cast<int>(
               std::max(1.0, settings_.cloud_requests_per_s * kPlanningIntervalHeartbeats *
                                 settings_.heartbeat_interval_s / 4));
}

// Requests the missing capacity, machine by machine: first in the zones where zone-bound work needs
// slots, then in the zone with the fewest slots so far, of the type that provides it at the lowest
// price there. An offer that was refused is avoided for a while, so that other zones and types are
// tried.
void CapacityPlanner::request_missing(Time now, const std::vector<InstanceType>& types,
                                      MissingCapacity missing, ZoneSlots& zones,
                                      std::vector<ScaleOut>& requests) {
    if (missing.amount <= 0) {
        return;
    }
    const bool spot = missing.spot;
    TypesByZone open = cheapest_by_zone(now, types, missing);
    int max_machines = max_machines_per_zone();
    std::map<std::string, int> machines_by_zone;
    auto rank = [&](const std::string& zone) {
        return std::pair(zones.needed[zone] <= 0, zones.existing[zone]);
    };
    while (missing.amount > 0 && !open.empty()) {
        auto next = std::min_element(open.begin(), open.end(), [&](const auto& a, const auto& b) {
            return rank(a.first) < rank(b.first);
        });
        const auto& [zone, type] = *next;
        missing.amount -= missing.per_machine(*type);
        zones.existing[zone] += type->slots();
        zones.needed[zone] -= type->slots();
        if (++machines_by_zone[zone] == max_machines) {
            append_requests(now, *type, zone, spot, max_machines, requests);
            machines_by_zone.erase(zone);
            open.erase(next);
        }
    }
    for (const auto& [zone, machines] : machines_by_zone) {
        append_requests(now, *open.at(zone), zone, spot, machines, requests);
    }
}

void CapacityPlanner::request_missing_slots(Time now, const std::vector<InstanceType>& types,
                                            bool spot, double lacking_slots, ZoneSlots& zones,
                                            std::vector<ScaleOut>& requests) {
    auto slots = [](const InstanceType& type) { return type.slots(); };
    auto any_zone = [](const std::string&) { return true; };
    request_missing(now, types, {spot, lacking_slots, slots, any_zone}, zones, requests);
}

// Returns those of the unplaced tasks that were unplaced in the last planning round as well. When a
// task has just got a slot of another partition, the lender may have reported the slot as taken
// before the borrower reports that the task no longer waits.
std::vector<TaskGroup>
CapacityPlanner::confirmed_unplaced_tasks(const std::vector<TaskGroup>& unplaced) {
    TasksByRestriction current;
    std::vector<TaskGroup> confirmed;
    for (TaskGroup group : unplaced) {
        Restriction restriction{group.types, group.zones, group.spot};
        current[restriction] += group.tasks;
        std::uint32_t& unplaced_before = last_unplaced_[restriction];
        group.tasks = std::min(group.tasks, unplaced_before);
        unplaced_before -= group.tasks;
        if (group.tasks > 0) {
            confirmed.push_back(std::move(group));
        }
    }
    last_unplaced_ = std::move(current);
    return confirmed;
}

// Requests machines of the types that the tasks may run on. Tasks of several groups share a machine
// if they fit.
void CapacityPlanner::request_for_unplaced_tasks(Time now, const std::vector<InstanceType>& types,
                                                 const std::vector<TaskGroup>& unplaced,
                                                 ZoneSlots& zones,
                                                 std::vector<ScaleOut>& requests) {
    TaskPacking requested(types, {});
    for (TaskGroup& group : confirmed_unplaced_tasks(unplaced)) {
        group.tasks = requested.pack(group);
        auto tasks = [&](const InstanceType& type) {
            return static_cast<double>(tasks_per_machine(group, type));
        };
        auto in_zone = [&](const std::string& zone) { return allows_zone(group, zone); };
        std::size_t first_new = requests.size();
        request_missing(now, types, {group.spot, static_cast<double>(group.tasks), tasks, in_zone},
                        zones, requests);
        for (std::size_t i = first_new; i < requests.size(); ++i) {
            requested.add_machines(pool_of(requests[i]),
                                   static_cast<std::uint32_t>(requests[i].count));
        }
        requested.pack(group);
    }
}

void CapacityPlanner::append_requests(Time now, const InstanceType& type, const std::string& zone,
                                      bool spot, int count, std::vector<ScaleOut>& requests) {
    while (count > 0) {
        ScaleOut request{"r-" + std::to_string(term_) + "-" +
                             std::to_string(next_request_number_++),
                         type.name, zone, spot, std::min(count, kMaxMachinesPerRequest)};
        count -= request.count;
        pending_.push_back({request, now, true});
        requests.push_back(request);
    }
}

void CapacityPlanner::on_scale_out_response(Time now, const ScaleOut& request, int status,
                                            std::size_t accepted) {
    auto it = std::find_if(pending_.begin(), pending_.end(), [&](const PendingRequest& pending) {
        return pending.request.idempotency_key == request.idempotency_key;
    });
    if (it == pending_.end()) {
        return;
    }
    SlotKind kind{request.type, request.spot};
    if (status == 200 || status == 400 || status == 503) {
        // With status 503 nothing was provisioned. Whether the provider lacks machines or is down
        // itself, the offer is avoided for a while.
        if (status != 200 || accepted < static_cast<std::size_t>(request.count)) {
            backoff_until_[{kind, request.zone}] = now + policy_.capacity_backoff_s;
        }
        pending_.erase(it);
        return;
    }
    it->in_flight = false;
    it->next = now + kScaleOutRetryS;
}

bool CapacityPlanner::was_released(Time now, const std::string& name) {
    std::erase_if(released_, [&](const auto& entry) {
        return now - entry.second > kReleasedListLags * settings_.list_lag_s;
    });
    return released_.contains(name);
}

// Updates the recent demand, which follows a growing demand at once and a falling one by an
// exponential decay.
void CapacityPlanner::update_recent_demand(Time now, const Demand& demand, double boot_s) {
    double decay = std::min(1.0, (now - recent_demand_at_) / (policy_.demand_decay_boots * boot_s));
    recent_demand_at_ = now;
    auto follow = [&](double& recent, double current) {
        recent = std::max(current, recent + (current - recent) * decay);
    };
    follow(recent_demand_.on_demand_slots, demand.on_demand_slots);
    follow(recent_demand_.spot_eligible_slots, demand.spot_eligible_slots);
}

// Returns the number of slots of the kind that the recent demand needs, with some spare capacity.
double CapacityPlanner::wanted_slots(const ClusterDemand& demand, bool spot) const {
    double beyond_spot = std::max(0.0, recent_demand_.spot_eligible_slots - demand.spot_slots);
    double wanted =
        spot ? recent_demand_.spot_eligible_slots : recent_demand_.on_demand_slots + beyond_spot;
    if (wanted < 1) {
        return 0; // an exponentially decaying peak never reaches 0
    }
    return wanted * (1 + policy_.spare_capacity_ratio);
}

std::vector<std::string> CapacityPlanner::plan_cordons(Time now, const MachineTable& machines,
                                                       ClusterDemand demand) {
    double boot_s = 0;
    for (const auto& [name, machine] : machines.all()) {
        boot_s = std::max(boot_s, machine.type.boot_s);
    }
    if (boot_s == 0) {
        return {};
    }
    update_recent_demand(now, demand.demand, boot_s);
    std::vector<std::string> changes;
    // A partition that has not reported lately may have a greater demand by now.
    bool may_cordon = now >= next_cordon_at_ && demand.complete;
    for (bool spot : {false, true}) {
        plan_cordons_of_kind(now, machines, demand, spot, may_cordon, changes);
    }
    return changes;
}

void CapacityPlanner::plan_cordons_of_kind(Time now, const MachineTable& machines,
                                           ClusterDemand& demand, bool spot, bool may_cordon,
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
        if (machine.cordoned &&
            (existing < wanted || take_for_unplaced_tasks(machine, demand.unplaced))) {
            existing += slots;
            changes.push_back(name);
        } else if (is_usable(now, machine) && !machine.has_service()) {
            own_slots += slots;
            candidates.push_back({-machine.free_slots() / slots, &machine});
        }
    }
    if (may_cordon && !candidates.empty()) {
        cordon_surplus(now, std::move(candidates), {own_slots, existing, wanted},
                       demand.spare_slots, changes);
    }
}

// Returns whether tasks of groups would lack idle slots without those of the machine.
bool CapacityPlanner::is_needed_by_task_groups(const Machine& machine, const SlotsOfPools& spare) {
    auto found = spare.find(pool_of(machine));
    return found != spare.end() && idle_slots(machine) > found->second + kRoundingSlots;
}

void CapacityPlanner::subtract_spare(const Machine& machine, SlotsOfPools& spare) {
    if (auto found = spare.find(pool_of(machine)); found != spare.end()) {
        found->second -= idle_slots(machine);
    }
}

// Returns whether some of the unplaced tasks may run on the machine; if so, subtracts as many as
// fit.
bool CapacityPlanner::take_for_unplaced_tasks(const Machine& machine,
                                              std::vector<TaskGroup>& unplaced) {
    for (TaskGroup& group : unplaced) {
        std::uint32_t tasks = std::min(group.tasks, tasks_per_machine(group, machine.type));
        if (tasks > 0 && allows_zone_and_spot(group, pool_of(machine))) {
            group.tasks -= tasks;
            return true;
        }
    }
    return false;
}

// Cordons the emptiest machines first, and equally empty ones in the order of their names: with the
// order of their addresses, runs would not be reproducible.
void CapacityPlanner::cordon_surplus(Time now, std::vector<CordonCandidate> candidates,
                                     const Surplus& surplus, SlotsOfPools& spare,
                                     std::vector<std::string>& changes) {
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto& a, const auto& b) { return a.busy_rank < b.busy_rank; });
    // A step is half of this partition's proportion of the surplus of all partitions, so that the
    // time to scale in does not depend on the size of the cluster.
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
        if (is_needed_by_task_groups(*candidate.machine, spare)) {
            continue;
        }
        subtract_spare(*candidate.machine, spare);
        is_first = false;
        existing -= slots;
        step_slots -= slots;
        changes.push_back(candidate.machine->name);
        next_cordon_at_ = now + settings_.heartbeat_interval_s / 2;
    }
}

// Returns whether a machine that is not up has had enough time to boot, or to reconnect.
bool CapacityPlanner::is_presumed_lost(Time now, const Machine& machine) const {
    bool never_up = machine.agent_epoch == 0 && !machine.registered;
    if (never_up) {
        double age_s = machine.age_when_added_s + (now - machine.known_since);
        return age_s > boot_timeout_s(machine.type);
    }
    // Its lease has expired by then.
    return now - machine.last_heartbeat > 2 * settings_.worker_lease_s;
}

// Returns whether silent machines may be presumed dead. A few silent machines, while the others
// send heartbeats, have failed, been preempted or been cut off. Many at once more likely indicate a
// fault of this controller. If no machine is responsive, the ones that are not silent yet are about
// to become so; then a silent machine may be presumed dead only if no other machine is reporting.
bool CapacityPlanner::is_silent_release_safe(Time now, const MachineTable& machines) const {
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

// Returns whether the idle machine has been idle for long and its slots are not needed; if so,
// subtracts them.
bool CapacityPlanner::is_surplus(Time now, const Machine& machine, Releasable& releasable) const {
    double max_idle_s = policy_.idle_scale_in_boots * machine.type.boot_s;
    if (now - machine.idle_since <= max_idle_s ||
        is_needed_by_task_groups(machine, releasable.spare)) {
        return false;
    }
    double& existing = machine.spot ? releasable.existing.spot : releasable.existing.on_demand;
    double wanted =
        machine.spot ? recent_demand_.spot_eligible_slots : recent_demand_.on_demand_slots;
    if (existing - machine.type.slots() < wanted - 1) {
        return false;
    }
    existing -= machine.type.slots();
    subtract_spare(machine, releasable.spare);
    return true;
}

bool CapacityPlanner::should_release(Time now, const Machine& machine, const ClusterDemand& demand,
                                     bool allow_silent_release, Releasable& releasable) const {
    if (machine.releasing) {
        return false;
    }
    if (!machine.reporting) {
        return is_presumed_lost(now, machine);
    }
    if (allow_silent_release && is_silent(now, machine)) {
        // The release ensures that nothing runs there, long before the worker's lease expires.
        return true;
    }
    if (!machine.empty() || machine.runs_unexpected_tasks() || machine.command_in_flight != 0) {
        return false;
    }
    if (machine.draining || machine.cordoned ||
        machine.consecutive_errors >= policy_.quarantine_errors) {
        return true;
    }
    return demand.complete && is_surplus(now, machine, releasable);
}

std::vector<std::string> CapacityPlanner::plan_scale_in(Time now, const MachineTable& machines,
                                                        const ClusterDemand& demand,
                                                        bool allow_silent_release) const {
    allow_silent_release = allow_silent_release && is_silent_release_safe(now, machines);
    Releasable releasable{{demand.on_demand_slots, demand.spot_slots}, demand.spare_slots};
    std::vector<std::string> names;
    for (const auto& [name, machine] : machines.all()) {
        if (should_release(now, machine, demand, allow_silent_release, releasable)) {
            names.push_back(name);
        }
    }
    return names;
}

} // namespace scheduler
