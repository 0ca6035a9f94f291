// The shards of machines that a partition owns, each with its term, from when to when. This class
// is the only writer of that state. See docs/sharding.md, "The argument for each rule", 1.
#pragma once

#include "core/leadership/leadership.h"
#include "core/leadership/partition_map.h"

namespace scheduler {

// Called only from the controller's event loop. Times are seconds on the controller's clock,
// revisions are those of the key-value store.
class OwnedShards {
  public:
    enum class State {
        owned,
        migrating,       // none of its slots is given any more: it is about to migrate out
        transfer_pending // a transaction that reassigns it is in flight: nothing may be answered
                         // for it
    };
    struct Shard {
        std::uint64_t term = 0; // the revision of the first read that showed this ownership
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

    // Applies the partition map as the controller last read it. No changes if the map is not newer
    // than what is known.
    Changes update(Time now);
    // Has a map been applied that was read after this leadership began?
    bool has_map() const { return map_revision_ >= leadership_.term(); }
    const std::map<ShardId, Shard>& all() const { return shards_; }
    // Null if the shard is not owned.
    const Shard* find(const ShardId& shard) const;
    // May this partition act for the machines of the shard?
    bool may_serve(const ShardId& shard) const;
    // ... and also lend slots of them?
    bool may_lend(const ShardId& shard) const;
    // The shard must be owned; otherwise throws std::out_of_range, as does set_state.
    std::uint64_t term(const ShardId& shard) const { return shards_.at(shard).term; }

    void set_state(const ShardId& shard, State state) { shards_.at(shard).state = state; }
    // The shard is another partition's since this revision: maps read before it are ignored.
    void on_migrated_out(const ShardId& shard, std::uint64_t revision);
    // The previous owner announces that it transferred the shard to this partition at a revision.
    // That is as good as a read of that revision, as nobody but this partition can have reassigned
    // the shard since. Returns false if the announcement is outdated.
    bool accept_transfer(Time now, const ShardTransfer& transfer);

  private:
    const Leadership& leadership_;
    const PartitionMap& partition_map_;
    std::map<ShardId, Shard> shards_;
    std::uint64_t map_revision_ = 0;                   // of the map applied last
    std::uint64_t min_map_revision_ = 0;               // maps read before this one are too old
    std::map<ShardId, std::uint64_t> migrated_out_at_; // the revision of the last migration out
};

} // namespace scheduler
