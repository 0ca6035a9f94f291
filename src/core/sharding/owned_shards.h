// The shares of machines that a part holds, each under its term, from when to when: the only writer
// of that. See docs/shares.md, "The argument for each rule", 1.
#pragma once

#include "core/leadership/leadership.h"
#include "core/leadership/partition_map.h"

namespace scheduler {

class OwnedShards {
  public:
    enum class State {
        owned,
        migrating, // no slot of it is given any more: it is about to be given away
        in_doubt   // a transaction that gives it away is out: nothing may be answered for it
    };
    struct Shard {
        std::uint64_t term = 0; // the revision of the first read that showed it to be ours
        Time since = 0;
        State state = State::owned;
    };
    struct Changes {
        std::vector<ShardId> gained;
        std::vector<std::pair<ShardId, int>> lost; // and to whom
    };
    OwnedShards(const Leadership& leadership, const PartitionMap& partition_map)
        : leadership_(leadership), partition_map_(partition_map) {}

    // Takes in the map as the node has last read it.
    Changes update(Time now);
    // Has a map been seen that was read after the claim?
    bool has_map() const { return map_revision_ >= leadership_.term(); }
    const std::map<ShardId, Shard>& all() const { return shards_; }
    const Shard* find(const ShardId& shard) const;
    // May the part act for the machines of the share, and give slots of them?
    bool may_serve(const ShardId& shard) const;
    bool may_lend(const ShardId& shard) const;
    std::uint64_t term(const ShardId& shard) const { return shards_.at(shard).term; }

    void set_state(const ShardId& shard, State state) { shards_.at(shard).state = state; }
    // The map says so since this revision: what was read before does not count.
    void migrated_out(const ShardId& shard, std::uint64_t revision);
    // The giver says that it gave us the share at this revision: as good as a read of that
    // revision, as nobody but us can have given it away since. False: we know better by now.
    bool accept_transfer(Time now, const ShardTransfer& transfer);

  private:
    const Leadership& leadership_;
    const PartitionMap& partition_map_;
    std::map<ShardId, Shard> shards_;
    std::uint64_t map_revision_ = 0;                   // the revision of the map taken in
    std::uint64_t min_map_revision_ = 0;               // maps read before this one are too old
    std::map<ShardId, std::uint64_t> migrated_out_at_; // the revision at which we last gave it away
};

} // namespace scheduler
