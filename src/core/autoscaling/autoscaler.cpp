// Implementation of the autoscaler; see the header.
#include "core/autoscaling/autoscaler.h"

#include <algorithm>
#include <utility>

namespace scheduler {

namespace {
constexpr std::size_t kMaxReleasesPerRequest = 100; // the cloud provider's limit
} // namespace

Autoscaler::Autoscaler(const Leadership& leadership, const ClusterSettings& settings,
                       const OwnedShards& owned_shards, const InstanceTypeCatalog& types,
                       MachineTable& machines, CapacityPlanner& planner, DemandTracker& demand,
                       OutboundRequests& requests, Delegate& delegate)
    : leadership_(leadership), settings_(settings), owned_shards_(owned_shards), types_(types),
      machines_(machines), planner_(planner), demand_(demand), requests_(requests),
      delegate_(delegate) {}

void Autoscaler::run(Time now, bool may_suspect) {
    next_ = now + kPlanningIntervalHeartbeats * settings_.heartbeat_interval_s;
    demand_.expire_provisioned(now);
    ClusterDemand cluster_demand = demand_.cluster_demand(now);
    // Not before the others have reported their capacity, or it would be provisioned once more.
    if (is_provisioner() && (delegate_.heard_from_all_peers() ||
                             now - leadership_.since() > settings_.worker_lease_s)) {
        scale_out(now, cluster_demand);
    }
    update_cordons(now, cluster_demand);
    auto surplus = planner_.plan_scale_in(now, machines_, cluster_demand, may_suspect);
    std::erase_if(surplus, [&](const auto& name) {
        const Machine& machine = *machines_.find(name);
        return !owned_shards_.may_lend(machine.shard) || delegate_.has_unacked_exits(now, machine);
    });
    if (!surplus.empty() && now >= next_release_) {
        scale_in(now, surplus);
    }
}

void Autoscaler::update_cordons(Time now, const ClusterDemand& cluster_demand) {
    for (const auto& name : planner_.plan_cordons(now, machines_, cluster_demand)) {
        Machine& machine = *machines_.find(name);
        machine.cordoned = !machine.cordoned;
        delegate_.update_slot_lists(machine);
    }
}

std::map<std::string, double> Autoscaler::slots_by_zone() const {
    std::map<std::string, double> slots;
    for (const auto& [name, machine] : machines_.all()) {
        slots[machine.zone] += machine.type.slots();
    }
    for (const auto& [name, provisioned] : demand_.provisioned()) {
        const InstanceType* type = types_.find(provisioned.order.type);
        slots[provisioned.order.zone] += type ? type->slots() : 0;
    }
    return slots;
}

void Autoscaler::scale_out(Time now, const ClusterDemand& cluster_demand) {
    for (const ScaleOut& order :
         planner_.plan_scale_out(now, cluster_demand, types_.all(), slots_by_zone())) {
        requests_.log(LogLevel::info, "event=scale_out_requested order=" + order.idempotency_key +
                                          " zone=" + order.zone +
                                          " spot=" + (order.spot ? "1" : "0") +
                                          " count=" + std::to_string(order.count));
        requests_.send(order, [this, order](Time at, OutboundResponse& response) {
            on_scale_out_response(at, order, response);
        });
    }
}

void Autoscaler::on_scale_out_response(Time now, const ScaleOut& order,
                                       const OutboundResponse& response) {
    planner_.on_scale_out_response(now, order, response.status, response.accepted_machines.size());
    const InstanceType* type = types_.find(order.type);
    for (const auto& name : response.accepted_machines) {
        if (!type || machines_.find(name) || planner_.was_released(now, name)) {
            continue;
        }
        ShardId shard = shard_of_machine(settings_, name, order.zone);
        if (const OwnedShards::Shard* own = owned_shards_.find(shard)) {
            machines_.add(now, name, *type, order.zone, order.spot, shard, own->term);
            demand_.invalidate();
        } else {
            demand_.add_provisioned(now, name, order);
        }
    }
}

void Autoscaler::expect_machine(Time now, const ProvisionedMachine& provisioned) {
    const std::string& name = provisioned.machine;
    const InstanceType* type = types_.find(provisioned.type);
    ShardId shard = shard_of_machine(settings_, name, provisioned.zone);
    const OwnedShards::Shard* own = owned_shards_.find(shard);
    if (type && own && !machines_.find(name) && !planner_.was_released(now, name)) {
        machines_.add(now, name, *type, provisioned.zone, provisioned.spot, shard, own->term);
        demand_.invalidate();
    }
}

void Autoscaler::scale_in(Time, std::vector<std::string> names) {
    names.resize(std::min(names.size(), kMaxReleasesPerRequest));
    for (const auto& name : names) {
        Machine& machine = *machines_.find(name);
        machine.releasing = true;
        delegate_.update_slot_lists(machine);
        requests_.log(LogLevel::info, "event=machine_released machine=" + name +
                                          " tasks=" + std::to_string(machine.tasks.size()));
    }
    requests_.send(ScaleIn{names}, [this, names](Time at, OutboundResponse& response) {
        on_scale_in_response(at, names, response.status);
    });
}

void Autoscaler::on_scale_in_response(Time now, const std::vector<std::string>& names, int status) {
    for (const auto& name : names) {
        Machine* machine = machines_.find(name);
        if (!machine) {
            continue;
        }
        if (status != 200) {
            machine->releasing = false; // it is still surplus, and released again before long
            next_release_ = now + settings_.heartbeat_interval_s;
            delegate_.update_slot_lists(*machine);
            continue;
        }
        // The provider's rate limit is shared by all partitions.
        next_release_ = now + settings_.heartbeat_interval_s / 2;
        planner_.on_released(now, name);
        delegate_.on_machine_released(now, name);
    }
    delegate_.resume_scheduling(now);
}

void Autoscaler::list_instances(Time now) {
    if (now >= next_list_ && !listing_) {
        list_instances_after("");
    }
}

// Lists the machines whose names come after this one, page by page.
void Autoscaler::list_instances_after(std::string after) {
    listing_ = true;
    requests_.send(ListInstances{std::move(after)}, [this](Time at, OutboundResponse& response) {
        listing_ = false;
        next_list_ = at + settings_.list_lag_s;
        if (response.status != 200) {
            return;
        }
        for (const auto& instance : response.instances) {
            on_instance_listed(at, instance);
        }
        if (response.more && !response.instances.empty()) {
            list_instances_after(response.instances.back().name);
        }
    });
}

// Adds a listed machine that is not known. Returns null if it is not to be added.
Machine* Autoscaler::add_listed(Time now, const Instance& instance, const ShardId& shard,
                                const OwnedShards::Shard& own) {
    const InstanceType* type = types_.find(instance.type);
    // The list lags: machines that the shard's previous owner released show in it for a while. A
    // machine that is up sends heartbeats.
    bool may_be_released = own.since > leadership_.since() &&
                           instance.state == InstanceState::running &&
                           now - own.since < 2 * settings_.list_lag_s;
    if (!type || may_be_released || planner_.was_released(now, instance.name)) {
        return nullptr;
    }
    Machine& machine =
        machines_.add(now, instance.name, *type, instance.zone, instance.spot, shard, own.term);
    machine.age_at_known_s = instance.age_s;
    machine.endpoint = instance.endpoint;
    // The machine may be up and run tasks, but if so it is in the machine registry as well.
    return &machine;
}

void Autoscaler::on_instance_listed(Time now, const Instance& instance) {
    ShardId shard = shard_of_machine(settings_, instance.name, instance.zone);
    const OwnedShards::Shard* own = owned_shards_.find(shard);
    if (!own) {
        return;
    }
    Machine* machine = machines_.find(instance.name);
    if (!machine) {
        machine = add_listed(now, instance, shard, *own);
    }
    if (machine && instance.state == InstanceState::failed && !machine->releasing) {
        requests_.log(LogLevel::info, "event=machine_failed machine=" + instance.name);
        scale_in(now, {instance.name});
    }
}

} // namespace scheduler
