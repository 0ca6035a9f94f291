// Changes of team guarantees and limits at run time, in a simulated cluster of five controllers, 60
// machines and 280 teams, also under injected faults. The simulation checks each team's use against
// the limit in force. docs/configuration.md explains the rules.
#include <gtest/gtest.h>

#include <cmath>

#include "core/model/partition_assignment.h"
#include "core/quotas/quota_config.h"
#include "policy/default_policy.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

// A change is in force within this time at each controller that any path reaches: the store or a
// peer.
constexpr double kMaxPropagationDelay_s = 9;
constexpr double kRun_s = 400;

SimulationOptions options(std::uint64_t seed = 1) {
    return {.seed = seed,
            .nodes = 5,
            .run_s = kRun_s,
            .limits = 10,
            .extra_teams = 278,
            .capacity = 60,
            .state_rps = 250,
            .state_write_rps = 50,
            .cancellation_broadcasts = true};
}

class QuotaConfigTest : public testing::Test {
  protected:
    explicit QuotaConfigTest(std::uint64_t seed = 1) : cluster(options(seed)) {}
    // Submits jobs until red uses 220 of its 240 CPUs, some of them on machines of other
    // partitions, and three of the small teams run jobs too.
    void fill(JobKind kind = JobKind::array) {
        cluster.run_for(20);
        JobSpec red = cluster.job("req-1", 110, 2);
        red.kind = kind;
        cluster.submit(0, red);
        for (int t = 0; t < 3; ++t) {
            JobSpec small = cluster.job("req-2" + std::to_string(t), 10, 1);
            small.team = "t" + std::to_string(t);
            cluster.submit(t, small);
        }
        cluster.start_polling_open_jobs();
        cluster.run_for(60);
        ASSERT_EQ(cluster.used("red"), 220);
    }
    // Returns the current quota of red with another limit, which caps the guarantee.
    TeamQuota quota_of_red(double cpus_max) const {
        TeamQuota quota = cluster.team("red");
        quota.max_cpus = cpus_max;
        quota.guaranteed_cpus = std::min(quota.guaranteed_cpus, cpus_max);
        return quota;
    }
    // Reports each broken invariant as a failure. Returns whether all of them hold.
    bool invariants_hold() const {
        for (const auto& rule : cluster.broken) {
            ADD_FAILURE() << rule;
        }
        return cluster.broken.empty();
    }
    int leader_of_red() const {
        return cluster.owner(partition_of_team(cluster.cluster_settings(0), "red"));
    }

    SimulatedCluster cluster;
};

TEST_F(QuotaConfigTest, LoweredLimitTakesEffectAtOnceAndExcessTasksAreEvicted) {
    fill();
    cluster.configure(quota_of_red(100));
    cluster.run_for(2);
    EXPECT_EQ(cluster.quota_delays_s().size(), 5U);
    cluster.run_for(10);
    EXPECT_LE(cluster.used("red"), 100);
    EXPECT_GE(cluster.used("red"), 98) << "more tasks were evicted than exceed the limit";
    cluster.run_for(60);
    EXPECT_EQ(cluster.used("red"), 100) << "nothing starts above the limit, and all of it is used";
    EXPECT_TRUE(invariants_hold());
}

TEST_F(QuotaConfigTest, RaisedLimitStartsWaitingTasks) {
    fill();
    JobSpec more = cluster.job("req-9", 60, 2);
    cluster.submit(1, more);
    cluster.run_for(40); // enough for the scale-out
    EXPECT_EQ(cluster.used("red"), 240);
    cluster.configure(quota_of_red(300));
    cluster.run_for(40);
    EXPECT_EQ(cluster.used("red"), 300);
    EXPECT_TRUE(invariants_hold());
}

