// One scenario of concurrent faults for each row of the table in docs/meetings.md, on five
// controllers and sixty machines that run arrays, gangs, replicas and remote tasks on lent slots.
// Each scenario is played at several instants, and with a crash of no controller, of the partition
// leader, of the controller that confirms cancellations, or of both.
#include <gtest/gtest.h>

#include <functional>
#include <random>

#include "core/model/partition_assignment.h"
#include "seeds.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

int partition_of(const SimulatedCluster& cluster, const char* team) {
    return partition_of_team(cluster.cluster_settings(0), team);
}

// A simulated cluster that runs jobs of all kinds, and the actions that scenarios take on it.
struct LoadedCluster {
    explicit LoadedCluster(std::uint64_t seed, SimulationOptions options = usual())
        : cluster(with_seed(options, seed)), random(seed) {
        cluster.run_for(40);
        for (const char* team : {"red", "blue"}) {
            submit(JobKind::array, 30, team, 2); // runs on the machines of all partitions
            submit(JobKind::array, 3, team, 1);
            submit(JobKind::array, 2, team, 1);
            submit(JobKind::gang, 6, team, 2);
            submit(JobKind::service, 4, team, 1);
            submit(JobKind::array, 3, team, 2, "b");
        }
        cluster.run_for(35);
        leader = cluster.owner(partition_of(cluster, "red"));
        confirming_controller = (leader + 1) % 5;
    }
    static SimulationOptions usual() {
        return {.nodes = 5,
                .run_s = 60,
                .limits = 10,
                .capacity = 60,
                .state_rps = 400,
                .state_write_rps = 100,
                .cancellation_broadcasts = true};
    }
    static SimulationOptions with_seed(SimulationOptions options, std::uint64_t seed) {
        options.seed = seed;
        options.cancellation_broadcasts = seed % 2 != 0;
        return options;
    }
    int random_below(int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); }
    std::string submit(JobKind kind, std::uint32_t tasks, const char* team, double cpus,
                       const char* zone = nullptr) {
        JobSpec spec = cluster.job("req-" + std::to_string(++jobs), tasks, cpus);
        spec.kind = kind;
        spec.team = team;
        spec.one_zone = kind == JobKind::gang && jobs % 2 != 0;
        if (zone) {
            spec.zone = zone;
        }
        submit_until_accepted(spec, 30);
        return spec.id;
    }
    // Submits the job again every two seconds, each time at a random controller, until it is
    // accepted or `tries` retries have been made.
    void submit_until_accepted(const JobSpec& spec, int tries) {
        RequestId request_id = cluster.submit(random_below(5), spec);
        cluster.at(cluster.now() + 2, [this, spec, request_id, tries] {
            auto answer = cluster.answers.find(request_id);
            bool accepted = answer != cluster.answers.end() && answer->second.status < 500;
            if (!accepted && tries > 0) {
                submit_until_accepted(spec, tries - 1);
            }
        });
    }
    // Sends the controller a cancellation for every third job, which includes jobs of each kind.
    void cancel_a_third(int controller) {
        for (int k = 1 + random_below(3); k <= jobs; k += 3) {
            cluster.cancel(controller, "req-" + std::to_string(k));
        }
    }
    // Returns each running machine with a probability of 1 / `one_in`.
    std::vector<std::string> random_machines(int one_in) {
        std::vector<std::string> out;
        for (const auto& machine : cluster.machines_up()) {
            if (random_below(one_in) == 0) {
                out.push_back(machine);
            }
        }
        return out;
    }
    // Cuts the controller off from all of its peers, or connects it again.
    void cut_all_peers(int controller, bool cut) {
        for (int n = 0; n < 5; ++n) {
            cluster.cut_peers(controller, n, cut);
        }
    }
    double lease() const { return cluster.cluster_settings(0).worker_lease_s; }

    SimulatedCluster cluster;
    std::mt19937_64 random;
    int jobs = 0;
    int leader = -1;
    int confirming_controller = -1;
    std::vector<std::function<void()>> undo; // revert the faults of the scenario
};

// The controllers that crash during a scenario.
enum class Crashed { none, leader, confirming_controller, both };
constexpr double kRestartDelays_s[] = {0, 0.02, 0.3, 6};

struct Scenario {
    const char* name;
    // Injects the faults. `instant` (0, 1 or 2, early to late) selects when they happen; `crash`
    // crashes the controllers chosen by `Crashed` at the time of the call.
    std::function<void(LoadedCluster&, int instant, const std::function<void()>& crash)> play;
    SimulationOptions options = LoadedCluster::usual();
};

