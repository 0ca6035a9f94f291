// The requests of a partition leader to the cloud provider: provisions, lists and releases machines
// as the capacity planner decides. The leader of one partition provisions for all, so that missing
// machines are not provisioned several times.
#pragma once

#include "core/autoscaling/demand_tracker.h"
#include "core/sharding/owned_shards.h"

namespace scheduler {

// Called only from the controller's event loop. Failed requests to the cloud provider are retried.
class Autoscaler {
  public:
    // What the autoscaler needs of its partition's leader.
    struct Delegate {
        virtual ~Delegate() = default;
        // Called when the machine's idle slots have changed, or whether tasks may use them.
        virtual void update_slot_lists(Machine& machine) = 0;
        // Called when the machine has been released. Must remove it, and its tasks, from all
        // tables.
        virtual void on_machine_released(Time now, const std::string& machine) = 0;
        // Called after releases, when tasks may be scheduled again.
        virtual void resume_scheduling(Time now) = 0;
        // Returns whether a task has exited on the machine that the leader of the task's job may
        // not know of yet. Such a machine is not released.
        virtual bool has_unacked_exits(Time now, const Machine& machine) const = 0;
        // Returns whether the leaders of all other partitions have reported their capacity.
        virtual bool all_peers_reported() const = 0;
    };
    Autoscaler(const Leadership& leadership, const ClusterSettings& settings,
               const OwnedShards& owned_shards, const InstanceTypeCatalog& types,
               MachineTable& machines, CapacityPlanner& planner, DemandTracker& demand,
               OutboundRequests& requests, Delegate& delegate);

    // Returns whether this leader provisions machines for all partitions.
    bool is_provisioner() const { return leadership_.partition() == kProvisionerPartition; }
    // Lists the provider's machines if the next listing is due, and adds unknown ones of this
    // partition. To be called periodically.
    void list_instances(Time now);
    // Returns whether the next run is due. The interval is kPlanningIntervalHeartbeats.
    bool is_run_due(Time now) const { return now >= next_run_at_; }
    // Scales out and in. `allow_silent_release`: machines whose heartbeats have stopped may be
    // released.
    void run(Time now, bool allow_silent_release);
    // Releases the named machines, which must be known; of a longer list only as many as the
    // provider accepts in one request.
    void scale_in(Time now, std::vector<std::string> names);
    // To be called when the provisioning leader announces a machine that it has provisioned for
    // this partition.
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
