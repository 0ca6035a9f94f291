// The core: a state machine that takes inputs and says what to send, write and answer.
#pragma once

#include <memory>

#include "core/jobs/job_service.h"
#include "core/jobs/job_status_reader.h"
#include "core/leadership/lease_extender.h"
#include "core/partition_leader.h"

namespace scheduler {

class Controller {
  public:
    Controller(const ClusterSettings& settings, const SchedulingPolicy& policy);

    Outputs handle(Time now, Input input);
    // How long the core may be left alone when nothing comes in.
    double tick_s() const { return tick_s(settings_); }
    static double tick_s(const ClusterSettings& settings) {
        return settings.heartbeat_interval_s / 12;
    }
    // See PartOwner::effort.
    std::uint64_t effort() const;
    // Gives a share that a part of this node holds to another part, as `Balance` would. False: not
    // now.
    bool migrate_shard(Time now, int partition, const ShardId& shard, int to);
    // The shares that a part of this node holds; none: it does not own the part.
    std::vector<ShardId> shards(int partition) const;

  private:
    static constexpr double kCampaignBackoffLeases = 2;
    void tick(Time now);
    void refresh_instance_types(Time now);
    void fetch_catalog();
    bool read_catalog(Time now);
    void set_instance_types(Time now, const std::vector<InstanceType>& types);
    void acquire_store_lease(Time now);
    void renew_store_lease(Time now);
    void read_partition_map(Time now);
    void reread_partition_map(Time now);
    void campaign(Time now);
    void reassign_shards_of(StoreTransaction& transaction, int partition) const;
    void watch_partition_map(Time now);
    void campaign_for(Time now, int partition);
    void reclaim_home_partition(Time now);
    void hand_back(Time now, int partition);
    void resign_all(Time now, const char* why);
    void resign(int partition, const char* why);
    void on_heartbeat(Time now, const HeartbeatReceived& in);
    void on_peer_sync(Time now, const PeerSyncReceived& in);
    void on_lease_extension(Time now, const LeaseExtensionReceived& in);
    void request_lease_extension(Time now);
    bool can_serve(Time now) const;
    TaskCounts make_task_counts();
    void on_job_cancelled(Time now, const std::string& job);
    void on_quota_changed(Time now, const TeamQuota& quota);
    void collect_outputs(Time now, Outputs& out);

    ClusterSettings settings_;
    SchedulingPolicy policy_;
    StoreRateLimiter rate_limiter_;
    OutboundRequests requests_;
    LeadershipLease lease_;
    JobRecordCache job_cache_;
    QuotaConfig quota_config_;
    JobService job_service_;
    JobStatusReader job_status_reader_;
    LeaseExtender lease_extender_;
    std::map<int, std::unique_ptr<PartitionLeader>> leaders_;
    PartitionMap partition_map_;
    CpuHeadroom cpu_headroom_;
    std::set<int> campaigns_;
    std::vector<InstanceType> types_;
    bool fetching_catalog_ = false;
    bool catalog_is_current_ =
        false; // the types are the cloud's own, not what another start heard of them
    bool reading_catalog_ = false;
    bool acquiring_lease_ = false;
    bool renewing_lease_ = false;
    bool reading_map_ = false;
    bool watching_map_ = false;
    bool reclaiming_home_ = false;
    std::uint64_t watch_from_ = 0;
    Time started_ = -1;
    Time next_catalog_ = 0;
    Time next_grant_ = 0;
    Time next_renew_ = 0;
    Time next_read_ = 0;
    Time next_watch_ = 0;
    Time next_reclaim_ = 0;
    Time last_heartbeat_ = 0;
    Time campaign_suspended_until_ = 0;
    double campaign_backoff_leases_ = kCampaignBackoffLeases; // doubles while no worker is heard
    std::set<std::string> reconnected_machines_; // machines that reported while it abstains
    Time last_store_response_ = -1e9;            // the last answer that was the state service's own
};

} // namespace scheduler