SimulationOptions short_tasks(SimulationOptions options = LoadedCluster::usual()) {
    options.run_s = 15;
    return options;
}
SimulationOptions small_quotas(SimulationOptions options = LoadedCluster::usual()) {
    options.limits = 2; // every team is at its quota
    return options;
}

const std::vector<Scenario>& scenarios() {
    static const std::vector<Scenario> all = {
        {"LeaderCutOffFromStoreAndPeersWhileJobsAreCancelledElsewhere",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             loaded.cluster.set_store_silent(loaded.leader, true);
             loaded.cut_all_peers(loaded.leader, true);
             loaded.cluster.run_for(std::array{0.1, 5.0, 14.0}[instant]);
             loaded.cancel_a_third(loaded.confirming_controller);
             loaded.cluster.run_for(0.5);
             crash();
             loaded.cancel_a_third(loaded.leader); // users still reach it and get 503
             loaded.cluster.run_for(2 * loaded.lease());
             loaded.cluster.set_store_silent(loaded.leader, false);
             loaded.cut_all_peers(loaded.leader, false);
         }},
        {"SmallJobsFinishAcrossFailover",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             for (int k = 0; k < 12; ++k) {
                 loaded.submit(JobKind::array, 2 + k % 2, k % 2 ? "red" : "blue", 1);
             }
             // Tasks end after 30 to 90 s.
             loaded.cluster.run_for(std::array{25.0, 40.0, 55.0}[instant]);
             crash();
             loaded.cluster.crash(loaded.leader, 30); // its partition fails over and is handed back
             loaded.cluster.run_for(40);
             crash();
             loaded.cluster.run_for(20);
         }},
        {"WorkersCannotReachControllers",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             // Some machines are unreachable from their boot on.
             loaded.cluster.random_faults.outbound_cut_boots = 0.5;
             for (const auto& machine : loaded.random_machines(4)) {
                 loaded.cluster.cut_outbound(machine, true);
             }
             for (int k = 0; k < 8; ++k) {
                 loaded.submit(JobKind::array, 12, "red", 2);
             }
             loaded.cluster.run_for(std::array{0.5, 8.0, 20.0}[instant]);
             loaded.cancel_a_third(loaded.confirming_controller);
             crash();
             loaded.cluster.run_for(2 * loaded.lease());
             loaded.cluster.random_faults.outbound_cut_boots = 0;
             for (const auto& machine : loaded.cluster.machines_up()) {
                 loaded.cluster.cut_outbound(machine, false);
             }
         }},
        {"CommandsOrResponsesDelayedWhileMachinesHang",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             loaded.cluster.random_faults.delayed_commands = 0.7;
             for (int k = 0; k < 8; ++k) {
                 loaded.submit(k % 3 ? JobKind::array : JobKind::gang, 6, k % 2 ? "red" : "blue",
                               2);
                 loaded.cluster.run_for(0.3);
             }
             for (const auto& machine : loaded.random_machines(6)) {
                 loaded.cluster.hang(machine, 1 + loaded.random_below(20));
             }
             loaded.cluster.run_for(std::array{0.05, 1.0, 4.0}[instant]);
             loaded.cancel_a_third(loaded.confirming_controller);
             crash();
             loaded.cluster.run_for(loaded.lease());
         }},
        {"AllControllersDownForLongerThanTheWorkerLease",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             loaded.cancel_a_third(loaded.confirming_controller);
             loaded.cluster.run_for(std::array{0.01, 0.05, 1.0}[instant]);
             for (int n = 0; n < 5; ++n) {
                 loaded.cluster.crash(n, loaded.lease() + 3 + 4 * loaded.random_below(3));
             }
             loaded.cluster.run_for(loaded.lease() + 15);
             crash();
             loaded.cancel_a_third(loaded.confirming_controller);
             loaded.cluster.run_for(5);
         }},
        {"ZoneCutOffForLongerThanTheWorkerLease",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             loaded.cluster.cut_zone(instant % 2 ? "a" : "b");
             loaded.cluster.run_for(std::array{1.0, 6.0, 20.0}[instant]);
             loaded.cancel_a_third(instant % 2 ? 1 : 0); // a controller of the other zone
             for (int k = 0; k < 4; ++k) {
                 loaded.submit(JobKind::array, 4, "blue", 2);
             }
             crash();
             loaded.cluster.run_for(2.5 * loaded.lease());
             loaded.cluster.cut_zone("");
         }},
        {"TenLeaderCrashesInTwoMinutes",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             for (int k = 0; k < 10; ++k) {
                 int now =
                     loaded.cluster.owner(partition_of(loaded.cluster, k % 2 ? "red" : "blue"));
                 loaded.cluster.crash(now < 0 ? loaded.random_below(5) : now,
                                      std::array{0.02, 4.0, 14.0}[instant]);
                 loaded.cluster.run_for(6);
                 loaded.cancel_a_third(loaded.random_below(5));
                 loaded.submit(JobKind::array, 3, "red", 1);
                 loaded.cluster.run_for(6);
             }
             crash();
         }},
        {"TenLeaderCrashesInTwoMinutesDuringAStoreOutage",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             loaded.cancel_a_third(loaded.confirming_controller);
             loaded.cluster.run_for(0.5);
             loaded.cluster.set_store_down(true);
             for (int k = 0; k < 10; ++k) {
                 loaded.cluster.crash((loaded.leader + k) % 5, std::array{0.02, 4.0, 9.0}[instant]);
                 loaded.cluster.run_for(12);
             }
             crash();
             loaded.cluster.run_for(3);
             loaded.cluster.set_store_down(false);
         }},
        {"ZoneBoundJobsAndArraysLoseMachines",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             for (int k = 0; k < 6; ++k) {
                 loaded.submit(k % 2 ? JobKind::array : JobKind::gang, 5, "red", 2, "b");
             }
             loaded.cluster.run_for(std::array{1.0, 13.0, 25.0}[instant]);
             for (const auto& machine : loaded.random_machines(3)) {
                 if (loaded.cluster.zone_of(machine) == "b") {
                     loaded.cluster.kill_machine(machine);
                 }
             }
             for (const auto& machine : loaded.random_machines(5)) {
                 loaded.cluster.preempt_machine(machine, 5);
             }
             crash();
             loaded.cluster.run_for(10);
             loaded.cancel_a_third(loaded.confirming_controller);
             loaded.cluster.run_for(20);
         }},
        {"MixedPriorityOverloadOverSlowLinks",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             loaded.cluster.set_cloud_capacity(20);
             loaded.cluster.random_faults.link_delay_s = 0.4;
             for (int k = 0; k < 20; ++k) {
                 JobSpec spec = loaded.cluster.job("req-" + std::to_string(++loaded.jobs),
                                                   4 + 10 * (k % 3), 2);
                 spec.priority = k % 3 == 0 ? Priority::high : Priority::normal;
                 spec.team = k % 2 ? "red" : "blue";
                 loaded.submit_until_accepted(spec, 30);
                 loaded.cluster.run_for(1);
             }
             loaded.cluster.run_for(std::array{1.0, 10.0, 30.0}[instant]);
             loaded.cancel_a_third(loaded.confirming_controller);
             crash();
             loaded.cluster.run_for(20);
             loaded.cluster.set_cloud_capacity(60);
         },
         short_tasks()},
        {"TeamsAtQuotaCancelJobsOnUnreachableMachinesDuringFailover",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             for (int k = 0; k < 12; ++k) {
                 loaded.submit(k % 4 ? JobKind::array : JobKind::gang, 5, k % 2 ? "red" : "blue",
                               2);
             }
             loaded.cluster.run_for(20);
             for (const auto& machine : loaded.random_machines(2)) {
                 if (loaded.random_below(2)) {
                     loaded.cluster.cut_machine(machine, true);
                     loaded.undo.emplace_back([&loaded, machine] {
                         auto up = loaded.cluster.machines_up();
                         if (std::find(up.begin(), up.end(), machine) != up.end()) {
                             loaded.cluster.cut_machine(machine, false);
                         }
                     });
                 } else {
                     loaded.cluster.hang(machine, 4 + loaded.random_below(30));
                 }
             }
             auto fail_over = [&] {
                 loaded.cluster.crash(loaded.cluster.owner(partition_of(loaded.cluster, "red")),
                                      25);
             };
             if (instant == 0) { // cancel before, during or after the new leader reads the jobs
                 loaded.cancel_a_third(loaded.confirming_controller);
                 loaded.cluster.run_for(0.2);
                 fail_over();
             } else {
                 fail_over();
                 loaded.cluster.run_for(instant == 1 ? 11.3 : 20.0);
                 loaded.cancel_a_third(loaded.confirming_controller);
             }
             crash();
             loaded.cluster.run_for(1.5 * loaded.lease());
         },
         small_quotas()},
        {"FastBootsAndDelayedWritesWhileTheLeaderCrashes",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             loaded.cluster.random_faults.quick_boots = 1;
             loaded.cluster.random_faults.late_writes = 0.5;
             loaded.cluster.random_faults.lost_responses = instant == 2 ? 0.5 : 0;
             for (int k = 0; k < 6; ++k) {
                 loaded.submit(JobKind::array, 20, "red", 2);
                 loaded.submit(JobKind::gang, 4, "blue", 2);
             }
             loaded.cluster.run_for(std::array{0.5, 2.0, 4.0}[instant]);
             // This leader requests machines for all partitions.
             loaded.cluster.crash(loaded.cluster.owner(0), std::array{0.02, 6.0, 20.0}[instant]);
             crash();
             loaded.cluster.run_for(6);
             crash();
             loaded.cancel_a_third(loaded.confirming_controller);
             loaded.cluster.run_for(20);
         }},
        {"StaleHeartbeatsReachEveryControllerDuringFailover",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             loaded.cluster.random_faults.heartbeats_for_next_leader = 0.6;
             for (int k = 0; k < 4; ++k) {
                 loaded.submit(JobKind::array, 8, "red", 1);
                 loaded.cluster.run_for(5);
                 // Half of these hang for longer than the lease and come back with a new agent
                 // epoch.
                 for (const auto& machine : loaded.random_machines(8)) {
                     loaded.cluster.hang(machine, 1.3 * loaded.lease() * loaded.random_below(2));
                 }
             }
             loaded.cluster.run_for(std::array{1.0, 6.0, 25.0}[instant]);
             loaded.cancel_a_third(loaded.confirming_controller);
             loaded.cluster.crash(loaded.leader, 14);
             crash();
             loaded.cluster.run_for(30); // failover and handback: both leaders get old heartbeats
             loaded.cluster.crash((loaded.leader + 2) % 5, 0.02);
             loaded.cluster.run_for(20);
         },
         short_tasks()},
        {"TransactionExecutedAfterNewerOnes",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             loaded.cluster.random_faults.late_writes = 0.4;
             for (int k = 0; k < 10; ++k) {
                 loaded.submit(k % 3 ? JobKind::array : JobKind::gang, 3, k % 2 ? "red" : "blue",
                               1);
                 loaded.cluster.run_for(1 + instant);
             }
             loaded.cancel_a_third(loaded.confirming_controller);
             crash();
             loaded.cluster.run_for(15);
             crash();
             loaded.cluster.run_for(10);
         },
         short_tasks()},
        {"AllControllersCrashDuringHandbackAndOneRestartsWithinASecond",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             auto shards = loaded.cluster.held_shards(partition_of(loaded.cluster, "red"));
             for (std::size_t k = 0; k < shards.size() / 2; ++k) {
                 loaded.cluster.migrate_shard(partition_of(loaded.cluster, "red"), shards[k],
                                              partition_of(loaded.cluster, "blue"));
             }
             loaded.cluster.crash(loaded.leader, 8);
             // Around the handback of the partition.
             loaded.cluster.run_for(std::array{9.0, 14.0, 32.0}[instant]);
             loaded.cancel_a_third(loaded.confirming_controller);
             loaded.cluster.run_for(0.03);
             int first = loaded.random_below(5);
             for (int n = 0; n < 5; ++n) {
                 loaded.cluster.crash(n, n == first ? 0.6 : 9 + loaded.random_below(8));
             }
             loaded.cluster.run_for(10);
             crash();
             loaded.cluster.run_for(20);
         }},
        {"CancellationsThroughoutAFailover",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             // The leader crashes; a peer acquires the partition, loads and reconciles it and hands
             // it back. Cancellations are sent throughout, one every 0.8 s.
             loaded.cluster.crash(loaded.leader, std::array{0.3, 13.0, 22.0}[instant]);
             int id = 0;
             for (int k = 0; k < 200; ++k) {
                 loaded.cluster.run_for(0.2);
                 if (k % 8 == 0) {
                     loaded.submit(k % 3 == 0   ? JobKind::gang
                                   : k % 3 == 1 ? JobKind::service
                                                : JobKind::array,
                                   4, "red", 1);
                 }
                 if (k % 4 == 0 && id < loaded.jobs) {
                     loaded.cluster.cancel((loaded.leader + 1 + loaded.random_below(4)) % 5,
                                           "req-" + std::to_string(++id));
                 }
                 if (k == 70 + 30 * instant) {
                     crash();
                 }
             }
         }},
        {"LeaderCrashesWhileMachinesAreUnreachableOrMissResponses",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             std::vector<std::string> machines = loaded.random_machines(3);
             for (const auto& machine : machines) {
                 instant == 1 ? loaded.cluster.cut_machine(machine, true)
                              : loaded.cluster.cut_inbound(machine, true);
             }
             loaded.cluster.run_for(std::array{0.5, 3.0, 12.0}[instant]);
             loaded.cluster.crash(loaded.leader, instant ? 25 : 0.02);
             loaded.cluster.run_for(8);
             loaded.cancel_a_third(loaded.confirming_controller);
             crash();
             // Shorter and longer than the worker lease.
             loaded.cluster.run_for(std::array{6.0, 12.0, 30.0}[instant]);
             auto up = loaded.cluster.machines_up();
             for (const auto& machine : machines) {
                 if (std::find(up.begin(), up.end(), machine) != up.end()) {
                     loaded.cluster.cut_machine(machine, false);
                     loaded.cluster.cut_inbound(machine, false);
                 }
             }
             loaded.cluster.run_for(10);
         }},
        {"StoreSlowOrRefusingWhileUsersCancelAndPoll",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             loaded.cluster.random_faults.store_delay_s = instant == 0 ? 2 : 0.3;
             loaded.cluster.set_store_refusing(loaded.leader, instant != 0);
             for (int k = 0; k < 12; ++k) {
                 loaded.submit(JobKind::array, 2, "red", 1);
                 loaded.cluster.poll(loaded.random_below(5),
                                     "req-" + std::to_string(1 + loaded.random_below(loaded.jobs)));
                 loaded.cluster.run_for(0.3);
             }
             loaded.cancel_a_third(loaded.confirming_controller);
             loaded.cluster.run_for(1);
             loaded.cluster.set_store_down(true);
             loaded.cluster.run_for(std::array{5.0, 20.0, 50.0}[instant]);
             loaded.cancel_a_third(loaded.confirming_controller);
             crash();
             loaded.cluster.run_for(10);
             loaded.cluster.set_store_down(false);
             loaded.cluster.set_store_refusing(loaded.leader, false);
             loaded.cluster.run_for(5);
         }},
        {"UserRequestsRaceWithTheEndOfTheLastTask",
         [](LoadedCluster& loaded, int instant, const auto& crash) {
             loaded.cluster.random_faults.cancel_at_end = 1;
             loaded.cluster.random_faults.concurrent_status_reads = 0.5;
             for (int k = 0; k < 16; ++k) {
                 loaded.submit(k % 4 ? JobKind::array : JobKind::gang, 1 + k % 3,
                               k % 2 ? "red" : "blue", 1);
                 loaded.cluster.run_for(1);
             }
             loaded.cluster.run_for(std::array{1.0, 6.0, 12.0}[instant]);
             crash();
             loaded.cluster.run_for(30);
         },
         short_tasks()},
    };
    return all;
}

