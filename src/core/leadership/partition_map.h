// What the state service says of the parts, as this node has last read it: who owns each, and the
// map of shares. All of it stands under one prefix and is read at one revision. The node's; owners
// of parts only look at it.
#pragma once

#include "core/messaging/outbound_requests.h"
#include "core/model/shards.h"

namespace scheduler {

class PartitionMap {
  public:
    struct Partition {
        std::string leader;             // its owner, empty: none
        std::uint64_t version = 0;      // of the key, 0: absent
        bool home_reclaims = false;     // its home node asks to have it back
        bool supports_sharding = false; // its owner follows the map
    };
    explicit PartitionMap(const ClusterSettings& settings);

    static constexpr char kPrefix[] = "part/";
    static std::string reclaim_key(int partition);
    static std::string shards_key(int home);

    // Takes in a read of all keys. False: what it says of the parts cannot be read, and nothing is
    // taken in. Unreadable records are logged; those of the map fence their home's shares.
    bool load(const OutboundResponse& response, OutboundRequests& requests);
    const Partition& at(int partition) const {
        return partitions_[static_cast<std::size_t>(partition)];
    }
    int count() const { return static_cast<int>(partitions_.size()); }
    // This node has claimed the part.
    void on_elected(int partition, const std::string& node, std::uint64_t version);

    // A share has been given to another part at this revision, which is later than the last read:
    // until the next one, this is what is known.
    void on_shard_moved(const ShardId& shard, int to, std::uint64_t revision);

    // Of the last read taken in; 0: there was none yet.
    std::uint64_t revision() const { return revision_; }
    // -1: not known, as the record is not readable and none was before.
    int holder(const ShardId& shard) const;
    const ShardHolders& holders() const { return holders_; }
    // May the map be changed? Only while every owner follows it, and where the conditions for that
    // fit into a transaction.
    bool can_reassign(int txn_ops) const;
    // A change of the map is made under these: nobody owns a part that did not when it was read.
    std::vector<StoreCondition> unchanged_conditions() const;
    // The change by which the home's shares come to have these holders, with its condition.
    void add_reassignment(StoreTransaction& transaction, int home, std::vector<int> holders) const;
    // Can the holders of the home's shares be read?
    bool is_readable(int home) const { return !unreadable_.contains(home); }

  private:
    bool valid(int home, const ShardHoldersRecord& record) const;

    const ClusterSettings& settings_;
    std::vector<Partition> partitions_;
    std::uint64_t revision_ = 0;
    ShardHolders holders_;                    // absent: fenced, and never seen readable
    std::map<int, std::uint64_t> versions_;   // of the keys that exist, by home
    std::map<int, std::uint64_t> unreadable_; // homes whose record is not readable, its version
    std::map<std::string, std::uint64_t>
        logged_unreadable_; // unreadable keys named in the log, their versions
};

} // namespace scheduler
