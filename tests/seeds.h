// Runs randomized tests with further seeds than those of CI: SCHEDULER_SEEDS=200 runs 200 of them,
// from SCHEDULER_FIRST_SEED on.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <cstdlib>
#include <string>

namespace scheduler::test {

inline int extra_seed_count() {
    const char* seeds = std::getenv("SCHEDULER_SEEDS");
    return seeds ? std::atoi(seeds) : 0;
}

// Skips the test if SCHEDULER_SEEDS is not set.
template <class Play> void run_extra_seeds(int default_first_seed, Play play) {
    if (extra_seed_count() == 0) {
        GTEST_SKIP() << "SCHEDULER_SEEDS is not set";
    }
    const char* from = std::getenv("SCHEDULER_FIRST_SEED");
    int first = from ? std::atoi(from) : default_first_seed;
    for (int seed = first; seed < first + extra_seed_count(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        play(static_cast<std::uint64_t>(seed));
    }
}

} // namespace scheduler::test
