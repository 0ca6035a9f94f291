// Acquires this controller's lease at the store and renews it. The leaderships of all partitions
// that it leads are held under that lease.
#pragma once

#include "core/leadership/campaign_suspension.h"
#include "core/leadership/leadership_lease.h"
#include "core/leadership/store_contact.h"
#include "core/messaging/outbound_requests.h"

namespace scheduler {

class StoreLeaseKeeper {
  public:
    class Delegate {
      public:
        virtual void on_store_lease_granted(Time now) = 0;
        // The lease no longer exists at the store: all leaderships under it have ended.
        virtual void on_store_lease_ended(Time now) = 0;

      protected:
        ~Delegate() = default;
    };

    StoreLeaseKeeper(const ClusterSettings& settings, OutboundRequests& requests,
                     LeadershipLease& lease, StoreContact& contact,
                     const CampaignSuspension& suspension, Delegate& delegate);

    // Requests a lease or renews it, if that is due.
    void tick(Time now);

  private:
    void acquire(Time now);
    void on_granted(Time now, Time sent, const OutboundResponse& response);
    void renew(Time now);
    void on_renewed(Time now, Time sent, const OutboundResponse& response);

    double heartbeat_interval_s_;
    OutboundRequests& requests_;
    LeadershipLease& lease_;
    StoreContact& contact_;
    const CampaignSuspension& suspension_;
    Delegate& delegate_;
    bool acquiring_ = false;
    bool renewing_ = false;
    Time next_acquire_ = 0;
    Time next_renewal_ = 0;
};

} // namespace scheduler
