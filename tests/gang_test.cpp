// Gangs, services and GPU machines: the core against the model of the world.
#include <gtest/gtest.h>

#include "core/parts.h"
#include "core/slot_lists.h"
#include "world.h"

namespace orchidlanding::test {
namespace {

JobSpec gang(const World& w, const std::string& id, std::uint32_t tasks, double gpus = 2) {
    JobSpec s = w.job(id, tasks, 4);
    s.kind = JobKind::gang;
    s.gpus = gpus;
    s.checkpoint_s = 4;
    s.save_s = 1;
    s.one_zone = true;
    return s;
}

void until_it_runs(World& w, const JobSpec& spec) {
    w.run_for(3);
    w.submit(0, spec);
    for (int i = 0; i < 600 && w.gang_runs(spec.id) == 0; ++i) {
        w.run_for(0.1);
    }
    w.run_for(1);
}

std::set<std::string> machines(const World& w, const JobSpec& spec) {
    std::set<std::string> out;
    for (std::uint32_t i = 0; i < spec.tasks; ++i) {
        out.merge(w.machines_of({spec.id, i}));
    }
    return out;
}

TEST(Gang, RunsTogetherInOneZoneAndIsDone) {
    World w({.gpus = true});
    JobSpec g = gang(w, "req-1", 4);
    until_it_runs(w, g);
    std::set<std::string> zones;
    for (const auto& m : machines(w, g)) {
        zones.insert(w.zone_of(m));
    }
    EXPECT_EQ(zones.size(), 1u);
    w.run_for(20);
    EXPECT_EQ(w.outcomes().at("req-1"), Outcome::done);
    EXPECT_EQ(w.gang_runs("req-1"), 1);
    for (std::uint32_t i = 0; i < 4; ++i) {
        EXPECT_EQ(w.starts({"req-1", i}), 1);
    }
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

TEST(Gang, WithAllButOneOfItsSlotsStartsNothing) {
    World w({.capacity = 1, .gpus = true});
    w.run_for(3);
    w.submit(0, gang(w, "req-1", 3)); // two of the three fit on the only machine
    w.run_for(60);
    for (std::uint32_t i = 0; i < 3; ++i) {
        EXPECT_EQ(w.starts({"req-1", i}), 0);
    }
    w.submit(0, w.job("req-2", 4)); // and its slots are not held back
    w.run_for(40);
    EXPECT_TRUE(w.all_done("req-2"));
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

TEST(Gang, TwoWithRoomForOneRunOneAfterTheOther) {
    World w({.capacity = 1, .gpus = true});
    w.run_for(3);
    JobSpec other = gang(w, "req-2", 2);
    other.team = "blue";
    w.submit(0, gang(w, "req-1", 2));
    w.submit(1, other);
    w.run_for(80);
    EXPECT_EQ(w.outcomes().at("req-1"), Outcome::done);
    EXPECT_EQ(w.outcomes().at("req-2"), Outcome::done);
    EXPECT_EQ(w.gang_runs("req-1") + w.gang_runs("req-2"), 2);
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

// More tasks than the machines of any one part hold: slots of two owners make one attempt.
JobSpec across(const World& w) {
    JobSpec g = gang(w, "req-1", 4, 4);
    g.one_zone = false;
    return g;
}

TEST(Gang, AcrossTwoOwnersWhenOneCrashesAtAnyTime) {
    for (int k = 0; k < 8; ++k) {
        for (int victim = 0; victim < 3; ++victim) {
            World w({.seed = 40u + static_cast<unsigned>(k),
                     .run_s = 12,
                     .limits = 2,
                     .capacity = 4,
                     .gpus = true});
            JobSpec g = across(w);
            w.run_for(3);
            w.submit(0, g);
            w.run_for(10 + 0.5 * k);
            w.crash(victim, 5);
            w.run_for(150);
            EXPECT_TRUE(w.broken.empty()) << w.broken.front();
            EXPECT_EQ(w.outcomes().at("req-1"), Outcome::done) << k << " " << victim;
        }
    }
}

TEST(Gang, ALostAnswerToOneStartEndsWell) {
    World w({.gpus = true});
    int direct = 0;
    w.intercept = [&](int, const CallBody& body) {
        const auto* orders = std::get_if<Orders>(&body);
        return orders && !orders->commands.empty() && orders->commands[0].op == Op::start &&
               ++direct == 2;
    };
    w.run_for(3);
    w.submit(0, gang(w, "req-1", 4));
    w.run_for(90);
    EXPECT_EQ(w.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

TEST(Gang, ATaskLostWhileTheyWaitIsReplacedUnderTheSameAttempt) {
    World w({.boot_s = 2, .gpus = true});
    w.run_for(25); // from here on, a machine that is silent alone is given up
    JobSpec g = gang(w, "req-1", 2, 4);
    // One start never arrives, and the machine is released: its mate waits meanwhile.
    std::string lost;
    w.intercept = [&](int, const CallBody& body) {
        const auto* orders = std::get_if<Orders>(&body);
        if (!orders || orders->commands.empty()) {
            return false;
        }
        if (lost.empty() && orders->commands[0].op == Op::start) {
            lost = orders->machine;
            w.kill_machine(lost);
        }
        return orders->machine == lost;
    };
    w.submit(0, g);
    for (int i = 0; i < 400 && lost.empty(); ++i) {
        w.run_for(0.1);
    }
    ASSERT_FALSE(lost.empty());
    w.run_for(1.5);
    std::uint64_t first = std::max(w.attempt_of({"req-1", 0}), w.attempt_of({"req-1", 1}));
    ASSERT_NE(first, 0u);
    for (int i = 0; i < 250 && w.gang_runs("req-1") == 0; ++i) {
        w.run_for(0.1);
    }
    EXPECT_EQ(w.attempt_of({"req-1", 0}), first);
    EXPECT_EQ(w.attempt_of({"req-1", 1}), first);
    w.run_for(30);
    EXPECT_EQ(w.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

TEST(Gang, ATaskLostWhileTheyRunEndsTheAttemptAndTheNextWaitsUntilItIsKnownGone) {
    World w({.run_s = 20, .gpus = true});
    w.cloud_down(false);
    JobSpec g = gang(w, "req-1", 2, 4);
    until_it_runs(w, g);
    std::string machine = *w.machines_of({"req-1", 0}).begin();
    w.cloud_down(true); // so that no release makes it known
    w.cut_machine(machine, true);
    w.run_for(10);
    // The silent machine may still run it: nothing of the gang may start.
    EXPECT_EQ(w.gang_runs("req-1"), 1);
    EXPECT_EQ(w.starts({"req-1", 1}), 1);
    w.cloud_down(false);
    w.run_for(80);
    EXPECT_EQ(w.outcomes().at("req-1"), Outcome::done);
    EXPECT_EQ(w.gang_runs("req-1"), 2);
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

TEST(Gang, IsStoppedInGoodOrderWhenAMachineIsToGo) {
    World w({.run_s = 30, .gpus = true});
    JobSpec g = gang(w, "req-1", 3, 4);
    until_it_runs(w, g);
    w.take_machine(*w.machines_of({"req-1", 0}).begin(), 10);
    w.run_for(9);
    EXPECT_EQ(w.gang_saves("req-1"), 1);
    w.run_for(80);
    EXPECT_EQ(w.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

TEST(Gang, WhoseMatesAreToldTooLateFallsBackAndStillEnds) {
    World w({.run_s = 30, .gpus = true});
    JobSpec g = gang(w, "req-1", 3, 4);
    until_it_runs(w, g);
    std::string cut = *w.machines_of({"req-1", 1}).begin();
    w.cut_machine(cut, true);
    w.take_machine(*w.machines_of({"req-1", 0}).begin(), 10);
    w.run_for(8);
    EXPECT_EQ(w.gang_saves("req-1"), 0);
    w.run_for(120);
    EXPECT_EQ(w.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

TEST(Gang, CancelledWhileItGathersStartsNothing) {
    World w({.capacity = 1, .gpus = true});
    w.run_for(3);
    w.submit(0, gang(w, "req-1", 3));
    w.run_for(20);
    w.cancel(1, "req-1");
    w.run_for(60);
    EXPECT_EQ(w.outcomes().at("req-1"), Outcome::cancelled);
    EXPECT_EQ(w.starts({"req-1", 0}), 0);
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

TEST(Gang, GoesOnUnderANewOwnerIfItIsWhole) {
    World w({.run_s = 40, .gpus = true});
    JobSpec g = gang(w, "req-1", 3, 4);
    until_it_runs(w, g);
    w.crash(w.owner(part_of_team(w.facts(0), "red")), 30);
    w.run_for(100);
    EXPECT_EQ(w.outcomes().at("req-1"), Outcome::done);
    EXPECT_EQ(w.gang_runs("req-1"), 1);
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

TEST(Gang, LeftIncompleteByItsOwnerIsEndedAndStartedAnew) {
    World w({.run_s = 20, .gpus = true});
    int direct = 0;
    w.intercept = [&](int, const CallBody& body) { // one of its starts never goes out
        const auto* orders = std::get_if<Orders>(&body);
        return orders && !orders->commands.empty() && orders->commands[0].op == Op::start &&
               ++direct == 2;
    };
    w.run_for(3);
    w.submit(0, gang(w, "req-1", 2, 4));
    for (int i = 0; i < 400 && direct < 2; ++i) {
        w.run_for(0.05);
    }
    w.crash(w.owner(part_of_team(w.facts(0), "red")), 5);
    w.run_for(120);
    EXPECT_EQ(w.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

TEST(Teams, WithAGpuLimitOnlyKeepItWithDoubtfulTasks) {
    World w({.run_s = 40, .capacity = 12, .gpus = true});
    w.run_for(3);
    w.submit(0, w.job("req-1", 30));
    w.run_for(25);
    EXPECT_EQ(w.used("red"), 12);
    for (int i = 0; i < 2; ++i) { // these count until they are known gone
        w.cut_machine(w.machines_up()[static_cast<std::size_t>(i)], true);
    }
    w.run_for(150);
    EXPECT_TRUE(w.all_done("req-1"));
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

TEST(Service, IsSpreadOverZonesAlsoWhenOneIsCutOff) {
    World w({.capacity = 12, .gpus = true});
    JobSpec s = w.job("req-1", 6);
    s.kind = JobKind::service;
    s.priority = Priority::production;
    s.spread = true;
    s.estimate_s = 0;
    w.run_for(3);
    w.submit(0, s);
    w.run_for(25);
    EXPECT_EQ(w.used("red"), 6);
    for (const auto& m : w.machines_up()) {
        w.cut_machine(m, w.zone_of(m) == "b");
    }
    w.run_for(15);
    for (const auto& m : w.machines_up()) {
        w.cut_machine(m, false);
    }
    w.run_for(60);
    EXPECT_EQ(w.used("red"), 6);
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

// A full place: without room made for it, the gang would wait until two GPUs of one machine happen
// to fall free together.
TEST(Preemption, AGangWithinItsGuaranteeStopsWhatRunsBeyondAnotherTeams) {
    World w({.run_s = 200, .capacity = 4, .gpus = true});
    w.run_for(3);
    w.submit(0, w.job("req-1", 12)); // red is guaranteed 8 GPUs and runs 12
    JobSpec blue = w.job("req-2", 4);
    blue.team = "blue";
    w.submit(0, blue); // the place is full: 16 GPUs
    w.run_for(40);
    ASSERT_EQ(w.used("red") + w.used("blue"), 16);
    JobSpec borrows = gang(w, "req-3", 1, 4); // red runs beyond its guarantee itself
    w.submit(0, borrows);
    w.run_for(20);
    EXPECT_EQ(w.gang_runs("req-3"), 0);
    w.cancel(0, "req-2");
    w.run_for(1);
    JobSpec within = gang(w, "req-4", 1, 4); // blue is guaranteed 4
    within.team = "blue";
    w.submit(0, within);
    w.run_for(12);
    EXPECT_EQ(w.gang_runs("req-4"), 1);
    EXPECT_GE(w.used("red"), 8);
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

// Whatever an owner before us started, it was not a job that did not exist yet.
TEST(Takeover, AJobThatComesAfterItRunsWhileOlderTasksAreStillInDoubt) {
    World w({.run_s = 60, .limits = 2, .gpus = true});
    w.run_for(3);
    JobSpec other = w.job("req-1", 32);
    other.team = "blue";
    w.submit(0, other);
    w.submit(0, w.job("req-2", 4));
    w.run_for(30);
    int owner = w.owner(part_of_team(w.facts(0), "red"));
    w.cloud_down(true);
    w.cancel(1, "req-1"); // so that every part has idle slots
    w.run_for(1);
    w.crash(owner, 1);
    for (int n = 0; n < 3; ++n) { // no listing of other parts arrives
        w.cut_peers(owner, n, n != owner);
    }
    w.run_for(6);
    w.submit((owner + 1) % 3, w.job("req-3", 1));
    w.run_for(8);
    EXPECT_GE(w.starts({"req-3", 0}), 1);
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

TEST(Parts, TeamsThatStateOnlyGpusAreSpreadByThem) {
    Facts f;
    f.parts = {{"n0", "a"}, {"n1", "a"}, {"n2", "b"}};
    f.teams = {{"w", 0, 0, 1000, 2500},
               {"x", 0, 0, 1200, 4000},
               {"y", 0, 0, 700, 2500},
               {"z", 0, 0, 800, 3000}};
    EXPECT_EQ(part_of_team(f, "x"), 0);
    EXPECT_EQ(part_of_team(f, "w"), 1);
    EXPECT_EQ(part_of_team(f, "z"), 2);
    EXPECT_EQ(part_of_team(f, "y"), 2);
}

TEST(Slots, OfAGpuMachineAreItsGpus) {
    MachineType t{"g2", 16, 2, 96, 0, 0, 0, 0, 0, {}};
    EXPECT_EQ(slots_needed(t, 5, 1, 29), 1);
    EXPECT_EQ(slots_needed(t, 14, 1, 29), 2); // by its CPUs
    EXPECT_EQ(slots_listed(t, 14, 1, 29), 1); // yet one GPU is enough to look
    EXPECT_EQ(slots_listed(t, 4, 0, 8), 0);   // a task without GPUs fits beside tasks with
    EXPECT_EQ(slots_idle(2, 1, 60, t), 1);
}

// Tasks that do not fill their machines, in one zone: what is there is enough by its slots, but not
// in any one zone. A gang of 19 tasks of 3 CPUs once waited for ever beside fifteen empty machines
// of 8 CPUs, six in one zone and nine in the other.
TEST(GangPlacing, OneZoneBeginsWhateverItsSize) {
    for (double cpus : {1.5, 3.0, 5.0}) {
        for (std::uint32_t tasks = 2; tasks <= 20; tasks += 3) {
            World w({.seed = tasks, .nodes = 5, .run_s = 20, .limits = 20, .capacity = 60});
            w.run_for(30);
            // What came before leaves machines in both zones.
            w.submit(0, w.job("req-1", tasks * 2, cpus));
            w.run_for(40);
            JobSpec gang = w.job("req-2", tasks, cpus);
            gang.kind = JobKind::gang;
            gang.one_zone = true;
            w.submit(1, gang);
            w.ask_often();
            w.run_for(200);
            EXPECT_TRUE(w.all_done("req-2")) << tasks << " of " << cpus << w.describe("req-2");
            EXPECT_LT(w.judge().longest_idle(), 90) << w.judge().idlest();
            EXPECT_TRUE(w.broken.empty()) << w.broken.front();
        }
    }
}

} // namespace
} // namespace orchidlanding::test
