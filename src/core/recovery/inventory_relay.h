// Another road for the listings that a new owner of a part waits for: while the controllers refuse
// each other's calls, each holder of shares writes what it would list into the state service, and
// the new owner reads it there. Without it an older task would wait beside idle slots until calls
// go through again. See "While peers refuse calls" in docs/shares.md.
#pragma once

#include "core/stealing/slot_borrower.h"
#include "core/stealing/slot_lender.h"

namespace scheduler {

class InventoryRelay {
  public:
    struct Delegate { // what it needs of the part it works for
        virtual ~Delegate() = default;
        // Older tasks wait for listings of others.
        virtual bool awaits_inventories() const = 0;
        // A listing has been taken in: what waited for it may be placed.
        virtual void resume_scheduling(Time now) = 0;
    };
    InventoryRelay(Leadership& leadership, const ClusterSettings& settings,
                   const PartitionMap& partition_map, SlotLender& lender, SlotBorrower& borrower,
                   OutboundRequests& requests, Delegate& delegate);

    void tick(Time now);

  private:
    struct PostedInventory { // for the owner of one part
        std::uint64_t term = 0;
        Time since = 0; // when its claim was seen first
        std::vector<InventoryRecord> pages;
        std::size_t written = 0;
        bool done = false;
    };
    static std::string inventory_key(int partition, int holder, std::size_t page);
    void post(Time now);
    bool write(Time now, int partition, PostedInventory& posting);
    std::vector<InventoryRecord> split_into_pages(const PeerSyncResponse& response,
                                                  std::uint64_t for_term) const;
    void read(Time now);
    void apply(Time now, const std::vector<KeyedRecord>& items);
    void clear(Time now);

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
    std::map<int, std::uint64_t> applied_versions_; // by holder: the version
    std::vector<std::string> read_keys_;            // keys that are of no use once we have settled
};

} // namespace scheduler
