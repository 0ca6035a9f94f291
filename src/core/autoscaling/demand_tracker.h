// What the part has and wants, and what the owners of other parts said of theirs: by this one of
// them rents for all. See docs/design.md, "Machines and money".
#pragma once

#include <deque>

#include "core/autoscaling/capacity_planner.h"
#include "core/jobs/job_store.h"
#include "core/leadership/leadership.h"
#include "core/model/instance_type_catalog.h"
#include "core/quotas/quota_ledger.h"

namespace scheduler {

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

    // Work that has come: such as is to start sooner than a machine boots is remembered.
    void on_job_arrived(Time now, const JobSpec& spec);
    // Counted anew once a moment, as every call to a peer says it; the machines less often.
    const PartitionDemand& current(Time now);
    void invalidate() { valid_until_ = capacity_valid_until_ = 0; }
    // The owner of another part has said how it stands.
    void on_peer_demand(Time now, int partition, const Demand& demand,
                        const PartitionCapacity& fleet);
    // Of all parts together.
    ClusterDemand cluster_demand(Time now);
    // What the part's owner says of itself from now on: see FleetView.
    void set_local_state(double capacity, bool takes) {
        cpu_headroom_ = capacity;
        accepts_shards_ = takes;
    }
    struct Peer {
        Time received_at = 0;
        Demand demand;
        PartitionCapacity capacity;
    };
    const std::map<int, Peer>& peers() const { return peers_; }

    // Machines rented by this owner that belong to other parts: counted here until their owners
    // know of them.
    using ProvisionedMachines = std::map<std::string, std::pair<ScaleOut, Time>>;
    const ProvisionedMachines& provisioned() const { return provisioned_; }
    void add_provisioned(Time now, const std::string& machine, const ScaleOut& order);
    void remove_provisioned(const std::string& machine) { provisioned_.erase(machine); }
    // Those that should be up by now are counted no more.
    void expire_provisioned(Time now);

    std::uint64_t effort() const { return effort_; }

  private:
    Demand demand(Time now);
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
    Time capacity_valid_until_ = 0; // the machines
    double cpu_headroom_ = 1;
    bool accepts_shards_ = false;
    struct Arrival {
        Time at = 0;
        double slots = 0;
    };
    std::deque<Arrival> arrivals_;
    std::uint64_t effort_ = 0;
};

} // namespace scheduler
