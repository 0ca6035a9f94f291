// Keeps a controller that workers cannot reach from campaigning for partitions for a while, so that
// other controllers get to lead them. The duration doubles until a worker is heard.
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
    // Workers do not reach this controller.
    void suspend(Time now);
    // A worker's heartbeat arrived, whether or not this controller can serve it.
    void on_heartbeat(Time now, const std::string& machine);

  private:
    static constexpr double kInitialBackoffLeases = 2;     // in worker leases
    static constexpr std::size_t kMachinesToReconnect = 3; // distinct machines

    double worker_lease_s_;
    Time suspended_until_ = 0;
    double backoff_leases_ = kInitialBackoffLeases; // of the next suspension
    std::set<std::string> reconnected_machines_;    // heard during the present suspension
};

} // namespace scheduler
