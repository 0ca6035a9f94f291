// The settings that the core needs: facts of the cluster, and the ratios of the policy.
#pragma once

#include <string>
#include <vector>

#include "core/model/quota.h"

namespace scheduler {

// The service-level objective for one class of jobs.
struct ServiceLevelObjective {
    // `finished`: done within `within_s` of the submission. `wait`: begun within `within_s`.
    // `deadline`: done within `deadline_factor` the deadline that the job states.
    enum class Kind { finished, wait, deadline };
    Kind kind = Kind::finished;
    std::string job_class;
    double within_s = 0;
    double deadline_factor = 1;
};

// A partition. There is one for each configured controller, in the order of the controllers' names;
// its number is its index in ClusterSettings::partitions.
struct PartitionSettings {
    std::string node; // the controller whose home partition it is
    std::string zone; // of that controller
};

// The facts of the cluster, alike at all controllers except for `node` and `home_partition`.
struct ClusterSettings {
    std::string node;       // the name of this controller
    int home_partition = 0; // the partition that it leads whenever it can
    std::vector<PartitionSettings> partitions;
    std::vector<std::string> zones;
    std::vector<TeamQuota> teams;
    std::vector<ServiceLevelObjective> objectives;
    double heartbeat_interval_s = 0;
    // A worker stops its tasks when no heartbeat has been answered for so long.
    double worker_lease_s = 0;
    // The last task of a cancelled job must have ended so long after the user was told.
    double cancel_s = 0;
    double gang_start_timeout_s = 0; // how long the tasks of a gang wait for each other to start
    double gang_stop_timeout_s = 0;  // facts.workers.gang_peer_s, a fact of the workers' agents
    double store_requests_per_s = 0; // the store's limits, which all controllers use together
    double store_writes_per_s = 0;
    double store_value_limit_kb = 0; // largest value of a key
    int store_transaction_limit = 0; // most operations of one transaction
    double cloud_requests_per_s = 0;
    double list_lag_s = 0; // how far the cloud's list of instances may lag behind
    // Direct commands to workers that may be under way at once: each takes a socket and a thread.
    int max_concurrent_commands = 16;
};

// Ratios that operators may set and that no safety rule depends on; the defaults are in
// policy/default_policy.h. Fields named `_boots` are multiples of an instance type's boot time.
struct SchedulingPolicy {
    double leadership_lease_s = 0;
    double idle_scale_in_boots = 0;     // idle time after which a machine may be terminated
    double scale_out_horizon_boots = 0; // pending work should be done by then
    double demand_decay_boots = 0;      // peaks of the demand decay over it
    double spare_capacity_ratio = 0;    // kept beyond the recent demand
    double boot_timeout_boots = 0;      // a machine that is not up by then is given up
    double capacity_backoff_s = 0;      // before a zone without capacity is asked again
    double quarantine_errors = 0;       // failed tasks in a row that quarantine a machine
    double initial_steal_batch = 0;     // slots requested from a peer at first
    double peer_sync_interval_s = 0;    // between syncs with a peer while tasks wait or run there
    double warm_image_patience = 0; // fetch times that a job with the image there may be due later
    // A job that has waited so long for its first task goes to the front of the queue for it.
    double first_task_deadline_s = 0;
};

} // namespace scheduler
