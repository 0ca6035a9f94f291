#include "core/recovery/inventory_relay.h"

#include <algorithm>
#include <utility>

namespace scheduler {

namespace {
constexpr char kInventoryPrefix[] = "account/";
// Heartbeat intervals that a new leader has to reach its peers before the relay is used. A leader
// that can reach them calls at once.
constexpr double kCallGraceHeartbeats = 1;
// Heartbeat intervals between two reads of the inventories posted for this partition.
constexpr double kReadIntervalHeartbeats = 0.5;
// Fraction of the store's value limit that a page fills, as its size is only estimated.
constexpr double kPageFill = 0.75;
// Bytes of pages in a transaction, which the store limits to 64 KiB.
constexpr std::size_t kMaxTransactionBytes = std::size_t{48} * 1024;
constexpr int kBytesPerKib = 1024;
// Estimated sizes in a page, in bytes.
constexpr std::size_t kTaskBytes = 64; // without its strings
constexpr std::size_t kPendingLaunchBytes = 32;
constexpr std::size_t kShardBytes = 32;

std::size_t estimated_bytes(const RemoteTaskStatus& remote_task) {
    return kTaskBytes + remote_task.status.task.job.size() + remote_task.machine.size() +
           remote_task.zone.size();
}

// Reassembles the inventory that was split into these pages, which all have the same version.
PeerSyncResponse join_pages(const std::vector<const InventoryRecord*>& pages) {
    PeerSyncResponse response;
    response.term = pages.front()->term;
    response.version = pages.front()->version;
    response.reconciled = response.no_stale_grants = response.complete = true;
    response.shards.emplace();
    for (const auto* page : pages) {
        response.shards->insert(response.shards->end(), page->shards.begin(), page->shards.end());
        response.tasks.insert(response.tasks.end(), page->tasks.begin(), page->tasks.end());
        response.pending_launches.insert(response.pending_launches.end(),
                                         page->pending_launches.begin(),
                                         page->pending_launches.end());
    }
    return response;
}
} // namespace

InventoryRelay::InventoryRelay(Leadership& leadership, const ClusterSettings& settings,
                               const PartitionMap& partition_map, SlotLender& lender,
                               SlotBorrower& borrower, OutboundRequests& requests,
                               Delegate& delegate)
    : leadership_(leadership), settings_(settings), partition_map_(partition_map), lender_(lender),
      borrower_(borrower), requests_(requests), delegate_(delegate) {}

std::string InventoryRelay::inventory_key(int partition, int holder, std::size_t page) {
    return kInventoryPrefix + std::to_string(partition) + "/" + std::to_string(holder) + "/" +
           std::to_string(page);
}

void InventoryRelay::tick(Time now) {
    post_inventories(now);
    if (delegate_.awaits_inventories()) {
        if (now - leadership_.since() > kCallGraceHeartbeats * settings_.heartbeat_interval_s) {
            read_posted(now);
        }
    } else {
        delete_read_pages(now);
    }
}

// ---- Posting, as a leader that owns shards ----

void InventoryRelay::post_inventories(Time now) {
    for (int partition = 0; partition < partition_map_.count(); ++partition) {
        std::uint64_t term = partition_map_.at(partition).version;
        if (partition == leadership_.partition() || term == 0) {
            continue;
        }
        PostedInventory& posted = posted_[partition];
        if (posted.term != term) {
            posted = {term, now, {}, 0, false};
        }
        bool needs_post = lender_.last_synced_term(partition) < term || !posted.pages.empty();
        if (posted.done || !needs_post ||
            now - posted.first_seen < kCallGraceHeartbeats * settings_.heartbeat_interval_s) {
            continue;
        }
        if (posted.pages.empty()) {
            if (auto inventory = lender_.inventory_for(now, partition, term)) {
                posted.pages = split_into_pages(*inventory, term);
            }
        }
        if (!posted.pages.empty() && !writing_) {
            writing_ = write_pages(now, partition, posted);
        }
    }
}

std::vector<InventoryRecord> InventoryRelay::split_into_pages(const PeerSyncResponse& response,
                                                              std::uint64_t for_term) const {
    std::vector<InventoryRecord> pages;
    std::size_t bytes_left = 0;
    auto page_bytes =
        static_cast<std::size_t>(kPageFill * settings_.store_value_limit_kb * kBytesPerKib);
    auto page_for = [&](std::size_t bytes) -> InventoryRecord& {
        if (pages.empty() || bytes_left < bytes) {
            pages.push_back({for_term, response.term, response.version, 0, {}, {}, {}});
            bytes_left = page_bytes;
        }
        bytes_left -= std::min(bytes_left, bytes);
        return pages.back();
    };
    for (const auto& shard : *response.shards) {
        page_for(kShardBytes).shards.push_back(shard);
    }
    for (const auto& remote_task : response.tasks) {
        page_for(estimated_bytes(remote_task)).tasks.push_back(remote_task);
    }
    for (const auto& id : response.pending_launches) {
        page_for(kPendingLaunchBytes).pending_launches.push_back(id);
    }
    // Without shards, an empty page is posted: it states that no tasks run here.
    if (pages.empty()) {
        page_for(0);
    }
    for (auto& page : pages) {
        page.pages = static_cast<std::uint32_t>(pages.size());
    }
    return pages;
}

std::size_t InventoryRelay::max_pages_per_write() const {
    auto max_writes =
        static_cast<std::size_t>(std::clamp(requests_.max_writes(StoreRateLimiter::Use::user), 1,
                                            std::max(1, settings_.store_transaction_limit)));
    auto max_pages = static_cast<std::size_t>(static_cast<double>(kMaxTransactionBytes) /
                                              (settings_.store_value_limit_kb * kBytesPerKib));
    return std::min(max_writes, std::max<std::size_t>(1, max_pages));
}

// Writes the next pages that are not written yet. A reader uses an inventory only when all its
// pages are present, so it is safe if some are lost. Returns false if the rate limiter delays the
// write.
bool InventoryRelay::write_pages(Time now, int partition, PostedInventory& posted) {
    StoreTransaction transaction = leadership_.guarded_transaction();
    transaction.conditions.push_back({partition_key(partition), posted.term});
    std::size_t end = std::min(posted.pages.size(), posted.pages_written + max_pages_per_write());
    for (std::size_t page = posted.pages_written; page < end; ++page) {
        transaction.writes.push_back(
            {inventory_key(partition, leadership_.partition(), page), posted.pages[page], {}});
    }
    return requests_.send_to_store(
        now, StoreRateLimiter::Use::user, std::move(transaction),
        [this, partition, term = posted.term, end](Time, OutboundResponse& response) {
            writing_ = false;
            PostedInventory& written = posted_[partition];
            if (!leadership_.check_committed(requests_, response, "account") ||
                written.term != term) {
                return; // failed and retried at the next tick, or for an outdated term
            }
            written.pages_written = end;
            if (end == written.pages.size()) {
                requests_.log(LogLevel::info,
                              "event=inventory_posted partition=" + std::to_string(partition) +
                                  " pages=" + std::to_string(end));
                written.done = true;
                written.pages.clear();
            }
        });
}

// ---- Reading, as the new leader of a partition ----

void InventoryRelay::read_posted(Time now) {
    if (reading_ || now < next_read_) {
        return;
    }
    next_read_ = now + kReadIntervalHeartbeats * settings_.heartbeat_interval_s;
    std::string prefix = kInventoryPrefix + std::to_string(leadership_.partition()) + "/";
    reading_ = requests_.send_to_store(now, StoreRateLimiter::Use::user, StoreRange{prefix, ""},
                                       [this](Time at, OutboundResponse& response) {
                                           reading_ = false;
                                           if (response.status == 200 && !response.more) {
                                               apply_inventories(at, response.entries);
                                           }
                                       });
}

// Returns the pages that the current leaders of other partitions posted for this leader's term.
// Remembers the keys of all pages, outdated ones included, for their deletion.
InventoryRelay::PagesByHolder
InventoryRelay::current_pages(const std::vector<KeyedRecord>& entries) {
    PagesByHolder pages;
    read_keys_.clear();
    for (const auto& entry : entries) {
        read_keys_.push_back(entry.key);
        const auto* page = std::get_if<InventoryRecord>(&entry.record);
        std::string path = entry.key.substr(sizeof(kInventoryPrefix) - 1);
        int holder = std::atoi(path.substr(path.find('/') + 1).c_str());
        if (!page || holder >= partition_map_.count()) {
            requests_.log(LogLevel::error, "event=record_unreadable key=" + entry.key);
        } else if (page->for_term == leadership_.term() &&
                   page->term == partition_map_.at(holder).version) {
            pages[holder][page->version].push_back(page);
        }
    }
    return pages;
}

void InventoryRelay::apply_inventories(Time now, const std::vector<KeyedRecord>& entries) {
    for (const auto& [holder, versions] : current_pages(entries)) {
        const auto& [version, pages] = *versions.rbegin();
        if (pages.size() != pages.front()->pages || applied_versions_[holder] == version) {
            continue; // incomplete, or already applied
        }
        applied_versions_[holder] = version;
        PeerSyncResponse response = join_pages(pages);
        requests_.log(LogLevel::info,
                      "event=inventory_read partition=" + std::to_string(leadership_.partition()) +
                          " holder=" + std::to_string(holder) +
                          " tasks=" + std::to_string(response.tasks.size()));
        borrower_.apply_posted_inventory(now, holder, response);
        delegate_.resume_scheduling(now);
    }
}

void InventoryRelay::delete_read_pages(Time now) {
    if (read_keys_.empty()) {
        return;
    }
    StoreTransaction transaction = leadership_.guarded_transaction();
    auto max_writes =
        static_cast<std::size_t>(std::clamp(requests_.max_writes(StoreRateLimiter::Use::progress),
                                            1, std::max(1, settings_.store_transaction_limit)));
    std::size_t count = std::min(max_writes, read_keys_.size());
    for (std::size_t i = 0; i < count; ++i) {
        transaction.writes.push_back({read_keys_[i], {}, {}});
    }
    // The result is ignored: if the transaction is lost, the keys stay until the next inventory is
    // posted for this partition.
    if (requests_.send_to_store(now, StoreRateLimiter::Use::progress, std::move(transaction),
                                [](Time, OutboundResponse&) {})) {
        read_keys_.erase(read_keys_.begin(),
                         read_keys_.begin() + static_cast<std::ptrdiff_t>(count));
    }
}

} // namespace scheduler
