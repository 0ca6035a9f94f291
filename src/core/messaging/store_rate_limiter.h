// Shares out the state service's request and write limits, which all nodes use together.
#pragma once

#include "core/model/types.h"

namespace scheduler {

class StoreRateLimiter {
  public:
    enum class Use { renewal, user, progress, poll };

    StoreRateLimiter(double rps, double write_rps, int nodes);
    // Takes one request and `writes` changes, or says that this use must wait.
    bool try_acquire(Time now, Use use, int writes);
    // The most changes that one transaction of this use can ever have.
    int max_writes(Use use) const;
    // The service said 429: the other nodes use more than we thought.
    void on_throttled(Time now);

  private:
    void refill(Time now);

    double rps_;
    double write_rps_;
    double requests_;
    double writes_;
    Time last_ = 0;
    Time pause_until_ = 0;
};

} // namespace scheduler