// `copies`: share of requests that arrive once more during the scenario, see MessageCopies.
void play(const Scenario& scenario, int instant, Crashed crashed, double restart_s,
          std::uint64_t seed, double copies = 0) {
    LoadedCluster loaded(seed, scenario.options);
    SimulatedCluster& cluster = loaded.cluster;
    cluster.random_faults.copies = copies;
    ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    auto crash = [&] {
        if (crashed == Crashed::leader || crashed == Crashed::both) {
            int leader = cluster.owner(partition_of(cluster, "red"));
            cluster.crash(leader < 0 ? loaded.leader : leader, restart_s);
        }
        if (crashed == Crashed::confirming_controller || crashed == Crashed::both) {
            cluster.crash(loaded.confirming_controller, restart_s);
        }
    };
    scenario.play(loaded, instant, crash);
    cluster.random_faults = {};
    for (const auto& revert : loaded.undo) {
        revert();
    }
    ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front() << " at " << cluster.now();
    cluster.run_for(cluster.cluster_settings(0).cancel_s);
    cluster.start_polling_open_jobs(); // all faults have been reverted
    cluster.run_for(260);
    for (const auto& [id, outcome] : cluster.outcomes()) {
        if (cluster.spec_of(id).kind == JobKind::service && outcome == Outcome::none) {
            EXPECT_EQ(cluster.machines_of({id, 0}).size(), 1u) << id;
            cluster.cancel(0, id);
        }
    }
    cluster.run_for(100);
    ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_LT(cluster.longest_unanswered(), 75);
    EXPECT_LT(cluster.history_checker().longest_idle(), 90)
        << cluster.history_checker().longest_idle_job();
    for (const auto& [id, outcome] : cluster.outcomes()) {
        EXPECT_NE(outcome, Outcome::none) << id << cluster.describe(id);
    }
    EXPECT_EQ(cluster.groups_served_below(0.5), std::vector<std::string>{});
}

