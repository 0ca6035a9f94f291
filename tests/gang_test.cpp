// Gangs, services and GPU machines: the core against the model of the cluster.
#include <gtest/gtest.h>

#include "core/machines/slot_lists.h"
#include "core/model/partition_assignment.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

JobSpec gang(const SimulatedCluster& cluster, const std::string& id, std::uint32_t tasks,
             double gpus = 2) {
    JobSpec spec = cluster.job(id, tasks, 4);
    spec.kind = JobKind::gang;
    spec.gpus = gpus;
    spec.checkpoint_interval_s = 4;
    spec.save_duration_s = 1;
    spec.one_zone = true;
    return spec;
}

void until_it_runs(SimulatedCluster& cluster, const JobSpec& spec) {
    cluster.run_for(3);
    cluster.submit(0, spec);
    for (int i = 0; i < 600 && cluster.gang_runs(spec.id) == 0; ++i) {
        cluster.run_for(0.1);
    }
    cluster.run_for(1);
}

std::set<std::string> machines(const SimulatedCluster& cluster, const JobSpec& spec) {
    std::set<std::string> out;
    for (std::uint32_t i = 0; i < spec.tasks; ++i) {
        out.merge(cluster.machines_of({spec.id, i}));
    }
    return out;
}

TEST(Gang, RunsTogetherInOneZoneAndIsDone) {
    SimulatedCluster cluster({.gpus = true});
    JobSpec g = gang(cluster, "req-1", 4);
    until_it_runs(cluster, g);
    std::set<std::string> zones;
    for (const auto& m : machines(cluster, g)) {
        zones.insert(cluster.zone_of(m));
    }
    EXPECT_EQ(zones.size(), 1u);
    cluster.run_for(20);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::done);
    EXPECT_EQ(cluster.gang_runs("req-1"), 1);
    for (std::uint32_t i = 0; i < 4; ++i) {
        EXPECT_EQ(cluster.starts({"req-1", i}), 1);
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Gang, WithAllButOneOfItsSlotsStartsNothing) {
    SimulatedCluster cluster({.capacity = 1, .gpus = true});
    cluster.run_for(3);
    cluster.submit(0, gang(cluster, "req-1", 3)); // two of the three fit on the only machine
    cluster.run_for(60);
    for (std::uint32_t i = 0; i < 3; ++i) {
        EXPECT_EQ(cluster.starts({"req-1", i}), 0);
    }
    cluster.submit(0, cluster.job("req-2", 4)); // and its slots are not held back
    cluster.run_for(40);
    EXPECT_TRUE(cluster.all_done("req-2"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Gang, TwoWithRoomForOneRunOneAfterTheOther) {
    SimulatedCluster cluster({.capacity = 1, .gpus = true});
    cluster.run_for(3);
    JobSpec other = gang(cluster, "req-2", 2);
    other.team = "blue";
    cluster.submit(0, gang(cluster, "req-1", 2));
    cluster.submit(1, other);
    cluster.run_for(80);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::done);
    EXPECT_EQ(cluster.outcomes().at("req-2"), Outcome::done);
    EXPECT_EQ(cluster.gang_runs("req-1") + cluster.gang_runs("req-2"), 2);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// More tasks than the machines of any one part hold: slots of two owners make one attempt.
JobSpec across(const SimulatedCluster& cluster) {
    JobSpec g = gang(cluster, "req-1", 4, 4);
    g.one_zone = false;
    return g;
}

TEST(Gang, AcrossTwoOwnersWhenOneCrashesAtAnyTime) {
    for (int k = 0; k < 8; ++k) {
        for (int victim = 0; victim < 3; ++victim) {
            SimulatedCluster cluster({.seed = 40u + static_cast<unsigned>(k),
                                      .run_s = 12,
                                      .limits = 2,
                                      .capacity = 4,
                                      .gpus = true});
            JobSpec g = across(cluster);
            cluster.run_for(3);
            cluster.submit(0, g);
            cluster.run_for(10 + 0.5 * k);
            cluster.crash(victim, 5);
            cluster.run_for(150);
            EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
            EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::done) << k << " " << victim;
        }
    }
}

TEST(Gang, ALostAnswerToOneStartEndsWell) {
    SimulatedCluster cluster({.gpus = true});
    int direct = 0;
    cluster.intercept = [&](int, const OutboundBody& body) {
        const auto* orders = std::get_if<WorkerCommands>(&body);
        return orders && !orders->commands.empty() &&
               orders->commands[0].type == CommandType::start && ++direct == 2;
    };
    cluster.run_for(3);
    cluster.submit(0, gang(cluster, "req-1", 4));
    cluster.run_for(90);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Gang, ATaskLostWhileTheyWaitIsReplacedUnderTheSameAttempt) {
    SimulatedCluster cluster({.boot_s = 2, .gpus = true});
    cluster.run_for(25); // from here on, a machine that is silent alone is given up
    JobSpec g = gang(cluster, "req-1", 2, 4);
    // One start never arrives, and the machine is released: its mate waits meanwhile.
    std::string lost;
    cluster.intercept = [&](int, const OutboundBody& body) {
        const auto* orders = std::get_if<WorkerCommands>(&body);
        if (!orders || orders->commands.empty()) {
            return false;
        }
        if (lost.empty() && orders->commands[0].type == CommandType::start) {
            lost = orders->machine;
            cluster.kill_machine(lost);
        }
        return orders->machine == lost;
    };
    cluster.submit(0, g);
    for (int i = 0; i < 400 && lost.empty(); ++i) {
        cluster.run_for(0.1);
    }
    ASSERT_FALSE(lost.empty());
    cluster.run_for(1.5);
    std::uint64_t first =
        std::max(cluster.attempt_of({"req-1", 0}), cluster.attempt_of({"req-1", 1}));
    ASSERT_NE(first, 0u);
    for (int i = 0; i < 250 && cluster.gang_runs("req-1") == 0; ++i) {
        cluster.run_for(0.1);
    }
    EXPECT_EQ(cluster.attempt_of({"req-1", 0}), first);
    EXPECT_EQ(cluster.attempt_of({"req-1", 1}), first);
    cluster.run_for(30);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Gang, ATaskLostWhileTheyRunEndsTheAttemptAndTheNextWaitsUntilItIsKnownGone) {
    SimulatedCluster cluster({.run_s = 20, .gpus = true});
    cluster.set_cloud_down(false);
    JobSpec g = gang(cluster, "req-1", 2, 4);
    until_it_runs(cluster, g);
    std::string machine = *cluster.machines_of({"req-1", 0}).begin();
    cluster.set_cloud_down(true); // so that no release makes it known
    cluster.cut_machine(machine, true);
    cluster.run_for(10);
    // The silent machine may still run it: nothing of the gang may start.
    EXPECT_EQ(cluster.gang_runs("req-1"), 1);
    EXPECT_EQ(cluster.starts({"req-1", 1}), 1);
    cluster.set_cloud_down(false);
    cluster.run_for(80);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::done);
    EXPECT_EQ(cluster.gang_runs("req-1"), 2);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Gang, IsStoppedInGoodOrderWhenAMachineIsToGo) {
    SimulatedCluster cluster({.run_s = 30, .gpus = true});
    JobSpec g = gang(cluster, "req-1", 3, 4);
    until_it_runs(cluster, g);
    cluster.preempt_machine(*cluster.machines_of({"req-1", 0}).begin(), 10);
    cluster.run_for(9);
    EXPECT_EQ(cluster.gang_saves("req-1"), 1);
    cluster.run_for(80);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Gang, WhoseMatesAreToldTooLateFallsBackAndStillEnds) {
    SimulatedCluster cluster({.run_s = 30, .gpus = true});
    JobSpec g = gang(cluster, "req-1", 3, 4);
    until_it_runs(cluster, g);
    std::string cut = *cluster.machines_of({"req-1", 1}).begin();
    cluster.cut_machine(cut, true);
    cluster.preempt_machine(*cluster.machines_of({"req-1", 0}).begin(), 10);
    cluster.run_for(8);
    EXPECT_EQ(cluster.gang_saves("req-1"), 0);
    cluster.run_for(120);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Gang, CancelledWhileItGathersStartsNothing) {
    SimulatedCluster cluster({.capacity = 1, .gpus = true});
    cluster.run_for(3);
    cluster.submit(0, gang(cluster, "req-1", 3));
    cluster.run_for(20);
    cluster.cancel(1, "req-1");
    cluster.run_for(60);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::cancelled);
    EXPECT_EQ(cluster.starts({"req-1", 0}), 0);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Gang, GoesOnUnderANewOwnerIfItIsWhole) {
    SimulatedCluster cluster({.run_s = 40, .gpus = true});
    JobSpec g = gang(cluster, "req-1", 3, 4);
    until_it_runs(cluster, g);
    cluster.crash(cluster.owner(partition_of_team(cluster.cluster_settings(0), "red")), 30);
    cluster.run_for(100);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::done);
    EXPECT_EQ(cluster.gang_runs("req-1"), 1);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Gang, LeftIncompleteByItsOwnerIsEndedAndStartedAnew) {
    SimulatedCluster cluster({.run_s = 20, .gpus = true});
    int direct = 0;
    cluster.intercept = [&](int, const OutboundBody& body) { // one of its starts never goes out
        const auto* orders = std::get_if<WorkerCommands>(&body);
        return orders && !orders->commands.empty() &&
               orders->commands[0].type == CommandType::start && ++direct == 2;
    };
    cluster.run_for(3);
    cluster.submit(0, gang(cluster, "req-1", 2, 4));
    for (int i = 0; i < 400 && direct < 2; ++i) {
        cluster.run_for(0.05);
    }
    cluster.crash(cluster.owner(partition_of_team(cluster.cluster_settings(0), "red")), 5);
    cluster.run_for(120);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Teams, WithAGpuLimitOnlyKeepItWithDoubtfulTasks) {
    SimulatedCluster cluster({.run_s = 40, .capacity = 12, .gpus = true});
    cluster.run_for(3);
    cluster.submit(0, cluster.job("req-1", 30));
    cluster.run_for(25);
    EXPECT_EQ(cluster.used("red"), 12);
    for (int i = 0; i < 2; ++i) { // these count until they are known gone
        cluster.cut_machine(cluster.machines_up()[static_cast<std::size_t>(i)], true);
    }
    cluster.run_for(150);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Service, IsSpreadOverZonesAlsoWhenOneIsCutOff) {
    SimulatedCluster cluster({.capacity = 12, .gpus = true});
    JobSpec spec = cluster.job("req-1", 6);
    spec.kind = JobKind::service;
    spec.priority = Priority::production;
    spec.spread = true;
    spec.estimated_run_s = 0;
    cluster.run_for(3);
    cluster.submit(0, spec);
    cluster.run_for(25);
    EXPECT_EQ(cluster.used("red"), 6);
    for (const auto& m : cluster.machines_up()) {
        cluster.cut_machine(m, cluster.zone_of(m) == "b");
    }
    cluster.run_for(15);
    for (const auto& m : cluster.machines_up()) {
        cluster.cut_machine(m, false);
    }
    cluster.run_for(60);
    EXPECT_EQ(cluster.used("red"), 6);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// A full place: without room made for it, the gang would wait until two GPUs of one machine happen
// to fall free together.
TEST(Preemption, AGangWithinItsGuaranteeStopsWhatRunsBeyondAnotherTeams) {
    SimulatedCluster cluster({.run_s = 200, .capacity = 4, .gpus = true});
    cluster.run_for(3);
    cluster.submit(0, cluster.job("req-1", 12)); // red is guaranteed 8 GPUs and runs 12
    JobSpec blue = cluster.job("req-2", 4);
    blue.team = "blue";
    cluster.submit(0, blue); // the place is full: 16 GPUs
    cluster.run_for(40);
    ASSERT_EQ(cluster.used("red") + cluster.used("blue"), 16);
    JobSpec borrows = gang(cluster, "req-3", 1, 4); // red runs beyond its guarantee itself
    cluster.submit(0, borrows);
    cluster.run_for(20);
    EXPECT_EQ(cluster.gang_runs("req-3"), 0);
    cluster.cancel(0, "req-2");
    cluster.run_for(1);
    JobSpec within = gang(cluster, "req-4", 1, 4); // blue is guaranteed 4
    within.team = "blue";
    cluster.submit(0, within);
    cluster.run_for(12);
    EXPECT_EQ(cluster.gang_runs("req-4"), 1);
    EXPECT_GE(cluster.used("red"), 8);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// Whatever an owner before us started, it was not a job that did not exist yet.
TEST(Takeover, AJobThatComesAfterItRunsWhileOlderTasksAreStillInDoubt) {
    SimulatedCluster cluster({.run_s = 60, .limits = 2, .gpus = true});
    cluster.run_for(3);
    JobSpec other = cluster.job("req-1", 32);
    other.team = "blue";
    cluster.submit(0, other);
    cluster.submit(0, cluster.job("req-2", 4));
    cluster.run_for(30);
    int leader = cluster.owner(partition_of_team(cluster.cluster_settings(0), "red"));
    cluster.set_cloud_down(true);
    cluster.cancel(1, "req-1"); // so that every part has idle slots
    cluster.run_for(1);
    cluster.crash(leader, 1);
    for (int n = 0; n < 3; ++n) { // no listing of other parts arrives
        cluster.cut_peers(leader, n, n != leader);
    }
    cluster.run_for(6);
    cluster.submit((leader + 1) % 3, cluster.job("req-3", 1));
    cluster.run_for(8);
    EXPECT_GE(cluster.starts({"req-3", 0}), 1);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Parts, TeamsThatStateOnlyGpusAreSpreadByThem) {
    ClusterSettings settings;
    settings.partitions = {{"n0", "a"}, {"n1", "a"}, {"n2", "b"}};
    settings.teams = {{"w", 0, 0, 1000, 2500},
                      {"x", 0, 0, 1200, 4000},
                      {"y", 0, 0, 700, 2500},
                      {"z", 0, 0, 800, 3000}};
    EXPECT_EQ(partition_of_team(settings, "x"), 0);
    EXPECT_EQ(partition_of_team(settings, "w"), 1);
    EXPECT_EQ(partition_of_team(settings, "z"), 2);
    EXPECT_EQ(partition_of_team(settings, "y"), 2);
}

TEST(Slots, OfAGpuMachineAreItsGpus) {
    InstanceType type{"g2", 16, 2, 96, 0, 0, 0, 0, 0, {}};
    EXPECT_EQ(slots_needed(type, 5, 1, 29), 1);
    EXPECT_EQ(slots_needed(type, 14, 1, 29), 2);     // by its CPUs
    EXPECT_EQ(min_listed_slots(type, 14, 1, 29), 1); // yet one GPU is enough to look
    EXPECT_EQ(min_listed_slots(type, 4, 0, 8), 0);   // a task without GPUs fits beside tasks with
    EXPECT_EQ(idle_slots(2, 1, 60, type), 1);
}

// Tasks that do not fill their machines, in one zone: what is there is enough by its slots, but not
// in any one zone. A gang of 19 tasks of 3 CPUs once waited for ever beside fifteen empty machines
// of 8 CPUs, six in one zone and nine in the other.
TEST(GangPlacing, OneZoneBeginsWhateverItsSize) {
    for (double cpus : {1.5, 3.0, 5.0}) {
        for (std::uint32_t tasks = 2; tasks <= 20; tasks += 3) {
            SimulatedCluster cluster(
                {.seed = tasks, .nodes = 5, .run_s = 20, .limits = 20, .capacity = 60});
            cluster.run_for(30);
            // What came before leaves machines in both zones.
            cluster.submit(0, cluster.job("req-1", tasks * 2, cpus));
            cluster.run_for(40);
            JobSpec gang = cluster.job("req-2", tasks, cpus);
            gang.kind = JobKind::gang;
            gang.one_zone = true;
            cluster.submit(1, gang);
            cluster.start_polling_open_jobs();
            cluster.run_for(200);
            EXPECT_TRUE(cluster.all_done("req-2"))
                << tasks << " of " << cpus << cluster.describe("req-2");
            EXPECT_LT(cluster.history_checker().longest_idle(), 90)
                << cluster.history_checker().longest_idle_job();
            EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
        }
    }
}

} // namespace
} // namespace scheduler::test
