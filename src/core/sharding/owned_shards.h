// The shards of machines that a partition owns, each with its term and state. Only this class
// decides when an ownership begins and ends. See docs/sharding.md, "The argument for each rule", 1.
#pragma once

#include "core/leadership/leadership.h"
#include "core/leadership/partition_map.h"

namespace scheduler {

// Called only from the controller's event loop. Times are seconds on the controller's clock;
// revisions are those of the key-value store.
class OwnedShards {
  public:
    enum class State {
        owned,
        // About to migrate out: none of its slots may be assigned or lent any more.
        migrating,
        // A transaction that reassigns it may take effect at any time: requests for its machines
        // are not served.
        transfer_pending
    };
    struct Shard {
        std::uint64_t term = 0; // revision of the first map that showed this ownership
        Time since = 0;
        State state = State::owned;
    };
    struct LostShard {
        ShardId shard;
        int to_partition = 0;
        bool operator==(const LostShard&) const = default;
    };
    struct Changes {
        std::vector<ShardId> gained;
        std::vector<LostShard> lost;
    };
    OwnedShards(const Leadership& leadership, const PartitionMap& partition_map)
        : leadership_(leadership), partition_map_(partition_map) {}

    // Applies the partition map that the controller last read, and returns the changes. Ignores a
    // map that is not newer than the known state.
    Changes update(Time now);
    // Whether a map has been applied that was read after this leadership began.
    bool has_map() const { return map_revision_ >= leadership_.term(); }
    const std::map<ShardId, Shard>& all() const { return shards_; }
    // Null if the shard is not owned.
    const Shard* find(const ShardId& shard) const;
    // Whether this partition may serve the machines of the shard.
    bool may_serve(const ShardId& shard) const;
    // Whether it may also assign or lend slots of these machines.
    bool may_lend(const ShardId& shard) const;
    // Throws std::out_of_range if the shard is not owned; so does set_state.
    std::uint64_t term(const ShardId& shard) const { return shards_.at(shard).term; }

    void set_state(const ShardId& shard, State state) { shards_.at(shard).state = state; }
    // Records that the shard belongs to another partition since this revision. Maps read before it
    // are ignored.
    void on_migrated_out(const ShardId& shard, std::uint64_t revision);
    // Accepts the announcement of the previous owner that it transferred the shard to this
    // partition. It is as reliable as a read of the map at the announced revision, since only this
    // partition can have reassigned the shard since. Returns false if the announcement is outdated.
    bool accept_transfer(Time now, const ShardTransfer& transfer);

  private:
    const Leadership& leadership_;
    const PartitionMap& partition_map_;
    std::map<ShardId, Shard> shards_;
    std::uint64_t map_revision_ = 0;                   // of the last map applied
    std::uint64_t min_map_revision_ = 0;               // older maps are ignored
    std::map<ShardId, std::uint64_t> migrated_out_at_; // revision of the last migration out
};

} // namespace scheduler
