// Tests of lease extensions between peers, which keep leaders active during a store outage longer
// than any lease, and of the conditions that end them.
#include <gtest/gtest.h>

#include "core/leadership/lease_extender.h"
#include "core/model/partition_assignment.h"
#include "world.h"

namespace scheduler::test {
namespace {

constexpr double kMaxExtensionS = 11;
constexpr double kHeartbeatIntervalS = 3;
constexpr double kWorkerLeaseS = 17;

// A controller's extender, whose requests to peers the test answers.
struct ExtenderFixture {
    ClusterSettings settings;
    StoreRateLimiter rate_limiter{100, 20, 3};
    OutboundRequests requests{rate_limiter, 1};
    LeadershipLease lease{kMaxExtensionS};
    JobRecordCache job_cache;
    std::unique_ptr<QuotaConfig> quota_config;
    std::unique_ptr<LeaseExtender> extender;
    std::vector<std::string> cancelled;

    explicit ExtenderFixture(int home) {
        settings.home_partition = home;
        for (int n = 0; n < 3; ++n) {
            settings.partitions.push_back({"n" + std::to_string(n), "a"});
        }
        settings.node = settings.partitions[home].node;
        settings.heartbeat_interval_s = kHeartbeatIntervalS;
        settings.worker_lease_s = kWorkerLeaseS;
        quota_config =
            std::make_unique<QuotaConfig>(settings, requests, [](Time, const TeamQuota&) {});
        extender = std::make_unique<LeaseExtender>(settings, kMaxExtensionS, requests, lease,
                                                   job_cache, *quota_config);
    }
    std::vector<OutboundRequest> tick(Time now, Time last_response) {
        extender->tick(now, last_response, last_response,
                       [this](Time, const std::string& job) { cancelled.push_back(job); });
        Outputs out;
        requests.drain_into(out);
        return out.requests;
    }
    void respond(Time now, const OutboundRequest& request,
                 std::optional<LeaseExtensionResponse> extension_response) {
        OutboundResponse response;
        response.request_id = request.id;
        response.status = extension_response ? 200 : 0;
        response.lease_extension = std::move(extension_response);
        requests.handle_response(now, response);
    }
};

// A controller that leads its home partition and whose lease was last renewed at 100.
struct RequesterFixture : ExtenderFixture {
    RequesterFixture() : ExtenderFixture(0) {
        lease.on_granted(1, 100);
        lease.on_elected(0, 7);
        lease.on_elected(1, 8); // also leads a peer's home partition
    }
};

TEST(LeaseExtension, TakesEffectFromTheRequestOnceAllPeersGrantIt) {
    RequesterFixture requester;
    EXPECT_TRUE(requester.tick(101, 100).empty()); // the store responded recently
    auto requests = requester.tick(104, 100);
    ASSERT_EQ(requests.size(), 2u);
    requester.respond(105.4, requests[0], LeaseExtensionResponse{false, true, {}});
    EXPECT_FALSE(requester.lease.is_valid(112, 0));
    requester.respond(105.5, requests[1], LeaseExtensionResponse{false, true, {}});
    EXPECT_TRUE(requester.lease.is_valid(112, 0));
    EXPECT_TRUE(requester.lease.is_valid(104 + kMaxExtensionS * (1 - 2 * kMaxClockDrift), 0));
    EXPECT_FALSE(requester.lease.is_valid(104 + kMaxExtensionS, 0));
    EXPECT_FALSE(
        requester.lease.is_valid(112, 1)); // its home controller forgets grants on a restart
    EXPECT_FALSE(requester.lease.is_valid(112));
}

TEST(LeaseExtension, LostOrLateResponsesExtendNothing) {
    RequesterFixture requester;
    auto requests = requester.tick(104, 100);
    requester.respond(105, requests[0], LeaseExtensionResponse{false, true, {}});
    requester.respond(105.5, requests[1], std::nullopt);
    EXPECT_FALSE(requester.lease.is_valid(112, 0));
    requests = requester.tick(116, 100);
    ASSERT_EQ(requests.size(), 2u);
    requester.respond(200, requests[0],
                      LeaseExtensionResponse{false, true, {}}); // counts from its request
    requester.respond(200, requests[1], LeaseExtensionResponse{false, true, {}});
    EXPECT_FALSE(requester.lease.is_valid(200, 0));
}

TEST(LeaseExtension, GrantsForAnEarlierTermExtendNothing) {
    RequesterFixture requester;
    auto requests = requester.tick(104, 100);
    requester.lease.on_lost();
    requester.lease.on_granted(2, 105);
    requester.lease.on_elected(0, 9);
    requester.respond(106, requests[0], LeaseExtensionResponse{false, true, {}});
    requester.respond(106, requests[1], LeaseExtensionResponse{false, true, {}});
    EXPECT_FALSE(requester.lease.is_valid(105 + kMaxExtensionS, 0));
}

TEST(LeaseExtension, ReportsCancelledJobsBeforeItTakesEffect) {
    RequesterFixture requester;
    auto requests = requester.tick(104, 100);
    requester.respond(105, requests[0], LeaseExtensionResponse{false, true, {"req-4"}});
    EXPECT_EQ(requester.cancelled, (std::vector<std::string>{"req-4"}));
}

TEST(LeaseExtension, ResponsesTellIsolationFromAClusterWideOutage) {
    RequesterFixture requester;
    EXPECT_FALSE(requester.extender->is_isolated(104));
    EXPECT_FALSE(requester.extender->outage_is_cluster_wide(104)); // no response yet
    auto requests = requester.tick(104, 100);
    requester.respond(104.1, requests[0], LeaseExtensionResponse{false, true, {}});
    EXPECT_TRUE(requester.extender->outage_is_cluster_wide(104.2));
    requester.respond(104.3, requests[1], LeaseExtensionResponse{true, false, {}});
    EXPECT_TRUE(requester.extender->is_isolated(104.4));
    EXPECT_FALSE(requester.extender->outage_is_cluster_wide(104.4));
    EXPECT_FALSE(requester.extender->is_isolated(110)); // the last response is too old
}

LeaseExtensionRequest extension_request() { return {0, 7, kMaxExtensionS, 4}; }

TEST(LeaseExtension, IsGrantedOnlyDuringAStoreOutageAndBlocksCampaigns) {
    ExtenderFixture granter(1);
    EXPECT_TRUE(granter.extender->handle_request(104, extension_request(), false, 0, 103.5)
                    .store_reachable);
    EXPECT_FALSE(
        granter.extender->handle_request(104, extension_request(), false, 0, 103.5).granted);
    EXPECT_FALSE(granter.extender->handle_request(104, extension_request(), true, 0, 100)
                     .granted); // it leads the partition or campaigns for it
    EXPECT_TRUE(granter.extender->may_campaign(104, 0, 0));
    EXPECT_TRUE(granter.extender->handle_request(104, extension_request(), false, 0, 100).granted);
    EXPECT_FALSE(granter.extender->may_campaign(104 + kMaxExtensionS, 0,
                                                0)); // its clock may run faster
    EXPECT_TRUE(
        granter.extender->may_campaign(104 + kMaxExtensionS * (1 + 2 * kMaxClockDrift), 0, 0));
    EXPECT_TRUE(granter.extender->may_campaign(105, 1, 0)); // its home partition
    LeaseExtensionRequest too_long = extension_request();
    too_long.duration_s = kMaxExtensionS + 1; // longer than a new process waits
    EXPECT_FALSE(granter.extender->handle_request(130, too_long, false, 0, 100).granted);
}

TEST(LeaseExtension, RestartedControllerHonorsGrantsOfItsPreviousIncarnation) {
    ExtenderFixture granter(1); // may have granted just before its restart at 100
    EXPECT_FALSE(granter.extender->may_campaign(100 + kMaxExtensionS, 0, 100));
    EXPECT_TRUE(
        granter.extender->may_campaign(100 + kMaxExtensionS * (1 + 2 * kMaxClockDrift), 0, 100));
    EXPECT_TRUE(granter.extender->may_campaign(100.1, 1, 100));
    // It does not know the cancellations that its previous incarnation confirmed to users. It
    // grants only if the requester's knowledge, less one worker lease, is more recent than its own
    // start.
    EXPECT_FALSE(
        granter.extender
            ->handle_request(104, extension_request(), false, 104 - 4 - kWorkerLeaseS + 1, 100)
            .granted);
    EXPECT_TRUE(
        granter.extender
            ->handle_request(104, extension_request(), false, 104 - 4 - kWorkerLeaseS - 1, 100)
            .granted);
}

TEST(LeaseExtension, ResponseNamesTheJobsConfirmedAsCancelled) {
    ExtenderFixture granter(1);
    granter.job_cache.observe_outcome(50, "req-1", Outcome::cancelled);
    granter.job_cache.observe_outcome(95, "req-2", Outcome::cancelled);
    granter.job_cache.observe_outcome(96, "req-3", Outcome::done);
    EXPECT_EQ(
        granter.extender->handle_request(104, extension_request(), false, 0, 100).cancelled_jobs,
        (std::vector<std::string>{"req-2"}));
    for (int n = 0; n < 2000; ++n) { // more than the cache holds
        granter.job_cache.observe_outcome(97, "req-1" + std::to_string(n), Outcome::cancelled);
    }
    EXPECT_FALSE(granter.extender->handle_request(104, extension_request(), false, 0, 100).granted);
}

// ---- Store outages in a simulated cluster ----

int red_partition(const World& world) { return partition_of_team(world.facts(0), "red"); }

void start_job(World& world, const std::string& id, std::uint32_t tasks) {
    world.run_for(20); // until controllers have run long enough to grant extensions
    world.submit(0, world.job(id, tasks));
    world.run_for(30);
    ASSERT_EQ(world.machines_of({id, 0}).size(), 1u);
}

TEST(StoreOutage, NoTaskStopsDuringAnOutageLongerThanAnyLease) {
    World world({.run_s = 200});
    start_job(world, "req-1", 8);
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

TEST(StoreOutage, LeadershipEndsWithItsLeaseWhenAPeerIsUnreachable) {
    World world({.run_s = 200});
    start_job(world, "req-1", 4);
    int leader = world.owner(red_partition(world));
    world.cut_peers(leader, (leader + 1) % 3, true);
    world.state_down(true);
    world.run_for(60);
    EXPECT_TRUE(world.machines_of({"req-1", 0}).empty()); // its worker's lease has ended
    world.state_down(false);
    world.cut_peers(leader, (leader + 1) % 3, false);
    world.run_for(60);
    EXPECT_EQ(world.machines_of({"req-1", 0}).size(), 1u);
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

// The store refuses only the leader, a user cancels a job at another controller, and then the store
// is down for all. The leader must learn the cancellation from its peers' responses to extension
// requests, or the job's tasks would run for as long as the outage lasts.
TEST(StoreOutage, LeaderLearnsAMissedCancellationFromExtensions) {
    World world({.run_s = 300});
    start_job(world, "req-1", 4);
    int leader = world.owner(red_partition(world));
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

TEST(StoreOutage, PartitionMovesWhenTheOutageEndsForTheOthersFirst) {
    World world({.run_s = 300});
    start_job(world, "req-1", 4);
    int leader = world.owner(red_partition(world));
    world.state_down(true);
    world.run_for(20);
    world.state_refuses(leader, true);
    world.state_down(false);
    world.run_for(40);
    EXPECT_NE(world.owner(red_partition(world)), leader);
    world.state_refuses(leader, false);
    world.run_for(60);
    EXPECT_EQ(world.machines_of({"req-1", 0}).size(), 1u);
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

TEST(StoreOutage, ReadyInAClusterWideOutageButNotWhenIsolated) {
    World world({.run_s = 300});
    start_job(world, "req-1", 4);
    world.state_down(true);
    world.run_for(30);
    EXPECT_EQ(world.probe(0), 200);
    RequestId id = world.submit(0, world.job("req-2", 1));
    world.run_for(0.5);
    EXPECT_EQ(world.answers.at(id).status, 503); // immediately, with a retry delay
    EXPECT_GT(world.answers.at(id).retry_after_s, 0);
    world.state_down(false);
    world.run_for(10);
    world.state_refuses(0, true);
    world.run_for(4);
    EXPECT_EQ(world.probe(0), 503);
    EXPECT_EQ(world.probe(1), 200);
}

// Long store outages for all and for single controllers, with crashes, cut connections, lost and
// late messages, and cancellations before, during and after them.
class RandomStoreOutages : public testing::TestWithParam<int> {};

TEST_P(RandomStoreOutages, InvariantsHold) {
    auto seed = static_cast<std::uint64_t>(GetParam());
    int controllers = seed % 2 ? 3 : 5;
    World world({.seed = seed,
                 .nodes = controllers,
                 .drop = 0.02,
                 .late = 0.02,
                 .run_s = 25,
                 .notices = seed % 4 < 2});
    std::mt19937_64 random(seed * 977);
    auto random_below = [&](int n) { return static_cast<int>(random() % n); };
    world.run_for(20);
    int jobs = 0;
    for (int round = 0; round < 4; ++round) {
        for (int k = 0; k < 4; ++k) {
            JobSpec spec = world.job("req-" + std::to_string(++jobs), 2 + random_below(6),
                                     1 + random_below(3));
            spec.team = random_below(2) ? "red" : "blue";
            world.submit(random_below(controllers), spec);
            world.run_for(3);
        }
        int isolated = random_below(controllers);
        bool isolated_before = random_below(2) != 0;
        world.state_refuses(isolated, isolated_before);
        world.cancel(random_below(controllers), "req-" + std::to_string(1 + random_below(jobs)));
        world.run_for(0.5 + random_below(4));
        world.state_down(true);
        for (int k = 0; k < 2 + random_below(5); ++k) {
            world.run_for(4 + random_below(8));
            switch (random_below(6)) {
            case 0: world.crash(random_below(controllers), 1 + random_below(8)); break;
            case 1:
                world.cut_peers(random_below(controllers), random_below(controllers), true);
                break;
            case 2: world.cut_workers(random_below(controllers), true); break;
            case 3:
                world.cancel(random_below(controllers),
                             "req-" + std::to_string(1 + random_below(jobs)));
                break;
            default: break;
            }
            ASSERT_TRUE(world.broken.empty()) << world.broken.front() << " at " << world.now();
        }
        world.state_refuses(isolated, random_below(2) != 0);
        world.state_down(false);
        world.run_for(random_below(30));
        world.cancel(random_below(controllers), "req-" + std::to_string(1 + random_below(jobs)));
        world.state_refuses(isolated, false);
        for (int n = 0; n < controllers; ++n) {
            world.cut_workers(n, false);
            for (int to = 0; to < controllers; ++to) {
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
INSTANTIATE_TEST_SUITE_P(Seeds, RandomStoreOutages, testing::Range(1, 13));

} // namespace
} // namespace scheduler::test
