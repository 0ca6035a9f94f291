// Gangs, services and GPU machines in a simulated cluster: a gang starts as a whole, survives lost
// commands, machines and leaders, and never runs twice at the same time.
#include <gtest/gtest.h>

#include "core/machines/slot_lists.h"
#include "core/model/partition_assignment.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

// Returns a gang of GPU tasks in one zone that saves a checkpoint every 4 s.
JobSpec gang_spec(const SimulatedCluster& cluster, const std::string& id, std::uint32_t tasks,
                  double gpus = 2) {
    JobSpec spec = cluster.job(id, tasks, 4);
    spec.kind = JobKind::gang;
    spec.gpus = gpus;
    spec.checkpoint_interval_s = 4;
    spec.save_duration_s = 1;
    spec.one_zone = true;
    return spec;
}

// Submits the gang and returns about 1 s after all of its tasks began to run together.
void submit_and_await_run(SimulatedCluster& cluster, const JobSpec& spec) {
    cluster.run_for(3);
    cluster.submit(0, spec);
    for (int i = 0; i < 600 && cluster.gang_runs(spec.id) == 0; ++i) {
        cluster.run_for(0.1);
    }
    cluster.run_for(1);
}

std::set<std::string> machines_of_job(const SimulatedCluster& cluster, const JobSpec& spec) {
    std::set<std::string> names;
    for (std::uint32_t i = 0; i < spec.tasks; ++i) {
        names.merge(cluster.machines_of({spec.id, i}));
    }
    return names;
}

