#include "core/sharding/shard_manager.h"

#include <algorithm>

namespace scheduler {

namespace {
constexpr double kHeardReports = 1.5; // a machine heard within so many report times is heard
constexpr double kHears = 0.75;       // of its machines, at least: then an owner hears them
} // namespace

ShardManager::ShardManager(const Leadership& leadership, const ClusterSettings& settings,
                           PartitionMap& partition_map, OwnedShards& owned_shards,
                           const InstanceTypeCatalog& types, const CapacityPlanner& planner,
                           MachineState books, OutboundRequests& requests, Delegate& delegate)
    : leadership_(leadership), settings_(settings), partition_map_(partition_map),
      owned_shards_(owned_shards), types_(types), planner_(planner), state_(books),
      requests_(requests), delegate_(delegate),
      migration_(leadership, settings, partition_map, owned_shards, requests, *this),
      balancer_(settings) {}

void ShardManager::on_map_updated(Time now) {
    OwnedShards::Changes news = owned_shards_.update(now);
    for (const auto& [shard, to] : news.lost) {
        migration_.on_shard_lost(shard);
        on_migrated(now, shard, to);
    }
    for (const auto& shard : news.gained) {
        on_shard_gained(now, shard);
    }
    delegate_.load_registries(now);
    migration_.tick(now);
}

// What runs there is not known yet: our own tasks among it stand as borrowed until its machines
// have listed them.
void ShardManager::on_shard_gained(Time now, const ShardId& shard) {
    state_.reconciliation.begin(now, shard);
    state_.borrower.migrated_in(shard, owned_shards_.term(shard));
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

void ShardManager::announce_transfer(int to, const ShardTransfer& transfer) {
    partition_map_.on_shard_moved(transfer.shard, to, transfer.revision);
    state_.borrower.announce_transfer(to, transfer);
}

void ShardManager::on_migrated(Time now, const ShardId& shard, int to) {
    state_.reconciliation.end(shard);
    state_.lender.unpublish_shard(shard);
    std::vector<std::string> names;
    for (const auto& [name, m] : state_.machines.all()) {
        if (m.shard == shard) {
            names.push_back(name);
        }
    }
    for (const auto& name : names) {
        Machine& machine = *state_.machines.find(name);
        for (const auto& g :
             state_.machines.cancel_queued_starts(machine)) { // they have not gone out
            delegate_.on_task_removed(now, name, g);
        }
        if (machine.agent_epoch == 0 && !machine.registered && !machine.registration_pending) {
            // Not up yet: named to the taker, or it would be rented once more.
            state_.demand.add_provisioned(machine.known_since, name,
                                          {"", machine.type.name, machine.zone, machine.spot, 1});
        }
        for (const auto& [task, p] : machine.tasks) {
            if (leadership_.is_own_attempt(p.attempt)) {
                state_.borrower.migrated_out(
                    task, {p.attempt, to, name, machine.zone, shard, machine.term});
            }
        }
        state_.registry.forget(name);
        state_.lender.forget(machine);
        state_.slots.forget(name);
        state_.machines.remove(name);
    }
    state_.demand.invalidate();
}

bool ShardManager::is_quiescent(const ShardId& shard) const {
    for (const auto& [name, m] : state_.machines.all()) {
        bool moves =
            m.shard == shard &&
            (m.command_in_flight != 0 || m.releasing || !m.lent_slots.empty() ||
             !m.outbox.empty() || std::any_of(m.tasks.begin(), m.tasks.end(), [](const auto& t) {
                 return t.second.via != Placement::Via::reported;
             }));
        if (moves) {
            return false;
        }
    }
    return true;
}

void ShardManager::update_slot_lists(const ShardId& shard) {
    for (auto& [name, m] : state_.machines.all()) {
        if (m.shard == shard) {
            delegate_.update_slot_lists(m);
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
    std::size_t heard = 0;
    for (const auto& [name, m] : state_.machines.all()) {
        heard +=
            m.reporting && now - m.last_heartbeat < kHeardReports * settings_.heartbeat_interval_s;
    }
    return static_cast<double>(heard) >=
           kHears * static_cast<double>(state_.machines.reporting_count());
}

void ShardManager::balance(Time now) {
    // Before the part has settled, and its peers have been heard, nothing is known well enough.
    if (migration_.busy() || !delegate_.reconciled() ||
        now - leadership_.since() < settings_.worker_lease_s || types_.empty()) {
        return;
    }
    const PartitionCapacity& own = state_.demand.current(now).capacity;
    std::vector<PartitionLoad> partitions{
        {leadership_.partition(), own.total_slots(), own.cpu_headroom, false}};
    for (const auto& [partition, peer] : state_.demand.peers()) {
        const PartitionMap::Partition& p = partition_map_.at(partition);
        bool home = p.leader == settings_.partitions[static_cast<std::size_t>(partition)].node;
        partitions.push_back({partition, peer.capacity.total_slots(), peer.capacity.cpu_headroom,
                              home && peer.capacity.accepts_shards &&
                                  now - peer.received_at < settings_.heartbeat_interval_s});
    }
    std::map<ShardId, ShardLoad> loads;
    for (const auto& [id, shard] : owned_shards_.all()) {
        loads[id] = {id, 0,
                     state_.reconciliation.is_reconciled(id) &&
                         partition_map_.is_readable(id.home_partition)};
    }
    for (const auto& [name, m] : state_.machines.all()) {
        if (planner_.is_usable(now, m)) {
            loads[m.shard].slots += m.type.slots();
        }
    }
    std::vector<ShardLoad> shards;
    for (const auto& [id, load] : loads) {
        shards.push_back(load);
    }
    double largest = 0;
    for (const auto& type : types_.all()) {
        largest = std::max(largest, type.slots());
    }
    auto choice = balancer_.choose(now, leadership_.partition(), partitions, shards, largest);
    if (choice && migration_.begin(now, choice->shard, choice->to_partition)) {
        balancer_.on_migration_started(now);
    }
}

} // namespace scheduler
