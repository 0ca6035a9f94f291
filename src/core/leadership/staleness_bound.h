// Bounds how stale a leader's knowledge of cancelled jobs may be. A 200 response to a heartbeat
// renews the machine's worker lease, and a launch requires such a lease. Both may be sent only
// while the tasks of a cancellation that the leader does not know yet would still end within
// `cancel_s` at the end of that lease. See "From a cancellation to the last task" in
// docs/meetings.md. Times are seconds on this controller's steady clock.
#pragma once

#include <algorithm>

#include "core/leadership/leadership_lease.h"

namespace scheduler {

class StalenessBound {
  public:
    explicit StalenessBound(const ClusterSettings& settings) : bound_s_(bound_s(settings)) {}

    // The largest age, in seconds, of the knowledge when a lease is renewed or a task launched. The
    // worker counts its lease from when it sent the heartbeat, which is before the response. Clock
    // drift and timer granularity are subtracted.
    static double bound_s(const ClusterSettings& settings) {
        return settings.cancel_s * (1 - kMaxClockDrift) -
               settings.worker_lease_s * (1 + kMaxClockDrift) -
               kTimerSlackHeartbeats * settings.heartbeat_interval_s;
    }
    // The longest time, in seconds, that a watch may wait for a change, so that the knowledge stays
    // well within the bound when nothing changes.
    static double max_watch_s(const ClusterSettings& settings) {
        return std::clamp(bound_s(settings) / 6, settings.heartbeat_interval_s / 3,
                          settings.worker_lease_s / 3);
    }

    // Records that every cancellation that any controller had seen by `to` is known here.
    void advance(Time to) { known_until_ = std::max(known_until_, to); }
    Time known_until() const { return known_until_; }
    bool is_fresh(Time now) const { return now - known_until_ < bound_s_; }

  private:
    static constexpr double kTimerSlackHeartbeats = 1.0 / 6; // heartbeat intervals
    double bound_s_;
    Time known_until_ = -1e9; // nothing is known yet
};

} // namespace scheduler