class FaultPairScenarios : public testing::TestWithParam<int> {};

// Without SCHEDULER_SEEDS each scenario is played once at each instant, with a different
// combination of crashed controllers and restart delay each time; with SCHEDULER_SEEDS all
// combinations are played.
TEST_P(FaultPairScenarios, InvariantsHoldAndEveryJobFinishes) {
    const Scenario& scenario = scenarios().at(static_cast<std::size_t>(GetParam()));
    bool play_all = extra_seed_count() > 0;
    int played = 0;
    for (int instant = 0; instant < 3; ++instant) {
        for (int k = 0; k < 16; ++k) {
            if (!play_all && k != (5 * instant + 3 * GetParam()) % 16) {
                continue;
            }
            SCOPED_TRACE(std::string(scenario.name) + " instant " + std::to_string(instant) +
                         " crashed " + std::to_string(k / 4) + " restart after " +
                         std::to_string(kRestartDelays_s[k % 4]));
            play(scenario, instant, static_cast<Crashed>(k / 4), kRestartDelays_s[k % 4],
                 1 + static_cast<std::uint64_t>(instant * 16 + k));
            ++played;
        }
    }
    EXPECT_EQ(played, play_all ? 48 : 3);
}
INSTANTIATE_TEST_SUITE_P(All, FaultPairScenarios,
                         testing::Range(0, static_cast<int>(scenarios().size())),
                         [](const auto& p) {
                             return scenarios().at(static_cast<std::size_t>(p.param)).name;
                         });

