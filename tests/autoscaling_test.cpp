// Scale-out for jobs that cannot use every slot, for their instance types, zones, sizes or kind of
// machine. Each job must get machines that it may use, whatever other machines exist or cost less.
#include <gtest/gtest.h>

#include <functional>
#include <random>

#include "core/autoscaling/task_groups.h"
#include "core/autoscaling/task_packing.h"
#include "core/model/partition_assignment.h"
#include "policy/default_policy.h"
#include "seeds.h"
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

// A job that names a type and a zone waited for ever beside idle machines of that type in the other
// zone.
TEST(ScaleOut, RentsMachinesBesideIdleOnesOfTheRightTypeInAnotherZone) {
    SimulatedCluster cluster(options_with_large_type());
    cluster.run_for(3);
    JobSpec service = job_on_large_type(cluster, "svc-1", 3, 9);
    service.kind = JobKind::service;
    service.zone = "a";
    cluster.submit(0, service);
    cluster.run_for(60);
    JobSpec spec = job_on_large_type(cluster, "req-1", 2);
    spec.zone = "b";
    cluster.submit(0, spec);
    EXPECT_TRUE(done_within(cluster, "req-1", kMaxWaitS)) << cluster.describe("req-1");
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// A job bound to one zone waited for ever beside slots in another zone, whether idle or held by
// services for good, since they were counted as capacity for it.
TEST(ScaleOut, RentsInTheZoneOfTheWaitingJob) {
    for (bool services : {false, true}) {
        for (std::uint32_t tasks : {1U, 4U}) {
            SimulatedCluster cluster({.run_s = 20, .limits = 20, .capacity = 40});
            cluster.run_for(3);
            JobSpec first = cluster.job("job-1", services ? 10 : 40, services ? 5 : 2);
            first.kind = services ? JobKind::service : JobKind::array;
            first.zone = "a";
            cluster.submit(0, first);
            if (services) {
                cluster.run_for(60);
            } else {
                ASSERT_TRUE(done_within(cluster, "job-1", kMaxWaitS));
            }
            JobSpec second = cluster.job("req-2", tasks);
            second.zone = "b";
            cluster.submit(0, second);
            EXPECT_TRUE(done_within(cluster, "req-2", kMaxWaitS)) << cluster.describe("req-2");
            EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
        }
    }
}

// Each machine runs a service, so none has room for a task that needs a whole one. The idle parts
// of the machines were added up and counted as capacity for it.
TEST(ScaleOut, RentsAMachineForATaskThatFitsBesideNoService) {
    SimulatedCluster cluster({.limits = 20, .capacity = 40});
    cluster.run_for(3);
    JobSpec service = cluster.job("svc-1", 6, 5);
    service.kind = JobKind::service;
    cluster.submit(0, service);
    cluster.run_for(60);
    cluster.submit(0, cluster.job("req-1", 1, 8));
    EXPECT_TRUE(done_within(cluster, "req-1", kMaxWaitS)) << cluster.describe("req-1");
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// Services that may run on spot machines hold all on-demand machines for good. These were counted
// as capacity for a job that may only run on on-demand machines.
TEST(ScaleOut, RentsOnDemandMachinesBesideOnesThatServicesHoldForGood) {
    SimulatedCluster cluster({.limits = 20, .capacity = 40});
    cluster.run_for(3);
    JobSpec first = cluster.job("req-1", 8, 4);
    first.spot = false;
    cluster.submit(0, first);
    ASSERT_TRUE(done_within(cluster, "req-1", kMaxWaitS));
    JobSpec service = cluster.job("svc-1", 8, 4);
    service.kind = JobKind::service;
    cluster.submit(0, service);
    cluster.run_for(5);
    JobSpec second = cluster.job("req-2", 2, 4);
    second.spot = false;
    cluster.submit(0, second);
    EXPECT_TRUE(done_within(cluster, "req-2", kMaxWaitS)) << cluster.describe("req-2");
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// While the cloud has no spot machines, jobs that may use them must get on-demand machines. They
// wait until the cloud has spot machines again.
TEST(ScaleOut, RentsOnDemandMachinesWhileSpotMachinesAreSoldOut) {
    SimulatedCluster cluster({.limits = 20, .capacity = 40});
    cluster.set_spot_sold_out(true);
    cluster.run_for(3);
    cluster.submit(0, cluster.job("req-1", 4));
    EXPECT_TRUE(done_within(cluster, "req-1", 5 * kMaxWaitS)) << cluster.describe("req-1");
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// The tasks of a team at its limit cannot use more machines. Pending tasks of a certain type must
// not have machines rented for all of them, nor for none: as long as there is no machine, the slots
// of the quota that fall free go to the team's other jobs.
TEST(ScaleOut, RentsOneMachineAheadForATeamAtItsLimit) {
    SimulationOptions options = options_with_large_type();
    options.limits = 2; // the team red may use 48 CPUs
    SimulatedCluster cluster(options);
    cluster.run_for(3);
    JobSpec service = cluster.job("svc-1", 12, 4);
    service.kind = JobKind::service;
    cluster.submit(0, service);
    cluster.run_for(40);
    ASSERT_EQ(cluster.used("red"), 48);
    cluster.submit(0, job_on_large_type(cluster, "req-1", 40, 4));
    cluster.run_for(60);
    EXPECT_EQ(machines_of_type(cluster, kLargeType), 1u);
    cluster.cancel(0, "svc-1");
    EXPECT_TRUE(done_within(cluster, "req-1", 2 * kMaxWaitS)) << cluster.describe("req-1");
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// Jobs of each kind get the machines of their type beside services that may run anywhere, and no
// more machines than twice what they need.
TEST(ScaleOut, RentsTheTypeForJobsOfEachKind) {
    for (JobKind kind : {JobKind::array, JobKind::gang, JobKind::service}) {
        for (bool one_zone : {false, true}) {
            SimulatedCluster cluster(options_with_large_type());
            cluster.run_for(3);
            JobSpec service = cluster.job("svc-1", 10, 5);
            service.kind = JobKind::service;
            cluster.submit(0, service);
            cluster.run_for(60);
            JobSpec spec = job_on_large_type(cluster, "req-1", 5, 7);
            spec.kind = kind;
            spec.one_zone = one_zone;
            cluster.submit(0, spec);
            Time end = cluster.now() + kMaxWaitS;
            std::uint32_t running = 0;
            for (; cluster.now() < end && !cluster.all_done("req-1"); cluster.run_for(1)) {
                running = 0;
                for (std::uint32_t i = 0; i < spec.tasks; ++i) {
                    running += cluster.machines_of({"req-1", i}).size() == 1;
                }
                EXPECT_LE(machines_of_type(cluster, kLargeType), 6u);
            }
            bool served =
                kind == JobKind::service ? running == spec.tasks : cluster.all_done("req-1");
            EXPECT_TRUE(served) << static_cast<int>(kind) << cluster.describe("req-1");
            EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
        }
    }
}

// The leader that rents for all ends just after it has rented machines of the job's type. The next
// one must see the job through, and all machines must be given back in the end.
TEST(ScaleOut, RentsTheTypeAcrossAChangeOfTheProvisioningLeader) {
    SimulatedCluster cluster(options_with_large_type());
    cluster.run_for(3);
    cluster.submit(1, job_on_large_type(cluster, "req-1", 12));
    for (Time end = cluster.now() + kMaxWaitS;
         cluster.now() < end && cluster.log_count("event=scale_out_requested") == 0;) {
        cluster.run_for(0.1);
    }
    ASSERT_GT(cluster.log_count("event=scale_out_requested"), 0u);
    cluster.crash(cluster.owner(0), 3);
    EXPECT_TRUE(done_within(cluster, "req-1", 2 * kMaxWaitS)) << cluster.describe("req-1");
    cluster.run_for(2 * kMaxWaitS);
    EXPECT_TRUE(cluster.machines_up().empty()) << cluster.describe("req-1");
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// A job from before its leader's term got no machines of its type, though the leader was
// reconciled.
TEST(ScaleOut, RentsTheTypeForAJobFromBeforeAFailover) {
    SimulatedCluster cluster(options_with_large_type());
    cluster.run_for(3);
    cluster.set_cloud_down(true);
    cluster.submit(0, job_on_large_type(cluster, "req-1", 4));
    cluster.run_for(5);
    cluster.crash(cluster.owner(partition_of_team(cluster.cluster_settings(0), "red")), 30);
    cluster.run_for(60);
    cluster.set_cloud_down(false);
    EXPECT_TRUE(done_within(cluster, "req-1", kMaxWaitS)) << cluster.describe("req-1");
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

JobSpec random_job(const SimulatedCluster& cluster, int number,
                   const std::function<int(int)>& below) {
    JobSpec spec = cluster.job("req-" + std::to_string(number),
                               1 + static_cast<std::uint32_t>(below(8)), 1 + below(8));
    spec.team = below(2) ? "red" : "blue";
    spec.spot = below(2) != 0;
    switch (below(4)) {
    case 0: spec.types = {kLargeType}; break;
    case 1: spec.types = {"m8"}; break;
    case 2: spec.cpus = 9 + below(7); break;
    default: break;
    }
    if (below(3) == 0) {
        spec.zone = below(2) ? "a" : "b";
    }
    if (below(4) == 0) {
        spec.kind = JobKind::gang;
        spec.tasks = 1 + static_cast<std::uint32_t>(below(3));
    }
    return spec;
}

// Jobs of all types, sizes, zones and kinds beside services that hold their machines for good,
// while controllers end, machines are lost and messages too. Every job must end.
void play_random_jobs(std::uint64_t seed) {
    SimulationOptions options = options_with_large_type(seed);
    options.drop = 0.02;
    options.late = 0.02;
    SimulatedCluster cluster(options);
    std::mt19937_64 random(seed);
    auto below = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
    cluster.run_for(3);
    for (int i = 0; i < 3; ++i) {
        JobSpec service = cluster.job("svc-" + std::to_string(i), 3, 1 + below(6));
        service.kind = JobKind::service;
        cluster.submit(below(3), service);
    }
    int jobs = 0;
    for (int k = 0; k < 40; ++k) {
        cluster.run_for(4);
        cluster.submit(below(3), random_job(cluster, ++jobs, below));
        auto up = cluster.machines_up();
        if (below(8) == 0) {
            cluster.crash(below(3), 1 + below(20));
        } else if (below(4) == 0 && !up.empty()) {
            cluster.kill_machine(up[static_cast<std::size_t>(below(static_cast<int>(up.size())))]);
        }
    }
    cluster.run_for(600);
    for (const auto& [job, outcome] : cluster.outcomes()) {
        if (job.starts_with("req-")) {
            EXPECT_EQ(outcome, Outcome::done) << job << cluster.describe(job);
        }
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

class ScaleOutRandom : public testing::TestWithParam<int> {};

TEST_P(ScaleOutRandom, JobsThatCannotUseEverySlotEnd) {
    play_random_jobs(static_cast<std::uint64_t>(GetParam()));
}
INSTANTIATE_TEST_SUITE_P(Seeds, ScaleOutRandom, testing::Range(119, 127));

TEST(ScaleOutSeeds, JobsThatCannotUseEverySlotEndForAllRequestedSeeds) {
    run_extra_seeds(100, play_random_jobs);
}

// ---- Packing and groups ----

InstanceType default_type() { return {"m8", 8, 0, 32, 20, 1, 1.0, 0.4, 10, {"a", "b"}}; }

TaskGroup group_of(std::uint32_t tasks, double cpus, std::vector<std::string> types) {
    TaskGroup group;
    group.types = std::move(types);
    group.cpus = cpus;
    group.ram_gb = cpus;
    group.tasks = tasks;
    group.slots = tasks * cpus;
    return group;
}

MachinePool pool(const std::string& type, bool spot) {
    MachinePool named;
    named.kind.type = type;
    named.kind.spot = spot;
    named.zone = "a";
    return named;
}

IdleMachines empty_machines(const MachinePool& machines, std::uint32_t count) {
    IdleMachines idle;
    idle[machines].back() = count;
    return idle;
}

// Two tasks of nine slots need two machines of sixteen, though these have 32 slots.
TEST(TaskPacking, FitsWholeTasksOntoEachMachine) {
    TaskPacking packing({default_type(), large_type()}, empty_machines(pool(kLargeType, false), 2));
    EXPECT_EQ(packing.pack(group_of(3, 9, {kLargeType})), 1u);
    EXPECT_EQ(packing.idle_slots(pool(kLargeType, false)), 14);
    EXPECT_EQ(packing.pack(group_of(3, 7, {kLargeType})), 1u);
    EXPECT_EQ(packing.idle_slots(pool(kLargeType, false)), 0);
}

TEST(TaskPacking, RespectsTypesZonesAndSpot) {
    const std::vector<InstanceType> types{default_type(), large_type()};
    const IdleMachines idle = empty_machines(pool(kLargeType, true), 1);
    TaskGroup group = group_of(2, 2, {kLargeType});
    EXPECT_EQ(TaskPacking(types, idle).pack(group), 2u) << "may not run on spot machines";
    group.spot = true;
    EXPECT_EQ(TaskPacking(types, idle).pack(group), 0u);
    group.zones = {"b"};
    EXPECT_EQ(TaskPacking(types, idle).pack(group), 2u);
    group.zones = {"a", "b"};
    EXPECT_EQ(TaskPacking(types, idle).pack(group), 0u);
    group.types = {"m8"};
    EXPECT_EQ(TaskPacking(types, idle).pack(group), 2u);
}

// Slots that are idle on different machines are not enough for a task that needs them on one.
TEST(TaskPacking, DoesNotAddUpIdlePartsOfMachines) {
    IdleMachines idle;
    idle[pool("m8", false)].at(2) = 5; // three of eight slots each
    TaskPacking packing({default_type()}, idle);
    EXPECT_EQ(packing.pack(group_of(2, 4, {"m8"})), 2u);
    EXPECT_EQ(packing.pack(group_of(2, 3, {"m8"})), 0u);
}

// The message to peers is bounded: many kinds of pending tasks are united, into groups that need no
// less than each of them.
TEST(TaskGroups, ManyKindsOfTasksAreUnitedUnderTheHighestRequirements) {
    InstanceTypeCatalog catalog({default_type(), large_type()});
    TaskGroups groups(catalog);
    for (int i = 1; i <= 40; ++i) {
        JobSpec spec;
        spec.cpus = 9 + 0.1 * i;
        spec.ram_gb = 50 - 0.5 * i;
        spec.spot = i % 2 == 0;
        groups.add(spec, {{kLargeType}, {}}, 0.6, 5);
    }
    std::vector<TaskGroup> all = groups.all();
    ASSERT_EQ(all.size(), 2u);
    for (const TaskGroup& group : all) {
        EXPECT_EQ(group.types, std::vector<std::string>{kLargeType});
        EXPECT_EQ(group.tasks, 12u);
        EXPECT_NEAR(group.slots, 100, 1e-6);
        EXPECT_GE(group.cpus, 12.9);
        EXPECT_GE(group.ram_gb, 49);
    }
}

TEST(TaskGroups, TooManyPlacesAreLimitedToTheCheapestTypeAndOneZone) {
    std::vector<InstanceType> types;
    for (int i = 0; i < 6; ++i) {
        types.push_back(default_type());
        types.back().name = "m" + std::to_string(i);
        types.back().price = 1 + i;
    }
    InstanceTypeCatalog catalog(types);
    TaskGroups groups(catalog);
    for (unsigned set = 1; set < 63; ++set) {
        JobSpec spec;
        spec.cpus = 1;
        spec.ram_gb = 1;
        spec.types.emplace();
        for (unsigned i = 0; i < 6; ++i) {
            if ((set >> i & 1U) != 0) {
                spec.types->push_back("m" + std::to_string(i));
            }
        }
        groups.add(spec, {*spec.types, {}}, 1, 1);
    }
    std::uint32_t tasks = 0;
    std::vector<TaskGroup> all = groups.all();
    for (const TaskGroup& group : all) {
        EXPECT_EQ(group.types.size(), 1u);
        tasks += group.tasks;
    }
    EXPECT_EQ(all.size(), 6u);
    EXPECT_EQ(tasks, 62u);
}

// A leader of the version before does not report its idle machines. Then it is not known which
// tasks fit, and the sums decide, as in that version.
TEST(ClusterDemand, GroupsAreNotPlacedWhileAPeerDoesNotReportItsIdleMachines) {
    const std::vector<InstanceType> types{default_type(), large_type()};
    ClusterDemand demand;
    demand.demand.on_demand_slots = 20;
    demand.demand.groups = {group_of(2, 4, {kLargeType})};
    ClusterDemand with_older_peer = demand;
    with_older_peer.idle_unknown = true;
    place_task_groups(types, demand);
    place_task_groups(types, with_older_peer);
    ASSERT_EQ(demand.unplaced.size(), 1u);
    EXPECT_EQ(demand.demand.on_demand_slots, 12);
    EXPECT_TRUE(with_older_peer.unplaced.empty());
    EXPECT_EQ(with_older_peer.demand.on_demand_slots, 20);
}

// The planner on its own, with one zone-bound group and the sums of other work.
struct Planner {
    ClusterSettings settings = SimulatedCluster({}).cluster_settings(0);
    std::vector<InstanceType> types{default_type(), large_type()};
    CapacityPlanner planner{settings, policy::defaults(settings), 1};
    Time now = 0;

    std::vector<ScaleOut> plan(ClusterDemand demand) {
        now += kPlanningIntervalHeartbeats * settings.heartbeat_interval_s;
        planner.count_requested_machines(demand);
        place_task_groups(types, demand);
        return planner.plan_scale_out(now, demand, types, {});
    }
};

// A borrower reports that its task no longer waits a little later than the lender reports that the
// slot is taken. That a task waits counts from the second planning round in a row on.
TEST(CapacityPlanner, RentsForTasksThatWaitForTwoRoundsInARow) {
    Planner planner;
    ClusterDemand waiting;
    waiting.demand.on_demand_slots = 8;
    waiting.demand.groups = {group_of(2, 4, {kLargeType})};
    waiting.demand.groups[0].zones = {"b"};
    EXPECT_TRUE(planner.plan(waiting).empty());
    EXPECT_TRUE(planner.plan({}).empty());
    EXPECT_TRUE(planner.plan(waiting).empty());
    std::vector<ScaleOut> requests = planner.plan(waiting);
    ASSERT_EQ(requests.size(), 1u);
    EXPECT_EQ(requests[0].type, kLargeType);
    EXPECT_EQ(requests[0].zone, "b");
    EXPECT_EQ(requests[0].count, 1);
    EXPECT_FALSE(requests[0].spot);
    EXPECT_TRUE(planner.plan(waiting).empty()) << "the machine is on its way";
}

// Groups whose tasks fit on one machine together do not get a machine each.
TEST(CapacityPlanner, RentsOneMachineForSeveralGroups) {
    Planner planner;
    ClusterDemand waiting;
    waiting.demand.on_demand_slots = 16;
    waiting.demand.groups = {group_of(1, 9, {kLargeType}), group_of(1, 4, {kLargeType}),
                             group_of(1, 3, {kLargeType})};
    EXPECT_TRUE(planner.plan(waiting).empty());
    std::vector<ScaleOut> requests = planner.plan(waiting);
    ASSERT_EQ(requests.size(), 1u);
    EXPECT_EQ(requests[0].count, 1);
}

} // namespace
} // namespace scheduler::test
