#include "core/leadership/campaign_suspension.h"

namespace scheduler {

void CampaignSuspension::suspend(Time now) {
    suspended_until_ = now + backoff_leases_ * worker_lease_s_;
    backoff_leases_ *= 2;
    reconnected_machines_.clear();
}

void CampaignSuspension::on_heartbeat(Time now, const std::string& machine) {
    if (is_suspended(now)) {
        // Once several machines reach this controller again, it is no longer unreachable. Without
        // this early end, after an outage between all workers and all controllers, every
        // controller would consider itself unreachable, and no partition would have a leader for
        // two worker leases after the first heartbeat.
        reconnected_machines_.insert(machine);
        if (reconnected_machines_.size() >= kMachinesToReconnect) {
            suspended_until_ = now;
        }
    }
    backoff_leases_ = kInitialBackoffLeases;
}

} // namespace scheduler
