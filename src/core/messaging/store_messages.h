// Requests to the key-value store. The store counts its changes in revisions; the version of a key
// is the revision of the last write to it. See OutboundResponse in inputs.h for the responses.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/model/stored_records.h"

namespace scheduler {

// Reads one key.
struct StoreGet {
    std::string key;
};

// Reads a page of the keys with a prefix, in order; OutboundResponse::more tells of further pages.
struct StoreRange {
    std::string prefix;
    std::string after; // the last key of the page before; empty: from the start
};

// A condition of a transaction: the key's version is this one; 0: the key is absent.
struct StoreCondition {
    std::string key;
    std::uint64_t version = 0;
};

// A change of one key in a transaction.
struct StoreWrite {
    std::string key;
    std::optional<StoredRecord> value;  // none: delete the key
    std::optional<std::uint64_t> lease; // store lease whose end deletes the key; none: it stays
};

// Carries out all writes atomically if all conditions hold, and none otherwise (status 409).
struct StoreTransaction {
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
};

// Requests a new store lease.
struct StoreLeaseGrant {
    double ttl_s = 0; // time to live in seconds, from each renewal
};

// Renews a store lease for its time to live.
struct StoreLeaseRenewal {
    std::uint64_t lease = 0;
};

// Waits for changes of keys with a prefix.
struct StoreWatch {
    std::string prefix;
    std::uint64_t from_revision = 0; // changes after this one
    double wait_s = 0;               // answered without changes after so many seconds
};

} // namespace scheduler