TEST_F(QuotaConfigTest, ChangedGuaranteeMovesNoTeamToAnotherPartition) {
    fill();
    auto partitions = partitions_of_teams(cluster.cluster_settings(0));
    int leader = leader_of_red();
    TeamQuota quota = cluster.team("red");
    quota.guaranteed_cpus = 1;
    cluster.configure(quota);
    TeamQuota blue = cluster.team("blue");
    blue.guaranteed_cpus = 400;
    cluster.configure(blue);
    cluster.run_for(60);
    EXPECT_EQ(leader_of_red(), leader);
    EXPECT_EQ(partitions_of_teams(cluster.cluster_settings(0)), partitions);
    EXPECT_EQ(cluster.used("red"), 220);
    EXPECT_TRUE(invariants_hold());
}

TEST_F(QuotaConfigTest, LimitLoweredAndRestoredWithinASecondRestartsEvictedTasks) {
    fill();
    TeamQuota before = cluster.team("red");
    cluster.configure(quota_of_red(60));
    cluster.run_for(0.5);
    cluster.configure(before);
    cluster.run_for(60);
    EXPECT_EQ(cluster.used("red"), 220) << "evicted tasks run again";
    EXPECT_TRUE(invariants_hold());
}

TEST_F(QuotaConfigTest, BurstOfTwoHundredChangesInTenSecondsComesIntoForce) {
    fill();
    for (int k = 0; k < 200; ++k) {
        TeamQuota quota = k % 4 == 0 ? quota_of_red(100 + k % 7 * 10)
                                     : cluster.team("t" + std::to_string(k % 278));
        if (quota.name != "red") {
            quota.max_cpus = 10 + k % 10;
        }
        ASSERT_TRUE(cluster.configure(quota));
        cluster.run_for(0.05);
    }
    cluster.run_for(60);
    EXPECT_LE(cluster.used("red"), cluster.team("red").max_cpus);
    EXPECT_EQ(cluster.quota_delays_s().size(), 5U * 200U);
    EXPECT_LE(*std::max_element(cluster.quota_delays_s().begin(), cluster.quota_delays_s().end()),
              kMaxPropagationDelay_s);
    EXPECT_TRUE(invariants_hold());
}

TEST_F(QuotaConfigTest, SecondOfTwoConcurrentWritersIsRejected) {
    fill();
    std::uint64_t seen = cluster.version_of("config/team/red");
    EXPECT_EQ(cluster.configure_if_version(quota_of_red(120), seen), 200);
    EXPECT_EQ(cluster.configure_if_version(quota_of_red(200), seen), 409);
    cluster.run_for(60);
    EXPECT_EQ(cluster.used("red"), 120);
    EXPECT_TRUE(invariants_hold());
}

TEST_F(QuotaConfigTest, DelayedWriteTakesEffectWhenTheStoreAppliesIt) {
    fill();
    cluster.configure(quota_of_red(120), 6);
    cluster.run_for(5);
    EXPECT_EQ(cluster.used("red"), 220);
    cluster.run_for(60);
    EXPECT_EQ(cluster.used("red"), 120);
    EXPECT_TRUE(invariants_hold());
}

// A gang above the lowered limit is checkpointed and stopped as a whole. It waits until the limit
// allows it again, and status polls for it are answered meanwhile.
TEST_F(QuotaConfigTest, GangIsEvictedAsAWholeAndWaitsUntilTheLimitAllowsIt) {
    cluster.run_for(20);
    JobSpec gang = cluster.job("req-1", 40, 2);
    gang.kind = JobKind::gang;
    gang.checkpoint_interval_s = 5;
    gang.save_duration_s = 2;
    cluster.submit(0, gang);
    cluster.start_polling_open_jobs();
    cluster.run_for(60);
    ASSERT_EQ(cluster.gang_runs("req-1"), 1);
    TeamQuota before = cluster.team("red");
    cluster.configure(quota_of_red(70));
    cluster.run_for(25);
    EXPECT_EQ(cluster.used("red"), 0);
    EXPECT_EQ(cluster.gang_saves("req-1"), 1);
    cluster.run_for(100);
    EXPECT_LT(cluster.history_checker().longest_unanswered(cluster.now()), 75);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::none);
    cluster.configure(before);
    cluster.run_for(kRun_s + 120);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_TRUE(invariants_hold());
}

