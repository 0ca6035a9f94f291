// Processes that end and are back at once. See "What outlives an end" in docs/design.md.
#include <gtest/gtest.h>

#include <cstdlib>

#include "core/parts.h"
#include "world.h"

namespace orchidlanding::test {
namespace {

// A node that is back before anybody has noticed owns as many machines as before, and asks all of
// them at once. Those that wait their turn in its own process were once taken for silent, released,
// and lost what they ran: 50 healthy machines at each restart of a fleet of 2,000.
TEST(RestartTakeover, ReleasesNoMachineThatHasOnlyWaitedToBeAsked) {
    World w({.nodes = 2, .run_s = 60, .limits = 40, .capacity = 100, .orders_at_once = 4});
    w.run_for(3);
    w.submit(0, w.job("req-1", 380, 2));
    w.run_for(30);
    ASSERT_GE(w.machines_up().size(), 90u);
    std::size_t before = w.logged("event=release");
    w.crash(0, 0.2);
    w.run_for(20);
    EXPECT_GE(w.logged("event=part_claimed"), 3u);
    EXPECT_GE(w.logged("event=part_settled"), 3u);
    EXPECT_EQ(w.logged("event=release"), before);
    w.run_for(200);
    EXPECT_TRUE(w.all_done("req-1"));
    for (std::uint32_t i = 0; i < 380; ++i) {
        EXPECT_EQ(w.starts({"req-1", i}), 1) << i;
    }
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

} // namespace
} // namespace orchidlanding::test
