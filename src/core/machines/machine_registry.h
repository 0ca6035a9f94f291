// The machine registry in the store: one key for every machine that may run a task. A new leader of
// the partition reads it. Since many machines are added or removed at about the same time, a
// transaction contains several changes. One transaction is in flight at a time, and failed changes
// are retried: see "What is durable" in docs/design.md.
//
// A transaction without a response may be executed minutes later, after newer ones of the same
// leadership term. So each change is conditional on the current version of its key: a late
// transaction finds another version and changes nothing.
#pragma once

#include <functional>
#include <set>

#include "core/messaging/outbound_requests.h"

namespace scheduler {

// Writes the registry entries of a partition. Called only from the controller's event loop. Failed
// changes are retried by `flush`.
class MachineRegistry {
  public:
    // Called with each response to a transaction and the machines that it registered; there are
    // none unless its status is 200.
    using OnResponse =
        std::function<void(Time, const OutboundResponse&, const std::vector<std::string>&)>;
    // `leadership_condition`: holds in the store as long as this leadership term lasts.
    MachineRegistry(StoreCondition leadership_condition, const ClusterSettings& settings,
                    OutboundRequests& requests, OnResponse on_response);

    static constexpr char kPrefix[] = "machine/";
    // Entries are stored under the home partition of the machine's shard, whichever partition owns
    // the shard.
    static std::string prefix(int home_partition) {
        return kPrefix + std::to_string(home_partition) + "/";
    }
    // Queue a write or a removal of the machine's entry, and try to send it. Each replaces a
    // pending change of the same entry.
    void add(Time now, int home_partition, const std::string& machine, MachineRecord record);
    void remove(Time now, int home_partition, const std::string& machine);
    // To be called when the entry has been read from the store, at this version: it need not be
    // written any more.
    void on_loaded(const std::string& machine, std::uint64_t version);
    // To be called when another partition becomes responsible for the entry: pending additions of
    // it are dropped.
    void forget(const std::string& machine);
    // Sends pending changes unless a transaction is in flight. To be called periodically.
    void flush(Time now);

  private:
    struct Entry {
        int home_partition = 0;
        MachineRecord record;
    };
    // The changes of one transaction, by machine.
    struct Changes {
        std::map<std::string, Entry> added;
        std::map<std::string, int> removed; // with the home partition
    };
    enum class Result { committed, version_conflict, failed };
    // Sends at most `max_changes` of the pending changes in one transaction. Returns false if the
    // rate limiter does not admit it now.
    bool send(Time now, std::size_t max_changes);
    Changes next_changes(std::size_t max_changes) const;
    void append_change(StoreTransaction& transaction, int home_partition,
                       const std::string& machine, std::optional<StoredRecord> record) const;
    Result result_of(const OutboundResponse& response) const;
    void on_response(Time now, const OutboundResponse& response, const Changes& changes);
    std::vector<std::string> on_added(const OutboundResponse& response, Result result,
                                      const std::map<std::string, Entry>& added);
    void on_removed(Result result, const std::map<std::string, int>& removed);
    // Reads the version of an entry. Returns false if the rate limiter does not admit the read now.
    bool read(Time now, int home_partition, const std::string& machine);
    void on_read(Time now, const std::string& machine, const OutboundResponse& response);

    StoreCondition leadership_condition_;
    double heartbeat_interval_s_;
    std::size_t max_writes_; // in one transaction
    OutboundRequests& requests_;
    OnResponse on_response_;
    std::map<std::string, Entry> pending_adds_;  // not sent yet, or failed
    std::map<std::string, int> pending_removes_; // with the home partition
    // The versions of entries that this leader wrote or read. As far as is known, other machines
    // have no entry.
    std::map<std::string, std::uint64_t> versions_;
    // Entries whose version must be read before the next change, with the home partition.
    std::map<std::string, int> unknown_versions_;
    bool in_flight_ = false;
    Time next_attempt_at_ = 0; // no retry before this
};

} // namespace scheduler
