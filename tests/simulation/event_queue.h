// The simulated clock and the work that is scheduled on it.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "core/model/types.h"

namespace scheduler::test {

// Runs scheduled work in order of time, and in order of scheduling where times are equal.
class EventQueue {
  public:
    // Seconds since the start of the simulation.
    Time now() const { return now_; }

    // Schedules `work` at `when`, or now if `when` is in the past.
    void at(Time when, std::function<void()> work);
    // Schedules `work` `seconds` from now.
    void after(double seconds, std::function<void()> work) { at(now_ + seconds, std::move(work)); }
    // Schedules `work` every `seconds`, starting `seconds` from now, until the end of the
    // simulation.
    void every(double seconds, std::function<void()> work);

    // Runs all work up to and including `end`, and sets the clock to `end`.
    void run_until(Time end);

  private:
    struct Event {
        Time time;
        std::uint64_t sequence;
        std::function<void()> work;
        // Inverted, because the queue's top is the largest element: it has to be the earliest
        // event.
        bool operator<(const Event& other) const;
    };

    Time now_ = 0;
    std::uint64_t last_sequence_ = 0;
    std::priority_queue<Event> events_;
};

} // namespace scheduler::test
