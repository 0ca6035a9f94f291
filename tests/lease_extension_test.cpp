// Tests of lease extensions between peers, which keep leaders active during a store outage longer
// than any lease, and of the conditions that end them.
#include <gtest/gtest.h>

#include "core/leadership/lease_extender.h"
#include "core/model/partition_assignment.h"
#include "simulated_cluster.h"

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
    // Returns the requests that the extender sends. The store last responded at `last_response`.
    std::vector<OutboundRequest> tick(Time now, Time last_response) {
        extender->tick(now, last_response, last_response,
                       [this](Time, const std::string& job) { cancelled.push_back(job); });
        Outputs out;
        requests.drain_into(out);
        return out.requests;
    }
    // Answers a request; without a response the request has failed.
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
    // Extensions do not cover partition 1: its home controller forgets grants on a restart.
    EXPECT_FALSE(requester.lease.is_valid(112, 1));
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
    // A late extension counts from its request and has expired.
    requester.respond(200, requests[0], LeaseExtensionResponse{false, true, {}});
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
    // Refused: the granter leads the partition or campaigns for it.
    EXPECT_FALSE(granter.extender->handle_request(104, extension_request(), true, 0, 100).granted);
    EXPECT_TRUE(granter.extender->may_campaign(104, 0, 0));
    EXPECT_TRUE(granter.extender->handle_request(104, extension_request(), false, 0, 100).granted);
    // The requester's clock may run slower than the granter's.
    EXPECT_FALSE(granter.extender->may_campaign(104 + kMaxExtensionS, 0, 0));
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

// The partition of team "red", which owns the jobs of these tests.
int red_partition(const SimulatedCluster& cluster) {
    return partition_of_team(cluster.cluster_settings(0), "red");
}

// Submits a job and waits until it runs.
void start_job(SimulatedCluster& cluster, const std::string& id, std::uint32_t tasks) {
    cluster.run_for(20); // until controllers have run long enough to grant extensions
    cluster.submit(0, cluster.job(id, tasks));
    cluster.run_for(30);
    ASSERT_EQ(cluster.machines_of({id, 0}).size(), 1u);
}

