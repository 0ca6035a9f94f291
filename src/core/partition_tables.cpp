#include "core/partition_tables.h"

#include <algorithm>

namespace scheduler {

namespace {
// Added to a worker lease, as a fraction of it, to allow for delays in this process. A safety
// bound.
constexpr double kLeaseMarginRatio = 1.0 / 16;

std::uint32_t chunk_tasks(const ClusterSettings& settings) {
    // A hexadecimal digit records four tasks; a quarter of the value is left for other fields.
    return static_cast<std::uint32_t>(
        std::max(64.0, settings.store_value_limit_kb * 1024 * 0.75 * 4));
}
} // namespace

PartitionTables::PartitionTables(Time now, int partition, const ClusterSettings& settings,
                                 const SchedulingPolicy& policy, const LeadershipLease& lease,
                                 const PartitionMap& partition_map, StoreRateLimiter& rate_limiter,
                                 const std::vector<InstanceType>& types)
    : settings_(settings), all_shards_(all_shards(settings)), policy_(policy),
      leadership_(now, partition, lease), owned_shards_(leadership_, partition_map),
      requests_(rate_limiter, (leadership_.term() << 32) + 1), instance_types_(types),
      jobs_(chunk_tasks(settings)),
      machines_(settings.worker_lease_s, settings.worker_lease_s * kLeaseMarginRatio),
      quotas_(settings.teams), gangs_(settings.gang_start_timeout_s),
      planner_(settings, policy, leadership_.term()) {}

} // namespace scheduler
