// How stale a leader's knowledge of cancelled jobs is, and what that lets it do. A 200 to a
// heartbeat keeps the machine's tasks for one more worker lease, and a launch needs such a lease;
// so both may go out only while a cancellation that the leader does not know of cannot be so old
// that the lease would carry its tasks past `cancel_s`. See "From a cancellation to the last task"
// in docs/meetings.md. Times in seconds of this controller's steady clock.
#pragma once

#include <algorithm>

#include "core/leadership/leadership_lease.h"

namespace scheduler {

class StalenessBound {
  public:
    explicit StalenessBound(const ClusterSettings& settings) : bound_s_(bound_s(settings)) {}

    // How old the knowledge may be when a lease is renewed or a task launched, in seconds. The
    // worker counts its lease from the sending of the heartbeat, which is before the response;
    // clock drift and the granularity of timers are subtracted.
    static double bound_s(const ClusterSettings& settings) {
        return settings.cancel_s * (1 - kMaxClockDrift) -
               settings.worker_lease_s * (1 + kMaxClockDrift) -
               kTimerSlackHeartbeats * settings.heartbeat_interval_s;
    }
    // The longest that a watch may wait, in seconds, so that one which reports nothing because
    // nothing happens stays well within the bound.
    static double max_watch_s(const ClusterSettings& settings) {
        return std::clamp(bound_s(settings) / 6, settings.heartbeat_interval_s / 3,
                          settings.worker_lease_s / 3);
    }

    // Every cancellation that any controller had seen by `to` is known here.
    void advance(Time to) { known_until_ = std::max(known_until_, to); }
    Time known_until() const { return known_until_; }
    bool is_fresh(Time now) const { return now - known_until_ < bound_s_; }

  private:
    static constexpr double kTimerSlackHeartbeats = 1.0 / 6; // heartbeat intervals
    double bound_s_;
    Time known_until_ = -1e9; // nothing is known yet
};

} // namespace scheduler
