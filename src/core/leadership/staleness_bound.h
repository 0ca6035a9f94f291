// How far an owner knows which jobs users were told are cancelled, and what that lets it do. A 200
// to a report keeps the machine's tasks for one more lease, and a start needs such a lease; so both
// may go out only while a cancellation that the owner does not know of cannot be so old that the
// lease would carry its tasks past `cancel_s`. See "From a cancellation to the last task" in
// docs/meetings.md. Times in seconds of this node's steady clock.
#pragma once

#include <algorithm>

#include "core/leadership/leadership_lease.h"

namespace scheduler {

class StalenessBound {
  public:
    explicit StalenessBound(const ClusterSettings& settings) : bound_s_(bound_s(settings)) {}

    // How old the knowledge may be when a lease is renewed or a task started. The worker counts its
    // lease from the sending of the report, before the answer; drift and the steps of timers are
    // taken off.
    static double bound_s(const ClusterSettings& settings) {
        return settings.cancel_s * (1 - kMaxClockDrift) -
               settings.worker_lease_s * (1 + kMaxClockDrift) -
               kTimerSlackHeartbeats * settings.heartbeat_interval_s;
    }
    // How long a watch may wait at the most, so that one which hears nothing because nothing
    // happens keeps well within the bound.
    static double max_watch_s(const ClusterSettings& settings) {
        return std::clamp(bound_s(settings) / 6, settings.heartbeat_interval_s / 3,
                          settings.worker_lease_s / 3);
    }

    // Every cancellation that any node had seen by then is known here.
    void advance(Time to) { known_until_ = std::max(known_until_, to); }
    Time known_until() const { return known_until_; }
    bool is_fresh(Time now) const { return now - known_until_ < bound_s_; }

  private:
    static constexpr double kTimerSlackHeartbeats = 1.0 / 6; // report times
    double bound_s_;
    Time known_until_ = -1e9; // nothing is known yet
};

} // namespace scheduler
