// Promises between siblings: an outage longer than any lease, and what must end them.
#include <gtest/gtest.h>

#include "core/leadership/lease_extender.h"
#include "core/model/partition_assignment.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

constexpr double kLongest = 11;
constexpr double kReportS = 3;
constexpr double kLeaseS = 17;

// One node's promises, with its calls in hand.
struct Node {
    ClusterSettings cluster_settings;
    StoreRateLimiter budget{100, 20, 3};
    OutboundRequests calls{budget, 1};
    LeadershipLease authority{kLongest};
    JobRecordCache index;
    std::unique_ptr<QuotaConfig> config;
    std::unique_ptr<LeaseExtender> promises;
    std::vector<std::string> cancelled;

    explicit Node(int home) {
        cluster_settings.home_partition = home;
        for (int n = 0; n < 3; ++n) {
            cluster_settings.partitions.push_back({"n" + std::to_string(n), "a"});
        }
        cluster_settings.node = cluster_settings.partitions[home].node;
        cluster_settings.heartbeat_interval_s = kReportS;
        cluster_settings.worker_lease_s = kLeaseS;
        config =
            std::make_unique<QuotaConfig>(cluster_settings, calls, [](Time, const TeamQuota&) {});
        promises = std::make_unique<LeaseExtender>(cluster_settings, kLongest, calls, authority,
                                                   index, *config);
    }
    std::vector<OutboundRequest> tick(Time now, Time contact) {
        promises->tick(now, contact, contact,
                       [this](Time, const std::string& job) { cancelled.push_back(job); });
        Outputs out;
        calls.drain_into(out);
        return out.requests;
    }
    void reply(Time now, const OutboundRequest& call,
               std::optional<LeaseExtensionResponse> promise) {
        OutboundResponse r;
        r.request_id = call.id;
        r.status = promise ? 200 : 0;
        r.lease_extension = std::move(promise);
        calls.handle_response(now, r);
    }
};

// A node whose lease was renewed last at 100 and that holds its home part.
struct Asking : Node {
    Asking() : Node(0) {
        authority.on_granted(1, 100);
        authority.on_elected(0, 7);
        authority.on_elected(1, 8); // a sibling's part as well
    }
};

TEST(Promises, CountFromTheSendingOfTheQuestionAndOnlyWithAllSiblings) {
    Asking n;
    EXPECT_TRUE(n.tick(101, 100).empty()); // in contact
    auto calls = n.tick(104, 100);
    ASSERT_EQ(calls.size(), 2u);
    n.reply(105.4, calls[0], LeaseExtensionResponse{false, true, {}});
    EXPECT_FALSE(n.authority.is_valid(112, 0));
    n.reply(105.5, calls[1], LeaseExtensionResponse{false, true, {}});
    EXPECT_TRUE(n.authority.is_valid(112, 0));
    EXPECT_TRUE(n.authority.is_valid(104 + kLongest * (1 - 2 * kMaxClockDrift), 0));
    EXPECT_FALSE(n.authority.is_valid(104 + kLongest, 0));
    EXPECT_FALSE(n.authority.is_valid(112, 1)); // its owner of before may have forgotten a promise
    EXPECT_FALSE(n.authority.is_valid(112));
}

TEST(Promises, ALostOrLateAnswerLengthensNothing) {
    Asking n;
    auto calls = n.tick(104, 100);
    n.reply(105, calls[0], LeaseExtensionResponse{false, true, {}});
    n.reply(105.5, calls[1], std::nullopt);
    EXPECT_FALSE(n.authority.is_valid(112, 0));
    calls = n.tick(116, 100);
    ASSERT_EQ(calls.size(), 2u);
    n.reply(200, calls[0], LeaseExtensionResponse{false, true, {}}); // as old as its question
    n.reply(200, calls[1], LeaseExtensionResponse{false, true, {}});
    EXPECT_FALSE(n.authority.is_valid(200, 0));
}

