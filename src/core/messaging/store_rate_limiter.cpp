#include "core/messaging/store_rate_limiter.h"

#include <algorithm>

namespace scheduler {

namespace {
// A node may use more than an even share, since load is rarely even; a 429 corrects us.
constexpr double kShare = 1.8;
// What each use leaves in the bucket for the uses before it, as a part of one second's worth.
constexpr double reserve(StoreRateLimiter::Use use) {
    switch (use) {
    case StoreRateLimiter::Use::renewal: return 0;
    case StoreRateLimiter::Use::user: return 0.05;
    case StoreRateLimiter::Use::progress: return 0.25;
    case StoreRateLimiter::Use::poll: return 0.15;
    }
    return 0;
}
} // namespace

StoreRateLimiter::StoreRateLimiter(double rps, double write_rps, int nodes)
    : rps_(rps * std::min(1.0, kShare / std::max(1, nodes))),
      write_rps_(write_rps * std::min(1.0, kShare / std::max(1, nodes))), requests_(rps_),
      writes_(write_rps_) {}

void StoreRateLimiter::refill(Time now) {
    double passed = std::max(0.0, now - last_);
    last_ = std::max(last_, now); // a time gone back would be counted twice
    requests_ = std::min(rps_, requests_ + passed * rps_);
    writes_ = std::min(write_rps_, writes_ + passed * write_rps_);
}

bool StoreRateLimiter::try_acquire(Time now, Use use, int writes) {
    refill(now);
    if (use == Use::renewal) { // never held back: without the lease nothing else is of use
        requests_ -= 1;
        writes_ -= writes;
        return true;
    }
    if (use != Use::user && now < pause_until_) {
        return false;
    }
    if (requests_ - 1 < reserve(use) * rps_) {
        return false;
    }
    // A limit below one change a second still lets one through when nothing else is written.
    double left = std::min(reserve(use) * write_rps_, write_rps_ - 1);
    if (writes > 0 && writes_ - writes < left) {
        return false;
    }
    requests_ -= 1;
    writes_ -= writes;
    return true;
}

int StoreRateLimiter::max_writes(Use use) const {
    return std::max(1, static_cast<int>((1 - reserve(use)) * write_rps_));
}

void StoreRateLimiter::on_throttled(Time now) {
    refill(now);
    requests_ = std::min(requests_, 0.3 * rps_);
    writes_ = std::min(writes_, 0.0);
    pause_until_ = now + 0.5;
}

} // namespace scheduler
