#include "core/sharding/shard_manager.h"

#include <algorithm>

namespace scheduler {

namespace {
// A machine is responsive if its last heartbeat is less than this many intervals old.
constexpr double kResponsiveHeartbeats = 1.5;
// The fraction of its machines that must be responsive for a partition to accept shards.
constexpr double kMinResponsiveFraction = 0.75;
} // namespace

ShardManager::ShardManager(const Leadership& leadership, const ClusterSettings& settings,
                           PartitionMap& partition_map, OwnedShards& owned_shards,
                           const InstanceTypeCatalog& types, const CapacityPlanner& planner,
                           MachineState state, OutboundRequests& requests, Delegate& delegate)
    : leadership_(leadership), settings_(settings), partition_map_(partition_map),
      owned_shards_(owned_shards), types_(types), planner_(planner), state_(state),
      requests_(requests), delegate_(delegate),
      migration_(leadership, settings, partition_map, owned_shards, requests, *this),
      balancer_(settings) {}

void ShardManager::on_map_updated(Time now) {
    OwnedShards::Changes changes = owned_shards_.update(now);
    for (const auto& [shard, to_partition] : changes.lost) {
        migration_.on_shard_lost(shard);
        on_migrated(now, shard, to_partition);
    }
    for (const auto& shard : changes.gained) {
        on_shard_gained(now, shard);
    }
    delegate_.load_registries(now);
    migration_.tick(now);
}

// The tasks on the shard's machines are not known yet. Those of this partition's own jobs stay
// recorded as remote tasks until the machines have listed them.
void ShardManager::on_shard_gained(Time now, const ShardId& shard) {
    state_.reconciliation.add_shard(now, shard);
    state_.borrower.on_shard_migrated_in(shard, owned_shards_.term(shard));
    if (owned_shards_.find(shard)->since > leadership_.since()) {
        requests_.log(LogLevel::info, "event=shard_acquired shard=" + to_string(shard) +
                                          " partition=" + std::to_string(leadership_.partition()) +
                                          " term=" + std::to_string(owned_shards_.term(shard)));
    }
}

void ShardManager::accept_transfer(Time now, const ShardTransfer& transfer) {
    if (owned_shards_.accept_transfer(now, transfer)) {
        partition_map_.on_shard_moved(transfer.shard, leadership_.partition(), transfer.revision);
        on_shard_gained(now, transfer.shard);
        delegate_.load_registries(now);
    }
}

void ShardManager::announce_transfer(int to_partition, const ShardTransfer& transfer) {
    partition_map_.on_shard_moved(transfer.shard, to_partition, transfer.revision);
    state_.borrower.announce_transfer(to_partition, transfer);
}

std::vector<std::string> ShardManager::machine_names(const ShardId& shard) const {
    std::vector<std::string> names;
    for (const auto& [name, machine] : state_.machines.all()) {
        if (machine.shard == shard) {
            names.push_back(name);
        }
    }
    return names;
}

void ShardManager::on_migrated(Time now, const ShardId& shard, int to_partition) {
    state_.reconciliation.remove_shard(shard);
    state_.lender.unpublish_shard(shard);
    for (const auto& name : machine_names(shard)) {
        remove_machine(now, name, to_partition);
    }
    state_.demand.invalidate();
}

// Removes a machine that now belongs to `to_partition` from every table of this partition.
void ShardManager::remove_machine(Time now, const std::string& name, int to_partition) {
    Machine& machine = *state_.machines.find(name);
    // These launches have not been sent.
    for (const auto& removed : state_.machines.cancel_queued_starts(machine)) {
        delegate_.on_task_removed(now, name, removed);
    }
    if (machine.agent_epoch == 0 && !machine.registered && !machine.registration_pending) {
        // The machine has not booted yet. Keep reporting it to the new owner, which would otherwise
        // provision another one.
        state_.demand.add_provisioned(machine.known_since, name,
                                      {"", machine.type.name, machine.zone, machine.spot, 1});
    }
    for (const auto& [task, placement] : machine.tasks) {
        if (leadership_.is_own_attempt(placement.attempt)) {
            state_.borrower.on_task_migrated_out(task, {placement.attempt, to_partition, name,
                                                        machine.zone, machine.shard, machine.term});
        }
    }
    state_.registry.forget(name);
    state_.lender.on_machine_migrated_out(machine);
    state_.slots.forget(name);
    state_.machines.remove(name);
}

// Returns whether a launch, a lent slot or another command for the machine is in progress.
bool ShardManager::has_command_in_flight(const Machine& machine) {
    return machine.command_in_flight != 0 || machine.releasing || !machine.lent_slots.empty() ||
           !machine.outbox.empty() ||
           std::any_of(machine.tasks.begin(), machine.tasks.end(), [](const auto& entry) {
               return entry.second.launch_state != Placement::LaunchState::reported;
           });
}

bool ShardManager::is_quiescent(const ShardId& shard) const {
    const auto& machines = state_.machines.all();
    return std::none_of(machines.begin(), machines.end(), [&](const auto& entry) {
        return entry.second.shard == shard && has_command_in_flight(entry.second);
    });
}

void ShardManager::update_slot_lists(const ShardId& shard) {
    for (auto& [name, machine] : state_.machines.all()) {
        if (machine.shard == shard) {
            delegate_.update_slot_lists(machine);
        }
    }
}

void ShardManager::republish_inventory(const ShardId& shard) {
    if (state_.reconciliation.is_reconciled(shard)) {
        state_.lender.publish_shard(shard);
    }
}

bool ShardManager::accepts_shards(Time now) const {
    if (!delegate_.reconciled() || !state_.reconciliation.all_reconciled()) {
        return false;
    }
    double max_silence_s = kResponsiveHeartbeats * settings_.heartbeat_interval_s;
    std::size_t responsive = 0;
    for (const auto& [name, machine] : state_.machines.all()) {
        responsive += machine.reporting && now - machine.last_heartbeat < max_silence_s;
    }
    return static_cast<double>(responsive) >=
           kMinResponsiveFraction * static_cast<double>(state_.machines.reporting_count());
}

std::vector<PartitionLoad> ShardManager::partition_loads(Time now) {
    const PartitionCapacity& own = state_.demand.current(now).capacity;
    std::vector<PartitionLoad> loads{
        {leadership_.partition(), own.total_slots(), own.cpu_headroom, false}};
    for (const auto& [partition, peer] : state_.demand.peers()) {
        const std::string& home_node =
            settings_.partitions[static_cast<std::size_t>(partition)].node;
        bool led_from_home = partition_map_.at(partition).leader == home_node;
        bool accepts = led_from_home && peer.capacity.accepts_shards &&
                       now - peer.received_at < settings_.heartbeat_interval_s;
        loads.push_back(
            {partition, peer.capacity.total_slots(), peer.capacity.cpu_headroom, accepts});
    }
    return loads;
}

std::vector<ShardLoad> ShardManager::shard_loads(Time now) const {
    std::map<ShardId, ShardLoad> by_shard;
    for (const auto& [id, shard] : owned_shards_.all()) {
        bool movable = state_.reconciliation.is_reconciled(id) &&
                       partition_map_.is_readable(id.home_partition);
        by_shard[id] = {id, 0, movable};
    }
    for (const auto& [name, machine] : state_.machines.all()) {
        if (planner_.is_usable(now, machine)) {
            by_shard[machine.shard].slots += machine.type.slots();
        }
    }
    std::vector<ShardLoad> loads;
    loads.reserve(by_shard.size());
    for (const auto& [id, load] : by_shard) {
        loads.push_back(load);
    }
    return loads;
}

double ShardManager::max_slots_per_machine() const {
    double max_slots = 0;
    for (const auto& type : types_.all()) {
        max_slots = std::max(max_slots, type.slots());
    }
    return max_slots;
}

void ShardManager::balance(Time now) {
    // The loads are not known well enough until this partition is reconciled and its peers have had
    // time to report theirs.
    if (migration_.in_progress() || !delegate_.reconciled() ||
        now - leadership_.since() < settings_.worker_lease_s || types_.empty()) {
        return;
    }
    auto move = balancer_.choose_move(now, leadership_.partition(), partition_loads(now),
                                      shard_loads(now), max_slots_per_machine());
    if (move && migration_.start(now, move->shard, move->to_partition)) {
        balancer_.on_migration_started(now);
    }
}

} // namespace scheduler
