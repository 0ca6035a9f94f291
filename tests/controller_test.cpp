// Tests of whole controllers in a simulated cluster with a fake clock and injected faults: job
// lifecycle, failover, leadership, cancellation, slot borrowing and partition placement.
#include <gtest/gtest.h>

#include "core/model/partition_assignment.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

// Returns the partition whose leader places the jobs of team `red`.
int partition_of_red(const SimulatedCluster& cluster) {
    return partition_of_team(cluster.cluster_settings(0), "red");
}

// Polls the job at the controller. Returns its stage, the response status if that is not 200, or
// "no answer".
std::string poll_stage(SimulatedCluster& cluster, int controller, const std::string& job) {
    RequestId id = cluster.poll(controller, job);
    cluster.run_for(0.5);
    auto it = cluster.answers.find(id);
    if (it == cluster.answers.end() || it->second.status != 200) {
        return it == cluster.answers.end() ? "no answer" : std::to_string(it->second.status);
    }
    return std::get<JobStatusBody>(it->second.body).stage;
}

// Submits a job and returns once its first task runs, which includes the scale-out for it.
void submit_and_await_start(SimulatedCluster& cluster, const std::string& id, std::uint32_t tasks) {
    cluster.run_for(3);
    RequestId request_id = cluster.submit(0, cluster.job(id, tasks));
    cluster.run_for(0.5);
    ASSERT_EQ(cluster.answers.at(request_id).status, 201);
    for (int i = 0; i < 200 && cluster.machines_of({id, 0}).empty(); ++i) {
        cluster.run_for(0.25);
    }
    ASSERT_EQ(cluster.machines_of({id, 0}).size(), 1u);
}

