// Scale-out for jobs that may run on some instance types only. Each job must get machines that it
// may use, whatever other machines exist or cost less.
#include <gtest/gtest.h>

#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

constexpr char kLargeType[] = "c16";
constexpr double kMaxWaitS = 120;

// Returns a type that costs more per slot than the default one and is faster to fetch an image.
InstanceType large_type() { return {kLargeType, 16, 0, 64, 20, 2, 3.2, 1.3, 10, {"a", "b"}}; }

SimulationOptions options_with_large_type(std::uint64_t seed = 1) {
    return {.seed = seed, .limits = 20, .capacity = 40, .further_types = {large_type()}};
}

JobSpec job_on_large_type(const SimulatedCluster& cluster, const std::string& id,
                          std::uint32_t tasks, double cpus = 2) {
    JobSpec spec = cluster.job(id, tasks, cpus);
    spec.types = {kLargeType};
    return spec;
}

// Runs until the job is done, but for at most `max_s` seconds.
bool done_within(SimulatedCluster& cluster, const std::string& job, double max_s) {
    for (Time end = cluster.now() + max_s; cluster.now() < end && !cluster.all_done(job);) {
        cluster.run_for(0.5);
    }
    return cluster.all_done(job);
}

std::size_t machines_of_type(const SimulatedCluster& cluster, const std::string& type) {
    std::size_t count = 0;
    for (const auto& machine : cluster.machines_up()) {
        count += cluster.type_of(machine) == type;
    }
    return count;
}

// The scale-out rented the type with the lowest price per slot whatever waited. A job that may not
// run on that type waited for ever beside idle machines.
TEST(ScaleOut, RentsATypeThatTheWaitingJobMayUse) {
    for (bool spot : {false, true}) {
        SimulatedCluster cluster(options_with_large_type());
        cluster.run_for(3);
        JobSpec spec = job_on_large_type(cluster, "req-1", 12);
        spec.spot = spot;
        cluster.submit(0, spec);
        EXPECT_TRUE(done_within(cluster, "req-1", kMaxWaitS)) << cluster.describe("req-1");
        EXPECT_EQ(machines_of_type(cluster, "m8"), 0u) << "rented for nothing";
        EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    }
}

// As above, for tasks that are too large for the type with the lowest price per slot.
TEST(ScaleOut, RentsATypeThatIsLargeEnoughForTheWaitingTasks) {
    SimulatedCluster cluster(options_with_large_type());
    cluster.run_for(3);
    cluster.submit(0, cluster.job("req-1", 3, 12));
    EXPECT_TRUE(done_within(cluster, "req-1", kMaxWaitS)) << cluster.describe("req-1");
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// Idle machines of a type that the job may not use were counted as capacity for it, so nothing was
// rented at all.
TEST(ScaleOut, RentsMachinesBesideIdleOnesThatTheWaitingJobMayNotUse) {
    SimulatedCluster cluster(options_with_large_type());
    cluster.run_for(3);
    cluster.submit(0, cluster.job("req-1", 60));
    ASSERT_TRUE(done_within(cluster, "req-1", kMaxWaitS));
    ASSERT_GT(machines_of_type(cluster, "m8"), 0u);
    cluster.submit(0, job_on_large_type(cluster, "req-2", 4));
    EXPECT_TRUE(done_within(cluster, "req-2", kMaxWaitS)) << cluster.describe("req-2");
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// Replicas that may run on any type, and run until they are cancelled, took all machines of the
// only type that another job may use. These machines were counted as capacity for that job.
TEST(ScaleOut, RentsMachinesBesideOnesThatServicesHoldForGood) {
    SimulatedCluster cluster(options_with_large_type());
    cluster.run_for(3);
    cluster.submit(0, job_on_large_type(cluster, "req-1", 1, 16));
    ASSERT_TRUE(done_within(cluster, "req-1", kMaxWaitS));
    JobSpec service = cluster.job("svc-1", 4, 4);
    service.kind = JobKind::service;
    cluster.submit(0, service);
    cluster.run_for(5);
    for (std::uint32_t i = 0; i < service.tasks; ++i) {
        std::set<std::string> machines = cluster.machines_of({"svc-1", i});
        ASSERT_EQ(machines.size(), 1u);
        ASSERT_EQ(cluster.type_of(*machines.begin()), kLargeType);
    }
    cluster.submit(0, job_on_large_type(cluster, "req-2", 4));
    EXPECT_TRUE(done_within(cluster, "req-2", kMaxWaitS)) << cluster.describe("req-2");
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

} // namespace
} // namespace scheduler::test
