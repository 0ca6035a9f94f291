// Tests that no task of a job starts after its cancellation has been confirmed to the user, as long
// as the partition leader is reachable. See "Starts after a cancellation" in docs/meetings.md.
#include <gtest/gtest.h>

#include "core/jobs/cancellation_broadcast.h"
#include "core/model/partition_assignment.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

// A broadcaster whose requests to the peers n1 and n2 the test answers.
struct BroadcastFixture {
    static ClusterSettings make_settings() {
        ClusterSettings settings;
        settings.node = "n0";
        settings.partitions = {{"n0", "a"}, {"n1", "a"}, {"n2", "b"}};
        settings.heartbeat_interval_s = 6;
        return settings;
    }
    StoreRateLimiter rate_limiter{100, 20, 3};
    OutboundRequests requests{rate_limiter, 1};
    CancellationBroadcast broadcaster{make_settings(), requests};
    std::map<std::string, Time> confirmed;
    std::map<std::string, OutboundRequestId> in_flight;        // by node
    std::map<std::string, std::vector<std::string>> last_jobs; // of the last request, by node

    void broadcast(Time now, const std::string& job) {
        broadcaster.broadcast(now, job, [this, job](Time at) { confirmed[job] = at; });
        collect_requests();
    }
    void respond(Time now, const std::string& node, int status = 200) {
        OutboundResponse response;
        response.request_id = in_flight.at(node);
        response.status = status;
        in_flight.erase(node);
        requests.handle_response(now, response);
        collect_requests();
    }
    void flush(Time now) {
        broadcaster.flush(now);
        collect_requests();
    }
    void collect_requests() {
        Outputs outputs;
        requests.drain_into(outputs);
        for (const auto& request : outputs.requests) {
            const auto& call = std::get<CancellationCall>(request.body);
            EXPECT_FALSE(in_flight.contains(call.node))
                << "more than one request to a peer in flight";
            in_flight[call.node] = request.id;
            last_jobs[call.node] = call.jobs;
        }
    }
};

TEST(CancellationBroadcast, ConfirmsOnceAllPeersHaveResponded) {
    BroadcastFixture fixture;
    fixture.broadcast(0, "req-1");
    fixture.respond(0.01, "n1");
    EXPECT_TRUE(fixture.confirmed.empty());
    fixture.respond(0.02, "n2");
    EXPECT_EQ(fixture.confirmed.at("req-1"), 0.02);
}

TEST(CancellationBroadcast, BatchesCancellationsWhileARequestIsInFlight) {
    BroadcastFixture fixture;
    fixture.broadcast(0, "req-1");
    fixture.broadcast(0.01, "req-2");
    fixture.broadcast(0.02, "req-3");
    fixture.respond(0.03, "n1");
    EXPECT_EQ(fixture.last_jobs.at("n1"), (std::vector<std::string>{"req-2", "req-3"}));
    fixture.respond(0.03, "n2");
    EXPECT_EQ(fixture.confirmed.size(), 1u);
    fixture.respond(0.04, "n1");
    fixture.respond(0.05, "n2");
    EXPECT_EQ(fixture.confirmed.size(), 3u);
    EXPECT_TRUE(fixture.in_flight.empty());
}

TEST(CancellationBroadcast, WaitsForAnUnresponsivePeerOnceAndKeepsSendingToIt) {
    BroadcastFixture fixture;
    fixture.broadcast(0, "req-1");
    fixture.respond(0.01, "n1");
    fixture.flush(0.49);
    EXPECT_TRUE(fixture.confirmed.empty());
    fixture.flush(0.5); // a twelfth of the heartbeat interval
    EXPECT_EQ(fixture.confirmed.at("req-1"), 0.5);
    fixture.broadcast(1, "req-2");
    fixture.respond(1.01, "n1");
    EXPECT_EQ(fixture.confirmed.at("req-2"), 1.01);
    fixture.respond(3, "n2", 0); // timed out
    EXPECT_EQ(fixture.last_jobs.at("n2"), std::vector<std::string>{"req-2"});
    fixture.respond(3.1, "n2");
    fixture.broadcast(3.2, "req-3"); // n2 is responsive again
    fixture.respond(3.21, "n1");
    EXPECT_FALSE(fixture.confirmed.contains("req-3"));
    fixture.respond(3.25, "n2");
    EXPECT_EQ(fixture.confirmed.at("req-3"), 3.25);
}

TEST(CancellationBroadcast, DoesNotWaitForAPeerThatRefusesRequests) {
    BroadcastFixture fixture;
    fixture.broadcast(0, "req-1");
    fixture.respond(0.001, "n1", 0);
    fixture.respond(0.002, "n2", 404); // runs an earlier version
    EXPECT_EQ(fixture.confirmed.at("req-1"), 0.002);
    fixture.broadcast(1, "req-2");
    EXPECT_EQ(fixture.confirmed.at("req-2"), 1);
}

