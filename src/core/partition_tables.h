// The state of one leadership term of a partition: tables that PartitionLeader and the classes that
// it connects read and update. No table changes another.
#pragma once

#include "core/autoscaling/capacity_planner.h"
#include "core/jobs/job_store.h"
#include "core/machines/slot_lists.h"
#include "core/model/instance_type_catalog.h"
#include "core/quotas/quota_ledger.h"
#include "core/scheduling/gang_tracker.h"
#include "core/sharding/owned_shards.h"

namespace scheduler {

class PartitionTables {
  protected:
    PartitionTables(Time now, int partition, const ClusterSettings& settings,
                    const SchedulingPolicy& policy, const LeadershipLease& lease,
                    const PartitionMap& partition_map, StoreRateLimiter& rate_limiter,
                    const std::vector<InstanceType>& types);

    ClusterSettings settings_;
    std::vector<ShardId> all_shards_; // of all partitions
    SchedulingPolicy policy_;
    Leadership leadership_;
    OwnedShards owned_shards_;
    OutboundRequests requests_;
    InstanceTypeCatalog instance_types_;
    JobStore jobs_;
    MachineTable machines_;
    SlotLists slots_;
    QuotaLedger quotas_;
    GangTracker gangs_;
    CapacityPlanner planner_;
};

} // namespace scheduler
