// The settings of the core: properties of the cluster, and tunable scheduling parameters.
#pragma once

#include <string>
#include <vector>

#include "core/model/quota.h"

namespace scheduler {

// The service-level objective for one class of jobs.
struct ServiceLevelObjective {
    // `finished`: done within `within_s` of the submission. `wait`: started within `within_s`.
    // `deadline`: done within `deadline_factor` times the job's own deadline.
    enum class Kind { finished, wait, deadline };
    Kind kind = Kind::finished;
    std::string job_class;
    double within_s = 0;
    double deadline_factor = 1;
};

// Settings of a partition. There is one for each configured controller, in the order of the
// controllers' names; its number is its index in ClusterSettings::partitions.
struct PartitionSettings {
    std::string node; // the controller whose home partition it is
    std::string zone; // of that controller
};

// Properties of the cluster, the same on all controllers except for `node` and `home_partition`.
struct ClusterSettings {
    std::string node;       // the name of this controller
    int home_partition = 0; // the partition that this controller leads whenever it can
    std::vector<PartitionSettings> partitions;
    std::vector<std::string> zones;
    std::vector<TeamQuota> teams;
    std::vector<ServiceLevelObjective> objectives;
    double heartbeat_interval_s = 0;
    // A worker stops its tasks when none of its heartbeats was answered for this long.
    double worker_lease_s = 0;
    // The last task of a cancelled job must have ended this long after the user got the response.
    double cancel_s = 0;
    double gang_start_timeout_s = 0; // how long the tasks of a gang wait for each other to start
    double gang_stop_timeout_s = 0;  // facts.workers.gang_peer_s, used by the workers' agents
    double store_requests_per_s = 0; // limits of the store, shared by all controllers
    double store_writes_per_s = 0;
    double store_value_limit_kb = 0; // largest value of a key
    int store_transaction_limit = 0; // most operations of one transaction
    double cloud_requests_per_s = 0;
    double list_lag_s = 0; // how old the cloud's list of instances may be
    // Most direct commands to workers in flight at a time: each takes a socket and a thread.
    int max_concurrent_commands = 16;
};

// Parameters that operators may set and that no safety rule depends on. The defaults are in
// policy/default_policy.h. Fields named `_boots` are multiples of an instance type's boot time.
struct SchedulingPolicy {
    double leadership_lease_s = 0;
    double idle_scale_in_boots = 0;     // idle time after which a machine may be terminated
    double scale_out_horizon_boots = 0; // time in which pending work should be done
    double demand_decay_boots = 0;      // decay time of peaks of the demand
    double spare_capacity_ratio = 0;    // spare capacity beyond the recent demand
    double boot_timeout_boots = 0;      // a machine that has not booted by then is abandoned
    double capacity_backoff_s = 0;      // before the next scale-out in a zone without capacity
    double quarantine_errors = 0;       // consecutive task failures that quarantine a machine
    double initial_steal_batch = 0;     // slots in the first request to a peer
    double peer_sync_interval_s = 0;    // while tasks wait or run at the peer
    double warm_image_patience = 0; // fetch times that a job with the image there may be due later
    // A job that has waited this long for its first task moves to the front of the queue for it.
    double first_task_deadline_s = 0;
};

} // namespace scheduler