// Without SCHEDULER_SEEDS each scenario is played once while requests of every kind arrive once
// more after they were carried out; with SCHEDULER_SEEDS at each instant with all combinations.
class FaultPairsWithCopies : public testing::TestWithParam<int> {};
TEST_P(FaultPairsWithCopies, InvariantsHoldAndEveryJobFinishes) {
    constexpr double kCopies = 0.3;
    const Scenario& scenario = scenarios().at(static_cast<std::size_t>(GetParam()));
    bool play_all = extra_seed_count() > 0;
    for (int instant = 0; instant < 3; ++instant) {
        for (int k = 0; k < 16; ++k) {
            bool selected = instant == GetParam() % 3 && k == (5 * GetParam() + 2) % 16;
            if (!play_all && !selected) {
                continue;
            }
            SCOPED_TRACE(std::string(scenario.name) + " instant " + std::to_string(instant) +
                         " crashed " + std::to_string(k / 4) + " restart after " +
                         std::to_string(kRestartDelays_s[k % 4]));
            play(scenario, instant, static_cast<Crashed>(k / 4), kRestartDelays_s[k % 4],
                 101 + static_cast<std::uint64_t>(instant * 16 + k), kCopies);
        }
    }
}
INSTANTIATE_TEST_SUITE_P(All, FaultPairsWithCopies,
                         testing::Range(0, static_cast<int>(scenarios().size())),
                         [](const auto& p) {
                             return scenarios().at(static_cast<std::size_t>(p.param)).name;
                         });

