#include "simulation/message_copies.h"

#include <utility>

namespace scheduler::test {

namespace {
constexpr double kEarliestCopyS = 0.1;
constexpr double kLatestCopyLeases = 2;
// After a new leader's election, before and after its first contact with most machines.
constexpr double kLatestForLeaderHeartbeats = 1.5;
// After the restart of a controller.
constexpr double kEarliestForRestartS = 0.02;
constexpr double kLatestForRestartS = 0.3;
} // namespace

MessageCopies::MessageCopies(const SimulationOptions& options, const RandomFaults& random_faults,
                             EventQueue& clock, RandomSource& random)
    : options_(options), random_faults_(random_faults), clock_(clock), random_(random) {}

void MessageCopies::carried_out(Deliver deliver) {
    if (!random_.fault(random_faults_.copies)) {
        return;
    }
    switch (random_.index(3)) {
    case 0: for_next_leader_.push_back(std::move(deliver)); return;
    case 1: for_next_restart_.push_back(std::move(deliver)); return;
    default:
        clock_.after(random_.uniform(kEarliestCopyS, kLatestCopyLeases * options_.lease_s),
                     std::move(deliver));
    }
}

void MessageCopies::leader_began() {
    for (auto& deliver : std::exchange(for_next_leader_, {})) {
        clock_.after(random_.uniform(0, kLatestForLeaderHeartbeats * options_.report_s),
                     std::move(deliver));
    }
}

void MessageCopies::controller_restarted() {
    for (auto& deliver : std::exchange(for_next_restart_, {})) {
        clock_.after(random_.uniform(kEarliestForRestartS, kLatestForRestartS), std::move(deliver));
    }
}

} // namespace scheduler::test
