// Reconciliation of a shard's machines after a failover or a shard migration.
//
// A new partition leader does not know which tasks earlier leaders started. Every machine in the
// registry may run some of them, so each is probed at once. A machine is reconciled when it is
// fenced and has sent its inventory of running tasks, when it has been released, or when its worker
// lease has expired by the clock. Until then, older tasks that it may be running are not launched
// anywhere else. See "Failover" in docs/design.md.
#pragma once

#include <deque>

#include "core/leadership/leadership.h"
#include "core/machines/machine_table.h"

namespace scheduler {

// Tracks, for each owned shard, the machines that are not reconciled yet. Called only from the
// controller's event loop; all times are seconds on the controller's clock.
class Reconciliation {
  public:
    // What the reconciliation needs of its partition's leader.
    struct Delegate {
        virtual ~Delegate() = default;
        // A machine's heartbeat, received as the response to the direct command `request`.
        virtual void apply_heartbeat(Time now, Machine& machine, const Heartbeat& heartbeat,
                                     OutboundRequestId request) = 0;
        // A response has been processed, so more shards may be reconciled now.
        virtual void try_reconcile(Time now) = 0;
        // Releases the named machines at the cloud provider.
        virtual void release_machines(Time now, std::vector<std::string> machines) = 0;
    };
    Reconciliation(const Leadership& leadership, const ClusterSettings& settings,
                   MachineTable& machines, OutboundRequests& requests, Delegate& delegate);

    // Starts the reconciliation of a shard that was gained at `now`.
    void add_shard(Time now, const ShardId& shard) { shards_[shard] = {now, false, false, {}}; }
    // Forgets a shard that is no longer owned.
    void remove_shard(const ShardId& shard) { shards_.erase(shard); }
    // Marks the machine as unreconciled: it may run unknown tasks. Throws std::out_of_range if its
    // shard has not been added; so do the functions below that require an owned shard.
    void expect_inventory(const Machine& machine) {
        shards_.at(machine.shard).unreconciled.insert(machine.name);
    }
    // Same, for a machine of the shard whose record is unreadable, so that only its name is known.
    void expect_inventory(const ShardId& shard, const std::string& name) {
        shards_.at(shard).unreconciled.insert(name);
    }
    // Marks the machine as reconciled: its inventories are complete from now on, or it no longer
    // exists.
    void on_inventory(const Machine& machine);
    // The shard's machine registry has been read. Probes the shard's unreconciled machines.
    void on_registry_read(const ShardId& shard);
    // Sends pending probes, as many as may be in flight at once.
    void send_due_probes();
    // Queues one probe of a machine whose inventory is required, and sends pending probes.
    void probe(const std::string& machine);
    bool is_registry_read(const ShardId& shard) const { return shards_.at(shard).registry_read; }
    // Marks and returns the shards that have become reconciled since the last call.
    std::vector<ShardId> newly_reconciled(Time now);
    // Returns false for a shard that is not owned.
    bool is_reconciled(const ShardId& shard) const;
    bool all_reconciled() const;
    // Releases machines that neither respond nor send heartbeats to this leader, if most others do:
    // they have probably failed. No older task can be placed until that is certain, and a release
    // makes it certain long before their worker leases expire. If more than half of the machines
    // gained at the same time are unreconciled, none of these is released, since a network fault is
    // more likely.
    void release_missing(Time now);

  private:
    struct Probe {
        std::string machine;
        int attempts_left = 0;
    };
    struct Shard {
        Time gained_at = 0;
        bool registry_read = false;
        bool reconciled = false;
        std::set<std::string> unreconciled; // machine names
    };
    // Machines of the shards that were gained at the same time.
    struct GainedGroup {
        std::size_t unreconciled = 0;
        std::size_t total = 0;
    };
    void send_probe(const Probe& probe);
    void on_probe_response(Time now, const Probe& probe, OutboundResponse& response);
    std::map<Time, GainedGroup> gained_groups() const;
    std::size_t unreconciled_count() const;
    std::size_t responsive_count(Time now) const;
    std::vector<std::string> missing_machines(Time now) const;

    const Leadership& leadership_;
    const ClusterSettings& settings_;
    MachineTable& machines_;
    OutboundRequests& requests_;
    Delegate& delegate_;
    std::map<ShardId, Shard> shards_;
    std::deque<Probe> pending_probes_;
    int probes_in_flight_ = 0;
    Time next_release_ = 0;
};

} // namespace scheduler
