// Suspends the campaigns of a controller that workers cannot reach, so that other controllers can
// become leaders of its partitions. Each suspension lasts twice as long as the one before, until a
// worker's heartbeat arrives.
#pragma once

#include <set>
#include <string>

#include "core/model/types.h"

namespace scheduler {

class CampaignSuspension {
  public:
    explicit CampaignSuspension(const ClusterSettings& settings)
        : worker_lease_s_(settings.worker_lease_s) {}

    bool is_suspended(Time now) const { return now < suspended_until_; }
    // Starts a suspension, because workers cannot reach this controller.
    void suspend(Time now);
    // A worker's heartbeat has arrived, whether or not this controller can serve the
    // machine. Resets the backoff, and ends the suspension once enough machines have reconnected.
    void on_heartbeat(Time now, const std::string& machine);

  private:
    static constexpr double kInitialBackoffLeases = 2;     // in worker leases
    static constexpr std::size_t kMachinesToReconnect = 3; // distinct machines

    double worker_lease_s_;
    Time suspended_until_ = 0;
    double backoff_leases_ = kInitialBackoffLeases; // length of the next suspension
    std::set<std::string> reconnected_machines_;    // machines heard during this suspension
};

} // namespace scheduler
