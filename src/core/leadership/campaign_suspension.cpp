#include "core/leadership/campaign_suspension.h"

namespace scheduler {

void CampaignSuspension::suspend(Time now) {
    suspended_until_ = now + backoff_leases_ * worker_lease_s_;
    backoff_leases_ *= 2;
    reconnected_machines_.clear();
}

void CampaignSuspension::on_heartbeat(Time now, const std::string& machine) {
    if (is_suspended(now)) {
        // Several machines reach this controller again, so it is no longer unreachable. Without
        // this, after a time in which no worker could reach anyone, all controllers took themselves
        // for unreachable, and no partition had a leader for two leases after the first heartbeat.
        reconnected_machines_.insert(machine);
        if (reconnected_machines_.size() >= kMachinesToReconnect) {
            suspended_until_ = now;
        }
    }
    backoff_leases_ = kInitialBackoffLeases;
}

} // namespace scheduler
