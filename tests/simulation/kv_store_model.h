// A model of the key-value store: keys with versions, transactions, leases and watches.
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

// A watch opened by a controller. It ends with its first response.
struct WatchRequest {
    int controller = 0;
    // The incarnation of the controller's process; a later one does not receive the response.
    int incarnation = 0;
    OutboundRequestId request_id = 0;
    StoreWatch watch;
};

// The only writer of the stored records. Responds at once; delays are added by the caller.
class KvStoreModel {
  public:
    // A stored record.
    struct Entry {
        StoredRecord record;
        std::uint64_t version = 0;
        // The lease that the entry is deleted with; 0 if it has none.
        std::uint64_t lease = 0;
    };
    // Events that the model causes by itself.
    struct Callbacks {
        // Delivers the response to a watch to its controller.
        std::function<void(const WatchRequest&, const OutboundResponse&)> deliver;
        // Called before each write of a partition record.
        std::function<void()> leadership_written;
    };

    KvStoreModel(EventQueue& clock, RandomSource& random, NetworkModel& network,
                 Callbacks callbacks);

    // Faults: down for all controllers, refusing requests of one, or not responding to one.
    void set_down(bool down) { down_ = down; }
    bool down() const { return down_; }
    void set_refusing(int controller, bool refusing);
    bool refuses(int controller) const { return refusing_.contains(controller); }
    void set_silent(int controller, bool silent);
    bool silent_to(int controller) const { return silent_.contains(controller); }

    // Executes a request other than a watch.
    OutboundResponse serve(const OutboundBody& request);
    OutboundResponse transact(const StoreTransaction& transaction);
    // Opens a watch. It fires at once if there already is a change to report.
    void watch(const WatchRequest& request);
    // Responds to the watches that have a change to report or have timed out.
    void fire_watches();
    // Removes expired leases and the entries written under them.
    void expire_leases();

    // Writes or deletes a record directly.
    void put(const std::string& key, StoredRecord record);
    void drop(const std::string& key);

    const std::map<std::string, Entry>& entries() const { return entries_; }
    // Returns 0 if there is no such key.
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
