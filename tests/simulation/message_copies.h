// Copies of requests that were carried out and answered, and arrive once more.
#pragma once

#include <functional>
#include <vector>

#include "simulation/event_queue.h"
#include "simulation/options.h"
#include "simulation/random_source.h"

namespace scheduler::test {

// Draws which requests arrive once more, and when: between 0.1 s and two worker leases later, when
// the next partition leader begins, or when the next controller has restarted.
class MessageCopies {
  public:
    using Deliver = std::function<void()>;

    MessageCopies(const SimulationOptions& options, const RandomFaults& random_faults,
                  EventQueue& clock, RandomSource& random);

    // Called when a request has been carried out. `deliver` delivers it again; nobody waits for the
    // response.
    void carried_out(Deliver deliver);
    // Deliver the copies that were kept for this event.
    void leader_began();
    void controller_restarted();

  private:
    const SimulationOptions& options_;
    const RandomFaults& random_faults_;
    EventQueue& clock_;
    RandomSource& random_;
    std::vector<Deliver> for_next_leader_;
    std::vector<Deliver> for_next_restart_;
};

} // namespace scheduler::test
