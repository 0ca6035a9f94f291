#include "scale/store_model.h"

#include <algorithm>
#include <utility>

namespace scheduler::scale {

Json StoreModel::item(const std::string& key, const Entry& entry) {
    Json out{{"key", key}, {"data", entry.data}, {"graft", entry.version}};
    if (entry.lease > 0) {
        out["lease"] = entry.lease;
    }
    return out;
}

StoreModel::Response StoreModel::get(const std::string& key) const {
    auto it = entries_.find(key);
    if (it == entries_.end()) {
        return {kHttpNotFound, {{"ring", revision_}}};
    }
    return {kHttpOk, item(key, it->second)};
}

StoreModel::Response StoreModel::range(const std::string& prefix, const std::string& after,
                                       std::size_t limit) const {
    Json pairs = Json::array();
    auto it = after.empty() ? entries_.lower_bound(prefix)
                            : entries_.upper_bound(std::max(after, prefix));
    for (; it != entries_.end() && it->first.starts_with(prefix) && pairs.size() < limit; ++it) {
        pairs.push_back(item(it->first, it->second));
    }
    bool more = it != entries_.end() && it->first.starts_with(prefix);
    return {kHttpOk, {{"pairs", std::move(pairs)}, {"more", more}, {"ring", revision_}}};
}

std::size_t StoreModel::changes(const Json& transaction) {
    auto then = transaction.find("then");
    return then == transaction.end() ? 0 : then->size();
}

StoreModel::Response StoreModel::transact(Time now, const Json& transaction) {
    expire(now);
    Json failed = failed_conditions(transaction);
    if (!failed.empty()) {
        return {kHttpConflict, {{"failed", std::move(failed)}, {"ring", revision_}}};
    }
    auto changes = transaction.find("then");
    if (changes == transaction.end() || changes->empty()) {
        return {kHttpOk, {{"ring", revision_}}};
    }
    for (const Json& change : *changes) {
        if (change.contains("lease") && !leases_.contains(change["lease"].get<std::uint64_t>())) {
            return {kHttpBadRequest, {{"error", "no such lease"}}};
        }
    }
    ++revision_;
    for (const Json& change : *changes) {
        apply(change);
    }
    return {kHttpOk, {{"ring", revision_}}};
}

// Returns the keys whose versions differ from those of the conditions; version 0 requires that the
// key does not exist.
Json StoreModel::failed_conditions(const Json& transaction) const {
    Json failed = Json::array();
    auto conditions = transaction.find("when");
    if (conditions == transaction.end()) {
        return failed;
    }
    for (const Json& condition : *conditions) {
        auto it = entries_.find(condition.at("key").get_ref<const std::string&>());
        std::uint64_t version = it == entries_.end() ? 0 : it->second.version;
        if (version != condition.at("graft").get<std::uint64_t>()) {
            failed.push_back(condition.at("key"));
        }
    }
    return failed;
}

void StoreModel::apply(const Json& change) {
    if (auto set = change.find("set"); set != change.end()) {
        const auto& key = set->get_ref<const std::string&>();
        entries_[key] = {change.at("data"), revision_, change.value("lease", std::uint64_t(0))};
        record_change({revision_, key, change.at("data")});
        return;
    }
    const auto& key = change.at("drop").get_ref<const std::string&>();
    if (entries_.erase(key) > 0) {
        record_change({revision_, key, {}});
    }
}

void StoreModel::record_change(Change change) {
    changes_.push_back(std::move(change));
    while (changes_.size() > kMaxChanges) {
        compacted_revision_ = changes_.front().revision;
        changes_.pop_front();
    }
}

StoreModel::Response StoreModel::grant(Time now, double ttl_s) {
    std::uint64_t lease = next_lease_++;
    leases_[lease] = {now + ttl_s, ttl_s};
    return {kHttpOk, {{"lease", lease}}};
}

StoreModel::Response StoreModel::renew(Time now, std::uint64_t lease) {
    expire(now);
    auto it = leases_.find(lease);
    if (it == leases_.end()) {
        return {kHttpNotFound, {{"ring", revision_}}};
    }
    it->second.end = now + it->second.ttl_s;
    return {kHttpOk, Json::object()};
}

StoreModel::Response StoreModel::revoke(std::uint64_t lease) {
    if (leases_.erase(lease) > 0) {
        delete_keys_of(lease);
    }
    return {kHttpOk, Json::object()};
}

bool StoreModel::expire(Time now) {
    bool any = false;
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (it->second.end > now) {
            ++it;
            continue;
        }
        delete_keys_of(it->first);
        it = leases_.erase(it);
        any = true;
    }
    return any;
}

void StoreModel::delete_keys_of(std::uint64_t lease) {
    std::uint64_t revision = revision_ + 1;
    for (auto it = entries_.begin(); it != entries_.end();) {
        if (it->second.lease != lease) {
            ++it;
            continue;
        }
        revision_ = revision;
        record_change({revision, it->first, {}});
        it = entries_.erase(it);
    }
}

std::optional<StoreModel::Response> StoreModel::watch(const std::string& prefix,
                                                      std::uint64_t since) const {
    if (since < compacted_revision_) {
        return Response{kHttpGone, {{"ring", revision_}}};
    }
    auto from = std::upper_bound(
        changes_.begin(), changes_.end(), since,
        [](std::uint64_t revision, const Change& change) { return revision < change.revision; });
    Json events = Json::array();
    for (auto it = from; it != changes_.end(); ++it) {
        if (!it->key.starts_with(prefix)) {
            continue;
        }
        if (it->data) {
            events.push_back({{"set", it->key}, {"data", *it->data}, {"graft", it->revision}});
        } else {
            events.push_back({{"drop", it->key}, {"graft", it->revision}});
        }
    }
    if (events.empty()) {
        return std::nullopt;
    }
    return Response{kHttpOk, {{"ring", revision_}, {"events", std::move(events)}}};
}

} // namespace scheduler::scale