// What delays or prevents the cancellation from reaching the partition leader.
enum class Fault {
    none,
    slow_watch,           // the leader's watch reports changes seconds late
    store_refuses_leader, // and no other controller
    leader_crashed,
    leader_cut_off_from_peers,
    broadcasts_lost,
    count
};
constexpr const char* kFaultNames[] = {"none",
                                       "slow_watch",
                                       "store_refuses_leader",
                                       "leader_crashed",
                                       "leader_cut_off_from_peers",
                                       "broadcasts_lost"};

class StartsAfterCancellation : public testing::TestWithParam<int> {};

// Pending jobs are cancelled while slots become free continuously. Counts the tasks that the leader
// starts after the confirmation.
TEST_P(StartsAfterCancellation, NoneIfTheLeaderIsReachable) {
    auto fault = static_cast<Fault>(GetParam());
    SimulatedCluster cluster({.seed = 3,
                              .nodes = 5,
                              .run_s = 2,
                              .limits = 3,
                              .capacity = 20,
                              .state_rps = 600,
                              .state_write_rps = 200,
                              .cancellation_broadcasts = fault != Fault::broadcasts_lost});
    cluster.run_for(30);
    int leader = cluster.owner(partition_of_team(cluster.cluster_settings(0), "red"));
    if (fault == Fault::slow_watch) { // of `job/`: reports no change to the leader
        cluster.intercept = [&](int controller, const OutboundBody& request) {
            const auto* watch = std::get_if<StoreWatch>(&request);
            return controller == leader && watch && watch->prefix == kJobPrefix &&
                   cluster.now() > 40;
        };
    }
    int jobs = 0;
    int confirmed = 0;
    double longest_wait_s = 0;
    for (int round = 0; round < 30; ++round) {
        for (int k = 0; k < 6; ++k) {
            JobSpec spec = cluster.job("req-" + std::to_string(++jobs), 6);
            spec.kind = k == 0 ? JobKind::gang : k == 1 ? JobKind::service : JobKind::array;
            cluster.submit((leader + 1) % 5, spec);
        }
        cluster.run_for(0.7);
        if (fault == Fault::store_refuses_leader) {
            cluster.set_store_refusing(leader, true);
        }
        if (fault == Fault::leader_cut_off_from_peers) {
            for (int n = 0; n < 5; ++n) {
                cluster.cut_peers(leader, n, true);
            }
        }
        if (fault == Fault::leader_crashed && round % 10 == 0) {
            leader = cluster.owner(partition_of_team(cluster.cluster_settings(0), "red"));
            cluster.crash(leader, round % 20 ? 0.02 : 20);
            cluster.run_for(1);
        }
        std::vector<RequestId> cancellations;
        Time from = cluster.now();
        for (int k = 0; k < 5; ++k) {
            cancellations.push_back(
                cluster.cancel((leader + 1 + k % 4) % 5, "req-" + std::to_string(jobs - k)));
        }
        for (int k = 0; k < 100 && !cluster.answers.contains(cancellations.back()); ++k) {
            cluster.run_for(0.01);
        }
        longest_wait_s = std::max(longest_wait_s, cluster.now() - from);
        cluster.run_for(1);
        for (RequestId id : cancellations) {
            confirmed += cluster.answers.contains(id) && cluster.answers.at(id).status == 200;
        }
        cluster.set_store_refusing(leader, false);
        for (int n = 0; n < 5; ++n) {
            cluster.cut_peers(leader, n, false);
        }
    }
    cluster.run_for(30);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_GT(confirmed, 100);
    const HistoryChecker::LateStarts& late = cluster.history_checker().late_starts();
    std::printf("starts after a confirmed cancellation: %d sent before it, %d sent after, the last "
                "%.3f s later; confirmed within %.2f s\n",
                late.sent_before_response, late.sent_after_response, late.longest_s,
                longest_wait_s);
    if (fault != Fault::leader_cut_off_from_peers && fault != Fault::broadcasts_lost) {
        EXPECT_EQ(late.sent_after_response, 0);
    } else { // the leader learns it from its store watch
        EXPECT_LT(late.longest_sent_s, 1);
    }
    EXPECT_LT(longest_wait_s, 0.8); // a bounded part of the users' waiting time
    EXPECT_LT(late.longest_s, 2);
}
INSTANTIATE_TEST_SUITE_P(Faults, StartsAfterCancellation,
                         testing::Range(0, static_cast<int>(Fault::count)),
                         [](const auto& p) { return kFaultNames[p.param]; });

} // namespace
} // namespace scheduler::test
