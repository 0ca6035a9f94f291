// Sustained overload with a permanent loss of capacity: no job class and no team may starve.
#include <gtest/gtest.h>

#include "core/model/partition_assignment.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

struct JobClass {
    const char* name;
    Priority priority;
    std::uint32_t tasks;
    double cpus;
    double arrival_interval_s; // without overload
};
constexpr JobClass kJobClasses[] = {{"scan", Priority::normal, 6, 1, 8},
                                    {"urgent", Priority::high, 4, 2, 7},
                                    {"thesis", Priority::normal, 24, 1, 24}};

// Parameters: the index of the class that arrives more often, and by which factor.
class Overload : public testing::TestWithParam<std::tuple<int, int>> {};

TEST_P(Overload, HalfOfTheJobsOfEachClassAndTeamComplete) {
    auto [overloaded_class, factor] = GetParam();
    SimulatedCluster cluster(
        {.nodes = 3,
         .run_s = 10,
         .limits = 2.5,
         .capacity = 10,
         .objectives = {{ServiceLevelObjective::Kind::finished, "scan", 60},
                        {ServiceLevelObjective::Kind::wait, "urgent", 10},
                        {ServiceLevelObjective::Kind::finished, "thesis", 90}}});
    cluster.run_for(20);
    int jobs = 0;
    std::map<std::string, std::pair<std::string, std::string>> submitted; // class and team, by job
    Time begin = cluster.now();
    std::vector<Time> next_arrival(std::size(kJobClasses), begin);
    while (cluster.now() < begin + 240) {
        for (std::size_t k = 0; k < std::size(kJobClasses); ++k) {
            const JobClass& job_class = kJobClasses[k];
            if (cluster.now() < next_arrival[k]) {
                continue;
            }
            bool overloaded = static_cast<int>(k) == overloaded_class;
            next_arrival[k] += job_class.arrival_interval_s / (overloaded ? factor : 1);
            JobSpec spec =
                cluster.job("req-" + std::to_string(++jobs), job_class.tasks, job_class.cpus);
            spec.job_class = job_class.name;
            spec.priority = job_class.priority;
            spec.team = jobs % 2 ? "red" : "blue";
            submitted[spec.id] = {spec.job_class, spec.team};
            cluster.submit(jobs % 3, spec);
        }
        if (cluster.now() >= begin + 60 &&
            cluster.machines_up().size() > 7) { // three of the ten machines are lost permanently
            cluster.kill_machine(cluster.machines_up().front());
            cluster.set_cloud_capacity(7);
        }
        cluster.run_for(0.5);
    }
    cluster.run_for(60);
    std::map<std::string, std::pair<int, int>>
        served; // completed and all jobs, by class and by team
    for (const auto& [id, outcome] : cluster.outcomes()) {
        for (const auto& name : {submitted.at(id).first, submitted.at(id).second}) {
            served[name].first += outcome == Outcome::done;
            ++served[name].second;
        }
    }
    for (const auto& [name, count] : served) {
        EXPECT_GE(2 * count.first, count.second) << name << ": " << count.first;
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// The largest job of a class has the most work left. When not all jobs can complete in time, `plan`
// moves it behind each small job that arrives, so it could wait forever. It must start nonetheless.
TEST(OverloadLargestJob, StartsWithinFourMinutesBehindAStreamOfSmallJobs) {
    SimulatedCluster cluster({.nodes = 3,
                              .run_s = 10,
                              .limits = 2.5,
                              .capacity = 8,
                              .objectives = {{ServiceLevelObjective::Kind::finished, "scan", 60},
                                             {ServiceLevelObjective::Kind::wait, "urgent", 10}}});
    cluster.run_for(20);
    int jobs = 0;
    std::vector<std::string> largest_jobs;
    Time begin = cluster.now();
    for (int k = 0; k < 500; ++k) {
        bool huge = k == 60 || k == 100; // of the same class, and of one without an objective
        bool urgent = k % 2 != 0;
        JobSpec spec = cluster.job("req-" + std::to_string(++jobs),
                                   huge     ? 3000
                                   : urgent ? 4
                                            : 8,
                                   2);
        spec.job_class = k == 100 ? "rescore" : urgent && !huge ? "urgent" : "scan";
        spec.priority = k == 100          ? Priority::low
                        : urgent && !huge ? Priority::high
                                          : Priority::normal;
        spec.team = jobs % 3 ? "red" : "blue";
        cluster.submit(jobs % 3, spec);
        if (huge) {
            largest_jobs.push_back(spec.id);
        }
        cluster.run_for(0.8);
    }
    ASSERT_GT(cluster.now(), begin + 380);
    for (const auto& id : largest_jobs) {
        ASSERT_TRUE(cluster.seconds_to_first_start(id)) << id;
        EXPECT_LT(*cluster.seconds_to_first_start(id), 240) << id;
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

INSTANTIATE_TEST_SUITE_P(Classes, Overload,
                         testing::Combine(testing::Range(0, 3), testing::Values(3, 5)));

} // namespace
} // namespace scheduler::test
