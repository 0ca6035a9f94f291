// Limits a controller's rate of store requests and writes, so that all controllers together stay
// within the store's limits.
#pragma once

#include "core/model/types.h"

namespace scheduler {

// Two token buckets, for requests and for writes (changed keys), each with a capacity of one second
// at its rate. Each use leaves a reserve for more urgent uses.
class StoreRateLimiter {
  public:
    // The purpose of a store request: store lease and leadership, user requests, job progress, or
    // job status polls.
    enum class Use { renewal, user, progress, poll };

    // The store's limits per second, and the number of controllers that share them.
    StoreRateLimiter(double requests_per_s, double writes_per_s, int controllers);
    // Takes one request and `writes` writes from the buckets. Returns false, taking nothing, if
    // this use must wait.
    bool try_acquire(Time now, Use use, int writes);
    // Returns the most writes that one transaction of this use can have.
    int max_writes(Use use) const;
    // To be called when the store responds with 429: the controllers together exceed its limits.
    void on_throttled(Time now);

  private:
    void refill(Time now);

    double requests_per_s_; // refill rates, and capacities, of the buckets
    double writes_per_s_;
    double requests_; // tokens in the buckets; negative after renewals or large writes
    double writes_;
    Time last_refill_ = 0;
    Time pause_until_ = 0; // for all but the most urgent uses
};

} // namespace scheduler