TEST(Promises, ForAnEarlierClaimAreWorthNothing) {
    Asking n;
    auto calls = n.tick(104, 100);
    n.authority.on_lost();
    n.authority.on_granted(2, 105);
    n.authority.on_elected(0, 9);
    n.reply(106, calls[0], LeaseExtensionResponse{false, true, {}});
    n.reply(106, calls[1], LeaseExtensionResponse{false, true, {}});
    EXPECT_FALSE(n.authority.is_valid(105 + kLongest, 0));
}

TEST(Promises, TellOfCancelledJobsBeforeTheyCount) {
    Asking n;
    auto calls = n.tick(104, 100);
    n.reply(105, calls[0], LeaseExtensionResponse{false, true, {"req-4"}});
    EXPECT_EQ(n.cancelled, (std::vector<std::string>{"req-4"}));
}

TEST(Promises, SayWhetherThisNodeAloneIsCutOff) {
    Asking n;
    EXPECT_FALSE(n.promises->is_isolated(104));
    EXPECT_FALSE(n.promises->outage_is_cluster_wide(104)); // nobody has said anything
    auto calls = n.tick(104, 100);
    n.reply(104.1, calls[0], LeaseExtensionResponse{false, true, {}});
    EXPECT_TRUE(n.promises->outage_is_cluster_wide(104.2));
    n.reply(104.3, calls[1], LeaseExtensionResponse{true, false, {}});
    EXPECT_TRUE(n.promises->is_isolated(104.4));
    EXPECT_FALSE(n.promises->outage_is_cluster_wide(104.4));
    EXPECT_FALSE(n.promises->is_isolated(110)); // that was long ago
}

LeaseExtensionRequest ask() { return {0, 7, kLongest, 4}; }

TEST(Promises, AreGivenOnlyWithoutTheStateServiceAndKept) {
    Node s(1);
    EXPECT_TRUE(s.promises->handle_request(104, ask(), false, 0, 103.5).store_reachable);
    EXPECT_FALSE(s.promises->handle_request(104, ask(), false, 0, 103.5).granted);
    EXPECT_FALSE(s.promises->handle_request(104, ask(), true, 0, 100)
                     .granted); // it is after the part itself
    EXPECT_TRUE(s.promises->may_campaign(104, 0, 0));
    EXPECT_TRUE(s.promises->handle_request(104, ask(), false, 0, 100).granted);
    EXPECT_FALSE(s.promises->may_campaign(104 + kLongest, 0, 0)); // its clock may be the faster one
    EXPECT_TRUE(s.promises->may_campaign(104 + kLongest * (1 + 2 * kMaxClockDrift), 0, 0));
    EXPECT_TRUE(s.promises->may_campaign(105, 1, 0)); // its own part
    LeaseExtensionRequest longer = ask();
    longer.duration_s = kLongest + 1; // longer than it would wait after a start
    EXPECT_FALSE(s.promises->handle_request(130, longer, false, 0, 100).granted);
}

TEST(Promises, OfAProcessThatEndedAreHonouredByTheNext) {
    Node s(1); // it may have promised just before its start at 100
    EXPECT_FALSE(s.promises->may_campaign(100 + kLongest, 0, 100));
    EXPECT_TRUE(s.promises->may_campaign(100 + kLongest * (1 + 2 * kMaxClockDrift), 0, 100));
    EXPECT_TRUE(s.promises->may_campaign(100.1, 1, 100));
    // And what users were told by the process before it does not know, so it promises nothing.
    EXPECT_FALSE(s.promises->handle_request(104, ask(), false, 104 - 4 - kLeaseS + 1, 100).granted);
    EXPECT_TRUE(s.promises->handle_request(104, ask(), false, 104 - 4 - kLeaseS - 1, 100).granted);
}

