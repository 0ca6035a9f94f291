// Relay of inventories through the key-value store.
//
// A new partition leader waits for the inventories of its peers: the tasks of its jobs that run on
// machines of their shards. While the controllers cannot reach each other, each leader that owns
// shards posts its inventory to the store, and the new leader reads it there. Without the relay,
// older tasks would stay pending despite idle slots until the peers are reachable again. See "While
// peers refuse calls" in docs/sharding.md.
#pragma once

#include "core/stealing/slot_borrower.h"
#include "core/stealing/slot_lender.h"

namespace scheduler {

// Posts this partition's inventory for new leaders of other partitions, and reads the inventories
// posted for this one. Called only from the controller's event loop. A store request that fails is
// retried at a later tick.
class InventoryRelay {
  public:
    // What the relay needs of its partition's leader.
    struct Delegate {
        virtual ~Delegate() = default;
        // Returns whether older tasks wait for inventories of other partitions.
        virtual bool awaits_inventories() const = 0;
        // An inventory has been applied: tasks that waited for it may be scheduled.
        virtual void resume_scheduling(Time now) = 0;
    };
    InventoryRelay(Leadership& leadership, const ClusterSettings& settings,
                   const PartitionMap& partition_map, SlotLender& lender, SlotBorrower& borrower,
                   OutboundRequests& requests, Delegate& delegate);

    // Posts inventories, reads posted ones and deletes those no longer needed, whichever is due.
    // Called by the partition leader's timer.
    void tick(Time now);

  private:
    // This partition's inventory as posted for the leader of one other partition.
    struct PostedInventory {
        std::uint64_t term = 0; // of that leader
        Time first_seen = 0;    // when that term was first seen
        std::vector<InventoryRecord> pages;
        std::size_t pages_written = 0;
        bool done = false;
    };
    using PageList = std::vector<const InventoryRecord*>;
    // Pages by the partition that posted them, then by the version of its inventory.
    using PagesByHolder = std::map<int, std::map<std::uint64_t, PageList>>;

    static std::string inventory_key(int partition, int holder, std::size_t page);
    void post_inventories(Time now);
    bool write_pages(Time now, int partition, PostedInventory& posted);
    std::size_t max_pages_per_write() const;
    std::vector<InventoryRecord> split_into_pages(const PeerSyncResponse& response,
                                                  std::uint64_t for_term) const;
    void read_posted(Time now);
    void apply_inventories(Time now, const std::vector<KeyedRecord>& entries);
    PagesByHolder current_pages(const std::vector<KeyedRecord>& entries);
    void delete_read_pages(Time now);

    Leadership& leadership_;
    const ClusterSettings& settings_;
    const PartitionMap& partition_map_;
    SlotLender& lender_;
    SlotBorrower& borrower_;
    OutboundRequests& requests_;
    Delegate& delegate_;
    std::map<int, PostedInventory> posted_;
    bool writing_ = false;
    bool reading_ = false;
    Time next_read_ = 0;
    std::map<int, std::uint64_t> applied_versions_; // by the partition that posted it
    std::vector<std::string> read_keys_;            // deleted once no inventory is awaited
};

} // namespace scheduler
