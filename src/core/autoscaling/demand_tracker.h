// The demand and the capacity of this partition, and those that the leaders of other partitions
// reported of theirs: from them one leader provisions machines for all. See docs/design.md,
// "Machines and money".
#pragma once

#include <deque>

#include "core/autoscaling/capacity_planner.h"
#include "core/jobs/job_store.h"
#include "core/leadership/leadership.h"
#include "core/model/instance_type_catalog.h"
#include "core/quotas/quota_ledger.h"

namespace scheduler {

// Called only from the controller's event loop.
class DemandTracker {
  public:
    struct PartitionDemand {
        Demand demand;
        PartitionCapacity capacity;
    };
    DemandTracker(const Leadership& leadership, const ClusterSettings& settings,
                  const SchedulingPolicy& policy, const InstanceTypeCatalog& types,
                  const JobStore& jobs, const QuotaLedger& quotas, const MachineTable& machines,
                  const CapacityPlanner& planner);

    // A job has arrived. Jobs that are to start sooner than a machine boots are remembered.
    void on_job_arrived(Time now, const JobSpec& spec);
    // This partition's demand and capacity. The demand is cached for a moment, as every peer sync
    // includes it; the capacity for longer.
    const PartitionDemand& current(Time now);
    // Drops the cached values.
    void invalidate() { valid_until_ = capacity_valid_until_ = 0; }
    // Another partition's leader has reported its demand and capacity.
    void on_peer_demand(Time now, int partition, const Demand& demand,
                        const PartitionCapacity& capacity);
    // Of all partitions together.
    ClusterDemand cluster_demand(Time now);
    // What this leader reports of itself from now on: see PartitionCapacity.
    void set_local_state(double cpu_headroom, bool accepts_shards) {
        cpu_headroom_ = cpu_headroom;
        accepts_shards_ = accepts_shards;
    }
    // The latest report of another partition's leader.
    struct Peer {
        Time received_at = 0;
        Demand demand;
        PartitionCapacity capacity;
    };
    const std::map<int, Peer>& peers() const { return peers_; }

    // Machines of other partitions that this leader has provisioned: counted here until their own
    // leaders know of them.
    struct Provisioned {
        ScaleOut order;
        Time since = 0;
    };
    using ProvisionedMachines = std::map<std::string, Provisioned>; // by machine
    const ProvisionedMachines& provisioned() const { return provisioned_; }
    void add_provisioned(Time now, const std::string& machine, const ScaleOut& order);
    void remove_provisioned(const std::string& machine) { provisioned_.erase(machine); }
    // Machines that should be up by now are no longer counted.
    void expire_provisioned(Time now);

    // Machines visited so far, as a measure of work for tests.
    std::uint64_t effort() const { return effort_; }

  private:
    // What a team's tasks need, before it is capped by the team's quota.
    struct TeamNeed {
        double on_demand_slots = 0;
        double spot_eligible_slots = 0;
        double cpus = 0;
        double gpus = 0;
    };
    // A job's pending tasks, in slots of the cheapest instance type that fits.
    struct PendingTasks {
        const InstanceType& type;
        double slots_per_task = 0;
        double count = 0;
        std::vector<std::string> open_zones; // in which the next task may be placed
    };
    Demand demand(Time now);
    PendingTasks pending_tasks(const Job& job) const;
    static void add_zone_bound(Time now, const Job& job, const PendingTasks& pending,
                               Demand& demand);
    void add_need(const Job& job, const PendingTasks& pending, TeamNeed& need) const;
    double quota_fraction(const std::string& team, const TeamNeed& need) const;
    void forget_old_arrivals(Time now);
    void update_capacity(Time now);
    double projected_slots(Time now) const;

    const Leadership& leadership_;
    const ClusterSettings& settings_;
    const SchedulingPolicy& policy_;
    const InstanceTypeCatalog& types_;
    const JobStore& jobs_;
    const QuotaLedger& quotas_;
    const MachineTable& machines_;
    const CapacityPlanner& planner_;
    std::map<int, Peer> peers_;
    ProvisionedMachines provisioned_;
    PartitionDemand current_;
    Time valid_until_ = 0;
    Time capacity_valid_until_ = 0;
    double cpu_headroom_ = 1;
    bool accepts_shards_ = false;
    struct Arrival {
        Time at = 0;
        double slot_s = 0; // its slots, times the boot time of their machines
    };
    std::deque<Arrival> arrivals_;
    std::uint64_t effort_ = 0;
};

} // namespace scheduler
