// Gives a share of machines to another part while jobs run: one at a time, by one transaction. See
// "A move" in docs/shares.md for the steps and the argument.
#pragma once

#include "core/sharding/owned_shards.h"

namespace scheduler {

class ShardMigration {
  public:
    struct Delegate { // what it needs of the part it works for
        virtual ~Delegate() = default;
        // No start and no slot handed over is on its way to machines of the share.
        virtual bool is_quiescent(const ShardId& shard) const = 0;
        // Slots of the share are given no more, or again.
        virtual void update_slot_lists(const ShardId& shard) = 0;
        // The share's state went back to held from a doubt: listings have left it out meanwhile.
        virtual void republish_inventory(const ShardId& shard) = 0;
        // It is the other part's now.
        virtual void on_migrated(Time now, const ShardId& shard, int to) = 0;
        // Its owner is to hear so from us too.
        virtual void announce_transfer(int to, const ShardTransfer& transfer) = 0;
    };
    ShardMigration(const Leadership& leadership, const ClusterSettings& settings,
                   const PartitionMap& partition_map, OwnedShards& owned_shards,
                   OutboundRequests& requests, Delegate& delegate);

    bool busy() const { return migration_.has_value(); }
    // Begins to give the share away. False: it is not ours to give now, or nobody is there to take
    // it.
    bool begin(Time now, const ShardId& shard, int to);
    void tick(Time now);
    // The map says that the share is another's: the move is over.
    void on_shard_lost(const ShardId& shard);

  private:
    struct Migration {
        ShardId shard;
        int to_partition = 0;
        Time since = 0;
        std::optional<StoreTransaction> transaction; // as it was sent first
        bool in_flight = false;
        bool in_doubt = false;              // a copy of it may take effect yet
        std::uint64_t min_map_revision = 0; // a map of this revision or later decides
        Time next = 0;
    };
    void send(Time now);
    void on_response(Time now, const OutboundResponse& response);
    void abort(const char* why);

    const Leadership& leadership_;
    const ClusterSettings& settings_;
    const PartitionMap& partition_map_;
    OwnedShards& owned_shards_;
    OutboundRequests& requests_;
    Delegate& delegate_;
    std::optional<Migration> migration_;
};

} // namespace scheduler