TEST_F(QuotaConfigTest, TasksThatLoseTheLeastWorkAreEvictedFirst) {
    cluster.run_for(20);
    JobSpec old = cluster.job("req-1", 40, 2);
    cluster.submit(0, old);
    cluster.run_for(60);
    JobSpec saves = cluster.job("req-2", 20, 2);
    saves.checkpoint_interval_s = 5;
    saves.save_duration_s = 1;
    cluster.submit(0, saves);
    JobSpec young = cluster.job("req-3", 20, 2);
    cluster.submit(0, young);
    cluster.run_for(30);
    ASSERT_EQ(cluster.used("red"), 160);
    cluster.configure(quota_of_red(80));
    cluster.run_for(20);
    EXPECT_EQ(cluster.used("red"), 80);
    for (std::uint32_t i = 0; i < 40; ++i) {
        EXPECT_EQ(cluster.machines_of({"req-1", i}).size(), 1U)
            << "the tasks that have run longest stay";
    }
    EXPECT_TRUE(invariants_hold());
}

TEST_F(QuotaConfigTest, ServiceReplicasAreEvictedAndRestarted) {
    fill(JobKind::service);
    cluster.configure(quota_of_red(50));
    cluster.run_for(20);
    EXPECT_EQ(cluster.used("red"), 50);
    cluster.configure(quota_of_red(150));
    cluster.run_for(40);
    EXPECT_EQ(cluster.used("red"), 150);
    EXPECT_TRUE(invariants_hold());
}

// ---- Responses to users ----

// Returns an interceptor that drops the controller's watch and reads of the quota configuration.
auto drop_quota_config_reads(int controller) {
    return [controller](int from, const OutboundBody& request) {
        const auto* watch = std::get_if<StoreWatch>(&request);
        const auto* range = std::get_if<StoreRange>(&request);
        return from == controller && ((watch && watch->prefix == kQuotaConfigPrefix) ||
                                      (range && range->prefix == kQuotaConfigPrefix));
    };
}

TEST_F(QuotaConfigTest, OnlyTheNewestLimitRejectsASubmission) {
    fill();
    cluster.intercept = drop_quota_config_reads(3);
    TeamQuota small = cluster.team("t9");
    small.max_cpus = 5;
    cluster.configure(small);
    cluster.run_for(1);
    JobSpec job = cluster.job("req-50", 12, 1); // as a gang it needs 12 CPUs at once
    job.kind = JobKind::gang;
    job.team = "t9";
    RequestId at_current = cluster.submit(0, job);
    cluster.run_for(2);
    EXPECT_EQ(cluster.answers.at(at_current).status, 422);
    small.max_cpus = 40;
    cluster.configure(small);
    cluster.run_for(1);
    job.id = "req-51";
    job.tasks = 30; // above the limit in force at controller 3
    RequestId at_stale = cluster.submit(3, job);
    cluster.run_for(2);
    EXPECT_EQ(cluster.answers.at(at_stale).status, 201);
    small.max_cpus = 10;
    cluster.configure(small);
    cluster.run_for(1);
    RequestId repeat = cluster.submit(0, cluster.spec_of("req-51"));
    cluster.run_for(2);
    EXPECT_EQ(cluster.answers.at(repeat).status, 200)
        << "an accepted job stays accepted whatever the limit is";
    EXPECT_TRUE(invariants_hold());
}

// A higher limit that the controller has not received yet must not admit a job that fits no machine
// type.
TEST_F(QuotaConfigTest, JobWithinTheNewestLimitMustStillFitAMachineType) {
    fill();
    cluster.intercept = drop_quota_config_reads(3);
    TeamQuota wide = cluster.team("t9");
    wide.max_cpus = 100;
    cluster.configure(wide);
    cluster.run_for(1);
    // Above the limit in force at the controller, and larger than any machine.
    JobSpec job = cluster.job("req-50", 1, 60);
    job.team = "t9";
    RequestId request_id = cluster.submit(3, job);
    cluster.run_for(2);
    EXPECT_EQ(cluster.answers.at(request_id).status, 422);
    EXPECT_TRUE(invariants_hold());
}

