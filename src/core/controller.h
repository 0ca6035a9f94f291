// The core's state machine: takes one input at a time and returns what to send, answer and log. It
// never waits and knows no clock but the time that comes with each input, in seconds of a steady
// clock. Here is only wiring: which class handles an input, and what one class's result means to
// the others.
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

    Outputs handle(Time now, Input input);
    // The longest time between two inputs: when nothing else comes in, a `TimerTick` is due.
    double tick_s() const { return tick_s(settings_); }
    static double tick_s(const ClusterSettings& settings) {
        return settings.heartbeat_interval_s / 12;
    }
    // See PartitionLeader::effort.
    std::uint64_t effort() const;
    // Migrates a shard that a partition led here holds to another partition, as the shard balancer
    // would. Returns false when that is not possible now.
    bool migrate_shard(Time now, int partition, const ShardId& shard, int to);
    // The shards that a partition led here holds; empty when it is not led here.
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

    // Each of these refers to some of those above it.
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
    Time last_heartbeat_ = 0; // of any worker, or since when workers have reason to send them
};

} // namespace scheduler