TEST(JobLifecycle, JobCompletesAndEveryControllerReportsDone) {
    SimulatedCluster cluster({});
    submit_and_await_start(cluster, "req-1", 5);
    cluster.run_for(30);
    EXPECT_TRUE(cluster.all_done("req-1"));
    for (int controller = 0; controller < 3; ++controller) {
        EXPECT_EQ(poll_stage(cluster, controller, "req-1"), "done");
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(JobLifecycle, RetriedSubmissionReturnsStatusAndUnknownJobReturns404) {
    SimulatedCluster cluster({});
    submit_and_await_start(cluster, "req-1", 2);
    RequestId again = cluster.submit(1, cluster.job("req-1", 2));
    RequestId unknown = cluster.poll(2, "req-99");
    cluster.run_for(0.5);
    EXPECT_EQ(cluster.answers.at(again).status, 200);
    EXPECT_EQ(cluster.answers.at(unknown).status, 404);
    cluster.run_for(30);
    RequestId later = cluster.submit(2, cluster.job("req-1", 2));
    cluster.run_for(0.5);
    EXPECT_EQ(std::get<JobStatusBody>(cluster.answers.at(later).body).stage, "done");
}

TEST(JobLifecycle, RejectsJobsThatCanNeverRun) {
    SimulatedCluster cluster({});
    cluster.run_for(3);
    JobSpec team = cluster.job("req-1", 1);
    team.team = "nobody";
    JobSpec large = cluster.job("req-2", 1, 9);
    JobSpec limit = cluster.job("req-3", 1, 25);
    JobSpec gang = cluster.job("req-4", 13); // each single task is within the team's limit
    gang.kind = JobKind::gang;
    std::vector<RequestId> ids{cluster.submit(0, team), cluster.submit(0, large),
                               cluster.submit(0, limit), cluster.submit(0, gang)};
    cluster.run_for(0.5);
    EXPECT_EQ(cluster.answers.at(ids[0]).status, 422);
    EXPECT_EQ(cluster.answers.at(ids[1]).status, 422);
    EXPECT_EQ(cluster.answers.at(ids[2]).status, 422);
    EXPECT_EQ(cluster.answers.at(ids[3]).status, 422);
}

TEST(JobLifecycle, TeamStaysWithinItsLimitWithManyTasksWaiting) {
    SimulatedCluster cluster({});
    submit_and_await_start(cluster, "req-1", 60);
    double max_used = 0;
    for (int i = 0; i < 100; ++i) {
        cluster.run_for(0.5);
        max_used = std::max(max_used, cluster.used("red"));
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_GT(max_used, 16);
    EXPECT_LE(max_used, 24);
}

TEST(AtMostOnceExecution, UnansweredStartIsNotRepeatedUntilFenced) {
    SimulatedCluster cluster({});
    bool swallow = true;
    int swallowed = 0;
    cluster.intercept = [&](int, const OutboundBody& body) {
        bool hit = swallow && std::holds_alternative<WorkerCommands>(body);
        swallowed += hit;
        return hit;
    };
    cluster.run_for(3);
    cluster.submit(0, cluster.job("req-1", 2));
    cluster.run_for(30);
    swallow = false;
    cluster.run_for(60);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_EQ(cluster.starts({"req-1", 0}), 1);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(AtMostOnceExecution, TaskOnUnreachableMachineMovesOnlyAfterItIsGone) {
    SimulatedCluster cluster({.run_s = 60});
    submit_and_await_start(cluster, "req-1", 1);
    std::string machine = *cluster.machines_of({"req-1", 0}).begin();
    cluster.cut_machine(machine, true);
    cluster.run_for(40);
    EXPECT_EQ(cluster.starts({"req-1", 0}), 2); // started again
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Failover, RunningTasksContinueWhenTheLeaderCrashes) {
    SimulatedCluster cluster({.run_s = 30});
    submit_and_await_start(cluster, "req-1", 6);
    cluster.run_for(1);
    int leader = cluster.owner(partition_of_red(cluster));
    cluster.crash(leader, 60);
    cluster.run_for(80);
    EXPECT_NE(cluster.owner(partition_of_red(cluster)), -1);
    EXPECT_TRUE(cluster.all_done("req-1"));
    for (std::uint32_t i = 0; i < 6; ++i) {
        EXPECT_EQ(cluster.starts({"req-1", i}), 1);
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Failover, TaskOnUnreachableMachineIsNotRestartedBeforeItsLeaseExpires) {
    SimulatedCluster cluster({.run_s = 100});
    submit_and_await_start(cluster, "req-1", 1);
    std::string machine = *cluster.machines_of({"req-1", 0}).begin();
    cluster.set_cloud_down(true);
    cluster.cut_machine(machine, true);
    int leader = cluster.owner(partition_of_red(cluster));
    cluster.crash(leader, 2);
    cluster.run_for(60);
    EXPECT_GE(cluster.starts({"req-1", 0}), 1);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Failover, CrashOfAllControllersLosesNoJob) {
    SimulatedCluster cluster({.run_s = 20});
    submit_and_await_start(cluster, "req-1", 6);
    for (int i = 0; i < 3; ++i) {
        cluster.crash(i, 6);
    }
    cluster.run_for(60);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_EQ(poll_stage(cluster, 1, "req-1"), "done");
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Leadership, ExpiresDuringAStoreOutageAndIsReacquired) {
    SimulatedCluster cluster({.run_s = 100});
    submit_and_await_start(cluster, "req-1", 2);
    cluster.set_store_down(true);
    cluster.run_for(60);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    cluster.set_store_down(false);
    cluster.run_for(250);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Leadership, MovesWhenTheStoreRejectsOnlyTheLeader) {
    SimulatedCluster cluster({.run_s = 40});
    submit_and_await_start(cluster, "req-1", 4);
    int leader = cluster.owner(partition_of_red(cluster));
    cluster.set_store_refusing(leader, true);
    cluster.run_for(40);
    EXPECT_NE(cluster.owner(partition_of_red(cluster)), leader);
    cluster.set_store_refusing(leader, false);
    cluster.run_for(100);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(Leadership, MovesWhenNoWorkerReachesTheLeader) {
    SimulatedCluster cluster({.run_s = 40});
    submit_and_await_start(cluster, "req-1", 12);
    JobSpec more = cluster.job("req-2", 18);
    more.team = "blue";
    cluster.submit(0, more);
    cluster.run_for(20);
    int leader = cluster.owner(partition_of_red(cluster));
    std::size_t released = cluster.log_count("event=machine_released");
    cluster.cut_workers(leader, true);
    cluster.run_for(8);
    // A leader that no worker reaches must not treat its machines as failed. It once released them
    // one after the other, each with the tasks that it ran.
    EXPECT_EQ(cluster.log_count("event=machine_released"), released);
    cluster.run_for(17);
    EXPECT_NE(cluster.owner(partition_of_red(cluster)), leader);
    cluster.run_for(120);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(JobCancellation, StopsTasksIncludingStartsInFlight) {
    SimulatedCluster cluster({.run_s = 200});
    submit_and_await_start(cluster, "req-1", 4);
    RequestId id = cluster.cancel(1, "req-1");
    cluster.run_for(10);
    EXPECT_EQ(std::get<JobStatusBody>(cluster.answers.at(id).body).stage, "cancelled");
    for (std::uint32_t i = 0; i < 4; ++i) {
        EXPECT_TRUE(cluster.machines_of({"req-1", i}).empty());
    }
    EXPECT_EQ(cluster.used("red"), 0);
    EXPECT_EQ(poll_stage(cluster, 2, "req-1"), "cancelled");
}

TEST(JobCancellation, RaceWithCompletionHasOnePermanentOutcome) {
    for (int step = 0; step < 20; ++step) { // cancels 0.3 s later each time
        SimulatedCluster cluster({.seed = 100u + step, .run_s = 4});
        submit_and_await_start(cluster, "req-1", 1);
        cluster.run_for(1 + 0.3 * step);
        cluster.cancel(step % 3, "req-1");
        cluster.run_for(2);
        std::string first = poll_stage(cluster, 0, "req-1");
        EXPECT_TRUE(first == "done" || first == "cancelled") << first;
        cluster.run_for(10);
        EXPECT_EQ(poll_stage(cluster, 1, "req-1"), first);
        EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    }
}

TEST(StoredRecords, UnreadableJobRecordIsNeitherAbsentNorOverwritten) {
    SimulatedCluster cluster({});
    cluster.put("job/req-7", UnreadableRecord{});
    cluster.run_for(3);
    RequestId poll = cluster.poll(0, "req-7");
    RequestId cancel = cluster.cancel(0, "req-7");
    RequestId submit = cluster.submit(0, cluster.job("req-7", 1));
    cluster.run_for(1);
    EXPECT_EQ(cluster.answers.at(poll).status, 503);
    EXPECT_EQ(cluster.answers.at(cancel).status, 503);
    EXPECT_EQ(cluster.answers.at(submit).status, 503);
}

TEST(TaskFailures, AlwaysFailingJobIsRetriedFewTimesAndMachinesRemain) {
    SimulatedCluster cluster({.error = 1.0});
    cluster.run_for(3);
    cluster.submit(0, cluster.job("req-1", 1));
    cluster.run_for(120);
    EXPECT_LT(cluster.starts({"req-1", 0}), 15);
    EXPECT_FALSE(cluster.machines_up().empty());
}

TEST(StoredRecords, LostCompletionBitmapWriteLosesNoResult) {
    SimulatedCluster cluster({.run_s = 6});
    bool lose = true;
    cluster.intercept = [&](int, const OutboundBody& body) {
        const auto* transaction = std::get_if<StoreTransaction>(&body);
        return lose && transaction && !transaction->writes.empty() &&
               transaction->writes[0].key.starts_with("done/");
    };
    // More tasks than the team's limit lets run at once.
    submit_and_await_start(cluster, "req-1", 40);
    cluster.run_for(10);
    cluster.crash(cluster.owner(partition_of_red(cluster)), 4);
    cluster.run_for(10);
    lose = false;
    cluster.run_for(60);
    EXPECT_EQ(poll_stage(cluster, 0, "req-1"), "done");
    for (std::uint32_t i = 0; i < 40; ++i) {
        // The worker keeps the result until its bit in the bitmap is durable, so no task runs
        // again.
        EXPECT_EQ(cluster.starts({"req-1", i}), 1);
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(StoreRateLimiter, AllowsRenewalsWhenUserRequestsExhaustTheLimit) {
    StoreRateLimiter rate_limiter(100, 20, 3);
    int users = 0;
    while (rate_limiter.try_acquire(1, StoreRateLimiter::Use::user, 1)) {
        ++users;
    }
    EXPECT_GT(users, 5);
    EXPECT_FALSE(rate_limiter.try_acquire(1, StoreRateLimiter::Use::poll, 0) &&
                 rate_limiter.try_acquire(1, StoreRateLimiter::Use::progress, 1));
    EXPECT_TRUE(rate_limiter.try_acquire(1, StoreRateLimiter::Use::renewal, 0));
    rate_limiter.on_throttled(1);
    EXPECT_FALSE(rate_limiter.try_acquire(1.1, StoreRateLimiter::Use::progress, 1));
    EXPECT_TRUE(rate_limiter.try_acquire(1.1, StoreRateLimiter::Use::renewal, 0));
}

// A request with the time of an earlier input must not move the clock back: the time after it was
// once credited a second time.
TEST(StoreRateLimiter, GrantsNothingWhenTimeGoesBackwards) {
    StoreRateLimiter rate_limiter(10, 10, 1);
    while (rate_limiter.try_acquire(10, StoreRateLimiter::Use::user, 0)) {
    }
    EXPECT_FALSE(rate_limiter.try_acquire(5, StoreRateLimiter::Use::user, 0));
    EXPECT_FALSE(rate_limiter.try_acquire(10, StoreRateLimiter::Use::user, 0));
}

TEST(SlotLists, CountsSlotsByCpuAndMemoryAndFindsTheLeastIdleMachine) {
    InstanceType type{"m8", 8, 0, 32, 0, 0, 0, 0, 0, {}};
    EXPECT_EQ(slots_needed(type, 2, 0, 4), 2);
    EXPECT_EQ(slots_needed(type, 2, 0, 13), 4);
    EXPECT_EQ(idle_slots(8, 0, 10, type), 2);
    SlotLists lists;
    SlotKind kind{"m8", false};
    lists.set(kind, "a", 8);
    lists.set(kind, "b", 3);
    auto any = [](const std::string&) { return true; };
    EXPECT_EQ(*lists.find_least_idle(kind, 2, any), "b");
    EXPECT_EQ(*lists.find_least_idle(kind, 4, any), "a");
    lists.remove("a");
    EXPECT_EQ(lists.find_least_idle(kind, 4, any), nullptr);
}

TEST(ServiceJob, KeepsItsReplicasUntilCancelled) {
    SimulatedCluster cluster({});
    cluster.run_for(3);
    JobSpec service = cluster.job("req-1", 6);
    service.kind = JobKind::service;
    service.estimated_run_s = 0;
    cluster.submit(0, service);
    cluster.run_for(40);
    ASSERT_FALSE(cluster.machines_of({"req-1", 0}).empty());
    cluster.kill_machine(*cluster.machines_of({"req-1", 0}).begin());
    cluster.run_for(60);
    for (std::uint32_t i = 0; i < 6; ++i) {
        EXPECT_EQ(cluster.machines_of({"req-1", i}).size(), 1u);
    }
    EXPECT_GE(cluster.starts({"req-1", 0}), 2);
    EXPECT_EQ(poll_stage(cluster, cluster.owner(partition_of_red(cluster)), "req-1"), "running");
    cluster.cancel(2, "req-1");
    cluster.run_for(20);
    for (std::uint32_t i = 0; i < 6; ++i) {
        EXPECT_TRUE(cluster.machines_of({"req-1", i}).empty());
    }
    EXPECT_EQ(poll_stage(cluster, 0, "req-1"), "cancelled");
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(SlotBorrowing, RemoteTasksRunAndTheirCompletionIsReported) {
    SimulatedCluster cluster({.run_s = 20});
    submit_and_await_start(cluster, "req-1", 12);
    cluster.run_for(2);
    std::set<int> partitions;
    for (std::uint32_t i = 0; i < 12; ++i) {
        for (const auto& machine : cluster.machines_of({"req-1", i})) {
            partitions.insert(partition_of_machine(cluster.cluster_settings(0), machine,
                                                   cluster.zone_of(machine)));
        }
    }
    EXPECT_GT(partitions.size(), 1u);
    cluster.run_for(60);
    EXPECT_EQ(poll_stage(cluster, 0, "req-1"), "done");
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(SlotBorrowing, BorrowerCrashWithUnansweredStartsDoesNotBlockJobs) {
    SimulatedCluster cluster({.run_s = 15});
    submit_and_await_start(cluster, "req-1", 12);
    int borrower = cluster.owner(partition_of_red(cluster));
    // The borrower's start commands are lost, and it crashes before these tasks are reconciled.
    cluster.intercept = [&](int controller, const OutboundBody& body) {
        return controller == borrower && std::holds_alternative<WorkerCommands>(body);
    };
    cluster.submit(0, cluster.job("req-2", 12));
    cluster.run_for(6);
    cluster.crash(borrower, 5);
    cluster.intercept = nullptr;
    cluster.run_for(120);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_TRUE(cluster.all_done("req-2"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(SlotBorrowing, LenderCrashRestartsNoRemoteTask) {
    for (int partition = 0; partition < 3; ++partition) {
        SimulatedCluster cluster({.run_s = 40});
        submit_and_await_start(cluster, "req-1", 12);
        cluster.run_for(2);
        cluster.crash(cluster.owner(partition), 30);
        cluster.run_for(120);
        EXPECT_TRUE(cluster.all_done("req-1"));
        for (std::uint32_t i = 0; i < 12; ++i) {
            EXPECT_EQ(cluster.starts({"req-1", i}), 1) << "partition " << partition;
        }
        EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    }
}

TEST(SlotBorrowing, TasksOfAnUnreachablePeerAreNotRestarted) {
    SimulatedCluster cluster({.run_s = 20});
    submit_and_await_start(cluster, "req-1", 12);
    cluster.run_for(2);
    cluster.cut_peers(0, 1, true);
    cluster.cut_peers(0, 2, true);
    cluster.cut_peers(1, 2, true);
    cluster.run_for(60);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    for (std::uint32_t i = 0; i < 12; ++i) {
        EXPECT_EQ(cluster.starts({"req-1", i}), 1);
    }
    cluster.cut_peers(0, 1, false);
    cluster.cut_peers(0, 2, false);
    cluster.cut_peers(1, 2, false);
    cluster.run_for(60);
    EXPECT_TRUE(cluster.all_done("req-1"));
}

TEST(SlotBorrowing, CancellationReachesRemoteTasksWhilePeersAreDisconnected) {
    SimulatedCluster cluster({.run_s = 200});
    submit_and_await_start(cluster, "req-1", 12);
    cluster.run_for(2);
    cluster.cut_peers(0, 1, true);
    cluster.cut_peers(0, 2, true);
    cluster.cut_peers(1, 2, true);
    cluster.cancel(0, "req-1");
    cluster.run_for(20);
    for (std::uint32_t i = 0; i < 12; ++i) {
        EXPECT_TRUE(cluster.machines_of({"req-1", i}).empty());
    }
}

TEST(PartitionPlacement, PartitionReturnsToItsHomeController) {
    SimulatedCluster cluster({.run_s = 20});
    submit_and_await_start(cluster, "req-1", 6);
    cluster.crash(1, 40);
    cluster.run_for(30);
    EXPECT_NE(cluster.owner(1), 1);
    for (int i = 0; i < 90 && cluster.owner(1) != 1; ++i) {
        cluster.run_for(1);
    }
    // It stays there: a controller that no worker had a reason to call before is not unreachable.
    for (int i = 0; i < 40; ++i) {
        EXPECT_EQ(cluster.owner(1), 1);
        cluster.submit(i % 3, cluster.job("req-" + std::to_string(100 + i), 3));
        cluster.run_for(1);
    }
    EXPECT_EQ(poll_stage(cluster, 2, "req-1"), "done");
}

TEST(PartitionPlacement, HomeControllersLeadAfterACrashDuringACloudOutage) {
    SimulatedCluster cluster({.run_s = 30});
    submit_and_await_start(cluster, "req-1", 6);
    cluster.set_cloud_down(true);
    for (int i = 0; i < 3; ++i) {
        cluster.crash(i, 4);
    }
    cluster.run_for(12);
    for (int partition = 0; partition < 3; ++partition) {
        EXPECT_EQ(cluster.owner(partition), partition);
    }
    cluster.run_for(60);
    EXPECT_EQ(poll_stage(cluster, 0, "req-1"), "done");
}

TEST(PartitionPlacement, LeadersAreUnchangedAfterAShortStoreOutage) {
    // Workers that get no 200 response keep sending heartbeats, so a controller without a valid
    // leadership lease does not consider itself unreachable.
    SimulatedCluster cluster({.run_s = 100});
    submit_and_await_start(cluster, "req-1", 12);
    cluster.run_for(10);
    cluster.set_store_down(true);
    cluster.run_for(20);
    cluster.set_store_down(false);
    cluster.run_for(3);
    for (int partition = 0; partition < 3; ++partition) {
        EXPECT_EQ(cluster.owner(partition), partition);
    }
}

TEST(PartitionPlacement, IsTheSameOnEveryControllerAndInTheZoneOfTheMachine) {
    SimulatedCluster cluster({});
    for (int i = 0; i < 200; ++i) {
        std::string name = "i-" + std::to_string(i);
        int partition = partition_of_machine(cluster.cluster_settings(0), name, "b");
        EXPECT_EQ(partition, 1); // the only partition whose home is in zone b
        EXPECT_EQ(partition_of_machine(cluster.cluster_settings(1), name, "a"),
                  partition_of_machine(cluster.cluster_settings(2), name, "a"));
    }
    EXPECT_NE(partition_of_team(cluster.cluster_settings(0), "red"),
              partition_of_team(cluster.cluster_settings(0), "blue"));
    EXPECT_EQ(partition_of_team(cluster.cluster_settings(0), "nobody"), -1);
}

// Twelve changes are more than a fifth of a small limit on writes ever allows at once. With more
// unsaved bitmap chunks than that, no progress was saved at all.
TEST(ProgressPersistence, ManyJobsAreSavedInTurnUnderASmallLimitOnWrites) {
    SimulatedCluster cluster({.nodes = 5, .limits = 20, .capacity = 200});
    std::set<std::string> saved;
    std::set<std::string> finished; // jobs that complete before their first save save no progress
    std::size_t max_chunks = 0;     // of one transaction
    cluster.intercept = [&](int, const OutboundBody& body) {
        std::size_t chunks = 0;
        if (const auto* transaction = std::get_if<StoreTransaction>(&body)) {
            for (const auto& write : transaction->writes) {
                if (write.value && write.key.starts_with("done/")) {
                    saved.insert(write.key.substr(5, write.key.find('/', 5) - 5));
                    ++chunks;
                } else if (const auto* job =
                               write.value ? std::get_if<JobRecord>(&*write.value) : nullptr;
                           job && job->outcome == Outcome::done) {
                    finished.insert(write.key.substr(4));
                }
            }
        }
        max_chunks = std::max(max_chunks, chunks);
        return false;
    };
    cluster.run_for(3);
    for (int j = 0; j < 14; ++j) {
        cluster.submit(j % 5, cluster.job("req-" + std::to_string(j), 30));
    }
    cluster.run_for(45);
    EXPECT_EQ(saved.size(), 14u);
    for (int j = 0; j < 14; ++j) {
        std::string id = "req-" + std::to_string(j);
        EXPECT_TRUE(saved.contains(id) || finished.contains(id)) << id;
    }
    EXPECT_GT(max_chunks, 1u);
    EXPECT_LE(max_chunks, 5u);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// Inventory changes that a peer has not received yet must outlive their machine. A leader's change
// log once lost the end of a remote task when the machine was released while the peer was
// disconnected, and the borrower counted the task as placed forever.
TEST(SlotBorrowing, MachineReleasedWhilePeersAreDisconnectedIsReportedLater) {
    SimulatedCluster cluster({.run_s = 60});
    submit_and_await_start(cluster, "req-1", 10);
    cluster.run_for(2);
    int leader = cluster.owner(partition_of_red(cluster));
    for (int n = 0; n < 3; ++n) {
        cluster.cut_peers(leader, n, n != leader);
    }
    cluster.set_cloud_down(true); // the leases expire before the machines are released
    for (const auto& machine : cluster.machines_up()) {
        cluster.kill_machine(machine);
    }
    cluster.run_for(30);
    cluster.set_cloud_down(false);
    cluster.run_for(30);
    for (int n = 0; n < 3; ++n) {
        cluster.cut_peers(leader, n, false);
    }
    cluster.run_for(150);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// Returns what five controllers counted within 20 s, the run time of a task, while every slot of
// the fleet is in use and many tasks wait. Fleet and load grow with `limits`.
SimulatedCluster::Counts count_under_full_load(double limits, std::size_t* machines) {
    SimulatedCluster cluster({.nodes = 5, .run_s = 20, .limits = limits, .capacity = 400});
    cluster.run_for(3);
    auto tasks = static_cast<std::uint32_t>(60 * limits);
    for (int j = 0; j < 4; ++j) {
        JobSpec spec = cluster.job("req-" + std::to_string(j), tasks);
        spec.team = j % 2 ? "red" : "blue";
        cluster.submit(j, spec);
    }
    cluster.run_for(45);
    SimulatedCluster::Counts before = cluster.counts();
    cluster.run_for(20);
    SimulatedCluster::Counts after = cluster.counts();
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    *machines = cluster.machines_up().size();
    return {after.reports - before.reports, after.starts - before.starts,
            after.listed - before.listed, after.effort - before.effort};
}

TEST(Scalability, WorkPerHeartbeatAndInventoryPerStartDoNotGrowWithTheFleet) {
    std::size_t small_fleet = 0;
    std::size_t large_fleet = 0;
    SimulatedCluster::Counts small = count_under_full_load(8, &small_fleet);
    SimulatedCluster::Counts large = count_under_full_load(24, &large_fleet);
    ASSERT_GT(small_fleet, 40u);
    ASSERT_GT(large_fleet, 120u);
    ASSERT_GT(large.starts, 500);
    EXPECT_LT(large.effort / large.reports, 1.5 * small.effort / small.reports);
    EXPECT_LT(large.listed / large.starts, 1.5 * small.listed / small.starts);
}

// Random jobs meet lost, late and repeated messages, crashes, network partitions, outages and clock
// drift. The simulation checks its invariants at every step; afterwards every job must end.
// Parameters: the seed and the number of controllers.
class ControllerRandomFaults : public testing::TestWithParam<std::pair<int, int>> {};

TEST_P(ControllerRandomFaults, InvariantsHoldAndEveryJobEnds) {
    {
        auto seed = static_cast<std::uint64_t>(GetParam().first);
        int controllers = GetParam().second;
        SCOPED_TRACE("seed " + std::to_string(seed));
        bool gpus = seed % 4 >= 2;
        SimulatedCluster cluster({.seed = seed,
                                  .nodes = controllers,
                                  .drop = 0.03,
                                  .late = 0.03,
                                  .run_s = 10,
                                  .error = 0.02,
                                  .gpus = gpus});
        std::mt19937_64 random(seed);
        // A random number from 0 to n - 1.
        auto random_below = [&](int n) { return static_cast<int>(random() % n); };
        int jobs = 0;
        std::set<std::string> services;
        for (int k = 0; k < 60; ++k) {
            cluster.run_for(4);
            if (k < 40) {
                JobSpec spec = cluster.job("req-" + std::to_string(++jobs), 1 + random_below(8),
                                           1 + random_below(3));
                spec.team = random_below(2) ? "red" : "blue";
                spec.spot = random_below(2) != 0;
                int kind = random_below(4);
                if (kind == 0) {
                    spec.kind = JobKind::gang;
                    spec.tasks = 1 + static_cast<std::uint32_t>(random_below(4));
                    spec.gpus = gpus ? 1 + random_below(2) : 0;
                    spec.one_zone = random_below(2) != 0;
                    spec.checkpoint_interval_s = 3;
                    spec.save_duration_s = random_below(2);
                } else if (kind == 1) {
                    spec.kind = JobKind::service;
                    spec.tasks = 1 + static_cast<std::uint32_t>(random_below(3));
                    spec.spread = random_below(2) != 0;
                    services.insert(spec.id);
                }
                cluster.submit(random_below(controllers), spec);
            }
            std::string job = "req-" + std::to_string(1 + random_below(std::max(1, jobs)));
            switch (random_below(14)) {
            case 9:
                if (auto up = cluster.machines_up(); !up.empty()) {
                    cluster.preempt_machine(up[random_below(static_cast<int>(up.size()))], 6);
                }
                break;
            case 8:
                cluster.cut_peers(random_below(controllers), random_below(controllers),
                                  random_below(2) != 0);
                break;
            case 0: cluster.crash(random_below(controllers), 1 + random_below(20)); break;
            case 1: cluster.set_store_down(true); break;
            case 2: cluster.set_store_refusing(random_below(controllers), true); break;
            case 3: cluster.cut_workers(random_below(controllers), true); break;
            case 4:
                if (auto up = cluster.machines_up(); !up.empty()) {
                    cluster.cut_machine(up[random_below(static_cast<int>(up.size()))],
                                        random_below(2) != 0);
                }
                break;
            case 5:
                if (auto up = cluster.machines_up(); !up.empty()) {
                    cluster.kill_machine(up[random_below(static_cast<int>(up.size()))]);
                }
                break;
            case 6: cluster.cancel(random_below(controllers), job); break;
            case 7: cluster.set_cloud_down(random_below(2) != 0); break;
            default:
                cluster.set_store_down(false);
                for (int n = 0; n < controllers; ++n) {
                    cluster.set_store_refusing(n, false);
                    cluster.cut_workers(n, false);
                }
                cluster.poll(random_below(controllers), job);
            }
            ASSERT_TRUE(cluster.broken.empty())
                << cluster.broken.front() << " at " << cluster.now();
        }
        cluster.set_store_down(false);
        cluster.set_cloud_down(false);
        for (int n = 0; n < controllers; ++n) {
            cluster.set_store_refusing(n, false);
            cluster.cut_workers(n, false);
            for (int to = 0; to < controllers; ++to) {
                cluster.cut_peers(n, to, false);
            }
        }
        cluster.run_for(30);
        // Services run until they are cancelled; the user repeats the request at each controller.
        for (const auto& id : services) {
            for (int n = 0; n < controllers; ++n) {
                cluster.cancel(n, id);
                cluster.run_for(0.2);
            }
        }
        cluster.run_for(400);
        ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front();
        for (const auto& [id, outcome] : cluster.outcomes()) {
            EXPECT_NE(outcome, Outcome::none) << id << cluster.describe(id);
        }
    }
}

std::vector<std::pair<int, int>> seeds_and_controllers() {
    std::vector<std::pair<int, int>> out;
    for (int seed = 1; seed <= 16; ++seed) {
        out.emplace_back(seed, seed % 2 ? 3 : 5);
    }
    return out;
}
INSTANTIATE_TEST_SUITE_P(Seeds, ControllerRandomFaults, testing::ValuesIn(seeds_and_controllers()));

} // namespace
} // namespace scheduler::test
