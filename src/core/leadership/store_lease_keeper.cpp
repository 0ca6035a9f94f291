#include "core/leadership/store_lease_keeper.h"

namespace scheduler {

namespace {
// Renewals, and retries of a failed renewal, per time to live of the lease.
constexpr int kRenewalsPerTtl = 8;
constexpr int kRetriesPerTtl = 24;
} // namespace

StoreLeaseKeeper::StoreLeaseKeeper(const ClusterSettings& settings, OutboundRequests& requests,
                                   LeadershipLease& lease, StoreContact& contact,
                                   const CampaignSuspension& suspension, Delegate& delegate)
    : heartbeat_interval_s_(settings.heartbeat_interval_s), requests_(requests), lease_(lease),
      contact_(contact), suspension_(suspension), delegate_(delegate) {}

void StoreLeaseKeeper::tick(Time now) {
    if (lease_.has_store_lease()) {
        renew(now);
    } else {
        acquire(now);
    }
}

void StoreLeaseKeeper::acquire(Time now) {
    if (acquiring_ || now < next_acquire_ || suspension_.is_suspended(now)) {
        return;
    }
    acquiring_ = true;
    next_acquire_ = now + heartbeat_interval_s_ / 3;
    requests_.send_to_store(now, StoreRateLimiter::Use::renewal, StoreLeaseGrant{lease_.ttl_s()},
                            [this, sent = now](Time at, OutboundResponse& response) {
                                acquiring_ = false;
                                on_granted(at, sent, response);
                            });
}

void StoreLeaseKeeper::on_granted(Time now, Time sent, const OutboundResponse& response) {
    if (response.status != 200) {
        return;
    }
    contact_.on_response(now);
    lease_.on_granted(response.lease, sent);
    next_renewal_ = sent + lease_.ttl_s() / kRenewalsPerTtl;
    delegate_.on_store_lease_granted(now);
}

void StoreLeaseKeeper::renew(Time now) {
    if (renewing_ || now < next_renewal_) {
        return;
    }
    renewing_ = true;
    std::uint64_t lease = lease_.store_lease();
    requests_.send_to_store(now, StoreRateLimiter::Use::renewal, StoreLeaseRenewal{lease},
                            [this, sent = now, lease](Time at, OutboundResponse& response) {
                                renewing_ = false;
                                if (lease_.store_lease() == lease) {
                                    on_renewed(at, sent, response);
                                }
                            });
}

void StoreLeaseKeeper::on_renewed(Time now, Time sent, const OutboundResponse& response) {
    if (response.status == 200) {
        lease_.on_renewed(sent);
        contact_.on_response(now);
        next_renewal_ = sent + lease_.ttl_s() / kRenewalsPerTtl;
    } else if (response.status == 404) {
        contact_.on_response(now);
        delegate_.on_store_lease_ended(now);
    } else {
        next_renewal_ = now + lease_.ttl_s() / kRetriesPerTtl;
    }
}

} // namespace scheduler
