// The calls to the cloud of a part's owner: it rents, lists and releases machines as Fleet decides.
// The owner of one part rents for all, so that one lack is not made up for several times.
#pragma once

#include "core/autoscaling/demand_tracker.h"
#include "core/sharding/owned_shards.h"

namespace scheduler {

class Autoscaler {
  public:
    struct Delegate { // what it needs of the part it works for
        virtual ~Delegate() = default;
        virtual void update_slot_lists(Machine& machine) = 0;
        // The machine is gone and everything on it; it is in no table any more when this returns.
        virtual void on_machine_released(Time now, const std::string& machine) = 0;
        virtual void resume_scheduling(Time now) = 0;
        // Its tasks' ends have not been told to the owners of their jobs yet.
        virtual bool has_unacked_exits(Time now, const Machine& machine) const = 0;
        // Have the owners of all other parts said what they have?
        virtual bool heard_from_all_peers() const = 0;
    };
    Autoscaler(const Leadership& leadership, const ClusterSettings& settings,
               const OwnedShards& owned_shards, const InstanceTypeCatalog& types,
               MachineTable& machines, CapacityPlanner& planner, DemandTracker& demand,
               OutboundRequests& requests, Delegate& delegate);

    bool is_provisioner() const { return leadership_.partition() == kProvisionerPartition; }
    // Listings and, a few times in a report time, what to rent and what to give back.
    // `may_suspect`: silent machines may be taken for dead.
    void list_instances(Time now);
    bool due(Time now) const { return now >= next_; }
    void run(Time now, bool may_suspect);
    void scale_in(Time now, std::vector<std::string> names);
    // The owner that rents says that a machine of this part is on its way.
    void expect_machine(Time now, const ProvisionedMachine& machine);

  private:
    static constexpr int kProvisionerPartition = 0; // the part whose owner rents for all
    void scale_out(Time now, const ClusterDemand& cluster_demand);
    void list_instances_after(Time now, std::string after);
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
    bool listing_ = false;
    Time next_ = 0;
    Time next_list_ = 0;
    Time next_release_ = 0;
};

} // namespace scheduler
