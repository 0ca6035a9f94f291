// A rate limit.
#pragma once

#include <algorithm>

#include "core/model/types.h"

namespace scheduler::scale {

// Allows `rate` a second, and bursts of `burst_s` seconds' worth. Full at the beginning.
class TokenBucket {
  public:
    TokenBucket(double rate, double burst_s)
        : rate_(rate), capacity_(rate * burst_s), available_(capacity_) {}

    // Takes `n` tokens. False: there are not as many, none was taken.
    bool try_take(Time at, double n) {
        available_ = std::min(capacity_, available_ + (at - refilled_) * rate_);
        refilled_ = at;
        if (available_ < n) {
            return false;
        }
        available_ -= n;
        return true;
    }

  private:
    double rate_;
    double capacity_;
    double available_;
    Time refilled_ = 0;
};

} // namespace scheduler::scale
