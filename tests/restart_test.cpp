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

// The owners of the machines fence the slots that the process before had got. The new one places no
// older task until these have shown, which by the workers' own reports took two report times.
TEST(RestartTakeover, IsSettledBeforeTheWorkersReportByThemselves) {
    World w({.nodes = 3, .run_s = 60, .limits = 20, .capacity = 40});
    w.run_for(3);
    w.submit(0, w.job("req-1", 300, 2));
    w.run_for(5);
    int node = w.owner(part_of_team(w.facts(0), "red"));
    // Right after it has got slots that it has not used.
    bool granted = false;
    w.after_output = [&](int, const Call*, const Answer* a) -> std::optional<double> {
        const auto* reply = a ? std::get_if<ExchangeReply>(&a->body) : nullptr;
        if (!granted && reply && !reply->grants.empty()) {
            granted = true;
            w.at(w.now(), [&] { w.crash(node, 0.1); });
        }
        return {};
    };
    std::size_t settled = w.logged("event=part_settled");
    for (int k = 0; k < 40 && !granted; ++k) {
        w.run_for(0.5);
    }
    ASSERT_TRUE(granted);
    w.run_for(w.facts(0).report_s / 2);
    EXPECT_GT(w.logged("event=part_settled"), settled);
    w.run_for(300);
    EXPECT_TRUE(w.all_done("req-1"));
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

// ---- What it costs users ----

// The types of machines are the state service's to tell when the cloud is slow.
TEST(RestartUsers, AreServedBeforeTheCloudHasAnswered) {
    World w({.nodes = 3});
    w.run_for(5);
    w.intercept = [](int, const CallBody& call) { return std::holds_alternative<Catalog>(call); };
    w.crash(1, 0.1);
    w.run_for(0.4);
    EXPECT_EQ(w.probe(1), 200);
    RequestId request = w.submit(1, w.job("req-1", 4));
    w.run_for(0.2);
    EXPECT_EQ(w.answers.at(request).status, 201);
    EXPECT_EQ(w.owner(1), 1);
    w.run_for(60);
    EXPECT_TRUE(w.all_done("req-1"));
}

// A start of all in an outage: there is no node that could do better, and one that says it is not
// ready is let wait by the load balancer long after the outage.
TEST(RestartUsers, FindAllNodesReadyAfterAStartInAnOutageThatIsEveryones) {
    World w({.nodes = 3});
    w.run_for(5);
    w.state_down(true);
    for (int n = 0; n < 3; ++n) {
        w.crash(n, 0.3);
    }
    w.run_for(1.2);
    for (int n = 0; n < 3; ++n) {
        EXPECT_EQ(w.probe(n), 200) << n;
        RequestId request = w.submit(n, w.job("req-1", 4));
        w.run_for(0.2);
        EXPECT_EQ(w.answers.at(request).status, 503);
        EXPECT_GT(w.answers.at(request).retry_after_s, 0);
    }
    w.state_down(false);
    w.run_for(1);
    RequestId request = w.submit(2, w.job("req-1", 4));
    w.run_for(0.2);
    EXPECT_EQ(w.answers.at(request).status, 201);
}

TEST(RestartUsers, AreKeptFromANodeThatStartsAndIsAloneRefused) {
    World w({.nodes = 3});
    w.run_for(5);
    w.state_refuses(1, true);
    w.crash(1, 0.3);
    for (int k = 0; k < 20; ++k) {
        w.run_for(0.5);
        EXPECT_EQ(w.probe(1), 503) << k;
        EXPECT_EQ(w.probe(0), 200) << k;
    }
}

} // namespace
} // namespace orchidlanding::test