TEST(GangScheduling, RunsTogetherInOneZoneAndCompletes) {
    SimulatedCluster cluster({.gpus = true});
    JobSpec spec = gang_spec(cluster, "req-1", 4);
    submit_and_await_run(cluster, spec);
    std::set<std::string> zones;
    for (const auto& machine : machines_of_job(cluster, spec)) {
        zones.insert(cluster.zone_of(machine));
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

TEST(GangScheduling, StartsNoTaskWhenOneSlotIsMissing) {
    SimulatedCluster cluster({.capacity = 1, .gpus = true});
    cluster.run_for(3);
    cluster.submit(0, gang_spec(cluster, "req-1", 3)); // two of the three fit on the only machine
    cluster.run_for(60);
    for (std::uint32_t i = 0; i < 3; ++i) {
        EXPECT_EQ(cluster.starts({"req-1", i}), 0);
    }
    cluster.submit(0, cluster.job("req-2", 4)); // the gang must not reserve these slots
    cluster.run_for(40);
    EXPECT_TRUE(cluster.all_done("req-2"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(GangScheduling, TwoGangsRunInTurnWhenCapacityFitsOne) {
    SimulatedCluster cluster({.capacity = 1, .gpus = true});
    cluster.run_for(3);
    JobSpec other = gang_spec(cluster, "req-2", 2);
    other.team = "blue";
    cluster.submit(0, gang_spec(cluster, "req-1", 2));
    cluster.submit(1, other);
    cluster.run_for(80);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::done);
    EXPECT_EQ(cluster.outcomes().at("req-2"), Outcome::done);
    EXPECT_EQ(cluster.gang_runs("req-1") + cluster.gang_runs("req-2"), 2);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// Returns a gang with more tasks than the machines of any one partition hold, so that an attempt
// needs slots of two partition leaders.
JobSpec spec_across_partitions(const SimulatedCluster& cluster) {
    JobSpec spec = gang_spec(cluster, "req-1", 4, 4);
    spec.one_zone = false;
    return spec;
}

TEST(GangScheduling, CompletesAcrossTwoPartitionsWhenAnyControllerCrashesAtAnyTime) {
    for (int k = 0; k < 8; ++k) {
        for (int crashed = 0; crashed < 3; ++crashed) {
            SimulatedCluster cluster({.seed = 40u + static_cast<unsigned>(k),
                                      .run_s = 12,
                                      .limits = 2,
                                      .capacity = 4,
                                      .gpus = true});
            JobSpec spec = spec_across_partitions(cluster);
            cluster.run_for(3);
            cluster.submit(0, spec);
            cluster.run_for(10 + 0.5 * k);
            cluster.crash(crashed, 5);
            cluster.run_for(150);
            EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
            EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::done) << k << " " << crashed;
        }
    }
}

TEST(GangScheduling, CompletesWhenTheResponseToOneStartIsLost) {
    SimulatedCluster cluster({.gpus = true});
    int start_commands = 0;
    cluster.intercept = [&](int, const OutboundBody& body) {
        const auto* request = std::get_if<WorkerCommands>(&body);
        return request && !request->commands.empty() &&
               request->commands[0].type == CommandType::start && ++start_commands == 2;
    };
    cluster.run_for(3);
    cluster.submit(0, gang_spec(cluster, "req-1", 4));
    cluster.run_for(90);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(GangScheduling, TaskLostWhileTheGangWaitsIsReplacedInTheSameAttempt) {
    SimulatedCluster cluster({.boot_s = 2, .gpus = true});
    cluster.run_for(25); // from then on, one machine without heartbeats is released
    JobSpec spec = gang_spec(cluster, "req-1", 2, 4);
    // One start command is lost and its machine released, while the other task of the gang waits.
    std::string lost;
    cluster.intercept = [&](int, const OutboundBody& body) {
        const auto* request = std::get_if<WorkerCommands>(&body);
        if (!request || request->commands.empty()) {
            return false;
        }
        if (lost.empty() && request->commands[0].type == CommandType::start) {
            lost = request->machine;
            cluster.kill_machine(lost);
        }
        return request->machine == lost;
    };
    cluster.submit(0, spec);
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

TEST(GangScheduling, TaskLostWhileTheGangRunsDelaysTheNextAttemptUntilItIsGone) {
    SimulatedCluster cluster({.run_s = 20, .gpus = true});
    cluster.set_cloud_down(false);
    JobSpec spec = gang_spec(cluster, "req-1", 2, 4);
    submit_and_await_run(cluster, spec);
    std::string machine = *cluster.machines_of({"req-1", 0}).begin();
    // Otherwise the machine would be released, which proves that the task is gone.
    cluster.set_cloud_down(true);
    cluster.cut_machine(machine, true);
    cluster.run_for(10);
    // The unreachable machine may still run its task, so no task of the gang may start.
    EXPECT_EQ(cluster.gang_runs("req-1"), 1);
    EXPECT_EQ(cluster.starts({"req-1", 1}), 1);
    cluster.set_cloud_down(false);
    cluster.run_for(80);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::done);
    EXPECT_EQ(cluster.gang_runs("req-1"), 2);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(GangScheduling, IsCheckpointedOnAPreemptionNotice) {
    SimulatedCluster cluster({.run_s = 30, .gpus = true});
    JobSpec spec = gang_spec(cluster, "req-1", 3, 4);
    submit_and_await_run(cluster, spec);
    cluster.preempt_machine(*cluster.machines_of({"req-1", 0}).begin(), 10);
    cluster.run_for(9);
    EXPECT_EQ(cluster.gang_saves("req-1"), 1);
    cluster.run_for(80);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(GangScheduling, CompletesWithoutACheckpointWhenAPeerTaskIsUnreachable) {
    SimulatedCluster cluster({.run_s = 30, .gpus = true});
    JobSpec spec = gang_spec(cluster, "req-1", 3, 4);
    submit_and_await_run(cluster, spec);
    std::string cut = *cluster.machines_of({"req-1", 1}).begin();
    cluster.cut_machine(cut, true);
    cluster.preempt_machine(*cluster.machines_of({"req-1", 0}).begin(), 10);
    cluster.run_for(8);
    EXPECT_EQ(cluster.gang_saves("req-1"), 0);
    cluster.run_for(120);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(GangScheduling, CancelledWhileGatheringSlotsStartsNoTask) {
    SimulatedCluster cluster({.capacity = 1, .gpus = true});
    cluster.run_for(3);
    cluster.submit(0, gang_spec(cluster, "req-1", 3));
    cluster.run_for(20);
    cluster.cancel(1, "req-1");
    cluster.run_for(60);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::cancelled);
    EXPECT_EQ(cluster.starts({"req-1", 0}), 0);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(GangScheduling, CompleteGangContinuesAfterFailover) {
    SimulatedCluster cluster({.run_s = 40, .gpus = true});
    JobSpec spec = gang_spec(cluster, "req-1", 3, 4);
    submit_and_await_run(cluster, spec);
    cluster.crash(cluster.owner(partition_of_team(cluster.cluster_settings(0), "red")), 30);
    cluster.run_for(100);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::done);
    EXPECT_EQ(cluster.gang_runs("req-1"), 1);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(GangScheduling, PartlyStartedGangIsRestartedAfterFailover) {
    SimulatedCluster cluster({.run_s = 20, .gpus = true});
    int start_commands = 0;
    cluster.intercept = [&](int, const OutboundBody& body) { // one of its start commands is lost
        const auto* request = std::get_if<WorkerCommands>(&body);
        return request && !request->commands.empty() &&
               request->commands[0].type == CommandType::start && ++start_commands == 2;
    };
    cluster.run_for(3);
    cluster.submit(0, gang_spec(cluster, "req-1", 2, 4));
    for (int i = 0; i < 400 && start_commands < 2; ++i) {
        cluster.run_for(0.05);
    }
    cluster.crash(cluster.owner(partition_of_team(cluster.cluster_settings(0), "red")), 5);
    cluster.run_for(120);
    EXPECT_EQ(cluster.outcomes().at("req-1"), Outcome::done);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(GpuQuota, LimitHoldsWhileTasksArePossiblyRunning) {
    SimulatedCluster cluster({.run_s = 40, .capacity = 12, .gpus = true});
    cluster.run_for(3);
    cluster.submit(0, cluster.job("req-1", 30));
    cluster.run_for(25);
    EXPECT_EQ(cluster.used("red"), 12);
    for (int i = 0; i < 2; ++i) { // their tasks count until they are known to be gone
        cluster.cut_machine(cluster.machines_up()[static_cast<std::size_t>(i)], true);
    }
    cluster.run_for(150);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(ServiceJob, ReplicasSpreadOverZonesRecoverFromAnUnreachableZone) {
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
    for (const auto& machine : cluster.machines_up()) {
        cluster.cut_machine(machine, cluster.zone_of(machine) == "b");
    }
    cluster.run_for(15);
    for (const auto& machine : cluster.machines_up()) {
        cluster.cut_machine(machine, false);
    }
    cluster.run_for(60);
    EXPECT_EQ(cluster.used("red"), 6);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// In a full cluster, a gang that may not preempt tasks would wait until two GPUs of one machine
// happen to become free at the same time.
TEST(Preemption, GangWithinItsGuaranteePreemptsTasksBeyondAnotherTeamsGuarantee) {
    SimulatedCluster cluster({.run_s = 200, .capacity = 4, .gpus = true});
    cluster.run_for(3);
    cluster.submit(0, cluster.job("req-1", 12)); // red is guaranteed 8 GPUs and runs 12
    JobSpec blue = cluster.job("req-2", 4);
    blue.team = "blue";
    cluster.submit(0, blue); // now all 16 GPUs are in use
    cluster.run_for(40);
    ASSERT_EQ(cluster.used("red") + cluster.used("blue"), 16);
    // Red already exceeds its own guarantee, so its gang must not preempt.
    JobSpec beyond_guarantee = gang_spec(cluster, "req-3", 1, 4);
    cluster.submit(0, beyond_guarantee);
    cluster.run_for(20);
    EXPECT_EQ(cluster.gang_runs("req-3"), 0);
    cluster.cancel(0, "req-2");
    cluster.run_for(1);
    JobSpec within_guarantee = gang_spec(cluster, "req-4", 1, 4); // blue is guaranteed 4
    within_guarantee.team = "blue";
    cluster.submit(0, within_guarantee);
    cluster.run_for(12);
    EXPECT_EQ(cluster.gang_runs("req-4"), 1);
    EXPECT_GE(cluster.used("red"), 8);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// Tasks of older jobs that are not reconciled yet must not delay a job submitted after the
// failover: no earlier leader can have started a task of it.
TEST(Failover, JobSubmittedAfterwardsRunsBeforeOlderTasksAreReconciled) {
    SimulatedCluster cluster({.run_s = 60, .limits = 2, .gpus = true});
    cluster.run_for(3);
    JobSpec other = cluster.job("req-1", 32);
    other.team = "blue";
    cluster.submit(0, other);
    cluster.submit(0, cluster.job("req-2", 4));
    cluster.run_for(30);
    int leader = cluster.owner(partition_of_team(cluster.cluster_settings(0), "red"));
    cluster.set_cloud_down(true);
    cluster.cancel(1, "req-1"); // every partition then has idle slots
    cluster.run_for(1);
    cluster.crash(leader, 1);
    for (int n = 0; n < 3; ++n) { // no inventory of another partition arrives
        cluster.cut_peers(leader, n, n != leader);
    }
    cluster.run_for(6);
    cluster.submit((leader + 1) % 3, cluster.job("req-3", 1));
    cluster.run_for(8);
    EXPECT_GE(cluster.starts({"req-3", 0}), 1);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(PartitionPlacement, TeamsWithOnlyGpuQuotasAreBalancedByGpus) {
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

TEST(SlotLists, GpuMachineHasOneSlotPerGpu) {
    InstanceType type{"g2", 16, 2, 96, 0, 0, 0, 0, 0, {}};
    EXPECT_EQ(slots_needed(type, 5, 1, 29), 1);
    EXPECT_EQ(slots_needed(type, 14, 1, 29), 2);     // its CPUs decide
    EXPECT_EQ(min_listed_slots(type, 14, 1, 29), 1); // machines with one idle GPU are listed too
    EXPECT_EQ(min_listed_slots(type, 4, 0, 8), 0);   // a task without GPUs fits next to GPU tasks
    EXPECT_EQ(idle_slots(2, 1, 60, type), 1);
}

// A one-zone gang whose tasks do not fill their machines must start even if the idle slots suffice
// in total but not in any one zone. A gang of 19 tasks of 3 CPUs once waited forever next to 15
// empty machines of 8 CPUs, six in one zone and nine in the other.
TEST(GangPlacement, OneZoneGangOfAnySizeCompletes) {
    for (double cpus : {1.5, 3.0, 5.0}) {
        for (std::uint32_t tasks = 2; tasks <= 20; tasks += 3) {
            SimulatedCluster cluster(
                {.seed = tasks, .nodes = 5, .run_s = 20, .limits = 20, .capacity = 60});
            cluster.run_for(30);
            // An earlier job leaves machines in both zones.
            cluster.submit(0, cluster.job("req-1", tasks * 2, cpus));
            cluster.run_for(40);
            JobSpec spec = cluster.job("req-2", tasks, cpus);
            spec.kind = JobKind::gang;
            spec.one_zone = true;
            cluster.submit(1, spec);
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
