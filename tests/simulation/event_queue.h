// The fake clock of a simulation and the work that is scheduled on it.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "core/model/types.h"

namespace scheduler::test {

// Runs scheduled work in the order of time; work of the same time in the order of its scheduling.
class EventQueue {
  public:
    // Seconds since the start of the simulation.
    Time now() const { return now_; }

    // Schedules `work` at `when`, or now if that is over.
    void at(Time when, std::function<void()> work);
    // Schedules `work` `seconds` from now.
    void after(double seconds, std::function<void()> work) { at(now_ + seconds, std::move(work)); }
    // Schedules `work` every `seconds`, first after that time, until the end of the simulation.
    void every(double seconds, std::function<void()> work);

    // Runs all work up to and including `end`; the clock stands there then.
    void run_until(Time end);

  private:
    struct Event {
        Time time;
        std::uint64_t sequence;
        std::function<void()> work;
        // The queue's top is the largest_jobs: the earliest.
        bool operator<(const Event& other) const;
    };

    Time now_ = 0;
    std::uint64_t last_sequence_ = 0;
    std::priority_queue<Event> events_;
};

} // namespace scheduler::test