// ---- Lost responses of the store ----

bool all_digits(const std::string& s) {
    return !s.empty() &&
           std::all_of(s.begin(), s.end(), [](char c) { return c >= '0' && c <= '9'; });
}

// A kind of store transaction, recognised by one of its writes.
struct TransactionKind {
    const char* name;
    std::function<bool(const StoreCondition* when, const StoreWrite&)> matches;
};
const std::vector<TransactionKind>& transaction_kinds() {
    auto job = [](const StoreWrite& write, Outcome outcome) {
        const auto* record = write.value ? std::get_if<JobRecord>(&*write.value) : nullptr;
        return record && write.key.starts_with(kJobPrefix) && record->outcome == outcome;
    };
    static const std::vector<TransactionKind> all = {
        {"LeadershipAcquired",
         [](auto*, const StoreWrite& write) {
             return write.value && write.key.starts_with("part/") &&
                    all_digits(write.key.substr(5));
         }},
        {"PartitionReturnedToItsHome",
         [](auto*, const StoreWrite& write) {
             return !write.value && write.key.starts_with("part/") &&
                    all_digits(write.key.substr(5));
         }},
        {"HomePartitionRequested",
         [](auto*, const StoreWrite& write) {
             return write.value && write.key.ends_with("/home");
         }},
        {"ShardMigration",
         [](auto*, const StoreWrite& write) { return write.key.ends_with("/shares"); }},
        {"MachineRecord",
         [](auto*, const StoreWrite& write) {
             return write.value && write.key.starts_with("machine/");
         }},
        {"MachineRecordRemoved",
         [](auto*, const StoreWrite& write) {
             return !write.value && write.key.starts_with("machine/");
         }},
        {"ProgressBits",
         [](auto*, const StoreWrite& write) {
             return write.value && write.key.starts_with("done/");
         }},
        {"Outcome", [job](auto*, const StoreWrite& write) { return job(write, Outcome::done); }},
        {"Submission", [job](auto*, const StoreWrite& write) { return job(write, Outcome::none); }},
        {"Cancellation",
         [job](auto*, const StoreWrite& write) { return job(write, Outcome::cancelled); }},
        {"Inventory",
         [](auto*, const StoreWrite& write) {
             return write.value && write.key.starts_with("account/");
         }},
        {"InventoryRemoved",
         [](auto*, const StoreWrite& write) {
             return !write.value && write.key.starts_with("account/");
         }},
        {"Catalog", [](auto*, const StoreWrite& write) { return write.key == "catalog"; }},
    };
    return all;
}

