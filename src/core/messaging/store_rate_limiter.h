// Keeps a controller's use of the store within the request and write limits that all controllers
// use together.
#pragma once

#include "core/model/types.h"

namespace scheduler {

// Two token buckets of one second's worth each: requests and writes (changed keys). Each use leaves
// a reserve for the more urgent ones.
class StoreRateLimiter {
  public:
    // What a request is for: store lease and leadership, requests of users, progress of jobs, polls
    // of jobs.
    enum class Use { renewal, user, progress, poll };

    // The store's limits a second, and how many controllers use them.
    StoreRateLimiter(double requests_per_s, double writes_per_s, int controllers);
    // Takes one request and `writes` writes; false: this use must wait, nothing is taken.
    bool try_acquire(Time now, Use use, int writes);
    // The most writes that one transaction of this use can ever have.
    int max_writes(Use use) const;
    // The store answered 429: the other controllers use more than their even proportion.
    void on_throttled(Time now);

  private:
    void refill(Time now);

    double requests_per_s_; // rates at which the buckets fill, and their sizes
    double writes_per_s_;
    double requests_; // left in the buckets; below 0: overdrawn by renewals or large writes
    double writes_;
    Time last_refill_ = 0;
    Time pause_until_ = 0; // for all but the most urgent uses
};

} // namespace scheduler
