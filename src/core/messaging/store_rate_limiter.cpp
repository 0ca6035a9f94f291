#include "core/messaging/store_rate_limiter.h"

#include <algorithm>

namespace scheduler {

namespace {
// A controller may use more than an even proportion, since load is rarely even; a 429 corrects
// that.
constexpr double kOvercommit = 1.8;
// After a 429: the most that is left of a second's requests, and how long less urgent uses pause.
constexpr double kRequestsLeftOnThrottle = 0.3;
constexpr double kThrottlePause_s = 0.5;

// What a use leaves in the buckets for more urgent ones, as a fraction of one second's worth.
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

StoreRateLimiter::StoreRateLimiter(double requests_per_s, double writes_per_s, int controllers)
    : requests_per_s_(requests_per_s * std::min(1.0, kOvercommit / std::max(1, controllers))),
      writes_per_s_(writes_per_s * std::min(1.0, kOvercommit / std::max(1, controllers))),
      requests_(requests_per_s_), writes_(writes_per_s_) {}

void StoreRateLimiter::refill(Time now) {
    double passed = std::max(0.0, now - last_refill_);
    last_refill_ = std::max(last_refill_, now); // a time gone back would be counted twice
    requests_ = std::min(requests_per_s_, requests_ + passed * requests_per_s_);
    writes_ = std::min(writes_per_s_, writes_ + passed * writes_per_s_);
}

bool StoreRateLimiter::try_acquire(Time now, Use use, int writes) {
    refill(now);
    if (use == Use::renewal) { // never held back: without the store lease nothing else is of use
        requests_ -= 1;
        writes_ -= writes;
        return true;
    }
    if (use != Use::user && now < pause_until_) {
        return false;
    }
    if (requests_ - 1 < reserve(use) * requests_per_s_) {
        return false;
    }
    // A limit below one write a second still lets one through when nothing else is written.
    double writes_reserve = std::min(reserve(use) * writes_per_s_, writes_per_s_ - 1);
    if (writes > 0 && writes_ - writes < writes_reserve) {
        return false;
    }
    requests_ -= 1;
    writes_ -= writes;
    return true;
}

int StoreRateLimiter::max_writes(Use use) const {
    return std::max(1, static_cast<int>((1 - reserve(use)) * writes_per_s_));
}

void StoreRateLimiter::on_throttled(Time now) {
    refill(now);
    requests_ = std::min(requests_, kRequestsLeftOnThrottle * requests_per_s_);
    writes_ = std::min(writes_, 0.0);
    pause_until_ = now + kThrottlePause_s;
}

} // namespace scheduler
