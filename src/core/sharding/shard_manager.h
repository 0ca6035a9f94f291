// Updates a partition's tables as shards of machines migrate in and out, and starts migrations out.
// See docs/sharding.md.
#pragma once

#include "core/machines/machine_registry.h"
#include "core/machines/slot_lists.h"
#include "core/recovery/reconciliation.h"
#include "core/sharding/shard_balancer.h"
#include "core/sharding/shard_migration.h"
#include "core/stealing/slot_borrower.h"
#include "core/stealing/slot_lender.h"

namespace scheduler {

// The tables of a partition that have entries for machines.
struct MachineState {
    MachineTable& machines;
    SlotLists& slots;
    MachineRegistry& registry;
    Reconciliation& reconciliation;
    SlotLender& lender;
    SlotBorrower& borrower;
    DemandTracker& demand;
};

// Applies changes of shard ownership to the partition's tables, and migrates shards. Called only
// from the controller's event loop.
class ShardManager : ShardMigration::Delegate {
  public:
    // What the shard manager needs of its partition's leader.
    struct Delegate {
        virtual ~Delegate() = default;
        // The machine's idle slots have changed, or whether they may be assigned.
        virtual void update_slot_lists(Machine& machine) = 0;
        // A task's launch was cancelled before it was sent.
        virtual void on_task_removed(Time now, const std::string& machine,
                                     const HeartbeatResult::RemovedTask& removed) = 0;
        // Reads the machine registries that list the machines of newly gained shards.
        virtual void load_registries(Time now) = 0;
        // Whether the partition is reconciled: all running tasks of older jobs are known.
        virtual bool reconciled() const = 0;
    };
    ShardManager(const Leadership& leadership, const ClusterSettings& settings,
                 PartitionMap& partition_map, OwnedShards& owned_shards,
                 const InstanceTypeCatalog& types, const CapacityPlanner& planner,
                 MachineState state, OutboundRequests& requests, Delegate& delegate);

    // Called after the controller has read the partition map. Applies the changes of ownership.
    void on_map_updated(Time now);
    // Handles the announcement of another leader that it transferred a shard to this partition.
    void accept_transfer(Time now, const ShardTransfer& transfer);
    // Starts to migrate the shard to another partition. Returns false if that is not possible now.
    bool migrate(Time now, const ShardId& shard, int to_partition) {
        return migration_.start(now, shard, to_partition);
    }
    // Advances the migration in progress. Called by the partition leader's timer.
    void tick(Time now) { migration_.tick(now); }
    // Starts the migration that the balancer chooses, if any.
    void balance(Time now);
    // Whether shards may migrate to this partition. Returns false while one of its shards is
    // unreconciled, or while too few of its machines are responsive: a leader that does not receive
    // their heartbeats would look underloaded.
    bool accepts_shards(Time now) const;

  private:
    void on_shard_gained(Time now, const ShardId& shard);
    bool is_quiescent(const ShardId& shard) const override;
    void update_slot_lists(const ShardId& shard) override;
    void republish_inventory(const ShardId& shard) override;
    void on_migrated(Time now, const ShardId& shard, int to_partition) override;
    void remove_machine(Time now, const std::string& name, int to_partition);
    std::vector<std::string> machine_names(const ShardId& shard) const;
    static bool has_command_in_flight(const Machine& machine);
    std::vector<PartitionLoad> partition_loads(Time now);
    std::vector<ShardLoad> shard_loads(Time now) const;
    double max_slots_per_machine() const;
    void announce_transfer(int to_partition, const ShardTransfer& transfer) override;

    const Leadership& leadership_;
    const ClusterSettings& settings_;
    PartitionMap& partition_map_; // the controller's; migrations are recorded before they are read
    OwnedShards& owned_shards_;
    const InstanceTypeCatalog& types_;
    const CapacityPlanner& planner_;
    MachineState state_;
    OutboundRequests& requests_;
    Delegate& delegate_;
    ShardMigration migration_;
    ShardBalancer balancer_;
};

} // namespace scheduler
