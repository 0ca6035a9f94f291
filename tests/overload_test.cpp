// Sustained overload with a permanent loss of capacity: no job class and no team may starve.
#include <gtest/gtest.h>

#include "core/model/partition_assignment.h"
#include "world.h"

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

// Parameters: the index of the class that arrives more often, and by which factor.
class Overload : public testing::TestWithParam<std::tuple<int, int>> {};

TEST_P(Overload, LeavesEveryClassAndTeamHalfServed) {
    auto [busy, factor] = GetParam();
    World world({.nodes = 3,
                 .run_s = 10,
                 .limits = 2.5,
                 .capacity = 10,
                 .objectives = {{ServiceLevelObjective::Kind::finished, "scan", 60},
                                {ServiceLevelObjective::Kind::wait, "urgent", 10},
                                {ServiceLevelObjective::Kind::finished, "thesis", 90}}});
    world.run_for(20);
    int jobs = 0;
    std::map<std::string, std::pair<std::string, std::string>> sent; // class and team, by job
    Time from = world.now();
    std::vector<Time> next(std::size(kKinds), from);
    while (world.now() < from + 240) {
        for (std::size_t k = 0; k < std::size(kKinds); ++k) {
            const Kind& kind = kKinds[k];
            if (world.now() < next[k]) {
                continue;
            }
            next[k] += kind.every_s / (static_cast<int>(k) == busy ? factor : 1);
            JobSpec spec = world.job("req-" + std::to_string(++jobs), kind.tasks, kind.cpus);
            spec.job_class = kind.name;
            spec.priority = kind.priority;
            spec.team = jobs % 2 ? "red" : "blue";
            sent[spec.id] = {spec.job_class, spec.team};
            world.submit(jobs % 3, spec);
        }
        if (world.now() >= from + 60 &&
            world.machines_up().size() > 7) { // three of the ten machines are lost permanently
            world.kill_machine(world.machines_up().front());
            world.limit_cloud(7);
        }
        world.run_for(0.5);
    }
    world.run_for(60);
    std::map<std::string, std::pair<int, int>>
        served; // completed and all jobs, by class and by team
    for (const auto& [id, outcome] : world.outcomes()) {
        for (const auto& name : {sent.at(id).first, sent.at(id).second}) {
            served[name].first += outcome == Outcome::done;
            ++served[name].second;
        }
    }
    for (const auto& [name, count] : served) {
        EXPECT_GE(2 * count.first, count.second) << name << ": " << count.first;
    }
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

// The largest job of a class has the most work left. When not all jobs can complete in time, `plan`
// moves it behind each small job that arrives, so it could wait forever. It must start nonetheless.
TEST(OverloadLargest, BeginWithinFourMinutesBehindAStreamOfSmallOnes) {
    World world({.nodes = 3,
                 .run_s = 10,
                 .limits = 2.5,
                 .capacity = 8,
                 .objectives = {{ServiceLevelObjective::Kind::finished, "scan", 60},
                                {ServiceLevelObjective::Kind::wait, "urgent", 10}}});
    world.run_for(20);
    int jobs = 0;
    std::vector<std::string> largest;
    Time from = world.now();
    for (int k = 0; k < 500; ++k) {
        bool huge = k == 60 || k == 100; // of the same class, and of one without an objective
        bool urgent = k % 2 != 0;
        JobSpec spec = world.job("req-" + std::to_string(++jobs), huge ? 3000 : urgent ? 4 : 8, 2);
        spec.job_class = k == 100 ? "rescore" : urgent && !huge ? "urgent" : "scan";
        spec.priority = k == 100          ? Priority::low
                        : urgent && !huge ? Priority::high
                                          : Priority::normal;
        spec.team = jobs % 3 ? "red" : "blue";
        world.submit(jobs % 3, spec);
        if (huge) {
            largest.push_back(spec.id);
        }
        world.run_for(0.8);
    }
    ASSERT_GT(world.now(), from + 380);
    for (const auto& id : largest) {
        ASSERT_TRUE(world.began_after(id)) << id;
        EXPECT_LT(*world.began_after(id), 240) << id;
    }
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

INSTANTIATE_TEST_SUITE_P(Days, Overload,
                         testing::Combine(testing::Range(0, 3), testing::Values(3, 5)));

} // namespace
} // namespace scheduler::test
