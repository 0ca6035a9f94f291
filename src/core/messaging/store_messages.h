// Requests to the key-value store. Each change of the store has a revision number; the version of a
// key is the revision of the last write to it. See OutboundResponse in inputs.h for the responses.
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

// Reads a page of the keys with a prefix, in order; OutboundResponse::more is set if there are
// more.
struct StoreRange {
    std::string prefix;
    std::string after; // last key of the previous page; empty: first page
};

// A condition of a transaction: the key has this version; version 0: the key does not exist.
struct StoreCondition {
    std::string key;
    std::uint64_t version = 0;
};

// A change of one key in a transaction.
struct StoreWrite {
    std::string key;
    std::optional<StoredRecord> value;  // absent: delete the key
    std::optional<std::uint64_t> lease; // the key is deleted when this store lease ends
};

// Applies all writes atomically if all conditions hold, otherwise none (status 409).
struct StoreTransaction {
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
};

// Requests a new store lease.
struct StoreLeaseGrant {
    double ttl_s = 0; // time to live in seconds, from each renewal
};

// Renews a store lease by its time to live.
struct StoreLeaseRenewal {
    std::uint64_t lease = 0;
};

// Waits for changes of keys with a prefix (long poll).
struct StoreWatch {
    std::string prefix;
    std::uint64_t from_revision = 0; // reports changes after this one
    double wait_s = 0;               // longest wait; then the response has no changes
};

} // namespace scheduler
