#include "scale/state_store.h"

#include <algorithm>
#include <utility>

namespace scheduler::scale {

Json StateStore::item(const std::string& key, const Entry& entry) {
    Json out{{"key", key}, {"data", entry.data}, {"graft", entry.version}};
    if (entry.lease > 0) {
        out["lease"] = entry.lease;
    }
    return out;
}

StateStore::Answer StateStore::get(const std::string& key) const {
    auto it = kv_.find(key);
    if (it == kv_.end()) {
        return {404, {{"ring", revision_}}};
    }
    return {200, item(key, it->second)};
}

StateStore::Answer StateStore::range(const std::string& prefix, const std::string& after,
                                     std::size_t limit) const {
    Json pairs = Json::array();
    auto it = after.empty() ? kv_.lower_bound(prefix) : kv_.upper_bound(std::max(after, prefix));
    for (; it != kv_.end() && it->first.starts_with(prefix) && pairs.size() < limit; ++it) {
        pairs.push_back(item(it->first, it->second));
    }
    bool more = it != kv_.end() && it->first.starts_with(prefix);
    return {200, {{"pairs", std::move(pairs)}, {"more", more}, {"ring", revision_}}};
}

std::size_t StateStore::changes(const Json& txn) {
    auto then = txn.find("then");
    return then == txn.end() ? 0 : then->size();
}

StateStore::Answer StateStore::transact(Time now, const Json& txn) {
    expire(now);
    Json failed = Json::array();
    if (auto when = txn.find("when"); when != txn.end()) {
        for (const Json& c : *when) {
            auto it = kv_.find(c.at("key").get_ref<const std::string&>());
            std::uint64_t version = it == kv_.end() ? 0 : it->second.version;
            if (version != c.at("graft").get<std::uint64_t>()) {
                failed.push_back(c.at("key"));
            }
        }
    }
    if (!failed.empty()) {
        return {409, {{"failed", std::move(failed)}, {"ring", revision_}}};
    }
    auto then = txn.find("then");
    if (then == txn.end() || then->empty()) {
        return {200, {{"ring", revision_}}};
    }
    for (const Json& c : *then) {
        if (c.contains("lease") && !leases_.contains(c["lease"].get<std::uint64_t>())) {
            return {400, {{"error", "no such lease"}}};
        }
    }
    ++revision_;
    for (const Json& c : *then) {
        if (auto set = c.find("set"); set != c.end()) {
            const auto& key = set->get_ref<const std::string&>();
            kv_[key] = {c.at("data"), revision_, c.value("lease", std::uint64_t(0))};
            note({revision_, key, c.at("data")});
        } else {
            const auto& key = c.at("drop").get_ref<const std::string&>();
            if (kv_.erase(key) > 0) {
                note({revision_, key, {}});
            }
        }
    }
    return {200, {{"ring", revision_}}};
}

void StateStore::note(Change change) {
    changes_.push_back(std::move(change));
    while (changes_.size() > kChangesKept) {
        dropped_to_ = changes_.front().revision;
        changes_.pop_front();
    }
}

StateStore::Answer StateStore::grant(Time now, double ttl_s) {
    std::uint64_t lease = next_lease_++;
    leases_[lease] = {now + ttl_s, ttl_s};
    return {200, {{"lease", lease}}};
}

StateStore::Answer StateStore::renew(Time now, std::uint64_t lease) {
    expire(now);
    auto it = leases_.find(lease);
    if (it == leases_.end()) {
        return {404, {{"ring", revision_}}};
    }
    it->second.end = now + it->second.ttl_s;
    return {200, Json::object()};
}

StateStore::Answer StateStore::end(std::uint64_t lease) {
    if (leases_.erase(lease) > 0) {
        drop_keys_of(lease);
    }
    return {200, Json::object()};
}

bool StateStore::expire(Time now) {
    bool any = false;
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (it->second.end > now) {
            ++it;
            continue;
        }
        drop_keys_of(it->first);
        it = leases_.erase(it);
        any = true;
    }
    return any;
}

void StateStore::drop_keys_of(std::uint64_t lease) {
    std::uint64_t revision = revision_ + 1;
    for (auto it = kv_.begin(); it != kv_.end();) {
        if (it->second.lease != lease) {
            ++it;
            continue;
        }
        revision_ = revision;
        note({revision, it->first, {}});
        it = kv_.erase(it);
    }
}

std::optional<StateStore::Answer> StateStore::watch(const std::string& prefix,
                                                    std::uint64_t since) const {
    if (since < dropped_to_) {
        return Answer{410, {{"ring", revision_}}};
    }
    auto from = std::upper_bound(
        changes_.begin(), changes_.end(), since,
        [](std::uint64_t revision, const Change& c) { return revision < c.revision; });
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
    return Answer{200, {{"ring", revision_}, {"events", std::move(events)}}};
}

} // namespace scheduler::scale
