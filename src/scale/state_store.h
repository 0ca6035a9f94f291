// The state service's store, on a clock that is handed in: keys with versions, leases, changes. The
// sockets and the limits are the process's round it. It holds what it is given as it is, so it
// knows nothing of the controllers' records (the model in tests/ holds these and no bytes).
#pragma once

#include <deque>
#include <map>
#include <optional>

#include "scale/messages.h"

namespace scheduler::scale {

class StateStore {
  public:
    static constexpr std::size_t kChangesKept = 10000;
    struct Answer {
        int status = 200;
        Json body;
    };

    Answer get(const std::string& key) const;
    Answer range(const std::string& prefix, const std::string& after, std::size_t limit) const;
    // `changes` is what counts against the limit of changes, also when the conditions fail.
    static std::size_t changes(const Json& txn);
    Answer transact(Time now, const Json& txn);
    Answer grant(Time now, double ttl_s);
    Answer renew(Time now, std::uint64_t lease);
    Answer end(std::uint64_t lease);
    // Removes what hangs on leases that are over. True: there was some.
    bool expire(Time now);
    // None: nothing has changed yet, the watch waits.
    std::optional<Answer> watch(const std::string& prefix, std::uint64_t since) const;
    Answer nothing_changed() const {
        return {200, {{"ring", revision_}, {"events", Json::array()}}};
    }
    std::uint64_t revision() const { return revision_; }
    std::size_t keys() const { return kv_.size(); }

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
    static Json item(const std::string& key, const Entry& entry);
    void drop_keys_of(std::uint64_t lease);
    void note(Change change);

    std::map<std::string, Entry> kv_;
    std::map<std::uint64_t, Lease> leases_;
    std::deque<Change> changes_;
    std::uint64_t revision_ = 1;
    std::uint64_t dropped_to_ = 0; // changes up to this revision are not kept any more
    std::uint64_t next_lease_ = 1;
};

} // namespace scheduler::scale
