// A partition leader's calls to the cloud provider: it provisions, lists and releases machines as
// the capacity planner decides. The leader of one partition provisions for all, so that a lack of
// machines is not made up for several times.
#pragma once

#include "core/autoscaling/demand_tracker.h"
#include "core/sharding/owned_shards.h"

namespace scheduler {

// Called only from the controller's event loop. Calls to the cloud provider that fail are retried.
class Autoscaler {
  public:
    // What the autoscaler needs of its partition's leader.
    struct Delegate {
        virtual ~Delegate() = default;
        // The machine's idle slots have changed, or whether they may be given.
        virtual void update_slot_lists(Machine& machine) = 0;
        // The machine and everything on it are gone; it is to be in no table when this returns.
        virtual void on_machine_released(Time now, const std::string& machine) = 0;
        // Tasks may be scheduled again.
        virtual void resume_scheduling(Time now) = 0;
        // Has a task completed on the machine without its job's leader knowing of it yet?
        virtual bool has_unacked_exits(Time now, const Machine& machine) const = 0;
        // Have the leaders of all other partitions reported their capacity?
        virtual bool all_peers_reported() const = 0;
    };
    Autoscaler(const Leadership& leadership, const ClusterSettings& settings,
               const OwnedShards& owned_shards, const InstanceTypeCatalog& types,
               MachineTable& machines, CapacityPlanner& planner, DemandTracker& demand,
               OutboundRequests& requests, Delegate& delegate);

    // Does this leader provision machines for all partitions?
    bool is_provisioner() const { return leadership_.partition() == kProvisionerPartition; }
    // Lists the provider's machines, if it is time.
    void list_instances(Time now);
    // Is the next run due? There are a few in a heartbeat interval.
    bool is_run_due(Time now) const { return now >= next_run_at_; }
    // Scales out and in. `allow_silent_release`: machines without heartbeats may be taken for dead.
    void run(Time now, bool allow_silent_release);
    // Releases the named machines, which must be known; at most as many as the provider takes at
    // once.
    void scale_in(Time now, std::vector<std::string> names);
    // The provisioning leader announces a machine of this partition.
    void expect_machine(Time now, const ProvisionedMachine& provisioned);

  private:
    static constexpr int kProvisionerPartition = 0; // whose leader provisions for all
    void scale_out(Time now, const ClusterDemand& cluster_demand);
    std::map<std::string, double> slots_by_zone() const;
    void on_scale_out_response(Time now, const ScaleOut& request, const OutboundResponse& response);
    void on_scale_in_response(Time now, const std::vector<std::string>& names, int status);
    void update_cordons(Time now, const ClusterDemand& cluster_demand);
    void list_instances_after(std::string after);
    Machine* add_listed(Time now, const Instance& instance, const ShardId& shard,
                        const OwnedShards::Shard& own);
    void on_instance_listed(Time now, const Instance& instance);

    const Leadership& leadership_;
    const ClusterSettings& settings_;
    const OwnedShards& owned_shards_;
    const InstanceTypeCatalog& types_;
    MachineTable& machines_;
    CapacityPlanner& planner_;
    DemandTracker& demand_;
    OutboundRequests& requests_;
    Delegate& delegate_;
    bool list_in_flight_ = false;
    Time next_run_at_ = 0;
    Time next_list_at_ = 0;
    Time next_release_at_ = 0;
};

} // namespace scheduler
