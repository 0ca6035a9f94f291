// The built-in policy: every ratio that is a choice and not a safety bound.
#pragma once

#include "core/model/types.h"

namespace scheduler::policy {

inline SchedulingPolicy defaults(const ClusterSettings& settings) {
    SchedulingPolicy policy;
    policy.leadership_lease_s =
        0.65 * settings.worker_lease_s;   // a takeover leaves workers' leases time to go on
    policy.idle_scale_in_boots = 0.4;     // of a boot: about what it costs to rent again
    policy.scale_out_horizon_boots = 1.0; // of a boot: waiting work should be done by then
    policy.demand_decay_boots = 0.4;      // of a boot: peaks of the demand fade over it
    policy.spare_capacity_ratio = 0.1;    // kept beyond the recent demand
    policy.boot_timeout_boots = 3.0;      // of the usual boot: then it is given up
    policy.capacity_backoff_s =
        settings.worker_lease_s;    // before a zone that had none is asked again
    policy.quarantine_errors = 3;   // failed tasks in a row
    policy.initial_steal_batch = 4; // slots asked for at first
    policy.peer_sync_interval_s =
        settings.heartbeat_interval_s / 12; // between calls to a peer while tasks wait or run there
    policy.warm_image_patience = 1; // fetch times that a job with the image there may be due later
    // Users expect even the largest job to begin within four minutes, which no setting says. Sooner
    // than this it costs more aims of others than it need: most begin by themselves.
    policy.first_task_deadline_s = 0.6 * 240;
    return policy;
}

} // namespace scheduler::policy
