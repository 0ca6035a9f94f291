#include "core/autoscaling/autoscaler.h"

#include <algorithm>

namespace scheduler {

namespace {
constexpr std::size_t kMostReleased = 100; // in one request, the cloud's own limit
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
    // Not before the others have said what they have, or it would be rented once more.
    if (is_provisioner() && (delegate_.heard_from_all_peers() ||
                             now - leadership_.since() > settings_.worker_lease_s)) {
        scale_out(now, cluster_demand);
    }
    for (const auto& name : planner_.plan_cordons(now, machines_, cluster_demand)) {
        Machine& machine = *machines_.find(name);
        machine.cordoned = !machine.cordoned;
        delegate_.update_slot_lists(machine);
    }
    auto surplus = planner_.plan_scale_in(now, machines_, cluster_demand, may_suspect);
    std::erase_if(surplus, [&](const auto& name) {
        const Machine& machine = *machines_.find(name);
        return !owned_shards_.may_lend(machine.shard) || delegate_.has_unacked_exits(now, machine);
    });
    if (!surplus.empty() && now >= next_release_) {
        scale_in(now, surplus);
    }
}

void Autoscaler::scale_out(Time now, const ClusterDemand& cluster_demand) {
    std::map<std::string, double> in_zone; // slots
    for (const auto& [name, m] : machines_.all()) {
        in_zone[m.zone] += m.type.slots();
    }
    for (const auto& [name, bought] : demand_.provisioned()) {
        const InstanceType* type = types_.find(bought.first.type);
        in_zone[bought.first.zone] += type ? type->slots() : 0;
    }
    for (const ScaleOut& order :
         planner_.plan_scale_out(now, cluster_demand, types_.all(), in_zone)) {
        requests_.log(LogLevel::info, "event=scale_out_requested order=" + order.order_id +
                                          " zone=" + order.zone +
                                          " spot=" + (order.spot ? "1" : "0") +
                                          " count=" + std::to_string(order.count));
        requests_.send(order, [this, order](Time at, OutboundResponse& response) {
            planner_.on_scale_out_response(at, order, response.status,
                                           response.accepted_machines.size());
            const InstanceType* type = types_.find(order.type);
            for (const auto& name : response.accepted_machines) {
                if (!type || machines_.find(name) || planner_.was_released(at, name)) {
                    continue;
                }
                ShardId shard = shard_of_machine(settings_, name, order.zone);
                if (const OwnedShards::Shard* own = owned_shards_.find(shard)) {
                    machines_.add(at, name, *type, order.zone, order.spot, shard, own->term);
                    demand_.invalidate();
                } else {
                    demand_.add_provisioned(at, name, order);
                }
            }
        });
    }
}

void Autoscaler::expect_machine(Time now, const ProvisionedMachine& b) {
    const InstanceType* type = types_.find(b.type);
    ShardId shard = shard_of_machine(settings_, b.machine, b.zone);
    const OwnedShards::Shard* own = owned_shards_.find(shard);
    if (type && own && !machines_.find(b.machine) && !planner_.was_released(now, b.machine)) {
        machines_.add(now, b.machine, *type, b.zone, b.spot, shard, own->term);
        demand_.invalidate();
    }
}

void Autoscaler::scale_in(Time, std::vector<std::string> names) {
    names.resize(std::min(names.size(), kMostReleased));
    for (const auto& name : names) {
        Machine& machine = *machines_.find(name);
        machine.releasing = true;
        delegate_.update_slot_lists(machine);
        requests_.log(LogLevel::info, "event=machine_released machine=" + name +
                                          " tasks=" + std::to_string(machine.tasks.size()));
    }
    requests_.send(ScaleIn{names}, [this, names](Time at, OutboundResponse& response) {
        for (const auto& name : names) {
            Machine* machine = machines_.find(name);
            if (!machine) {
                continue;
            }
            if (response.status != 200) {
                machine->releasing = false; // it is still a surplus, and tried again before long
                next_release_ = at + settings_.heartbeat_interval_s;
                delegate_.update_slot_lists(*machine);
                continue;
            }
            next_release_ =
                at + settings_.heartbeat_interval_s / 2; // the cloud's limit is shared by all
            planner_.on_released(at, name);
            delegate_.on_machine_released(at, name);
        }
        delegate_.resume_scheduling(at);
    });
}

void Autoscaler::list_instances(Time now) {
    if (now >= next_list_ && !listing_) {
        list_instances_after(now, "");
    }
}

void Autoscaler::list_instances_after(Time, std::string after) {
    listing_ = true;
    requests_.send(ListInstances{after}, [this](Time at, OutboundResponse& response) {
        listing_ = false;
        next_list_ = at + settings_.list_lag_s;
        if (response.status != 200) {
            return;
        }
        for (const auto& host : response.instances) {
            on_instance_listed(at, host);
        }
        if (response.more && !response.instances.empty()) {
            list_instances_after(at, response.instances.back().name);
        }
    });
}

void Autoscaler::on_instance_listed(Time now, const Instance& instance) {
    ShardId shard = shard_of_machine(settings_, instance.name, instance.zone);
    const OwnedShards::Shard* own = owned_shards_.find(shard);
    if (!own) {
        return;
    }
    Machine* machine = machines_.find(instance.name);
    if (!machine) {
        const InstanceType* type = types_.find(instance.type);
        // The list lags: what the holder before us released shows in it for a while. One that is up
        // reports.
        bool moved = own->since > leadership_.since() && instance.state == InstanceState::running &&
                     now - own->since < 2 * settings_.list_lag_s;
        if (!type || moved || planner_.was_released(now, instance.name)) {
            return;
        }
        machine = &machines_.add(now, instance.name, *type, instance.zone, instance.spot, shard,
                                 own->term);
        machine->age_at_known_s = instance.age_s;
        machine->endpoint = instance.endpoint;
        // It may be up, and carry tasks, but if so it is on the roster as well.
    }
    if (instance.state == InstanceState::failed && !machine->releasing) {
        requests_.log(LogLevel::info, "event=machine_failed machine=" + instance.name);
        scale_in(now, {instance.name});
    }
}

} // namespace scheduler