TEST_F(QuotaConfigTest, UnknownTeamIsRejectedOnlyAfterAFreshRead) {
    cluster.run_for(20);
    int reads = 0;
    cluster.intercept = [&](int, const OutboundBody& request) {
        const auto* get = std::get_if<StoreGet>(&request);
        reads += get && get->key == std::string(kQuotaConfigPrefix) + "nobody";
        return false;
    };
    JobSpec job = cluster.job("req-1", 1, 1);
    job.team = "nobody";
    RequestId request_id = cluster.submit(0, job);
    cluster.run_for(2);
    EXPECT_EQ(reads, 1);
    EXPECT_EQ(cluster.answers.at(request_id).status, 422);
    EXPECT_TRUE(invariants_hold());
}

// ---- Invalid values ----

TEST_F(QuotaConfigTest, LastValidValueStaysInForce) {
    fill();
    cluster.configure(quota_of_red(100));
    cluster.run_for(30);
    cluster.put("config/team/red", UnreadableRecord{});
    cluster.run_for(10);
    EXPECT_GE(cluster.log_count("event=record_unreadable"), 5U);
    TeamQuota impossible = quota_of_red(0);
    impossible.guaranteed_cpus = -1;
    cluster.put("config/team/red", QuotaRecord{impossible});
    cluster.run_for(30);
    EXPECT_EQ(cluster.used("red"), 100);
    EXPECT_TRUE(invariants_hold());
}

TEST_F(QuotaConfigTest, LeaderWithoutAValidValueSinceItsStartStartsNoTaskOfTheTeam) {
    fill();
    cluster.configure(quota_of_red(100));
    cluster.run_for(30);
    cluster.put("config/team/red", UnreadableRecord{});
    cluster.run_for(1);
    for (int n = 0; n < 5; ++n) {
        cluster.crash(n, 1); // no controller remembers the last valid value
    }
    cluster.submit(0, cluster.job("req-9", 20, 2));
    cluster.run_for(90);
    EXPECT_EQ(cluster.starts({"req-9", 0}), 0);
    cluster.configure(quota_of_red(120));
    cluster.run_for(80);
    EXPECT_EQ(cluster.used("red"), 120);
    EXPECT_TRUE(invariants_hold());
}

// ---- No controller returns to an older value ----

TEST_F(QuotaConfigTest, NewLeaderStartsNothingBeforeItHasReadTheQuotas) {
    fill();
    cluster.configure(quota_of_red(100));
    cluster.run_for(30);
    int leader = leader_of_red();
    // Whichever controller takes over, its reads of the quota configuration are lost at first.
    bool lost = true;
    cluster.intercept = [&](int, const OutboundBody& request) {
        const auto* range = std::get_if<StoreRange>(&request);
        const auto* watch = std::get_if<StoreWatch>(&request);
        return lost && ((range && range->prefix == kQuotaConfigPrefix) ||
                        (watch && watch->prefix == kQuotaConfigPrefix));
    };
    cluster.crash(leader, 0.2);
    cluster.submit((leader + 1) % 5, cluster.job("req-9", 20, 2));
    cluster.run_for(25);
    EXPECT_EQ(cluster.starts({"req-9", 0}), 0);
    EXPECT_LE(cluster.used("red"), 100);
    lost = false;
    cluster.configure(quota_of_red(200));
    cluster.run_for(60);
    EXPECT_EQ(cluster.used("red"), 200);
    EXPECT_TRUE(invariants_hold());
}

