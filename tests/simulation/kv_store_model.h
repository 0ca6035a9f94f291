// A model of the state service: keys with versions, transactions, leases and watches.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/messaging/messages.h"
#include "simulation/event_queue.h"
#include "simulation/network_model.h"
#include "simulation/random_source.h"

namespace scheduler::test {

// A watch that a controller has open. A watch ends with its first answer.
struct WatchRequest {
    int controller = 0;
    // The controller's process incarnation: the answer is for no later one.
    int incarnation = 0;
    OutboundRequestId request_id = 0;
    StoreWatch watch;
};

// The only writer of the stored records. Answers come at once; the caller sees to delays.
class KvStoreModel {
  public:
    // A stored record.
    struct Entry {
        StoredRecord record;
        std::uint64_t version = 0;
        // The entry goes with this lease; 0: it stays.
        std::uint64_t lease = 0;
    };
    // What leaves the model by itself.
    struct Callbacks {
        // The answer to a watch reaches its controller.
        std::function<void(const WatchRequest&, const OutboundResponse&)> deliver;
        // A transaction writes the record of a part; called before each such write.
        std::function<void()> leadership_written;
    };

    KvStoreModel(EventQueue& clock, RandomSource& random, NetworkModel& network,
                 Callbacks callbacks);

    // Faults: down for all, refusing or silent to one controller.
    void set_down(bool down) { down_ = down; }
    bool down() const { return down_; }
    void set_refusing(int controller, bool refusing);
    bool refuses(int controller) const { return refusing_.contains(controller); }
    void set_silent(int controller, bool silent);
    bool silent_to(int controller) const { return silent_.contains(controller); }

    // Carries out a call other than a watch.
    OutboundResponse serve(const OutboundBody& request);
    OutboundResponse transact(const StoreTransaction& transaction);
    // Opens a watch; what it waits for may have come already.
    void watch(const WatchRequest& request);
    // Answers the watches that have something to tell or have run out of time.
    void fire_watches();
    // Removes leases that are over, and what was written under them.
    void expire_leases();

    // Writes a raw record, or takes one away.
    void put(const std::string& key, StoredRecord record);
    void drop(const std::string& key);

    const std::map<std::string, Entry>& entries() const { return entries_; }
    // 0: there is no such key.
    std::uint64_t version_of(const std::string& key) const;
    std::uint64_t revision() const { return revision_; }

  private:
    struct KeyChange {
        std::uint64_t revision = 0;
        std::string key;
        bool deleted = false;
    };
    struct Lease {
        Time end = 0;
        double ttl_s = 0;
    };
    struct OpenWatch {
        WatchRequest request;
        Time until = 0;
    };

    OutboundResponse get(const StoreGet& request) const;
    OutboundResponse range(const StoreRange& request) const;
    OutboundResponse grant(const StoreLeaseGrant& request);
    OutboundResponse renew(const StoreLeaseRenewal& request);
    OutboundResponse changes_since(const OpenWatch& open) const;
    void apply(const StoreWrite& change);
    bool unreachable_from(int controller) const;
    void note_change(const std::string& key, bool deleted);
    void remove_entries_of(std::uint64_t lease);

    EventQueue& clock_;
    RandomSource& random_;
    NetworkModel& network_;
    Callbacks callbacks_;
    bool down_ = false;
    std::set<int> refusing_;
    std::set<int> silent_;
    std::map<std::string, Entry> entries_;
    std::uint64_t revision_ = 1;
    std::vector<KeyChange> changes_;
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t next_lease_ = 1;
    std::vector<OpenWatch> watches_;
};

} // namespace scheduler::test
