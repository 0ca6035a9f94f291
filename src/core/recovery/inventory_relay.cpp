#include "core/recovery/inventory_relay.h"

#include <algorithm>
#include <utility>

namespace scheduler {

namespace {
constexpr char kPrefix[] = "account/";
// Report times that the owner of a part has to call by itself; it calls at once when it can.
constexpr double kPatienceReports = 1;
constexpr double kReadReports = 0.5;         // between two looks for what was written for us
constexpr double kFill = 0.75;               // of a value, by a reckoning that errs
constexpr std::size_t kTxnBytes = 48 * 1024; // of the 64 KiB that a transaction may have

std::size_t size_of(const RemoteTaskStatus& remote_task) {
    return 64 + remote_task.status.task.job.size() + remote_task.machine.size() +
           remote_task.zone.size();
}
constexpr std::size_t kStartBytes = 32;
constexpr std::size_t kShareBytes = 32;
} // namespace

InventoryRelay::InventoryRelay(Leadership& leadership, const ClusterSettings& settings,
                               const PartitionMap& partition_map, SlotLender& lender,
                               SlotBorrower& borrower, OutboundRequests& requests,
                               Delegate& delegate)
    : leadership_(leadership), settings_(settings), partition_map_(partition_map), lender_(lender),
      borrower_(borrower), requests_(requests), delegate_(delegate) {}

std::string InventoryRelay::inventory_key(int partition, int holder, std::size_t page) {
    return kPrefix + std::to_string(partition) + "/" + std::to_string(holder) + "/" +
           std::to_string(page);
}

void InventoryRelay::tick(Time now) {
    post(now);
    if (delegate_.awaits_inventories()) {
        if (now - leadership_.since() > kPatienceReports * settings_.heartbeat_interval_s) {
            read(now);
        }
    } else {
        clear(now);
    }
}

// ---- As a holder of shares ----

void InventoryRelay::post(Time now) {
    for (int partition = 0; partition < partition_map_.count(); ++partition) {
        std::uint64_t term = partition_map_.at(partition).version;
        if (partition == leadership_.partition() || term == 0) {
            continue;
        }
        PostedInventory& p = posted_[partition];
        if (p.term != term) {
            p = {term, now, {}, 0, false};
        }
        bool unheard = lender_.last_term_of(partition) < term || !p.pages.empty();
        if (p.done || !unheard ||
            now - p.since < kPatienceReports * settings_.heartbeat_interval_s) {
            continue;
        }
        if (p.pages.empty()) {
            if (auto reply = lender_.inventory_for(now, partition, term)) {
                p.pages = split_into_pages(*reply, term);
            }
        }
        if (!p.pages.empty() && !writing_) {
            writing_ = write(now, partition, p);
        }
    }
}

std::vector<InventoryRecord> InventoryRelay::split_into_pages(const PeerSyncResponse& response,
                                                              std::uint64_t for_term) const {
    std::vector<InventoryRecord> pages;
    std::size_t room = 0;
    auto most = static_cast<std::size_t>(kFill * settings_.store_value_limit_kb * 1024);
    auto page_for = [&](std::size_t bytes) -> InventoryRecord& {
        if (pages.empty() || room < bytes) {
            pages.push_back({for_term, response.term, response.version, 0, {}, {}, {}});
            room = most;
        }
        room -= std::min(room, bytes);
        return pages.back();
    };
    for (const auto& shard : *response.shards) {
        page_for(kShareBytes).shards.push_back(shard);
    }
    for (const auto& remote_task : response.tasks) {
        page_for(size_of(remote_task)).tasks.push_back(remote_task);
    }
    for (const auto& id : response.pending_launches) {
        page_for(kStartBytes).pending_launches.push_back(id);
    }
    if (pages.empty()) { // it holds no shares; said all the same
        page_for(0);
    }
    for (auto& page : pages) {
        page.pages = static_cast<std::uint32_t>(pages.size());
    }
    return pages;
}

// The next pages that are not written yet. They count only all together, so what becomes of some
// does not matter.
bool InventoryRelay::write(Time now, int partition, PostedInventory& p) {
    StoreTransaction transaction = leadership_.guarded_transaction();
    transaction.conditions.push_back({partition_key(partition), p.term});
    auto most =
        static_cast<std::size_t>(std::clamp(requests_.max_writes(StoreRateLimiter::Use::user), 1,
                                            std::max(1, settings_.store_transaction_limit)));
    most = std::min(most, std::max<std::size_t>(1, static_cast<std::size_t>(
                                                       static_cast<double>(kTxnBytes) /
                                                       (settings_.store_value_limit_kb * 1024))));
    std::size_t to = std::min(p.pages.size(), p.written + most);
    for (std::size_t i = p.written; i < to; ++i) {
        transaction.writes.push_back(
            {inventory_key(partition, leadership_.partition(), i), p.pages[i], {}});
    }
    return requests_.send_to_store(
        now, StoreRateLimiter::Use::user, std::move(transaction),
        [this, partition, term = p.term, to](Time, OutboundResponse& response) {
            writing_ = false;
            PostedInventory& posting = posted_[partition];
            if (!leadership_.committed(requests_, response, "account") || posting.term != term) {
                return; // sent again at the next tick, or of no use any more
            }
            posting.written = to;
            if (to == posting.pages.size()) {
                requests_.log(LogLevel::info,
                              "event=inventory_posted partition=" + std::to_string(partition) +
                                  " pages=" + std::to_string(to));
                posting.done = true;
                posting.pages.clear();
            }
        });
}

// ---- As a new owner of jobs ----

void InventoryRelay::read(Time now) {
    if (reading_ || now < next_read_) {
        return;
    }
    next_read_ = now + kReadReports * settings_.heartbeat_interval_s;
    std::string prefix = kPrefix + std::to_string(leadership_.partition()) + "/";
    reading_ = requests_.send_to_store(now, StoreRateLimiter::Use::user, StoreRange{prefix, ""},
                                       [this](Time at, OutboundResponse& response) {
                                           reading_ = false;
                                           if (response.status == 200 && !response.more) {
                                               apply(at, response.entries);
                                           }
                                       });
}

void InventoryRelay::apply(Time now, const std::vector<KeyedRecord>& items) {
    std::map<int, std::map<std::uint64_t, std::vector<const InventoryRecord*>>> found;
    read_keys_.clear();
    for (const auto& item : items) {
        read_keys_.push_back(item.key);
        const auto* page = std::get_if<InventoryRecord>(&item.record);
        std::string rest = item.key.substr(sizeof(kPrefix) - 1);
        int holder = std::atoi(rest.substr(rest.find('/') + 1).c_str());
        if (!page || holder >= partition_map_.count()) {
            requests_.log(LogLevel::error, "event=record_unreadable key=" + item.key);
        } else if (page->for_term == leadership_.term() &&
                   page->term == partition_map_.at(holder).version) {
            found[holder][page->version].push_back(page);
        }
    }
    for (const auto& [holder, versions] : found) {
        const auto& [version, pages] = *versions.rbegin();
        if (pages.size() != pages.front()->pages || applied_versions_[holder] == version) {
            continue; // not whole yet, or taken in before
        }
        applied_versions_[holder] = version;
        PeerSyncResponse response;
        response.term = pages.front()->term;
        response.version = version;
        response.reconciled = response.no_stale_grants = response.complete = true;
        response.shards.emplace();
        for (const auto* page : pages) {
            response.shards->insert(response.shards->end(), page->shards.begin(),
                                    page->shards.end());
            response.tasks.insert(response.tasks.end(), page->tasks.begin(), page->tasks.end());
            response.pending_launches.insert(response.pending_launches.end(),
                                             page->pending_launches.begin(),
                                             page->pending_launches.end());
        }
        requests_.log(LogLevel::info,
                      "event=inventory_read partition=" + std::to_string(leadership_.partition()) +
                          " holder=" + std::to_string(holder) +
                          " tasks=" + std::to_string(response.tasks.size()));
        borrower_.apply_posted_inventory(now, holder, response);
        delegate_.resume_scheduling(now);
    }
}

void InventoryRelay::clear(Time now) {
    if (read_keys_.empty()) {
        return;
    }
    StoreTransaction transaction = leadership_.guarded_transaction();
    auto most =
        static_cast<std::size_t>(std::clamp(requests_.max_writes(StoreRateLimiter::Use::progress),
                                            1, std::max(1, settings_.store_transaction_limit)));
    std::size_t n = std::min(most, read_keys_.size());
    for (std::size_t i = 0; i < n; ++i) {
        transaction.writes.push_back({read_keys_[i], {}, {}});
    }
    // Lost, a key stays until the next listing for the part.
    if (requests_.send_to_store(now, StoreRateLimiter::Use::progress, std::move(transaction),
                                [](Time, OutboundResponse&) {})) {
        read_keys_.erase(read_keys_.begin(), read_keys_.begin() + static_cast<std::ptrdiff_t>(n));
    }
}

} // namespace scheduler
