// Starts after a confirmed cancellation: none wherever the owner can be reached. See "Starts after
// a cancellation" in docs/meetings.md.
#include <gtest/gtest.h>

#include "core/jobs/cancellation_broadcast.h"
#include "core/model/partition_assignment.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

// The cancellation broadcasts against scripted siblings.
struct Notices {
    static ClusterSettings cluster_settings() {
        ClusterSettings settings;
        settings.node = "n0";
        settings.partitions = {{"n0", "a"}, {"n1", "a"}, {"n2", "b"}};
        settings.heartbeat_interval_s = 6;
        return settings;
    }
    StoreRateLimiter budget{100, 20, 3};
    OutboundRequests calls{budget, 1};
    CancellationBroadcast cancellation_broadcasts{cluster_settings(), calls};
    std::map<std::string, Time> confirmed;
    std::map<std::string, OutboundRequestId> out; // by node
    std::map<std::string, std::vector<std::string>> last;

    void tell(Time now, const std::string& job) {
        cancellation_broadcasts.broadcast(now, job, [this, job](Time at) { confirmed[job] = at; });
        collect();
    }
    void answer(Time now, const std::string& node, int status = 200) {
        OutboundResponse response;
        response.request_id = out.at(node);
        response.status = status;
        out.erase(node);
        calls.handle_response(now, response);
        collect();
    }
    void flush(Time now) {
        cancellation_broadcasts.flush(now);
        collect();
    }
    void collect() {
        Outputs o;
        calls.drain_into(o);
        for (const auto& c : o.requests) {
            const auto& call = std::get<CancellationCall>(c.body);
            EXPECT_FALSE(out.contains(call.node)) << "one at a time";
            out[call.node] = c.id;
            last[call.node] = call.jobs;
        }
    }
};

TEST(CancelNotices, TheUserIsToldOnceAllSiblingsHaveAnswered) {
    Notices n;
    n.tell(0, "req-1");
    n.answer(0.01, "n1");
    EXPECT_TRUE(n.confirmed.empty());
    n.answer(0.02, "n2");
    EXPECT_EQ(n.confirmed.at("req-1"), 0.02);
}

TEST(CancelNotices, AreGatheredWhileACallIsUnderWay) {
    Notices n;
    n.tell(0, "req-1");
    n.tell(0.01, "req-2");
    n.tell(0.02, "req-3");
    n.answer(0.03, "n1");
    EXPECT_EQ(n.last.at("n1"), (std::vector<std::string>{"req-2", "req-3"}));
    n.answer(0.03, "n2");
    EXPECT_EQ(n.confirmed.size(), 1u);
    n.answer(0.04, "n1");
    n.answer(0.05, "n2");
    EXPECT_EQ(n.confirmed.size(), 3u);
    EXPECT_TRUE(n.out.empty());
}

TEST(CancelNotices, ASiblingThatIsSilentIsWaitedForOnceAndStillTold) {
    Notices n;
    n.tell(0, "req-1");
    n.answer(0.01, "n1");
    n.flush(0.49);
    EXPECT_TRUE(n.confirmed.empty());
    n.flush(0.5); // a twelfth of a report time
    EXPECT_EQ(n.confirmed.at("req-1"), 0.5);
    n.tell(1, "req-2");
    n.answer(1.01, "n1");
    EXPECT_EQ(n.confirmed.at("req-2"), 1.01);
    n.answer(3, "n2", 0); // given up
    EXPECT_EQ(n.last.at("n2"), std::vector<std::string>{"req-2"});
    n.answer(3.1, "n2");
    n.tell(3.2, "req-3"); // it is heard again
    n.answer(3.21, "n1");
    EXPECT_FALSE(n.confirmed.contains("req-3"));
    n.answer(3.25, "n2");
    EXPECT_EQ(n.confirmed.at("req-3"), 3.25);
}

TEST(CancelNotices, ANodeThatRefusesCallsIsNotWaitedFor) {
    Notices n;
    n.tell(0, "req-1");
    n.answer(0.001, "n1", 0);
    n.answer(0.002, "n2", 404); // of an earlier version
    EXPECT_EQ(n.confirmed.at("req-1"), 0.002);
    n.tell(1, "req-2");
    EXPECT_EQ(n.confirmed.at("req-2"), 1);
}