class LostStoreResponses : public testing::TestWithParam<int> {};

// The store executes a transaction and its response is lost, so that the writer cannot know the
// outcome. Lost are the responses to the first, the second, every other or all transactions of one
// kind within a minute; the writer keeps running or crashes and restarts. Meanwhile users make
// concurrent status reads at all controllers.
TEST_P(LostStoreResponses, WriterRereadsAndUsersSeeConsistentHistory) {
    const TransactionKind& kind = transaction_kinds().at(static_cast<std::size_t>(GetParam()));
    for (int which = 0; which < 4; ++which) {
        for (double restart_s : {-1.0, 0.02, 6.0}) {
            SCOPED_TRACE(std::string(kind.name) + " " + std::to_string(which) + " restart after " +
                         std::to_string(restart_s));
            LoadedCluster loaded(17, short_tasks());
            SimulatedCluster& cluster = loaded.cluster;
            int seen = 0;
            int lost = 0;
            Time from = cluster.now();
            cluster.random_faults.concurrent_status_reads = 1;
            cluster.lose_response = [&](int controller, const StoreTransaction& transaction) {
                bool matches = std::any_of(
                    transaction.writes.begin(), transaction.writes.end(),
                    [&](const StoreWrite& write) { return kind.matches(nullptr, write); });
                if (!matches || cluster.now() > from + 60) {
                    return false;
                }
                int number = seen++;
                bool lose_this = which == 3 ? true : which == 2 ? number % 2 == 0 : number == which;
                if (lose_this && ++lost == 1 && restart_s >= 0) {
                    cluster.at(cluster.now() + 0.1, [&cluster, controller, restart_s] {
                        cluster.crash(controller, restart_s);
                    });
                }
                return lose_this;
            };
            // Cause every kind of transaction: submissions, finished and cancelled jobs, machines
            // that are added and lost, a failover while peers cannot reach each other, the handback
            // of the partition, and shard migrations.
            for (int k = 0; k < 4; ++k) {
                loaded.submit(k % 2 ? JobKind::gang : JobKind::array, 3, "red", 2);
            }
            for (int n = 0; n < 5; ++n) {
                loaded.cut_all_peers(n, true);
            }
            cluster.crash(loaded.leader, 14);
            cluster.run_for(20);
            for (int n = 0; n < 5; ++n) {
                loaded.cut_all_peers(n, false);
            }
            loaded.cancel_a_third((loaded.leader + 2) % 5);
            for (const auto& shard : cluster.held_shards(partition_of(cluster, "blue"))) {
                cluster.migrate_shard(partition_of(cluster, "blue"), shard, loaded.random_below(5));
            }
            for (const auto& machine : loaded.random_machines(8)) {
                cluster.kill_machine(machine);
            }
            cluster.crash((loaded.leader + 3) % 5, 0.02); // it fetches the instance types again
            for (int k = 0; k < 6; ++k) {
                loaded.submit(JobKind::array, 40, k % 2 ? "red" : "blue", 2);
                cluster.run_for(6);
                loaded.cancel_a_third((loaded.leader + 2) % 5);
            }
            cluster.random_faults = {};
            cluster.run_for(cluster.cluster_settings(0).cancel_s);
            cluster.lose_response = nullptr;
            cluster.start_polling_open_jobs();
            for (int k = 0; k < 10; ++k) {
                cluster.run_for(30);
                for (const auto& [id, outcome] : cluster.outcomes()) {
                    if (cluster.spec_of(id).kind == JobKind::service && outcome == Outcome::none) {
                        cluster.cancel(0, id);
                    }
                }
            }
            EXPECT_GT(seen, 0);
            EXPECT_TRUE(lost > 0 || which == 1) << seen;
            ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front();
            EXPECT_LT(cluster.longest_unanswered(), 75);
            EXPECT_LT(cluster.history_checker().longest_idle(), 90)
                << cluster.history_checker().longest_idle_job();
            for (const auto& [id, outcome] : cluster.outcomes()) {
                EXPECT_NE(outcome, Outcome::none) << id;
            }
        }
    }
}
INSTANTIATE_TEST_SUITE_P(All, LostStoreResponses,
                         testing::Range(0, static_cast<int>(transaction_kinds().size())),
                         [](const auto& p) {
                             return transaction_kinds().at(static_cast<std::size_t>(p.param)).name;
                         });

