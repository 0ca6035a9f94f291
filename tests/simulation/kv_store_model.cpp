#include "simulation/kv_store_model.h"

#include <utility>

#include "core/model/partition_assignment.h"

namespace scheduler::test {

namespace {
// Small, so that longer listings span several pages.
constexpr std::size_t kPageSize = 12;
// Partition records are read at one revision; the list is short and is not paged.
constexpr const char* kUnpagedPrefix = "part/";

OutboundResponse reply_of(int status) {
    OutboundResponse response;
    response.status = status;
    return response;
}

void set_member(std::set<int>& members, int member, bool in) {
    if (in) {
        members.insert(member);
    } else {
        members.erase(member);
    }
}
} // namespace

KvStoreModel::KvStoreModel(EventQueue& clock, RandomSource& random, NetworkModel& network,
                           Callbacks callbacks)
    : clock_(clock), random_(random), network_(network), callbacks_(std::move(callbacks)) {}

void KvStoreModel::set_refusing(int controller, bool refusing) {
    set_member(refusing_, controller, refusing);
}

void KvStoreModel::set_silent(int controller, bool silent) {
    set_member(silent_, controller, silent);
}

std::uint64_t KvStoreModel::version_of(const std::string& key) const {
    auto found = entries_.find(key);
    return found == entries_.end() ? 0 : found->second.version;
}

void KvStoreModel::note_change(const std::string& key, bool deleted) {
    changes_.push_back({revision_, key, deleted});
}

void KvStoreModel::put(const std::string& key, StoredRecord record) {
    ++revision_;
    entries_[key] = {std::move(record), revision_, 0};
    note_change(key, false);
}

void KvStoreModel::drop(const std::string& key) {
    ++revision_;
    entries_.erase(key);
    note_change(key, true);
}

OutboundResponse KvStoreModel::transact(const StoreTransaction& transaction) {
    OutboundResponse response;
    for (const auto& condition : transaction.conditions) {
        if (version_of(condition.key) != condition.version) {
            response.failed_keys.push_back(condition.key);
        }
    }
    if (!response.failed_keys.empty()) {
        response.status = 409;
        response.revision = revision_;
        return response;
    }
    for (const auto& change : transaction.writes) {
        if (change.lease && !leases_.contains(*change.lease)) {
            response.status = 400;
            return response;
        }
    }
    if (!transaction.writes.empty()) {
        ++revision_;
    }
    for (const auto& change : transaction.writes) {
        apply(change);
    }
    response.status = 200;
    response.revision = revision_;
    return response;
}

void KvStoreModel::apply(const StoreWrite& change) {
    if (change.value && std::holds_alternative<PartitionRecord>(*change.value)) {
        callbacks_.leadership_written();
    }
    if (change.value) {
        entries_[change.key] = {*change.value, revision_, change.lease.value_or(0)};
    } else {
        entries_.erase(change.key);
    }
    note_change(change.key, !change.value);
}

OutboundResponse KvStoreModel::serve(const OutboundBody& request) {
    expire_leases();
    if (const auto* get_request = std::get_if<StoreGet>(&request)) {
        return get(*get_request);
    }
    if (const auto* range_request = std::get_if<StoreRange>(&request)) {
        return range(*range_request);
    }
    if (const auto* transaction = std::get_if<StoreTransaction>(&request)) {
        OutboundResponse response = transact(*transaction);
        fire_watches();
        return response;
    }
    if (const auto* grant_request = std::get_if<StoreLeaseGrant>(&request)) {
        return grant(*grant_request);
    }
    if (const auto* renew_request = std::get_if<StoreLeaseRenewal>(&request)) {
        return renew(*renew_request);
    }
    return reply_of(200);
}

OutboundResponse KvStoreModel::get(const StoreGet& request) const {
    auto found = entries_.find(request.key);
    if (found == entries_.end()) {
        return reply_of(404);
    }
    OutboundResponse response = reply_of(200);
    response.entries.push_back({request.key, found->second.record, found->second.version});
    return response;
}

OutboundResponse KvStoreModel::range(const StoreRange& request) const {
    OutboundResponse response = reply_of(200);
    response.revision = revision_;
    auto entry = request.after.empty() ? entries_.lower_bound(request.prefix)
                                       : entries_.upper_bound(request.after);
    for (; entry != entries_.end() && entry->first.starts_with(request.prefix); ++entry) {
        if (response.entries.size() == kPageSize && request.prefix != kUnpagedPrefix) {
            response.more = true;
            break;
        }
        response.entries.push_back({entry->first, entry->second.record, entry->second.version});
    }
    return response;
}

OutboundResponse KvStoreModel::grant(const StoreLeaseGrant& request) {
    OutboundResponse response = reply_of(200);
    response.lease = next_lease_++;
    leases_[response.lease] = {clock_.now() + request.ttl_s, request.ttl_s};
    return response;
}

OutboundResponse KvStoreModel::renew(const StoreLeaseRenewal& request) {
    auto found = leases_.find(request.lease);
    if (found == leases_.end()) {
        return reply_of(404);
    }
    found->second.end = clock_.now() + found->second.ttl_s;
    return reply_of(200);
}

void KvStoreModel::expire_leases() {
    for (auto entry = leases_.begin(); entry != leases_.end();) {
        Lease& lease = entry->second;
        if (down_) {
            lease.end =
                clock_.now() + lease.ttl_s; // leases get their full time again after an outage
        }
        if (clock_.now() < lease.end) {
            ++entry;
            continue;
        }
        std::uint64_t id = entry->first;
        entry = leases_.erase(entry);
        ++revision_;
        remove_entries_of(id);
    }
}

void KvStoreModel::remove_entries_of(std::uint64_t lease) {
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        if (entry->second.lease == lease) {
            note_change(entry->first, true);
            entry = entries_.erase(entry);
        } else {
            ++entry;
        }
    }
}

