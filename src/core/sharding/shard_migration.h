// Migrates a shard of machines to another partition while jobs run: one shard at a time, by one
// transaction. See "A migration" in docs/sharding.md for the steps and the argument.
#pragma once

#include "core/sharding/owned_shards.h"

namespace scheduler {

// The migration in progress, if any. Called only from the controller's event loop.
class ShardMigration {
  public:
    // What the migration needs of its shard manager.
    struct Delegate {
        virtual ~Delegate() = default;
        // No launch and no lent slot is on its way to a machine of the shard.
        virtual bool is_quiescent(const ShardId& shard) const = 0;
        // Slots of the shard may no longer be given, or may be given again.
        virtual void update_slot_lists(const ShardId& shard) = 0;
        // The shard went back from in doubt to owned: inventories have left it out meanwhile.
        virtual void republish_inventory(const ShardId& shard) = 0;
        // The shard is the other partition's from now on.
        virtual void on_migrated(Time now, const ShardId& shard, int to_partition) = 0;
        // The new owner is to be told by this partition too, besides the partition map.
        virtual void announce_transfer(int to_partition, const ShardTransfer& transfer) = 0;
    };
    ShardMigration(const Leadership& leadership, const ClusterSettings& settings,
                   const PartitionMap& partition_map, OwnedShards& owned_shards,
                   OutboundRequests& requests, Delegate& delegate);

    bool in_progress() const { return migration_.has_value(); }
    // Begins to migrate the shard. Returns false if it cannot be reassigned now, or if the other
    // partition has no leader to take it.
    bool start(Time now, const ShardId& shard, int to_partition);
    // Advances the migration. Called by the partition leader's timer and after map updates.
    void tick(Time now);
    // The partition map assigns the shard to another partition: its migration is over.
    void on_shard_lost(const ShardId& shard);

  private:
    struct Migration {
        ShardId shard;
        int to_partition = 0;
        Time started_at = 0;
        std::optional<StoreTransaction> transaction; // as it was first sent
        bool in_flight = false;
        bool outcome_unknown = false;       // a copy of the transaction may still take effect
        std::uint64_t min_map_revision = 0; // a map of this revision or later decides; 0: none
        Time next_try = 0;                  // no retry before this
    };
    void send(Time now);
    bool map_allows_reassignment() const;
    void build_transaction();
    void on_response(Time now, const OutboundResponse& response);
    void complete(Time now, std::uint64_t revision);
    void abort(const char* reason);

    const Leadership& leadership_;
    const ClusterSettings& settings_;
    const PartitionMap& partition_map_;
    OwnedShards& owned_shards_;
    OutboundRequests& requests_;
    Delegate& delegate_;
    std::optional<Migration> migration_;
};

} // namespace scheduler
