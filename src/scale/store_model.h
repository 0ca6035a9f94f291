// The key-value store of a region: versioned keys, leases and watches. The caller passes in the
// time; StoreServer adds sockets and rate limits. Values are opaque, whereas the store model in
// tests/ holds decoded records.
#pragma once

#include <deque>
#include <map>
#include <optional>

#include "scale/http_status.h"
#include "scale/messages.h"

namespace scheduler::scale {

// Each function returns the status and body of the store's protocol.
class StoreModel {
  public:
    // Watches from before the oldest kept change fail with status 410.
    static constexpr std::size_t kMaxChanges = 10000;
    struct Response {
        int status = kHttpOk;
        Json body;
    };

    Response get(const std::string& key) const;
    // Returns the first `limit` keys with the prefix after the key `after`; empty: from the first.
    Response range(const std::string& prefix, const std::string& after, std::size_t limit) const;
    // Returns the number of changes. They count against the write rate limit even if the conditions
    // fail.
    static std::size_t changes(const Json& transaction);
    // Atomic. Status 409: some key has another version than the transaction asks for.
    Response transact(Time now, const Json& transaction);
    // Leases.
    Response grant(Time now, double ttl_s);
    Response renew(Time now, std::uint64_t lease);
    Response revoke(std::uint64_t lease);
    // Removes the keys of expired leases. Returns whether a lease had expired.
    bool expire(Time now);
    // Returns the changes under the prefix after the revision, or nothing if there are none yet.
    // Status 410: some changes after that revision are no longer kept.
    std::optional<Response> watch(const std::string& prefix, std::uint64_t since) const;
    // Returns the response to a watch whose wait time is over.
    Response empty_watch_response() const {
        return {kHttpOk, {{"ring", revision_}, {"events", Json::array()}}};
    }
    std::uint64_t revision() const { return revision_; }
    std::size_t keys() const { return entries_.size(); }

  private:
    struct Entry {
        Json data;
        std::uint64_t version = 0;
        std::uint64_t lease = 0;
    };
    struct Lease {
        Time end = 0;
        double ttl_s = 0;
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<Json> data; // none: deleted
    };
    Json failed_conditions(const Json& transaction) const;
    void apply(const Json& change);
    static Json item(const std::string& key, const Entry& entry);
    void delete_keys_of(std::uint64_t lease);
    void record_change(Change change);

    std::map<std::string, Entry> entries_;
    std::map<std::uint64_t, Lease> leases_;
    std::deque<Change> changes_;
    std::uint64_t revision_ = 1;
    std::uint64_t compacted_revision_ = 0; // changes up to this revision are not kept any more
    std::uint64_t next_lease_ = 1;
};

} // namespace scheduler::scale