// A leader that the store rejects receives changes from its peers.
TEST_F(QuotaConfigTest, ControllerRejectedByTheStoreLearnsChangesFromItsPeers) {
    fill();
    int leader = leader_of_red();
    cluster.set_store_refusing(leader, true);
    cluster.run_for(2);
    cluster.configure(quota_of_red(100));
    cluster.run_for(kMaxPropagationDelay_s);
    EXPECT_EQ(cluster.quota_delays_s().size(), 5U);
    cluster.run_for(60);
    cluster.set_store_refusing(leader, false);
    cluster.run_for(30);
    EXPECT_LE(cluster.used("red"), 100);
    EXPECT_TRUE(invariants_hold());
}

// ---- Changes during faults ----

enum class Change { limit_lowered, limit_raised, guarantee_changed };
constexpr const char* kChangeNames[] = {"limit_lowered", "limit_raised", "guarantee_changed"};
enum Fault {
    leader_rejected_by_store,
    leader_disconnected,
    leader_frozen,
    store_outage_after_3_s,
    store_outage_at_once,
    leader_crashes,
    leader_crashes_twice,
    all_controllers_crash,
    shards_migrate,
    peers_disconnected,
    machines_unreachable,
    store_responses_lost,
    store_writes_delayed,
    store_watches_lost,
    kFaultCount
};
constexpr const char* kFaultNames[] = {
    "leader_rejected_by_store", "leader_disconnected",   "leader_frozen",
    "store_outage_after_3_s",   "store_outage_at_once",  "leader_crashes",
    "leader_crashes_twice",     "all_controllers_crash", "shards_migrate",
    "peers_disconnected",       "machines_unreachable",  "store_responses_lost",
    "store_writes_delayed",     "store_watches_lost"};

// Parameters: a Fault, which also decides the seed, and a Change.
class QuotaConfigFaults : public QuotaConfigTest,
                          public testing::WithParamInterface<std::tuple<int, int>> {
  protected:
    QuotaConfigFaults()
        : QuotaConfigTest(3 + static_cast<std::uint64_t>(std::get<0>(GetParam()))) {}
    // Cuts the controller off from the store and its peers, or reconnects it.
    void disconnect(int controller, bool cut) {
        cluster.set_store_silent(controller, cut);
        for (int to = 0; to < 5; ++to) {
            cluster.cut_peers(controller, to, cut);
        }
    }
};