// ---- One-task jobs ----

// Four submissions per second for ten minutes, a quarter of them cancelled, with a store outage and
// a leader crash, at the store's rate limits for the smallest deployment: 100 requests and 20
// writes per second for all controllers together.
TEST(OneTaskJobs, FourPerSecondForTenMinutesWithAQuarterCancelledAllFinish) {
    SimulatedCluster cluster({.seed = 5,
                              .nodes = 3,
                              .run_s = 6,
                              .limits = 4,
                              .capacity = 14,
                              .cancellation_broadcasts = true});
    std::mt19937_64 random(5);
    auto random_below = [&](int n) {
        return static_cast<int>(random() % static_cast<unsigned>(n));
    };
    cluster.run_for(30);
    // Submissions not accepted yet, with their request and the number of checks so far.
    std::map<std::string, std::pair<RequestId, int>> open;
    cluster.start_polling_open_jobs();
    int jobs = 0;
    Time from = cluster.now();
    int leaderships_acquired = 0;
    cluster.on_log = [&](Time, int, const std::string& text) {
        leaderships_acquired += text.starts_with("event=leadership_acquired");
    };
    int controller = 0;
    while (cluster.now() < from + 600) {
        JobSpec spec = cluster.job("req-" + std::to_string(++jobs), 1, 1);
        spec.team = random_below(2) ? "red" : "blue";
        open[spec.id] = {cluster.submit(random_below(3), spec), 0};
        if (jobs % 4 == 0) {
            std::string id = "req-" + std::to_string(std::max(1, jobs - random_below(16)));
            cluster.at(cluster.now() + 1,
                       [&cluster, id, n = random_below(3)] { cluster.cancel(n, id); });
        }
        if (jobs == 800) {
            cluster.set_store_down(true);
            cluster.at(cluster.now() + 25, [&cluster] { cluster.set_store_down(false); });
        }
        if (jobs == 1600) {
            cluster.crash(controller =
                              cluster.owner(partition_of_team(cluster.cluster_settings(0), "red")),
                          0.3);
        }
        cluster.run_for(0.25);
        // Submissions are repeated after eight checks, which are two seconds.
        for (auto it = open.begin(); it != open.end();) {
            auto answer = cluster.answers.find(it->second.first);
            bool accepted = answer != cluster.answers.end() && answer->second.status < 500;
            if (!accepted && ++it->second.second % 8 == 0) {
                it->second.first = cluster.submit(random_below(3), cluster.spec_of(it->first));
            }
            it = accepted ? open.erase(it) : std::next(it);
        }
    }
    cluster.run_for(90);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_TRUE(open.empty()) << open.size() << " not accepted, " << open.begin()->first;
    EXPECT_EQ(jobs, 2400);
    EXPECT_LT(cluster.longest_unanswered(), 75);
    EXPECT_LT(cluster.longest_cancelled(), 42);
    EXPECT_EQ(cluster.history_checker().late_starts().sent_after_response, 0);
    std::size_t unfinished = 0;
    for (const auto& [id, outcome] : cluster.outcomes()) {
        unfinished += outcome == Outcome::none;
    }
    EXPECT_EQ(unfinished, 0u);
    // Acquired by the crashed controller; no other lost its lease under the load.
    EXPECT_EQ(leaderships_acquired, 1);
    std::printf("%zu transactions, %zu reads, %zu compared or watched; last task of a cancelled "
                "job after %.1f s; "
                "longest unanswered %.1f s\n",
                cluster.request_count("txn"), cluster.request_count("get"),
                cluster.request_count("watch"), cluster.longest_cancelled(),
                cluster.longest_unanswered());
}

} // namespace
} // namespace scheduler::test
