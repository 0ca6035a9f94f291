// The partition map in the store, as this controller has last read it: who leads each partition,
// and which partition holds each shard. All of it stands under one prefix and is read at one
// revision. One map for the controller; the leaders of its partitions refer to it.
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
        bool home_reclaims = false;     // its home controller asks to have it back
        bool supports_sharding = false; // its leader follows the shard map
    };
    explicit PartitionMap(const ClusterSettings& settings);

    static constexpr char kPrefix[] = "part/";
    static std::string reclaim_key(int partition);
    static std::string shards_key(int home);

    // Replaces the map by a read of all keys. Returns false, and changes nothing, when what it says
    // of a partition is unreadable. Unreadable records are logged, once for each version; those of
    // shard holders fence off their home's shards: nobody may change who holds them.
    bool load(const OutboundResponse& response, OutboundRequests& requests);
    const Partition& at(int partition) const {
        return partitions_[static_cast<std::size_t>(partition)];
    }
    int count() const { return static_cast<int>(partitions_.size()); }
    // This controller has been elected leader of the partition.
    void on_elected(int partition, const std::string& node, std::uint64_t version);

    // A shard has moved to another partition at this revision. Counts until the next read if it is
    // later than the last one.
    void on_shard_moved(const ShardId& shard, int to, std::uint64_t revision);

    // Of the last read; 0: there was none yet.
    std::uint64_t revision() const { return revision_; }
    // The partition that holds the shard; -1: not known, as there was no readable record yet.
    int holder(const ShardId& shard) const;
    const ShardHolders& holders() const { return holders_; }
    // Whether shards may be reassigned: only while every leader follows the shard map, and where
    // the conditions for that fit into a transaction of at most `max_writes` writes.
    bool can_reassign(int max_writes) const;
    // The conditions of every reassignment: no partition's leader has changed since the last read.
    std::vector<StoreCondition> unchanged_conditions() const;
    // Adds the write by which the home's shards get these holders, with its condition.
    void add_reassignment(StoreTransaction& transaction, int home, std::vector<int> holders) const;
    // Whether the record of who holds the home's shards could be read.
    bool is_readable(int home) const { return !unreadable_.contains(home); }

  private:
    struct Snapshot { // what a read says
        std::vector<Partition> partitions;
        ShardHolders holders;
        std::map<int, std::uint64_t> versions;
        std::map<int, std::uint64_t> unreadable;
    };
    struct ParsedKey {
        std::optional<std::size_t> partition; // empty: not a partition of the settings
        std::string_view suffix;              // after the partition's number
    };
    ParsedKey parse(std::string_view key) const;
    // Returns false when what the record says of a partition is unreadable.
    bool load_record(const KeyedRecord& item, Snapshot& next, OutboundRequests& requests);
    void load_holders(int home, const KeyedRecord& item, Snapshot& next,
                      OutboundRequests& requests);
    void log_unreadable(const KeyedRecord& item, OutboundRequests& requests);
    // Where the store has no readable record: the last one that was, or all shards at home.
    void add_absent_holders(Snapshot& next) const;
    bool is_valid(int home, const ShardHoldersRecord& record) const;

    const ClusterSettings& settings_;
    std::vector<Partition> partitions_;
    std::uint64_t revision_ = 0;
    ShardHolders holders_;                    // absent: fenced off, and never seen readable
    std::map<int, std::uint64_t> versions_;   // of the keys of shard holders that exist, by home
    std::map<int, std::uint64_t> unreadable_; // homes whose shard holders are unreadable, version
    std::map<std::string, std::uint64_t> logged_unreadable_; // keys named in the log, version
};

} // namespace scheduler
