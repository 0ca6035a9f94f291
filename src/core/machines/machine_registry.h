// The machine registry in the store: a key for every machine that may run a task, which a new
// leader of the partition reads. Many machines come up or go together, so several entries are
// written or removed in one transaction, one transaction at a time, and retried until they are: see
// "What is durable" in docs/design.md.
//
// A transaction without a response may be executed minutes later, after newer ones of the same
// leadership. So each change is conditional on the present version of its key: a late transaction
// finds another version and changes nothing.
#pragma once

#include <functional>
#include <set>

#include "core/messaging/outbound_requests.h"

namespace scheduler {

// The writer of a partition's registry entries. Called only from the controller's event loop. A
// change that fails is retried by `flush`.
class MachineRegistry {
  public:
    // Called with each response to a transaction and, if its status is 200, with the machines that
    // are registered now.
    using OnResponse =
        std::function<void(Time, const OutboundResponse&, const std::vector<std::string>&)>;
    // `leadership_condition`: holds in the store as long as this leadership lasts.
    MachineRegistry(StoreCondition leadership_condition, const ClusterSettings& settings,
                    OutboundRequests& requests, OnResponse on_response);

    static constexpr char kPrefix[] = "machine/";
    // Entries are stored under the home partition of the machine's shard, whichever partition owns
    // the shard.
    static std::string prefix(int home_partition) {
        return kPrefix + std::to_string(home_partition) + "/";
    }
    void add(Time now, int home_partition, const std::string& machine, MachineRecord record);
    void remove(Time now, int home_partition, const std::string& machine);
    // The entry has been read from the store at this version, so it need not be written.
    void on_loaded(const std::string& machine, std::uint64_t version);
    // The entry is another partition's to write.
    void forget(const std::string& machine);
    // Sends pending changes if no transaction is in flight. To be called by the timer as well.
    void flush(Time now);

  private:
    struct Entry {
        int home_partition = 0;
        MachineRecord record;
    };
    // The changes of one transaction, by machine; the removed ones with their home partitions.
    struct Changes {
        std::map<std::string, Entry> added;
        std::map<std::string, int> removed;
    };
    enum class Result { committed, version_conflict, failed };
    // Takes the next changes, at most so many, into one transaction. Returns false if the rate
    // limiter holds it back.
    bool send(Time now, std::size_t max_changes);
    Changes next_changes(std::size_t max_changes) const;
    void append_change(StoreTransaction& transaction, int home_partition,
                       const std::string& machine, std::optional<StoredRecord> record) const;
    Result result_of(const OutboundResponse& response) const;
    void on_response(Time now, const OutboundResponse& response, const Changes& changes);
    std::vector<std::string> on_added(const OutboundResponse& response, Result result,
                                      const std::map<std::string, Entry>& added);
    void on_removed(Result result, const std::map<std::string, int>& removed);
    // Reads the version of an entry. Returns false if the rate limiter holds the read back.
    bool read(Time now, int home_partition, const std::string& machine);
    void on_read(Time now, const std::string& machine, const OutboundResponse& response);

    StoreCondition leadership_condition_;
    double heartbeat_interval_s_;
    std::size_t max_writes_; // in a transaction
    OutboundRequests& requests_;
    OnResponse on_response_;
    std::map<std::string, Entry> pending_adds_;  // not sent yet, or failed
    std::map<std::string, int> pending_removes_; // with the home partition
    // The versions of entries that this leader wrote or read. A machine that is missing here has no
    // entry, as far as is known.
    std::map<std::string, std::uint64_t> versions_;
    std::map<std::string, int> unknown_versions_; // to be read before a change
    bool in_flight_ = false;
    Time next_attempt_at_ = 0; // no retry before this
};

} // namespace scheduler