TEST_P(QuotaConfigFaults, InvariantsHoldAndTheNewQuotaIsUsed) {
    auto [fault, change] = GetParam();
    fill();
    JobSpec more = cluster.job("req-9", 60, 2);
    cluster.submit(1, more);
    cluster.run_for(5);
    int leader = leader_of_red();
    auto unreachable = cluster.machines_up();
    unreachable.resize(unreachable.size() / 3);
    switch (fault) {
    case leader_rejected_by_store: cluster.set_store_refusing(leader, true); break;
    case leader_disconnected: disconnect(leader, true); break;
    case leader_frozen: cluster.freeze(leader, 25); break;
    case peers_disconnected:
        for (int a = 0; a < 5; ++a) {
            for (int b = 0; b < 5; ++b) {
                cluster.cut_peers(a, b, true);
            }
        }
        break;
    case machines_unreachable:
        for (const auto& machine : unreachable) {
            cluster.cut_machine(machine, true);
        }
        break;
    case store_responses_lost: cluster.random_faults.lost_responses = 0.4; break;
    case store_writes_delayed: cluster.random_faults.late_writes = 0.4; break;
    case store_watches_lost:
        cluster.intercept = [](int, const OutboundBody& request) {
            const auto* watch = std::get_if<StoreWatch>(&request);
            return watch && watch->prefix == kQuotaConfigPrefix;
        };
        cluster.run_for(8); // until the watches in flight have ended
        break;
    default: break;
    }
    cluster.run_for(0.3);
    double limit = cluster.team("red").max_cpus;
    TeamQuota quota = cluster.team("red");
    if (change == int(Change::guarantee_changed)) {
        quota.guaranteed_cpus = 2;
    } else {
        limit = change == int(Change::limit_lowered) ? 100 : 300;
        quota = quota_of_red(limit);
    }
    ASSERT_TRUE(cluster.configure(quota));
    switch (fault) {
    case store_outage_at_once: cluster.set_store_down(true); break;
    case store_outage_after_3_s:
        cluster.run_for(3);
        cluster.set_store_down(true);
        break;
    case leader_crashes: cluster.crash(leader, 8); break;
    case leader_crashes_twice:
        cluster.crash(leader, 0.1);
        cluster.run_for(3);
        cluster.crash(leader_of_red() < 0 ? leader : leader_of_red(), 0.1);
        break;
    case all_controllers_crash:
        for (int n = 0; n < 5; ++n) {
            cluster.crash(n, 0.2 * n);
        }
        break;
    case shards_migrate: {
        int partition = partition_of_team(cluster.cluster_settings(0), "red");
        for (const auto& shard : cluster.held_shards(partition)) {
            cluster.migrate_shard(partition, shard, (partition + 1) % 5);
            cluster.run_for(0.2);
        }
        break;
    }
    default: break;
    }
    cluster.run_for(60);
    cluster.set_store_down(false);
    cluster.set_store_refusing(leader, false);
    disconnect(leader, false);
    for (int a = 0; a < 5; ++a) {
        for (int b = 0; b < 5; ++b) {
            cluster.cut_peers(a, b, false);
        }
    }
    for (const auto& machine : cluster.machines_up()) { // without those released meanwhile
        cluster.cut_machine(machine, false);
    }
    cluster.random_faults = {};
    cluster.intercept = nullptr;
    cluster.run_for(75);
    EXPECT_LE(cluster.used("red"), limit);
    EXPECT_GE(cluster.used("red"), limit - 4) << "all that the limit allows runs";
    EXPECT_LT(cluster.history_checker().longest_unanswered(cluster.now()), 75);
    EXPECT_TRUE(invariants_hold());
    const auto& delays_s = cluster.quota_delays_s();
    ASSERT_GE(delays_s.size(), 5U);
    double longest = *std::max_element(delays_s.begin(), delays_s.end());
    std::printf("%s: in force at the last of %zu after %.2f s\n", kFaultNames[fault],
                delays_s.size(), longest);
    // No path reaches a controller that is frozen, down or disconnected from the store and all
    // peers.
    if (fault != leader_disconnected && fault != leader_frozen && fault != leader_crashes) {
        EXPECT_LE(longest, kMaxPropagationDelay_s);
    }
}
INSTANTIATE_TEST_SUITE_P(FaultsAndChanges, QuotaConfigFaults,
                         testing::Combine(testing::Range(0, int(kFaultCount)),
                                          testing::Range(0, 3)),
                         [](const auto& param_info) {
                             return std::string(kFaultNames[std::get<0>(param_info.param)]) + "_" +
                                    kChangeNames[std::get<1>(param_info.param)];
                         });

// The leader crashes right after the n-th output that follows a lowered limit. Parameter: n.
class QuotaConfigCrash : public QuotaConfigTest, public testing::WithParamInterface<int> {};

TEST_P(QuotaConfigCrash, LoweredLimitHoldsWhenTheLeaderCrashesAfterAnOutput) {
    fill();
    int leader = leader_of_red();
    int outputs_left = GetParam();
    bool counting = false;
    cluster.after_output = [&](int controller, const OutboundRequest*,
                               const Response*) -> std::optional<double> {
        if (!counting || controller != leader || outputs_left < 0 || outputs_left-- > 0) {
            return std::nullopt;
        }
        return 0.3;
    };
    counting = true;
    cluster.configure(quota_of_red(100));
    cluster.run_for(60);
    EXPECT_LT(outputs_left, 0);
    cluster.run_for(40);
    EXPECT_LE(cluster.used("red"), 100);
    EXPECT_GE(cluster.used("red"), 96);
    EXPECT_TRUE(invariants_hold());
}
INSTANTIATE_TEST_SUITE_P(Outputs, QuotaConfigCrash,
                         testing::Values(0, 1, 2, 3, 5, 8, 13, 21, 34, 55, 89));

