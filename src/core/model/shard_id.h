// Identifies shards, the units in which machines move between partitions. See shards.h.
#pragma once

#include <compare>
#include <cstdint>

namespace scheduler {

// Identifies a shard of the machines.
struct ShardId {
    int home_partition = 0; // the partition that holds it while the store has no shard map
    int number = 0;         // index among the shards of that home partition
    auto operator<=>(const ShardId&) const = default;
};

// The state of one shard that the sender of a PeerSyncResponse or InventoryRecord holds.
struct ShardInventory {
    ShardId shard;
    std::uint64_t term = 0;  // of the leadership under which the sender holds the shard
    bool reconciled = false; // every machine of the shard is reconciled
    // The listed tasks cover all machines of the shard, not only those named in `machines`.
    bool complete = false;
};

} // namespace scheduler