// What stands between the cancellation and the owner.
enum class Owner {
    reached,
    watch_is_slow, // the owner's watch hears seconds later
    refused,       // by the state service, alone
    has_just_ended,
    cut_off_from_peers,
    notices_lost,
    count
};
constexpr const char* kOwner[] = {"reached",        "watch_is_slow",      "refused",
                                  "has_just_ended", "cut_off_from_peers", "notices_lost"};

class CancelStarts : public testing::TestWithParam<int> {};

// Jobs that wait are cancelled while slots fall free all the time: whatever the owner starts after
// the confirmation is counted.
TEST_P(CancelStarts, NoneAfterTheConfirmationWhereTheOwnerCanBeReached) {
    auto trouble = static_cast<Owner>(GetParam());
    SimulatedCluster cluster({.seed = 3,
                              .nodes = 5,
                              .run_s = 2,
                              .limits = 3,
                              .capacity = 20,
                              .state_rps = 600,
                              .state_write_rps = 200,
                              .cancellation_broadcasts = trouble != Owner::notices_lost});
    cluster.run_for(30);
    int leader = cluster.owner(partition_of_team(cluster.cluster_settings(0), "red"));
    if (trouble == Owner::watch_is_slow) { // of `job/`: it hears of no change by itself
        cluster.intercept = [&](int node, const OutboundBody& call) {
            const auto* watch = std::get_if<StoreWatch>(&call);
            return node == leader && watch && watch->prefix == kJobPrefix && cluster.now() > 40;
        };
    }
    int jobs = 0;
    int told = 0;
    double longest = 0;
    for (int round = 0; round < 30; ++round) {
        for (int k = 0; k < 6; ++k) {
            JobSpec spec = cluster.job("req-" + std::to_string(++jobs), 6);
            spec.kind = k == 0 ? JobKind::gang : k == 1 ? JobKind::service : JobKind::array;
            cluster.submit((leader + 1) % 5, spec);
        }
        cluster.run_for(0.7);
        if (trouble == Owner::refused) {
            cluster.set_store_refusing(leader, true);
        }
        if (trouble == Owner::cut_off_from_peers) {
            for (int n = 0; n < 5; ++n) {
                cluster.cut_peers(leader, n, true);
            }
        }
        if (trouble == Owner::has_just_ended && round % 10 == 0) {
            leader = cluster.owner(partition_of_team(cluster.cluster_settings(0), "red"));
            cluster.crash(leader, round % 20 ? 0.02 : 20);
            cluster.run_for(1);
        }
        std::vector<RequestId> asked;
        Time from = cluster.now();
        for (int k = 0; k < 5; ++k) {
            asked.push_back(
                cluster.cancel((leader + 1 + k % 4) % 5, "req-" + std::to_string(jobs - k)));
        }
        for (int k = 0; k < 100 && !cluster.answers.contains(asked.back()); ++k) {
            cluster.run_for(0.01);
        }
        longest = std::max(longest, cluster.now() - from);
        cluster.run_for(1);
        for (RequestId id : asked) {
            told += cluster.answers.contains(id) && cluster.answers.at(id).status == 200;
        }
        cluster.set_store_refusing(leader, false);
        for (int n = 0; n < 5; ++n) {
            cluster.cut_peers(leader, n, false);
        }
    }
    cluster.run_for(30);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_GT(told, 100);
    const HistoryChecker::LateStarts& late = cluster.history_checker().late_starts();
    std::printf("starts after a confirmed cancellation: %d that left before, %d after, the last "
                "%.3f s later; confirmed within %.2f s\n",
                late.sent_before_response, late.sent_after_response, late.longest_s, longest);
    if (trouble != Owner::cut_off_from_peers && trouble != Owner::notices_lost) {
        EXPECT_EQ(late.sent_after_response, 0);
    } else { // its watch tells it
        EXPECT_LT(late.longest_sent_s, 1);
    }
    EXPECT_LT(longest, 0.8); // a bounded part of what users wait
    EXPECT_LT(late.longest_s, 2);
}
INSTANTIATE_TEST_SUITE_P(Of, CancelStarts, testing::Range(0, static_cast<int>(Owner::count)),
                         [](const auto& p) { return kOwner[p.param]; });

} // namespace
} // namespace scheduler::test