// ---- QuotaConfig alone ----

class QuotaConfigUnitTest : public testing::Test {
  protected:
    QuotaConfigUnitTest() {
        settings.teams = {{"red", 4, 8, 0, 0}, {"blue", 0, 0, 2, 4}};
        settings.heartbeat_interval_s = 3;
        settings.worker_lease_s = 17;
        settings.cancel_s = 42;
        config.emplace(settings, requests,
                       [this](Time, const TeamQuota& quota) { applied.push_back(quota); });
    }
    ClusterSettings settings;
    StoreRateLimiter rate_limiter{100, 20, 1};
    OutboundRequests requests{rate_limiter, 1};
    std::vector<TeamQuota> applied; // passed to the callback
    std::optional<QuotaConfig> config;
    static QuotaChange change(double cpus_max, std::uint64_t revision) {
        return {"red", TeamQuota{"red", 4, cpus_max, 0, 0}, revision};
    }
};

TEST_F(QuotaConfigUnitTest, ChangeWithAnOlderRevisionIsIgnored) {
    config->apply(1, change(10, 7));
    config->apply(2, change(12, 5));
    config->apply(3, change(12, 7));
    EXPECT_EQ(config->team("red")->max_cpus, 10);
    EXPECT_EQ(applied.size(), 1U);
    EXPECT_EQ(config->changes_since(6).size(), 1U);
    EXPECT_TRUE(config->changes_since(7).empty());
}

TEST_F(QuotaConfigUnitTest, InvalidAndUnreadableValuesAreIgnored) {
    config->apply(1, change(10, 7));
    config->apply(2, change(2, 8)); // below the guarantee
    config->apply(3, {"red", std::nullopt, 9});
    EXPECT_EQ(config->team("red")->max_cpus, 10);
    EXPECT_EQ(config->changes_since(0)[0].revision, 7U);
    config->apply(4, change(11, 10));
    EXPECT_EQ(config->team("red")->max_cpus, 11);
}

TEST_F(QuotaConfigUnitTest, IsCurrentSinceTheTimeOfTheReadUntilTheCancellationDeadline) {
    EXPECT_FALSE(config->is_current(0, 0));
    config->advance(10);
    EXPECT_TRUE(config->is_current(11, 10));
    EXPECT_FALSE(config->is_current(11, 10.5)) << "read before the leadership began";
    EXPECT_FALSE(config->is_current(10 + settings.cancel_s, 10));
}

TEST_F(QuotaConfigUnitTest, InvalidQuotaReasonNamesTheKey) {
    TeamQuota configured{"red", 4, 8, 0, 0};
    auto reason = [&](double cpus, double cpus_max, double gpus, double gpus_max) {
        return invalid_quota_reason(configured, {"red", cpus, cpus_max, gpus, gpus_max});
    };
    EXPECT_EQ(reason(4, 8, 0, 0), "");
    EXPECT_EQ(reason(4, 0, 0, 0), "") << "no limit";
    EXPECT_TRUE(reason(9, 8, 0, 0).starts_with("cpus: above cpus_max"));
    EXPECT_TRUE(reason(-1, 8, 0, 0).starts_with("cpus:"));
    EXPECT_TRUE(reason(1, NAN, 0, 0).starts_with("cpus_max:"));
    EXPECT_TRUE(reason(1, INFINITY, 0, 0).starts_with("cpus_max:"));
    EXPECT_TRUE(reason(4, 8, 1, 2).starts_with("gpus:")) << "the settings state no GPUs";
    EXPECT_TRUE(reason(0, 0, 0, 0).starts_with("cpus:")) << "the settings state CPUs";
    configured.name = "a team";
    EXPECT_TRUE(reason(4, 8, 0, 0).starts_with("team:"));
}

} // namespace
} // namespace scheduler::test
