// This controller's last read of the partition map in the store: the leader of each partition, and
// the partition that holds each shard. All keys have one prefix and are read at one revision. The
// controller has one map, which its partition leaders share.
#pragma once

#include <optional>
#include <string_view>

#include "core/messaging/outbound_requests.h"
#include "core/model/shards.h"

namespace scheduler {

class PartitionMap {
  public:
    struct Partition {
        std::string leader;             // the controller that leads it; empty: none
        std::uint64_t version = 0;      // of its key in the store; 0: absent
        bool home_reclaims = false;     // its home controller requests it back
        bool supports_sharding = false; // its leader follows the shard map
    };
    explicit PartitionMap(const ClusterSettings& settings);

    static constexpr char kPrefix[] = "part/";
    static std::string reclaim_key(int partition);
    static std::string shards_key(int home);

    // Replaces the map by a read of all keys. Returns false, and changes nothing, if the read is
    // incomplete or a partition's record is unreadable. Unreadable records are logged once per
    // version. While the record of a home's shard holders is unreadable, no controller may change
    // the holders of its shards.
    bool load(const OutboundResponse& response, OutboundRequests& requests);
    const Partition& at(int partition) const {
        return partitions_[static_cast<std::size_t>(partition)];
    }
    int count() const { return static_cast<int>(partitions_.size()); }
    // Records that this controller has been elected leader of the partition.
    void on_elected(int partition, const std::string& node, std::uint64_t version);

    // Records that a shard moved to another partition at this revision. Ignored if the last read is
    // as recent; otherwise applies until the next read.
    void on_shard_moved(const ShardId& shard, int to, std::uint64_t revision);

    // The store revision of the last read; 0 before the first one.
    std::uint64_t revision() const { return revision_; }
    // The partition that holds the shard; -1 if unknown, because no readable record has been read.
    int holder(const ShardId& shard) const;
    const ShardHolders& holders() const { return holders_; }
    // Whether shards may be reassigned: every leader must follow the shard map, and the conditions
    // of a reassignment must fit into a transaction of at most `max_writes` writes.
    bool can_reassign(int max_writes) const;
    // The conditions of every reassignment: no partition's leadership has changed since the last
    // read.
    std::vector<StoreCondition> unchanged_conditions() const;
    // Adds the write that sets the holders of the home's shards, with its condition.
    void add_reassignment(StoreTransaction& transaction, int home, std::vector<int> holders) const;
    // Whether the record of the holders of the home's shards was readable.
    bool is_readable(int home) const { return !unreadable_.contains(home); }

  private:
    struct Snapshot { // the content of one read
        std::vector<Partition> partitions;
        ShardHolders holders;
        std::map<int, std::uint64_t> versions;
        std::map<int, std::uint64_t> unreadable;
    };
    struct ParsedKey {
        std::optional<std::size_t> partition; // empty: not in the settings
        std::string_view suffix;              // after the partition's number
    };
    ParsedKey parse(std::string_view key) const;
    // Returns false if the record belongs to a partition and is unreadable.
    bool load_record(const KeyedRecord& item, Snapshot& next, OutboundRequests& requests);
    void load_holders(int home, const KeyedRecord& item, Snapshot& next,
                      OutboundRequests& requests);
    void log_unreadable(const KeyedRecord& item, OutboundRequests& requests);
    // For homes without a readable record: keeps the last readable holders if the record is
    // unreadable, and assigns all shards to the home partition if there is no record.
    void add_absent_holders(Snapshot& next) const;
    bool is_valid(int home, const ShardHoldersRecord& record) const;

    const ClusterSettings& settings_;
    std::vector<Partition> partitions_;
    std::uint64_t revision_ = 0;
    ShardHolders holders_;                    // absent: the record has never been readable
    std::map<int, std::uint64_t> versions_;   // of the keys of shard holders that exist, by home
    std::map<int, std::uint64_t> unreadable_; // versions of unreadable shard holders, by home
    std::map<std::string, std::uint64_t> logged_unreadable_; // logged versions, by key
};

} // namespace scheduler
