// The demand and the capacity of this partition, and those that the leaders of other partitions
// reported for theirs. One leader provisions machines for all partitions by their sums. See
// docs/design.md, "Machines and money".
#pragma once

#include <deque>
#include <optional>

#include "core/autoscaling/capacity_planner.h"
#include "core/autoscaling/task_groups.h"
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

    // To be called when a job has arrived. Jobs whose objective for the waiting time is shorter
    // than the boot time of a machine are remembered.
    void on_job_arrived(Time now, const JobSpec& spec);
    // This partition's demand and capacity. As every peer sync includes them, the demand is cached
    // for a peer sync interval, and the capacity for a sixth of a heartbeat interval.
    const PartitionDemand& current(Time now);
    // Drops the cached values.
    void invalidate() { valid_until_ = capacity_valid_until_ = 0; }
    // To be called when another partition's leader has reported its demand and capacity. Throws
    // std::out_of_range if there is no such other partition.
    void on_peer_demand(Time now, int partition, const Demand& demand,
                        const PartitionCapacity& capacity);
    // The demand and capacity of all partitions together.
    ClusterDemand cluster_demand(Time now);
    // Sets what this leader reports of itself from now on: see PartitionCapacity.
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

    // A machine of another partition that this leader has provisioned. It is counted as capacity
    // here until that partition's leader knows of it.
    struct Provisioned {
        ScaleOut request;
        Time since = 0;
    };
    using ProvisionedMachines = std::map<std::string, Provisioned>; // by machine
    const ProvisionedMachines& provisioned() const { return provisioned_; }
    void add_provisioned(Time now, const std::string& machine, const ScaleOut& request);
    void remove_provisioned(const std::string& machine) { provisioned_.erase(machine); }
    // Drops the provisioned machines that should be up by now.
    void expire_provisioned(Time now);

    // The number of machines visited so far, as a measure of work for tests.
    std::uint64_t effort() const { return effort_; }

  private:
    // The need of a team's tasks, before it is capped by the team's quota.
    struct TeamNeed {
        double on_demand_slots = 0;
        double spot_eligible_slots = 0;
        double cpus = 0;
        double gpus = 0;
        double placed_cpus = 0;
        double placed_gpus = 0;
    };
    // A job's pending tasks, in slots of the cheapest instance type that fits.
    struct PendingTasks {
        const InstanceType& type;
        double slots_per_task = 0;
        double count = 0;
        std::vector<std::string> open_zones; // zones in which the next task may be placed
    };
    // A job whose pending tasks cannot use some of the slots.
    struct GroupedJob {
        const JobSpec& spec;
        TaskGroups::Places places;
        double slots_per_task = 0;
        double tasks = 0;       // that are to run at a time, before they are limited by the quota
        double stuck_tasks = 0; // to be added regardless of the quota
    };
    Demand demand(Time now);
    PendingTasks pending_tasks(const Job& job) const;
    double concurrent_tasks(const Job& job, const PendingTasks& pending) const;
    static double add_zone_bound(Time now, const Job& job, const PendingTasks& pending,
                                 Demand& demand);
    void add_need(const Job& job, const PendingTasks& pending, TeamNeed& need) const;
    void add_projected(Time now, Demand& demand, TaskGroups& groups) const;
    double quota_fraction(const std::string& team, const TeamNeed& need) const;
    double pending_quota_fraction(const std::string& team, const TeamNeed& need) const;
    static std::size_t stuck_periods(Time now, const Job& job, const PendingTasks& pending);
    bool needs_group(Time now, const Job& job, const PendingTasks& pending) const;
    TaskGroups::Places places_of(const JobSpec& spec, const PendingTasks& pending) const;
    std::vector<TaskGroup> task_groups(const std::vector<GroupedJob>& jobs,
                                       const std::map<std::string, TeamNeed>& needs,
                                       TaskGroups groups) const;
    void forget_old_arrivals(Time now);
    void update_capacity(Time now);
    static void add_idle(const PartitionCapacity& capacity, ClusterDemand& cluster_demand);

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
        double slot_s = 0; // the job's slots times the boot time of its machines
        double task_s = 0; // its tasks times that time
        // Where the tasks may run and what they need, if they cannot use some of the slots.
        std::optional<TaskGroups::Places> places;
        JobSpec spec;
    };
    std::deque<Arrival> arrivals_;
    std::uint64_t effort_ = 0;
};

} // namespace scheduler
