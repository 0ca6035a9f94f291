// The roster: a key for every machine that may carry a task, which a new owner of the part reads.
// Many machines come up or go together, so entries are written and dropped several to a
// transaction, one transaction at a time, and again until they are: see "What is durable" in
// docs/design.md.
//
// A transaction without an answer may be carried out minutes later, after newer ones of the same
// claim. So each change is conditional on the version that its key has now: what comes late finds
// another one and changes nothing.
#pragma once

#include <functional>
#include <set>

#include "core/messaging/outbound_requests.h"

namespace scheduler {

class MachineRegistry {
  public:
    // `guard`: the condition that the part is still this owner's. `answered` is told of each answer
    // to a transaction and, if it was 200, of the machines that stand on the roster now.
    using OnResponse =
        std::function<void(Time, const OutboundResponse&, const std::vector<std::string>&)>;
    MachineRegistry(StoreCondition guard, const ClusterSettings& settings,
                    OutboundRequests& requests, OnResponse answered);

    static constexpr char kPrefix[] = "machine/";
    // Entries stand under the home of the machine's share, whoever holds it.
    static std::string prefix(int home) { return kPrefix + std::to_string(home) + "/"; }
    void add(Time now, int home, const std::string& machine, MachineRecord record);
    void remove(Time now, int home, const std::string& machine);
    // The entry has been read at this version, so it need not be written.
    void on_loaded(const std::string& machine, std::uint64_t version);
    // It is another's to write.
    void forget(const std::string& machine);
    // Sends what is due if nothing is under way; to be called on the timer as well.
    void flush(Time now);

  private:
    struct Entry {
        int home_partition = 0;
        MachineRecord record;
    };
    // One transaction of at most so many changes; false: the budget does not let it go.
    bool send(Time now, std::size_t most);
    void on_response(Time now, const OutboundResponse& response,
                     const std::map<std::string, Entry>& written,
                     const std::map<std::string, int>& dropped);
    bool read(Time now, int home, const std::string& machine);

    StoreCondition leadership_condition_;
    double heartbeat_interval_s_;
    std::size_t max_writes_; // changes in a transaction
    OutboundRequests& requests_;
    OnResponse on_response_;
    std::map<std::string, Entry> pending_adds_;  // not sent yet, or sent in vain
    std::map<std::string, int> pending_removes_; // with the home
    // Of entries that this owner wrote or read. None: there is no entry, as far as is known.
    std::map<std::string, std::uint64_t> versions_;
    std::map<std::string, int> unknown_versions_; // to be read before they are changed
    bool in_flight_ = false;
    Time next_ = 0;
};

} // namespace scheduler
