// The state machine of the core: takes one input at a time and returns the requests, responses and
// log lines that result from it. It never blocks, and its only clock is the time passed with each
// input, in seconds of a steady clock. It only dispatches each input to the class that handles it,
// and forwards the results of one class to the others.
#pragma once

#include "core/jobs/job_service.h"
#include "core/jobs/job_status_reader.h"
#include "core/leadership/leader_election.h"
#include "core/leadership/lease_extender.h"
#include "core/leadership/store_lease_keeper.h"
#include "core/messaging/instance_type_source.h"
#include "core/partition_leaders.h"

namespace scheduler {

class Controller final : StoreLeaseKeeper::Delegate, LeaderElection::Delegate {
  public:
    Controller(const ClusterSettings& settings, const SchedulingPolicy& policy);
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    // Processes one input. `now` must not decrease from call to call.
    Outputs handle(Time now, Input input);
    // The longest time between two inputs, in seconds: a `TimerTick` is due if there is no other.
    double tick_s() const { return tick_s(settings_); }
    static double tick_s(const ClusterSettings& settings) {
        return settings.heartbeat_interval_s / 12;
    }
    // See PartitionLeader::effort.
    std::uint64_t effort() const;
    // Starts to migrate a shard from `partition`, which is led here, to partition `to`, as the
    // shard balancer would. Returns false if that is not possible now.
    bool migrate_shard(Time now, int partition, const ShardId& shard, int to);
    // The shards that the partition holds; empty if it is not led here.
    std::vector<ShardId> shards(int partition) const;

  private:
    // One handler for each type of input.
    void handle_input(Time now, const TimerTick& tick);
    void handle_input(Time now, const SubmitJob& submit);
    void handle_input(Time now, const PollJob& poll);
    void handle_input(Time now, const CancelJob& cancel);
    void handle_input(Time now, const ReadinessProbe& probe);
    void handle_input(Time now, const HeartbeatReceived& in);
    void handle_input(Time now, const PeerSyncReceived& in);
    void handle_input(Time now, const LeaseExtensionReceived& in);
    void handle_input(Time now, const CancellationsReceived& in);
    void handle_input(Time now, const QuotaStatusQuery& query);
    void handle_input(Time now, OutboundResponse& response);

    void on_store_lease_granted(Time now) override;
    void on_store_lease_ended(Time now) override;
    void on_leadership_acquired(Time now, int partition) override;
    void on_leadership_lost(int partition) override;
    void on_partition_map_read(Time now) override;
    void on_job_cancelled(Time now, const std::string& job);
    void on_quota_changed(Time now, const TeamQuota& quota);

    TaskCounts make_task_counts();
    void request_lease_extension(Time now);
    Time advance_cancellations_known(Time now);
    bool can_serve(Time now) const;
    bool workers_unreachable(Time now) const;
    void tick_leaders(Time now);
    void collect_outputs(Time now, Outputs& out);

    // The order matters: members refer to members declared above them.
    ClusterSettings settings_;
    SchedulingPolicy policy_;
    StoreRateLimiter rate_limiter_;
    OutboundRequests requests_;
    LeadershipLease lease_;
    StoreContact store_contact_;
    CampaignSuspension campaign_suspension_;
    JobRecordCache job_cache_;
    QuotaConfig quota_config_;
    JobService job_service_;
    JobStatusReader job_status_reader_;
    LeaseExtender lease_extender_;
    PartitionMap partition_map_;
    InstanceTypeSource instance_types_;
    StoreLeaseKeeper store_lease_keeper_;
    LeaderElection election_;
    PartitionLeaders leaders_;
    CpuHeadroom cpu_headroom_;
    // The time of the last heartbeat of any worker, or since when heartbeats are to be expected.
    Time last_heartbeat_ = 0;
};

} // namespace scheduler
