// The shares of machines of a part as they come and go: what follows for its tables when one is
// gained or handed on, and when to give one away. See docs/shares.md.
#pragma once

#include "core/machines/machine_registry.h"
#include "core/machines/slot_lists.h"
#include "core/recovery/reconciliation.h"
#include "core/sharding/shard_balancer.h"
#include "core/sharding/shard_migration.h"
#include "core/stealing/slot_borrower.h"
#include "core/stealing/slot_lender.h"

namespace scheduler {

// The tables of a part that know machines by their names.
struct MachineState {
    MachineTable& machines;
    SlotLists& slots;
    MachineRegistry& registry;
    Reconciliation& reconciliation;
    SlotLender& lender;
    SlotBorrower& borrower;
    DemandTracker& demand;
};

class ShardManager : ShardMigration::Delegate {
  public:
    struct Delegate { // what it needs of the part it works for
        virtual ~Delegate() = default;
        virtual void update_slot_lists(Machine& machine) = 0;
        // A start that never went out.
        virtual void on_task_removed(Time now, const std::string& machine,
                                     const HeartbeatResult::RemovedTask& removed) = 0;
        // Shares have come: the rosters that they stand on are to be read.
        virtual void load_registries(Time now) = 0;
        virtual bool reconciled() const = 0;
    };
    ShardManager(const Leadership& leadership, const ClusterSettings& settings,
                 PartitionMap& partition_map, OwnedShards& owned_shards,
                 const InstanceTypeCatalog& types, const CapacityPlanner& planner,
                 MachineState books, OutboundRequests& requests, Delegate& delegate);

    // The node has read the map of shares.
    void on_map_updated(Time now);
    // Another owner says that it gave us a share.
    void accept_transfer(Time now, const ShardTransfer& transfer);
    // Gives the share to another part, if it is ours to give now.
    bool migrate(Time now, const ShardId& shard, int to) {
        return migration_.begin(now, shard, to);
    }
    void tick(Time now) { migration_.tick(now); }
    // Gives what `Balance` says.
    void balance(Time now);
    // Can the part be given a share? Not while it has one to account for, nor when it does not hear
    // the machines that it has: such an owner looks as if it had little to do.
    bool accepts_shards(Time now) const;

  private:
    void on_shard_gained(Time now, const ShardId& shard);
    bool is_quiescent(const ShardId& shard) const override;
    void update_slot_lists(const ShardId& shard) override;
    void republish_inventory(const ShardId& shard) override;
    void on_migrated(Time now, const ShardId& shard, int to) override;
    void announce_transfer(int to, const ShardTransfer& transfer) override;

    const Leadership& leadership_;
    const ClusterSettings& settings_;
    PartitionMap& partition_map_; // the node's, told of moves before they are read
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
