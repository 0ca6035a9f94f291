// The built-in scheduling policy: the parameters that may be tuned without affecting safety. Fields
// that end in `_boots` are multiples of a machine's usual boot time.
#pragma once

#include "core/model/types.h"

namespace scheduler::policy {

// The fields are described at SchedulingPolicy.
inline SchedulingPolicy defaults(const ClusterSettings& settings) {
    SchedulingPolicy policy;
    // Shorter than a worker lease, so that a new leader can renew the workers' leases after a
    // failover before they expire.
    policy.leadership_lease_s = 0.65 * settings.worker_lease_s;
    policy.idle_scale_in_boots = 0.4; // about what it costs to provision the machine again
    policy.scale_out_horizon_boots = 1.0;
    policy.demand_decay_boots = 0.4;
    policy.spare_capacity_ratio = 0.1;
    policy.boot_timeout_boots = 3.0;
    policy.capacity_backoff_s = settings.worker_lease_s;
    policy.quarantine_errors = 3;
    policy.initial_steal_batch = 4;
    policy.peer_sync_interval_s = settings.heartbeat_interval_s / 12;
    policy.warm_image_patience = 1;
    // Users expect even the largest job to start within four minutes, which no setting states. A
    // shorter deadline would miss more service-level objectives of other jobs without need, since
    // most jobs start in time without it.
    policy.first_task_deadline_s = 0.6 * 240;
    return policy;
}

} // namespace scheduler::policy
