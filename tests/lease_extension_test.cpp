// Promises between siblings: an outage longer than any lease, and what must end them.
#include <gtest/gtest.h>

#include "core/leadership/lease_extender.h"
#include "core/model/partition_assignment.h"
#include "world.h"

namespace scheduler::test {
namespace {

constexpr double kLongest = 11;
constexpr double kReportS = 3;
constexpr double kLeaseS = 17;

// One node's promises, with its calls in hand.
struct Node {
    ClusterSettings facts;
    StoreRateLimiter budget{100, 20, 3};
    OutboundRequests calls{budget, 1};
    LeadershipLease authority{kLongest};
    JobRecordCache index;
    std::unique_ptr<QuotaConfig> config;
    std::unique_ptr<LeaseExtender> promises;
    std::vector<std::string> cancelled;

    explicit Node(int home) {
        facts.home_partition = home;
        for (int n = 0; n < 3; ++n) {
            facts.partitions.push_back({"n" + std::to_string(n), "a"});
        }
        facts.node = facts.partitions[home].node;
        facts.heartbeat_interval_s = kReportS;
        facts.worker_lease_s = kLeaseS;
        config = std::make_unique<QuotaConfig>(facts, calls, [](Time, const TeamQuota&) {});
        promises =
            std::make_unique<LeaseExtender>(facts, kLongest, calls, authority, index, *config);
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

int red(const World& world) { return partition_of_team(world.facts(0), "red"); }

void start(World& world, const std::string& id, std::uint32_t tasks) {
    world.run_for(20); // long enough up to be believed
    world.submit(0, world.job(id, tasks));
    world.run_for(30);
    ASSERT_EQ(world.machines_of({id, 0}).size(), 1u);
}

TEST(Outage, LongerThanAnyLeaseEndsNoTask) {
    World world({.run_s = 200});
    start(world, "req-1", 8);
    world.state_down(true);
    world.run_for(60);
    for (std::uint32_t i = 0; i < 8; ++i) {
        EXPECT_EQ(world.machines_of({"req-1", i}).size(), 1u);
    }
    world.state_down(false);
    world.run_for(300);
    EXPECT_TRUE(world.all_done("req-1"));
    for (std::uint32_t i = 0; i < 8; ++i) {
        EXPECT_EQ(world.starts({"req-1", i}), 1);
    }
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

TEST(Outage, WithASiblingOutOfReachEndsAuthorityWithTheLease) {
    World world({.run_s = 200});
    start(world, "req-1", 4);
    int leader = world.owner(red(world));
    world.cut_peers(leader, (leader + 1) % 3, true);
    world.state_down(true);
    world.run_for(60);
    EXPECT_TRUE(world.machines_of({"req-1", 0}).empty()); // its worker's lease is over
    world.state_down(false);
    world.cut_peers(leader, (leader + 1) % 3, false);
    world.run_for(60);
    EXPECT_EQ(world.machines_of({"req-1", 0}).size(), 1u);
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

// The owner is refused alone, a user cancels elsewhere, and then nobody has the state service: the
// siblings' promises tell the owner, or its tasks would run on for as long as the outage lasts.
TEST(Outage, ACancellationThatTheOwnerMissedReachesItWithThePromises) {
    World world({.run_s = 300});
    start(world, "req-1", 4);
    int leader = world.owner(red(world));
    world.state_refuses(leader, true);
    world.run_for(1);
    RequestId id = world.cancel((leader + 1) % 3, "req-1");
    world.run_for(0.2);
    ASSERT_EQ(world.answers.at(id).status, 200);
    world.state_down(true);
    world.run_for(20);
    for (std::uint32_t i = 0; i < 4; ++i) {
        EXPECT_TRUE(world.machines_of({"req-1", i}).empty());
    }
    world.run_for(60);
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

TEST(Outage, ThatEndsForTheOthersFirstMovesThePart) {
    World world({.run_s = 300});
    start(world, "req-1", 4);
    int leader = world.owner(red(world));
    world.state_down(true);
    world.run_for(20);
    world.state_refuses(leader, true);
    world.state_down(false);
    world.run_for(40);
    EXPECT_NE(world.owner(red(world)), leader);
    world.state_refuses(leader, false);
    world.run_for(60);
    EXPECT_EQ(world.machines_of({"req-1", 0}).size(), 1u);
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

TEST(Outage, ANodeStaysReadyInOneThatIsEveryonesAndNotWhenItAloneIsCutOff) {
    World world({.run_s = 300});
    start(world, "req-1", 4);
    world.state_down(true);
    world.run_for(30);
    EXPECT_EQ(world.probe(0), 200);
    RequestId id = world.submit(0, world.job("req-2", 1));
    world.run_for(0.5);
    EXPECT_EQ(world.answers.at(id).status, 503); // at once, with a time to come back
    EXPECT_GT(world.answers.at(id).retry_after_s, 0);
    world.state_down(false);
    world.run_for(10);
    world.state_refuses(0, true);
    world.run_for(4);
    EXPECT_EQ(world.probe(0), 503);
    EXPECT_EQ(world.probe(1), 200);
}

// Long outages for all and for single nodes, with crashes, cuts, lost and late messages and
// cancellations before, in and after them.
class LongOutages : public testing::TestWithParam<int> {};

TEST_P(LongOutages, KeepTheRules) {
    auto seed = static_cast<std::uint64_t>(GetParam());
    int nodes = seed % 2 ? 3 : 5;
    World world({.seed = seed,
                 .nodes = nodes,
                 .drop = 0.02,
                 .late = 0.02,
                 .run_s = 25,
                 .notices = seed % 4 < 2});
    std::mt19937_64 random(seed * 977);
    auto any = [&](int n) { return static_cast<int>(random() % n); };
    world.run_for(20);
    int jobs = 0;
    for (int round = 0; round < 4; ++round) {
        for (int k = 0; k < 4; ++k) {
            JobSpec spec = world.job("req-" + std::to_string(++jobs), 2 + any(6), 1 + any(3));
            spec.team = any(2) ? "red" : "blue";
            world.submit(any(nodes), spec);
            world.run_for(3);
        }
        int alone = any(nodes);
        bool first_alone = any(2) != 0;
        world.state_refuses(alone, first_alone);
        world.cancel(any(nodes), "req-" + std::to_string(1 + any(jobs)));
        world.run_for(0.5 + any(4));
        world.state_down(true);
        for (int k = 0; k < 2 + any(5); ++k) {
            world.run_for(4 + any(8));
            switch (any(6)) {
            case 0: world.crash(any(nodes), 1 + any(8)); break;
            case 1: world.cut_peers(any(nodes), any(nodes), true); break;
            case 2: world.cut_workers(any(nodes), true); break;
            case 3: world.cancel(any(nodes), "req-" + std::to_string(1 + any(jobs))); break;
            default: break;
            }
            ASSERT_TRUE(world.broken.empty()) << world.broken.front() << " at " << world.now();
        }
        world.state_refuses(alone, any(2) != 0);
        world.state_down(false);
        world.run_for(any(30));
        world.cancel(any(nodes), "req-" + std::to_string(1 + any(jobs)));
        world.state_refuses(alone, false);
        for (int n = 0; n < nodes; ++n) {
            world.cut_workers(n, false);
            for (int to = 0; to < nodes; ++to) {
                world.cut_peers(n, to, false);
            }
        }
        world.run_for(30);
        ASSERT_TRUE(world.broken.empty()) << world.broken.front() << " at " << world.now();
    }
    world.run_for(400);
    ASSERT_TRUE(world.broken.empty()) << world.broken.front();
    for (const auto& [id, outcome] : world.outcomes()) {
        EXPECT_NE(outcome, Outcome::none) << id << world.describe(id);
    }
}
INSTANTIATE_TEST_SUITE_P(Seeds, LongOutages, testing::Range(1, 13));

} // namespace
} // namespace scheduler::test
