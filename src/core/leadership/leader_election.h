// Decides which partitions this controller leads: reads and watches the partition map, campaigns
// for partitions without a leader, reclaims its home partition and resigns. The controller learns
// of the result through `Delegate` and owns the leaders themselves.
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
        // The term is in the lease and the partition map already.
        virtual void on_leadership_acquired(Time now, int partition) = 0;
        // The lease still has the term; it is removed when this returns.
        virtual void on_leadership_lost(int partition) = 0;
        virtual void on_partition_map_read(Time now) = 0;

      protected:
        ~Delegate() = default;
    };

    LeaderElection(const ClusterSettings& settings, OutboundRequests& requests,
                   LeadershipLease& lease, PartitionMap& partition_map, StoreContact& contact,
                   const LeaseExtender& lease_extender, const CampaignSuspension& suspension,
                   const InstanceTypeSource& instance_types, Delegate& delegate);

    // Reads the partition map when that is due, and keeps watching it.
    void follow_partition_map(Time now);
    // Reads the map now, unless a read is in flight.
    void read_partition_map_now(Time now);
    // Reads the map again after what has just happened; a read in flight may be older.
    void reread_partition_map(Time now);
    // A controller that has been up for a while asks for its home partition back.
    void reclaim_home_partition(Time now);

    bool leads_or_campaigns(int partition) const {
        return lease_.leads(partition) || campaigns_.contains(partition);
    }
    // The leader found that its leadership is gone, or has to be renewed under a later term.
    void resign_deposed(Time now, int partition);
    // Resigns from every partition and gives up the lease. `reason` goes to the log.
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
    std::uint64_t watch_revision_ = 0; // store revision; 0: none is known
    Time next_read_ = 0;
    Time next_watch_ = 0;
    Time next_reclaim_ = 0;
};

} // namespace scheduler
