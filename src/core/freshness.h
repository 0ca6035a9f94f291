// How far an owner knows which jobs users were told are cancelled, and what that lets it do. A 200
// to a report keeps the machine's tasks for one more lease, and a start needs such a lease; so both
// may go out only while a cancellation that the owner does not know of cannot be so old that the
// lease would carry its tasks past `cancel_s`. See "From a cancellation to the last task" in
// docs/meetings.md. Times in seconds of this node's steady clock.
#pragma once

#include <algorithm>

#include "core/authority.h"

namespace orchidlanding {

class Freshness {
  public:
    explicit Freshness(const Facts& facts) : bound_s_(bound_s(facts)) {}

    // How old the knowledge may be when a lease is renewed or a task started. The worker counts its
    // lease from the sending of the report, before the answer; drift and the steps of timers are
    // taken off.
    static double bound_s(const Facts& facts) {
        return facts.cancel_s * (1 - kDrift) - facts.lease_s * (1 + kDrift) -
               kSteps * facts.report_s;
    }
    // How long a watch may wait at the most, so that one which hears nothing because nothing
    // happens keeps well within the bound.
    static double watch_s(const Facts& facts) {
        return std::clamp(bound_s(facts) / 6, facts.report_s / 3, facts.lease_s / 3);
    }

    // Every cancellation that any node had seen by then is known here.
    void complete(Time to) { to_ = std::max(to_, to); }
    Time to() const { return to_; }
    bool enough(Time now) const { return now - to_ < bound_s_; }

  private:
    static constexpr double kSteps = 1.0 / 6; // report times
    double bound_s_;
    Time to_ = -1e9; // nothing is known yet
};

} // namespace orchidlanding
