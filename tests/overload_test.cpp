// Lasting overload with capacity lost: no class and no team may starve.
#include <gtest/gtest.h>

#include "core/model/partition_assignment.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

struct Kind {
    const char* name;
    Priority priority;
    std::uint32_t tasks;
    double cpus;
    double every_s; // between arrivals on an ordinary day
};
constexpr Kind kKinds[] = {{"scan", Priority::normal, 6, 1, 8},
                           {"urgent", Priority::high, 4, 2, 7},
                           {"thesis", Priority::normal, 24, 1, 24}};

// Class that comes more often, and how many times.
class Overload : public testing::TestWithParam<std::tuple<int, int>> {};

TEST_P(Overload, LeavesEveryClassAndTeamHalfServed) {
    auto [busy, factor] = GetParam();
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
    std::map<std::string, std::pair<std::string, std::string>> sent; // class and team, by job
    Time from = cluster.now();
    std::vector<Time> next(std::size(kKinds), from);
    while (cluster.now() < from + 240) {
        for (std::size_t k = 0; k < std::size(kKinds); ++k) {
            const Kind& kind = kKinds[k];
            if (cluster.now() < next[k]) {
                continue;
            }
            next[k] += kind.every_s / (static_cast<int>(k) == busy ? factor : 1);
            JobSpec spec = cluster.job("req-" + std::to_string(++jobs), kind.tasks, kind.cpus);
            spec.job_class = kind.name;
            spec.priority = kind.priority;
            spec.team = jobs % 2 ? "red" : "blue";
            sent[spec.id] = {spec.job_class, spec.team};
            cluster.submit(jobs % 3, spec);
        }
        if (cluster.now() >= from + 60 &&
            cluster.machines_up().size() > 7) { // three of ten go for good
            cluster.kill_machine(cluster.machines_up().front());
            cluster.set_cloud_capacity(7);
        }
        cluster.run_for(0.5);
    }
    cluster.run_for(60);
    std::map<std::string, std::pair<int, int>> served; // of all, by class and by team
    for (const auto& [id, outcome] : cluster.outcomes()) {
        for (const auto& name : {sent.at(id).first, sent.at(id).second}) {
            served[name].first += outcome == Outcome::done;
            ++served[name].second;
        }
    }
    for (const auto& [name, count] : served) {
        EXPECT_GE(2 * count.first, count.second) << name << ": " << count.first;
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}
// The largest job of a class has most work left, and most of what is left when not all can be done
// in time: `plan` puts it behind again with each small one that comes. It has to begin all the
// same.
TEST(OverloadLargest, BeginWithinFourMinutesBehindAStreamOfSmallOnes) {
    SimulatedCluster cluster({.nodes = 3,
                              .run_s = 10,
                              .limits = 2.5,
                              .capacity = 8,
                              .objectives = {{ServiceLevelObjective::Kind::finished, "scan", 60},
                                             {ServiceLevelObjective::Kind::wait, "urgent", 10}}});
    cluster.run_for(20);
    int jobs = 0;
    std::vector<std::string> largest;
    Time from = cluster.now();
    for (int k = 0; k < 500; ++k) {
        bool huge = k == 60 || k == 100; // of the same class, and of one without any aim
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
            largest.push_back(spec.id);
        }
        cluster.run_for(0.8);
    }
    ASSERT_GT(cluster.now(), from + 380);
    for (const auto& id : largest) {
        ASSERT_TRUE(cluster.seconds_to_first_start(id)) << id;
        EXPECT_LT(*cluster.seconds_to_first_start(id), 240) << id;
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

INSTANTIATE_TEST_SUITE_P(Days, Overload,
                         testing::Combine(testing::Range(0, 3), testing::Values(3, 5)));

} // namespace
} // namespace scheduler::test
