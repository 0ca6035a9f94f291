// Decides which partitions this controller leads: reads and watches the partition map, campaigns
// for partitions without a leader, reclaims its home partition and resigns. Reports each change
// through `Delegate`; the controller owns the partition leaders.
#pragma once

#include <set>

#include "core/leadership/campaign_suspension.h"
#include "core/leadership/leadership_lease.h"
#include "core/leadership/lease_extender.h"
#include "core/leadership/partition_map.h"
#include "core/leadership/store_contact.h"
#include "core/messaging/instance_type_source.h"

namespace scheduler {

class LeaderElection {
  public:
    class Delegate {
      public:
        // Called after the term has been added to the lease and the partition map.
        virtual void on_leadership_acquired(Time now, int partition) = 0;
        // Called before the term is removed from the lease.
        virtual void on_leadership_lost(int partition) = 0;
        virtual void on_partition_map_read(Time now) = 0;

      protected:
        ~Delegate() = default;
    };

    LeaderElection(const ClusterSettings& settings, OutboundRequests& requests,
                   LeadershipLease& lease, PartitionMap& partition_map, StoreContact& contact,
                   const LeaseExtender& lease_extender, const CampaignSuspension& suspension,
                   const InstanceTypeSource& instance_types, Delegate& delegate);

    // Reads the partition map if a read is due, and keeps a watch on it in flight.
    void follow_partition_map(Time now);
    // Reads the map now, unless a read is in flight.
    void read_partition_map_now(Time now);
    // Reads the map again because it has just changed. If a read is in flight, which may return an
    // older state, another one follows at the next call of follow_partition_map.
    void reread_partition_map(Time now);
    // Requests the home partition back from another leader, if this controller has been up for at
    // least one worker lease.
    void reclaim_home_partition(Time now);

    bool leads_or_campaigns(int partition) const {
        return lease_.leads(partition) || campaigns_.contains(partition);
    }
    // Resigns from the partition, because its leader has found that another leadership has begun or
    // that a later term is needed.
    void resign_deposed(Time now, int partition);
    // Resigns from every partition and drops the lease. `reason` is logged.
    void resign_all(Time now, const char* reason);

  private:
    void read_partition_map(Time now);
    void watch_partition_map(Time now);
    void on_watch_response(Time now, const OutboundResponse& response);
    void campaign(Time now);
    bool may_campaign_for(Time now, int partition) const;
    void campaign_for(Time now, int partition);
    StoreTransaction campaign_transaction(int partition) const;
    void on_elected(Time now, int partition, std::uint64_t term);
    std::vector<int> partitions_led_from_home() const;
    void reassign_shards_of(StoreTransaction& transaction, int partition) const;
    bool may_reclaim_home(Time now) const;
    void hand_back(Time now, int partition);
    void resign(int partition, const char* reason);

    const ClusterSettings& settings_;
    OutboundRequests& requests_;
    LeadershipLease& lease_;
    PartitionMap& partition_map_;
    StoreContact& contact_;
    const LeaseExtender& lease_extender_;
    const CampaignSuspension& suspension_;
    const InstanceTypeSource& instance_types_;
    Delegate& delegate_;
    std::set<int> campaigns_; // partitions whose campaign is in flight
    bool reading_map_ = false;
    bool watching_map_ = false;
    bool reclaiming_home_ = false;
    std::uint64_t watch_revision_ = 0; // store revision; 0: unknown
    Time next_read_ = 0;
    Time next_watch_ = 0;
    Time next_reclaim_ = 0;
};

} // namespace scheduler