TEST(Promises, NameTheJobsThatUsersWereToldAreCancelled) {
    Node s(1);
    s.index.observe_outcome(50, "req-1", Outcome::cancelled);
    s.index.observe_outcome(95, "req-2", Outcome::cancelled);
    s.index.observe_outcome(96, "req-3", Outcome::done);
    EXPECT_EQ(s.promises->handle_request(104, ask(), false, 0, 100).cancelled_jobs,
              (std::vector<std::string>{"req-2"}));
    for (int n = 0; n < 2000; ++n) { // more than it remembers
        s.index.observe_outcome(97, "req-1" + std::to_string(n), Outcome::cancelled);
    }
    EXPECT_FALSE(s.promises->handle_request(104, ask(), false, 0, 100).granted);
}

// ---- Whole nodes ----

int red(const SimulatedCluster& cluster) {
    return partition_of_team(cluster.cluster_settings(0), "red");
}

void start(SimulatedCluster& cluster, const std::string& id, std::uint32_t tasks) {
    cluster.run_for(20); // long enough up to be believed
    cluster.submit(0, cluster.job(id, tasks));
    cluster.run_for(30);
    ASSERT_EQ(cluster.machines_of({id, 0}).size(), 1u);
}

TEST(Outage, LongerThanAnyLeaseEndsNoTask) {
    SimulatedCluster cluster({.run_s = 200});
    start(cluster, "req-1", 8);
    cluster.set_store_down(true);
    cluster.run_for(60);
    for (std::uint32_t i = 0; i < 8; ++i) {
        EXPECT_EQ(cluster.machines_of({"req-1", i}).size(), 1u);
    }
    cluster.set_store_down(false);
    cluster.run_for(300);
    EXPECT_TRUE(cluster.all_done("req-1"));
    for (std::uint32_t i = 0; i < 8; ++i) {
        EXPECT_EQ(cluster.starts({"req-1", i}), 1);
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Outage, WithASiblingOutOfReachEndsAuthorityWithTheLease) {
    SimulatedCluster cluster({.run_s = 200});
    start(cluster, "req-1", 4);
    int leader = cluster.owner(red(cluster));
    cluster.cut_peers(leader, (leader + 1) % 3, true);
    cluster.set_store_down(true);
    cluster.run_for(60);
    EXPECT_TRUE(cluster.machines_of({"req-1", 0}).empty()); // its worker's lease is over
    cluster.set_store_down(false);
    cluster.cut_peers(leader, (leader + 1) % 3, false);
    cluster.run_for(60);
    EXPECT_EQ(cluster.machines_of({"req-1", 0}).size(), 1u);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// The owner is refused alone, a user cancels elsewhere, and then nobody has the state service: the
// siblings' promises tell the owner, or its tasks would run on for as long as the outage lasts.
TEST(Outage, ACancellationThatTheOwnerMissedReachesItWithThePromises) {
    SimulatedCluster cluster({.run_s = 300});
    start(cluster, "req-1", 4);
    int leader = cluster.owner(red(cluster));
    cluster.set_store_refusing(leader, true);
    cluster.run_for(1);
    RequestId id = cluster.cancel((leader + 1) % 3, "req-1");
    cluster.run_for(0.2);
    ASSERT_EQ(cluster.answers.at(id).status, 200);
    cluster.set_store_down(true);
    cluster.run_for(20);
    for (std::uint32_t i = 0; i < 4; ++i) {
        EXPECT_TRUE(cluster.machines_of({"req-1", i}).empty());
    }
    cluster.run_for(60);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Outage, ThatEndsForTheOthersFirstMovesThePart) {
    SimulatedCluster cluster({.run_s = 300});
    start(cluster, "req-1", 4);
    int leader = cluster.owner(red(cluster));
    cluster.set_store_down(true);
    cluster.run_for(20);
    cluster.set_store_refusing(leader, true);
    cluster.set_store_down(false);
    cluster.run_for(40);
    EXPECT_NE(cluster.owner(red(cluster)), leader);
    cluster.set_store_refusing(leader, false);
    cluster.run_for(60);
    EXPECT_EQ(cluster.machines_of({"req-1", 0}).size(), 1u);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Outage, ANodeStaysReadyInOneThatIsEveryonesAndNotWhenItAloneIsCutOff) {
    SimulatedCluster cluster({.run_s = 300});
    start(cluster, "req-1", 4);
    cluster.set_store_down(true);
    cluster.run_for(30);
    EXPECT_EQ(cluster.probe_readiness(0), 200);
    RequestId id = cluster.submit(0, cluster.job("req-2", 1));
    cluster.run_for(0.5);
    EXPECT_EQ(cluster.answers.at(id).status, 503); // at once, with a time to come back
    EXPECT_GT(cluster.answers.at(id).retry_after_s, 0);
    cluster.set_store_down(false);
    cluster.run_for(10);
    cluster.set_store_refusing(0, true);
    cluster.run_for(4);
    EXPECT_EQ(cluster.probe_readiness(0), 503);
    EXPECT_EQ(cluster.probe_readiness(1), 200);
}

// Long outages for all and for single nodes, with crashes, cuts, lost and late messages and
// cancellations before, in and after them.
class LongOutages : public testing::TestWithParam<int> {};

TEST_P(LongOutages, KeepTheRules) {
    auto seed = static_cast<std::uint64_t>(GetParam());
    int nodes = seed % 2 ? 3 : 5;
    SimulatedCluster cluster({.seed = seed,
                              .nodes = nodes,
                              .drop = 0.02,
                              .late = 0.02,
                              .run_s = 25,
                              .cancellation_broadcasts = seed % 4 < 2});
    std::mt19937_64 random(seed * 977);
    auto any = [&](int n) { return static_cast<int>(random() % n); };
    cluster.run_for(20);
    int jobs = 0;
    for (int round = 0; round < 4; ++round) {
        for (int k = 0; k < 4; ++k) {
            JobSpec spec = cluster.job("req-" + std::to_string(++jobs), 2 + any(6), 1 + any(3));
            spec.team = any(2) ? "red" : "blue";
            cluster.submit(any(nodes), spec);
            cluster.run_for(3);
        }
        int alone = any(nodes);
        bool first_alone = any(2) != 0;
        cluster.set_store_refusing(alone, first_alone);
        cluster.cancel(any(nodes), "req-" + std::to_string(1 + any(jobs)));
        cluster.run_for(0.5 + any(4));
        cluster.set_store_down(true);
        for (int k = 0; k < 2 + any(5); ++k) {
            cluster.run_for(4 + any(8));
            switch (any(6)) {
            case 0: cluster.crash(any(nodes), 1 + any(8)); break;
            case 1: cluster.cut_peers(any(nodes), any(nodes), true); break;
            case 2: cluster.cut_workers(any(nodes), true); break;
            case 3: cluster.cancel(any(nodes), "req-" + std::to_string(1 + any(jobs))); break;
            default: break;
            }
            ASSERT_TRUE(cluster.broken.empty())
                << cluster.broken.front() << " at " << cluster.now();
        }
        cluster.set_store_refusing(alone, any(2) != 0);
        cluster.set_store_down(false);
        cluster.run_for(any(30));
        cluster.cancel(any(nodes), "req-" + std::to_string(1 + any(jobs)));
        cluster.set_store_refusing(alone, false);
        for (int n = 0; n < nodes; ++n) {
            cluster.cut_workers(n, false);
            for (int to = 0; to < nodes; ++to) {
                cluster.cut_peers(n, to, false);
            }
        }
        cluster.run_for(30);
        ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front() << " at " << cluster.now();
    }
    cluster.run_for(400);
    ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    for (const auto& [id, outcome] : cluster.outcomes()) {
        EXPECT_NE(outcome, Outcome::none) << id << cluster.describe(id);
    }
}
INSTANTIATE_TEST_SUITE_P(Seeds, LongOutages, testing::Range(1, 13));

} // namespace
} // namespace scheduler::test
