#include "core/autoscaling/autoscaler.h"

#include <algorithm>
#include <utility>

namespace scheduler {

namespace {
constexpr std::size_t kMaxReleasesPerRequest = 100; // limit of the cloud provider
} // namespace

Autoscaler::Autoscaler(const Leadership& leadership, const ClusterSettings& settings,
                       const OwnedShards& owned_shards, const InstanceTypeCatalog& types,
                       MachineTable& machines, CapacityPlanner& planner, DemandTracker& demand,
                       OutboundRequests& requests, Delegate& delegate)
    : leadership_(leadership), settings_(settings), owned_shards_(owned_shards), types_(types),
      machines_(machines), planner_(planner), demand_(demand), requests_(requests),
      delegate_(delegate) {}

void Autoscaler::run(Time now, bool allow_silent_release) {
    next_run_at_ = now + kPlanningIntervalHeartbeats * settings_.heartbeat_interval_s;
    demand_.expire_provisioned(now);
    ClusterDemand cluster_demand = demand_.cluster_demand(now);
    planner_.count_requested_machines(cluster_demand);
    place_task_groups(types_.all(), cluster_demand);
    // Before all peers have reported their capacity, existing machines would be provisioned again.
    // Peers that have not reported after one worker lease time are no longer waited for.
    if (is_provisioner() &&
        (delegate_.all_peers_reported() || now - leadership_.since() > settings_.worker_lease_s)) {
        scale_out(now, cluster_demand);
    }
    update_cordons(now, cluster_demand);
    auto surplus = planner_.plan_scale_in(now, machines_, cluster_demand, allow_silent_release);
    std::erase_if(surplus, [&](const auto& name) {
        const Machine& machine = *machines_.find(name);
        return !owned_shards_.may_lend(machine.shard) || delegate_.has_unacked_exits(now, machine);
    });
    if (!surplus.empty() && now >= next_release_at_) {
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
        const InstanceType* type = types_.find(provisioned.request.type);
        slots[provisioned.request.zone] += type ? type->slots() : 0;
    }
    return slots;
}

void Autoscaler::scale_out(Time now, const ClusterDemand& cluster_demand) {
    for (const ScaleOut& request :
         planner_.plan_scale_out(now, cluster_demand, types_.all(), slots_by_zone())) {
        requests_.log(LogLevel::info, "event=scale_out_requested order=" + request.idempotency_key +
                                          " type=" + request.type + " zone=" + request.zone +
                                          " spot=" + (request.spot ? "1" : "0") +
                                          " count=" + std::to_string(request.count));
        requests_.send(request, [this, request](Time at, OutboundResponse& response) {
            on_scale_out_response(at, request, response);
        });
    }
}

void Autoscaler::on_scale_out_response(Time now, const ScaleOut& request,
                                       const OutboundResponse& response) {
    planner_.on_scale_out_response(now, request, response.status,
                                   response.accepted_machines.size());
    const InstanceType* type = types_.find(request.type);
    for (const auto& name : response.accepted_machines) {
        if (!type || machines_.find(name) || planner_.was_released(now, name)) {
            continue;
        }
        ShardId shard = shard_of_machine(settings_, name, request.zone);
        if (const OwnedShards::Shard* own = owned_shards_.find(shard)) {
            machines_.add(now, name, *type, request.zone, request.spot, shard, own->term);
            demand_.invalidate();
        } else {
            demand_.add_provisioned(now, name, request);
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
            machine->releasing = false; // it is still surplus, so its release will be retried
            next_release_at_ = now + settings_.heartbeat_interval_s;
            delegate_.update_slot_lists(*machine);
            continue;
        }
        // All partitions share the provider's rate limit.
        next_release_at_ = now + settings_.heartbeat_interval_s / 2;
        planner_.on_released(now, name);
        delegate_.on_machine_released(now, name);
    }
    delegate_.resume_scheduling(now);
}

void Autoscaler::list_instances(Time now) {
    if (now >= next_list_at_ && !list_in_flight_) {
        list_instances_after("");
    }
}

// Lists the machines whose names come after `after`, page by page.
void Autoscaler::list_instances_after(std::string after) {
    list_in_flight_ = true;
    requests_.send(ListInstances{std::move(after)}, [this](Time at, OutboundResponse& response) {
        list_in_flight_ = false;
        next_list_at_ = at + settings_.list_lag_s;
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

// Adds a listed machine that is not known yet, and returns it. Returns null if the machine is of an
// unknown type or may have been released already.
Machine* Autoscaler::add_listed(Time now, const Instance& instance, const ShardId& shard,
                                const OwnedShards::Shard& own) {
    const InstanceType* type = types_.find(instance.type);
    // The provider's list lags, so machines that the shard's previous leader released may still be
    // in it. Skipping a running machine is harmless, since it sends heartbeats.
    bool may_be_released = own.since > leadership_.since() &&
                           instance.state == InstanceState::running &&
                           now - own.since < 2 * settings_.list_lag_s;
    if (!type || may_be_released || planner_.was_released(now, instance.name)) {
        return nullptr;
    }
    Machine& machine =
        machines_.add(now, instance.name, *type, instance.zone, instance.spot, shard, own.term);
    machine.age_when_added_s = instance.age_s;
    machine.endpoint = instance.endpoint;
    // No reconciliation is needed: a machine that may run tasks is in the machine registry as well.
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