void KvStoreModel::watch(const WatchRequest& request) {
    watches_.push_back({request, clock_.now() + request.watch.wait_s});
    fire_watches();
}

OutboundResponse KvStoreModel::changes_since(const OpenWatch& open) const {
    const WatchRequest& request = open.request;
    OutboundResponse response = reply_of(200);
    response.request_id = request.request_id;
    response.revision = revision_;
    std::map<std::string, bool> deleted_by_key;
    for (const auto& change : changes_) {
        if (change.revision > request.watch.from_revision &&
            change.key.starts_with(request.watch.prefix)) {
            deleted_by_key[change.key] = change.deleted;
        }
    }
    for (const auto& [key, deleted] : deleted_by_key) {
        auto found = entries_.find(key);
        if (deleted || found == entries_.end()) {
            response.deleted.push_back(key);
        } else {
            response.entries.push_back({key, found->second.record, found->second.version});
        }
    }
    return response;
}

bool KvStoreModel::unreachable_from(int controller) const {
    return refuses(controller) || silent_to(controller) || network_.isolated(controller);
}

void KvStoreModel::fire_watches() {
    if (down_) {
        return;
    }
    struct Fired {
        WatchRequest request;
        OutboundResponse reply;
    };
    std::vector<OpenWatch> still_open;
    std::vector<Fired> all_fired;
    for (const auto& open : watches_) {
        OutboundResponse response = changes_since(open);
        bool nothing_new = response.entries.empty() && response.deleted.empty();
        if (unreachable_from(open.request.controller) ||
            (nothing_new && clock_.now() < open.until)) {
            still_open.push_back(open);
        } else {
            all_fired.push_back({open.request, std::move(response)});
        }
    }
    watches_ = std::move(still_open);
    for (const auto& fired : all_fired) {
        RandomSource::ConfigStream stream(random_,
                                          fired.request.watch.prefix == kQuotaConfigPrefix);
        clock_.after(network_.delay(),
                     [this, fired] { callbacks_.deliver(fired.request, fired.reply); });
    }
}

} // namespace scheduler::test
