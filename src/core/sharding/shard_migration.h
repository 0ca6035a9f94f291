// Migrates a shard of machines to another partition while its tasks keep running. One shard
// migrates at a time, by a single store transaction. See "A migration" in docs/sharding.md for the
// steps and the argument.
#pragma once

#include "core/sharding/owned_shards.h"

namespace scheduler {

// Runs at most one migration. Called only from the controller's event loop.
class ShardMigration {
  public:
    // What the migration needs of its shard manager.
    struct Delegate {
        virtual ~Delegate() = default;
        // Whether no command or lent slot is in progress on any machine of the shard.
        virtual bool is_quiescent(const ShardId& shard) const = 0;
        // Slots of the shard may no longer be assigned, or may be assigned again.
        virtual void update_slot_lists(const ShardId& shard) = 0;
        // The shard's state went back from transfer_pending to owned. Inventories did not include
        // it in the meantime.
        virtual void republish_inventory(const ShardId& shard) = 0;
        // The shard now belongs to the other partition.
        virtual void on_migrated(Time now, const ShardId& shard, int to_partition) = 0;
        // Notifies the new owner, which need not wait for its next read of the partition map.
        virtual void announce_transfer(int to_partition, const ShardTransfer& transfer) = 0;
    };
    ShardMigration(const Leadership& leadership, const ClusterSettings& settings,
                   const PartitionMap& partition_map, OwnedShards& owned_shards,
                   OutboundRequests& requests, Delegate& delegate);

    bool in_progress() const { return migration_.has_value(); }
    // Starts to migrate the shard. Returns false if it cannot be reassigned now, or if the other
    // partition has no leader.
    bool start(Time now, const ShardId& shard, int to_partition);
    // Advances the migration. Called by the partition leader's timer and after map updates.
    void tick(Time now);
    // The partition map assigns the shard to another partition. Ends its migration, if any.
    void on_shard_lost(const ShardId& shard);

  private:
    struct Migration {
        ShardId shard;
        int to_partition = 0;
        Time started_at = 0;
        std::optional<StoreTransaction> transaction; // resent unchanged while outcome_unknown
        bool in_flight = false;
        bool outcome_unknown = false;       // a copy of the transaction may still take effect
        std::uint64_t min_map_revision = 0; // a map this recent shows the outcome; 0: unset
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
