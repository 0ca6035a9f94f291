#include "core/messaging/store_rate_limiter.h"

#include <algorithm>

namespace scheduler {

namespace {
// A controller may use this multiple of an even share, because load is rarely even. If the total
// exceeds the limit, the store responds with 429 and on_throttled reduces the rate.
constexpr double kOvercommitFactor = 1.8;
// After a 429: most requests left in the bucket, in seconds of the request rate, and how long the
// less urgent uses pause.
constexpr double kMaxRequestsAfterThrottle_s = 0.3;
constexpr double kThrottlePause_s = 0.5;

// Returns the fraction of the buckets' size that this use leaves for more urgent uses.
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
    : requests_per_s_(requests_per_s * std::min(1.0, kOvercommitFactor / std::max(1, controllers))),
      writes_per_s_(writes_per_s * std::min(1.0, kOvercommitFactor / std::max(1, controllers))),
      requests_(requests_per_s_), writes_(writes_per_s_) {}

void StoreRateLimiter::refill(Time now) {
    double passed = std::max(0.0, now - last_refill_);
    last_refill_ = std::max(last_refill_, now); // a clock that goes back must not refill twice
    requests_ = std::min(requests_per_s_, requests_ + passed * requests_per_s_);
    writes_ = std::min(writes_per_s_, writes_ + passed * writes_per_s_);
}

bool StoreRateLimiter::try_acquire(Time now, Use use, int writes) {
    refill(now);
    if (use == Use::renewal) { // never delayed: without the store lease the controller cannot act
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
    // With a limit below one write per second, one write is still admitted when the bucket is full.
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
    requests_ = std::min(requests_, kMaxRequestsAfterThrottle_s * requests_per_s_);
    writes_ = std::min(writes_, 0.0);
    pause_until_ = now + kThrottlePause_s;
}

} // namespace scheduler