TEST(StoreOutage, NoTaskStopsDuringAnOutageLongerThanAnyLease) {
    SimulatedCluster cluster({.run_s = 200});
    start_job(cluster, "req-1", 8);
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

TEST(StoreOutage, LeadershipEndsWithItsLeaseWhenAPeerIsUnreachable) {
    SimulatedCluster cluster({.run_s = 200});
    start_job(cluster, "req-1", 4);
    int leader = cluster.owner(red_partition(cluster));
    cluster.cut_peers(leader, (leader + 1) % 3, true);
    cluster.set_store_down(true);
    cluster.run_for(60);
    EXPECT_TRUE(cluster.machines_of({"req-1", 0}).empty()); // its worker's lease has ended
    cluster.set_store_down(false);
    cluster.cut_peers(leader, (leader + 1) % 3, false);
    cluster.run_for(60);
    EXPECT_EQ(cluster.machines_of({"req-1", 0}).size(), 1u);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// The store refuses only the leader, a user cancels a job at another controller, and then the store
// is down for all. The leader must learn the cancellation from its peers' responses to extension
// requests, or the job's tasks would run for as long as the outage lasts.
TEST(StoreOutage, LeaderLearnsAMissedCancellationFromExtensions) {
    SimulatedCluster cluster({.run_s = 300});
    start_job(cluster, "req-1", 4);
    int leader = cluster.owner(red_partition(cluster));
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

TEST(StoreOutage, PartitionMovesWhenTheOutageEndsForTheOthersFirst) {
    SimulatedCluster cluster({.run_s = 300});
    start_job(cluster, "req-1", 4);
    int leader = cluster.owner(red_partition(cluster));
    cluster.set_store_down(true);
    cluster.run_for(20);
    cluster.set_store_refusing(leader, true);
    cluster.set_store_down(false);
    cluster.run_for(40);
    EXPECT_NE(cluster.owner(red_partition(cluster)), leader);
    cluster.set_store_refusing(leader, false);
    cluster.run_for(60);
    EXPECT_EQ(cluster.machines_of({"req-1", 0}).size(), 1u);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(StoreOutage, ReadyInAClusterWideOutageButNotWhenIsolated) {
    SimulatedCluster cluster({.run_s = 300});
    start_job(cluster, "req-1", 4);
    cluster.set_store_down(true);
    cluster.run_for(30);
    EXPECT_EQ(cluster.probe_readiness(0), 200);
    RequestId id = cluster.submit(0, cluster.job("req-2", 1));
    cluster.run_for(0.5);
    EXPECT_EQ(cluster.answers.at(id).status, 503); // immediately, with a retry delay
    EXPECT_GT(cluster.answers.at(id).retry_after_s, 0);
    cluster.set_store_down(false);
    cluster.run_for(10);
    cluster.set_store_refusing(0, true);
    cluster.run_for(4);
    EXPECT_EQ(cluster.probe_readiness(0), 503);
    EXPECT_EQ(cluster.probe_readiness(1), 200);
}

// Long store outages for all and for single controllers, with crashes, cut connections, lost and
// late messages, and cancellations before, during and after them.
class RandomStoreOutages : public testing::TestWithParam<int> {};

TEST_P(RandomStoreOutages, InvariantsHold) {
    auto seed = static_cast<std::uint64_t>(GetParam());
    int controllers = seed % 2 ? 3 : 5;
    SimulatedCluster cluster({.seed = seed,
                              .nodes = controllers,
                              .drop = 0.02,
                              .late = 0.02,
                              .run_s = 25,
                              .cancellation_broadcasts = seed % 4 < 2});
    std::mt19937_64 random(seed * 977);
    auto random_below = [&](int n) { return static_cast<int>(random() % n); };
    cluster.run_for(20);
    int jobs = 0;
    for (int round = 0; round < 4; ++round) {
        for (int k = 0; k < 4; ++k) {
            JobSpec spec = cluster.job("req-" + std::to_string(++jobs), 2 + random_below(6),
                                       1 + random_below(3));
            spec.team = random_below(2) ? "red" : "blue";
            cluster.submit(random_below(controllers), spec);
            cluster.run_for(3);
        }
        int isolated = random_below(controllers);
        bool isolated_before = random_below(2) != 0;
        cluster.set_store_refusing(isolated, isolated_before);
        cluster.cancel(random_below(controllers), "req-" + std::to_string(1 + random_below(jobs)));
        cluster.run_for(0.5 + random_below(4));
        cluster.set_store_down(true);
        for (int k = 0; k < 2 + random_below(5); ++k) {
            cluster.run_for(4 + random_below(8));
            switch (random_below(6)) {
            case 0: cluster.crash(random_below(controllers), 1 + random_below(8)); break;
            case 1:
                cluster.cut_peers(random_below(controllers), random_below(controllers), true);
                break;
            case 2: cluster.cut_workers(random_below(controllers), true); break;
            case 3:
                cluster.cancel(random_below(controllers),
                               "req-" + std::to_string(1 + random_below(jobs)));
                break;
            default: break;
            }
            ASSERT_TRUE(cluster.broken.empty())
                << cluster.broken.front() << " at " << cluster.now();
        }
        cluster.set_store_refusing(isolated, random_below(2) != 0);
        cluster.set_store_down(false);
        cluster.run_for(random_below(30));
        cluster.cancel(random_below(controllers), "req-" + std::to_string(1 + random_below(jobs)));
        cluster.set_store_refusing(isolated, false);
        for (int n = 0; n < controllers; ++n) {
            cluster.cut_workers(n, false);
            for (int to = 0; to < controllers; ++to) {
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
INSTANTIATE_TEST_SUITE_P(Seeds, RandomStoreOutages, testing::Range(1, 13));

} // namespace
} // namespace scheduler::test
