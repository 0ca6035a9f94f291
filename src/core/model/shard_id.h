// The identity of shards, the units in which machines move between partitions. See shards.h.
#pragma once

#include <compare>
#include <cstdint>

namespace scheduler {

// A shard of the machines, see shards.h.
struct ShardId {
    int home_partition = 0; // the partition that holds it as long as the store has no map
    int number = 0;         // among the shards of that home, from 0
    auto operator<=>(const ShardId&) const = default;
};

// What a PeerSyncResponse or an InventoryRecord states about one shard that its sender holds.
struct ShardInventory {
    ShardId shard;
    std::uint64_t term = 0;  // under which the sender holds the shard
    bool reconciled = false; // each of its machines is
    // The tasks listed cover all of the shard's machines, not only those named in `machines`.
    bool complete = false;
};

} // namespace scheduler
