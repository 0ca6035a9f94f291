// Copies of requests that were carried out and answered, and arrive once more.
#pragma once

#include <functional>
#include <random>

#include "scale/event_loop.h"
#include "scale/options.h"

namespace scheduler::scale {

// Draws which requests arrive once more, and when. On the event loop's thread, which outlives it.
class LateCopies {
  public:
    // `latest_s`: a copy arrives at most so long after its request.
    LateCopies(EventLoop& loop, const Options& options, double latest_s, std::uint64_t seed);

    // Called when a request has been carried out. `deliver` carries it out again; nobody waits for
    // the response.
    void carried_out(std::function<void()> deliver);

  private:
    EventLoop& loop_;
    double share_;
    double latest_s_;
    std::mt19937_64 random_;
};

} // namespace scheduler::scale
