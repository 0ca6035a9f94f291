// What a new owner does not know yet: the machines of the roster that may carry tasks which an
// owner before it started. Each is asked at once, and accounted for when it is fenced and has
// listed what it carries, when it is gone by a release, or when its lease is over by the clock. See
// "Takeover" in docs/design.md.
#pragma once

#include <deque>

#include "core/leadership/leadership.h"
#include "core/machines/machine_table.h"

namespace scheduler {

class Reconciliation {
  public:
    struct Delegate { // what it needs of the part it works for
        virtual ~Delegate() = default;
        // The machine's own answer to a direct command.
        virtual void apply_heartbeat(Time now, Machine& machine, const Heartbeat& heartbeat,
                                     OutboundRequestId orders) = 0;
        virtual void try_reconcile(Time now) = 0;
        virtual void release_machines(Time now, std::vector<std::string> machines) = 0;
    };
    Reconciliation(const Leadership& leadership, const ClusterSettings& settings,
                   MachineTable& machines, OutboundRequests& requests, Delegate& delegate);

    void begin(Time now, const ShardId& shard) { shards_[shard] = {now, false, false, {}}; }
    void end(const ShardId& shard) { shards_.erase(shard); }
    // The machine may carry tasks that are not known.
    void expect(const Machine& machine) {
        shards_.at(machine.shard).unreconciled.insert(machine.name);
    }
    // So may one of the share that is not known by more than its name.
    void expect(const ShardId& shard, const std::string& name) {
        shards_.at(shard).unreconciled.insert(name);
    }
    // From here on its listings are all there is; or it is gone.
    void on_inventory(const Machine& machine);
    // The share's roster has been read: its machines are asked.
    void on_registry_read(const ShardId& shard);
    // Asks those whose turn it is.
    void probe_due();
    // A listing of this machine is waited for.
    void probe_due(const std::string& machine);
    bool is_registry_read(const ShardId& shard) const { return shards_.at(shard).registry_read; }
    // Shares that are accounted for from now on.
    std::vector<ShardId> newly_reconciled(Time now);
    bool is_reconciled(const ShardId& shard) const;
    bool all_reconciled() const;
    // The few machines that neither answer nor come to this owner while the rest do are most likely
    // gone. A release makes that certain long before their leases run out, and until it is certain
    // no older task can be placed. Few, that is of those that came to us at the same time: if most
    // of these are silent, it is more likely that something lies between.
    void release_missing(Time now);

  private:
    struct Probe {
        std::string machine;
        int attempts_left = 0; // that are left
    };
    void probe(const Probe& question);

    const Leadership& leadership_;
    const ClusterSettings& settings_;
    MachineTable& machines_;
    OutboundRequests& requests_;
    Delegate& delegate_;
    struct Shard {
        Time since = 0;
        bool registry_read = false;
        bool reconciled = false;
        std::set<std::string> unreconciled;
    };
    std::map<ShardId, Shard> shards_;
    std::deque<Probe> pending_probes_;
    int probes_in_flight_ = 0;
    Time next_release_ = 0;
};

} // namespace scheduler
