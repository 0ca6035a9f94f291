// Gangs, services and GPU machines in a simulated cluster: a gang starts as a whole, survives lost
// commands, machines and leaders, and never runs twice at the same time.
#include <gtest/gtest.h>

#include "core/machines/slot_lists.h"
#include "core/model/partition_assignment.h"
#include "world.h"

namespace scheduler::test {
namespace {

JobSpec gang(const World& world, const std::string& id, std::uint32_t tasks, double gpus = 2) {
    JobSpec spec = world.job(id, tasks, 4);
    spec.kind = JobKind::gang;
    spec.gpus = gpus;
    spec.checkpoint_interval_s = 4;
    spec.save_duration_s = 1;
    spec.one_zone = true;
    return spec;
}

void until_it_runs(World& world, const JobSpec& spec) {
    world.run_for(3);
    world.submit(0, spec);
    for (int i = 0; i < 600 && world.gang_runs(spec.id) == 0; ++i) {
        world.run_for(0.1);
    }
    world.run_for(1);
}

std::set<std::string> machines(const World& world, const JobSpec& spec) {
    std::set<std::string> out;
    for (std::uint32_t i = 0; i < spec.tasks; ++i) {
        out.merge(world.machines_of({spec.id, i}));
    }
    return out;
}

TEST(Gang, RunsTogetherInOneZoneAndIsDone) {
    World world({.gpus = true});
    JobSpec g = gang(world, "req-1", 4);
    until_it_runs(world, g);
    std::set<std::string> zones;
    for (const auto& m : machines(world, g)) {
        zones.insert(world.zone_of(m));
    }
    EXPECT_EQ(zones.size(), 1u);
    world.run_for(20);
    EXPECT_EQ(world.outcomes().at("req-1"), Outcome::done);
    EXPECT_EQ(world.gang_runs("req-1"), 1);
    for (std::uint32_t i = 0; i < 4; ++i) {
        EXPECT_EQ(world.starts({"req-1", i}), 1);
    }
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

TEST(Gang, WithAllButOneOfItsSlotsStartsNothing) {
    World world({.capacity = 1, .gpus = true});
    world.run_for(3);
    world.submit(0, gang(world, "req-1", 3)); // two of the three fit on the only machine
    world.run_for(60);
    for (std::uint32_t i = 0; i < 3; ++i) {
        EXPECT_EQ(world.starts({"req-1", i}), 0);
    }
    world.submit(0, world.job("req-2", 4)); // the gang must not reserve these slots
    world.run_for(40);
    EXPECT_TRUE(world.all_done("req-2"));
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

TEST(Gang, TwoWithRoomForOneRunOneAfterTheOther) {
    World world({.capacity = 1, .gpus = true});
    world.run_for(3);
    JobSpec other = gang(world, "req-2", 2);
    other.team = "blue";
    world.submit(0, gang(world, "req-1", 2));
    world.submit(1, other);
    world.run_for(80);
    EXPECT_EQ(world.outcomes().at("req-1"), Outcome::done);
    EXPECT_EQ(world.outcomes().at("req-2"), Outcome::done);
    EXPECT_EQ(world.gang_runs("req-1") + world.gang_runs("req-2"), 2);
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

// More tasks than the machines of any one part hold: slots of two owners make one attempt.
JobSpec across(const World& world) {
    JobSpec g = gang(world, "req-1", 4, 4);
    g.one_zone = false;
    return g;
}

TEST(Gang, AcrossTwoOwnersWhenOneCrashesAtAnyTime) {
    for (int k = 0; k < 8; ++k) {
        for (int victim = 0; victim < 3; ++victim) {
            World world({.seed = 40u + static_cast<unsigned>(k),
                         .run_s = 12,
                         .limits = 2,
                         .capacity = 4,
                         .gpus = true});
            JobSpec g = across(world);
            world.run_for(3);
            world.submit(0, g);
            world.run_for(10 + 0.5 * k);
            world.crash(victim, 5);
            world.run_for(150);
            EXPECT_TRUE(world.broken.empty()) << world.broken.front();
            EXPECT_EQ(world.outcomes().at("req-1"), Outcome::done) << k << " " << victim;
        }
    }
}

TEST(Gang, ALostAnswerToOneStartEndsWell) {
    World world({.gpus = true});
    int direct = 0;
    world.intercept = [&](int, const OutboundBody& body) {
        const auto* orders = std::get_if<WorkerCommands>(&body);
        return orders && !orders->commands.empty() &&
               orders->commands[0].type == CommandType::start && ++direct == 2;
    };
    world.run_for(3);
    world.submit(0, gang(world, "req-1", 4));
    world.run_for(90);
    EXPECT_EQ(world.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

TEST(Gang, ATaskLostWhileTheyWaitIsReplacedUnderTheSameAttempt) {
    World world({.boot_s = 2, .gpus = true});
    world.run_for(25); // from then on, one machine without heartbeats is released
    JobSpec g = gang(world, "req-1", 2, 4);
    // One start command is lost and its machine is released, while the other task of the gang
    // waits.
    std::string lost;
    world.intercept = [&](int, const OutboundBody& body) {
        const auto* orders = std::get_if<WorkerCommands>(&body);
        if (!orders || orders->commands.empty()) {
            return false;
        }
        if (lost.empty() && orders->commands[0].type == CommandType::start) {
            lost = orders->machine;
            world.kill_machine(lost);
        }
        return orders->machine == lost;
    };
    world.submit(0, g);
    for (int i = 0; i < 400 && lost.empty(); ++i) {
        world.run_for(0.1);
    }
    ASSERT_FALSE(lost.empty());
    world.run_for(1.5);
    std::uint64_t first = std::max(world.attempt_of({"req-1", 0}), world.attempt_of({"req-1", 1}));
    ASSERT_NE(first, 0u);
    for (int i = 0; i < 250 && world.gang_runs("req-1") == 0; ++i) {
        world.run_for(0.1);
    }
    EXPECT_EQ(world.attempt_of({"req-1", 0}), first);
    EXPECT_EQ(world.attempt_of({"req-1", 1}), first);
    world.run_for(30);
    EXPECT_EQ(world.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

TEST(Gang, ATaskLostWhileTheyRunEndsTheAttemptAndTheNextWaitsUntilItIsKnownGone) {
    World world({.run_s = 20, .gpus = true});
    world.cloud_down(false);
    JobSpec g = gang(world, "req-1", 2, 4);
    until_it_runs(world, g);
    std::string machine = *world.machines_of({"req-1", 0}).begin();
    world.cloud_down(true); // otherwise the machine is released, which proves that the task is gone
    world.cut_machine(machine, true);
    world.run_for(10);
    // The unreachable machine may still run its task, so no task of the gang may start.
    EXPECT_EQ(world.gang_runs("req-1"), 1);
    EXPECT_EQ(world.starts({"req-1", 1}), 1);
    world.cloud_down(false);
    world.run_for(80);
    EXPECT_EQ(world.outcomes().at("req-1"), Outcome::done);
    EXPECT_EQ(world.gang_runs("req-1"), 2);
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

TEST(Gang, IsStoppedInGoodOrderWhenAMachineIsToGo) {
    World world({.run_s = 30, .gpus = true});
    JobSpec g = gang(world, "req-1", 3, 4);
    until_it_runs(world, g);
    world.take_machine(*world.machines_of({"req-1", 0}).begin(), 10);
    world.run_for(9);
    EXPECT_EQ(world.gang_saves("req-1"), 1);
    world.run_for(80);
    EXPECT_EQ(world.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

TEST(Gang, WhoseMatesAreToldTooLateFallsBackAndStillEnds) {
    World world({.run_s = 30, .gpus = true});
    JobSpec g = gang(world, "req-1", 3, 4);
    until_it_runs(world, g);
    std::string cut = *world.machines_of({"req-1", 1}).begin();
    world.cut_machine(cut, true);
    world.take_machine(*world.machines_of({"req-1", 0}).begin(), 10);
    world.run_for(8);
    EXPECT_EQ(world.gang_saves("req-1"), 0);
    world.run_for(120);
    EXPECT_EQ(world.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

TEST(Gang, CancelledWhileItGathersStartsNothing) {
    World world({.capacity = 1, .gpus = true});
    world.run_for(3);
    world.submit(0, gang(world, "req-1", 3));
    world.run_for(20);
    world.cancel(1, "req-1");
    world.run_for(60);
    EXPECT_EQ(world.outcomes().at("req-1"), Outcome::cancelled);
    EXPECT_EQ(world.starts({"req-1", 0}), 0);
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

TEST(Gang, GoesOnUnderANewOwnerIfItIsWhole) {
    World world({.run_s = 40, .gpus = true});
    JobSpec g = gang(world, "req-1", 3, 4);
    until_it_runs(world, g);
    world.crash(world.owner(partition_of_team(world.facts(0), "red")), 30);
    world.run_for(100);
    EXPECT_EQ(world.outcomes().at("req-1"), Outcome::done);
    EXPECT_EQ(world.gang_runs("req-1"), 1);
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

TEST(Gang, LeftIncompleteByItsOwnerIsEndedAndStartedAnew) {
    World world({.run_s = 20, .gpus = true});
    int direct = 0;
    world.intercept = [&](int, const OutboundBody& body) { // one of its start commands is lost
        const auto* orders = std::get_if<WorkerCommands>(&body);
        return orders && !orders->commands.empty() &&
               orders->commands[0].type == CommandType::start && ++direct == 2;
    };
    world.run_for(3);
    world.submit(0, gang(world, "req-1", 2, 4));
    for (int i = 0; i < 400 && direct < 2; ++i) {
        world.run_for(0.05);
    }
    world.crash(world.owner(partition_of_team(world.facts(0), "red")), 5);
    world.run_for(120);
    EXPECT_EQ(world.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

TEST(Teams, WithAGpuLimitOnlyKeepItWithDoubtfulTasks) {
    World world({.run_s = 40, .capacity = 12, .gpus = true});
    world.run_for(3);
    world.submit(0, world.job("req-1", 30));
    world.run_for(25);
    EXPECT_EQ(world.used("red"), 12);
    for (int i = 0; i < 2; ++i) { // their tasks count until they are known to be gone
        world.cut_machine(world.machines_up()[static_cast<std::size_t>(i)], true);
    }
    world.run_for(150);
    EXPECT_TRUE(world.all_done("req-1"));
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

TEST(Service, IsSpreadOverZonesAlsoWhenOneIsCutOff) {
    World world({.capacity = 12, .gpus = true});
    JobSpec spec = world.job("req-1", 6);
    spec.kind = JobKind::service;
    spec.priority = Priority::production;
    spec.spread = true;
    spec.estimated_run_s = 0;
    world.run_for(3);
    world.submit(0, spec);
    world.run_for(25);
    EXPECT_EQ(world.used("red"), 6);
    for (const auto& m : world.machines_up()) {
        world.cut_machine(m, world.zone_of(m) == "b");
    }
    world.run_for(15);
    for (const auto& m : world.machines_up()) {
        world.cut_machine(m, false);
    }
    world.run_for(60);
    EXPECT_EQ(world.used("red"), 6);
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

// In a full cluster, a gang that may not preempt tasks would wait until two GPUs of one machine
// happen to become free at the same time.
TEST(Preemption, AGangWithinItsGuaranteeStopsWhatRunsBeyondAnotherTeams) {
    World world({.run_s = 200, .capacity = 4, .gpus = true});
    world.run_for(3);
    world.submit(0, world.job("req-1", 12)); // red is guaranteed 8 GPUs and runs 12
    JobSpec blue = world.job("req-2", 4);
    blue.team = "blue";
    world.submit(0, blue); // now all 16 GPUs are in use
    world.run_for(40);
    ASSERT_EQ(world.used("red") + world.used("blue"), 16);
    JobSpec borrows = gang(world, "req-3", 1, 4); // red runs beyond its guarantee itself
    world.submit(0, borrows);
    world.run_for(20);
    EXPECT_EQ(world.gang_runs("req-3"), 0);
    world.cancel(0, "req-2");
    world.run_for(1);
    JobSpec within = gang(world, "req-4", 1, 4); // blue is guaranteed 4
    within.team = "blue";
    world.submit(0, within);
    world.run_for(12);
    EXPECT_EQ(world.gang_runs("req-4"), 1);
    EXPECT_GE(world.used("red"), 8);
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

// Tasks of older jobs that are not reconciled yet must not delay a job submitted after the
// failover: no earlier leader can have started a task of it.
TEST(Takeover, AJobThatComesAfterItRunsWhileOlderTasksAreStillInDoubt) {
    World world({.run_s = 60, .limits = 2, .gpus = true});
    world.run_for(3);
    JobSpec other = world.job("req-1", 32);
    other.team = "blue";
    world.submit(0, other);
    world.submit(0, world.job("req-2", 4));
    world.run_for(30);
    int leader = world.owner(partition_of_team(world.facts(0), "red"));
    world.cloud_down(true);
    world.cancel(1, "req-1"); // every partition then has idle slots
    world.run_for(1);
    world.crash(leader, 1);
    for (int n = 0; n < 3; ++n) { // no inventory of another partition arrives
        world.cut_peers(leader, n, n != leader);
    }
    world.run_for(6);
    world.submit((leader + 1) % 3, world.job("req-3", 1));
    world.run_for(8);
    EXPECT_GE(world.starts({"req-3", 0}), 1);
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
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
    EXPECT_EQ(slots_needed(type, 14, 1, 29), 2);     // its CPUs decide
    EXPECT_EQ(min_listed_slots(type, 14, 1, 29), 1); // machines with one idle GPU are listed too
    EXPECT_EQ(min_listed_slots(type, 4, 0, 8), 0);   // a task without GPUs fits next to GPU tasks
    EXPECT_EQ(idle_slots(2, 1, 60, type), 1);
}

// A one-zone gang whose tasks do not fill their machines: the idle slots suffice in total but not
// in any one zone, so a scale-out is necessary. A gang of 19 tasks of 3 CPUs once waited forever
// next to 15 empty machines of 8 CPUs, six in one zone and nine in the other.
TEST(GangPlacing, OneZoneBeginsWhateverItsSize) {
    for (double cpus : {1.5, 3.0, 5.0}) {
        for (std::uint32_t tasks = 2; tasks <= 20; tasks += 3) {
            World world({.seed = tasks, .nodes = 5, .run_s = 20, .limits = 20, .capacity = 60});
            world.run_for(30);
            // An earlier job leaves machines in both zones.
            world.submit(0, world.job("req-1", tasks * 2, cpus));
            world.run_for(40);
            JobSpec gang = world.job("req-2", tasks, cpus);
            gang.kind = JobKind::gang;
            gang.one_zone = true;
            world.submit(1, gang);
            world.ask_often();
            world.run_for(200);
            EXPECT_TRUE(world.all_done("req-2"))
                << tasks << " of " << cpus << world.describe("req-2");
            EXPECT_LT(world.judge().longest_idle(), 90) << world.judge().idlest();
            EXPECT_TRUE(world.broken.empty()) << world.broken.front();
        }
    }
}

} // namespace
} // namespace scheduler::test
