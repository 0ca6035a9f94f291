// Users ask at all nodes within milliseconds, repeat the submission, cancel at once: nobody hears
// anything older than he was told. See "Close looks" in docs/meetings.md.
#include <gtest/gtest.h>

#include <random>

#include "core/model/partition_assignment.h"
#include "world.h"

namespace scheduler::test {
namespace {

// Status and stage of the answer; 0 and empty: none yet.
std::pair<int, std::string> heard(const World& world, RequestId request_id) {
    auto it = world.answers.find(request_id);
    if (it == world.answers.end()) {
        return {0, ""};
    }
    const auto* job = std::get_if<JobStatusBody>(&it->second.body);
    return {it->second.status, job ? job->stage : ""};
}

// Jobs that were accepted under earlier settings, and that would be refused today.
std::vector<JobSpec> refused_today(const World& world) {
    std::vector<JobSpec> jobs(4, world.job("", 2));
    jobs[0].team = "nobody";
    jobs[1].cpus = 25; // over the limit
    jobs[2].types = {"sold"};
    jobs[3].zone = "closed";
    return jobs;
}

TEST(CloseLooks, ARepeatOfAJobThatWouldBeRefusedTodayGetsItsState) {
    World world({});
    world.run_for(5);
    const std::pair<Outcome, const char*> kOutcomes[] = {
        {Outcome::none, "pending"}, {Outcome::done, "done"}, {Outcome::cancelled, "cancelled"}};
    int n = 0;
    for (auto [outcome, stage] : kOutcomes) {
        for (JobSpec spec : refused_today(world)) {
            spec.id = "req-" + std::to_string(++n);
            // No node has seen its record: it is answered at once, before any watch has told.
            world.accepted_before(spec, outcome);
            RequestId request_id = world.submit(n % 3, spec);
            world.run_for(0.5);
            EXPECT_EQ(heard(world, request_id), std::pair(200, std::string(stage))) << n;
        }
    }
    for (JobSpec spec : refused_today(world)) { // those that nobody accepted are refused
        spec.id = "req-" + std::to_string(++n);
        RequestId request_id = world.submit(n % 3, spec);
        world.run_for(0.5);
        EXPECT_EQ(heard(world, request_id).first, 422) << n;
    }
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

TEST(CloseLooks, ARepeatOfAJobWhoseRecordCannotBeReadWaits) {
    World world({});
    world.run_for(5);
    int n = 0;
    std::vector<JobSpec> jobs = refused_today(world);
    jobs.push_back(world.job("", 2)); // and one that fits
    for (JobSpec spec : jobs) {
        spec.id = "req-" + std::to_string(++n);
        world.put(kJobPrefix + spec.id, UnreadableRecord{});
        for (RequestId request_id : {world.submit(n % 3, spec), world.poll(n % 3, spec.id),
                                     world.cancel(n % 3, spec.id)}) {
            world.run_for(0.5);
            EXPECT_EQ(heard(world, request_id).first, 503) << n;
        }
    }
    EXPECT_GE(world.logged("event=record_unreadable"), jobs.size());
}

TEST(CloseLooks, ARepeatOfAJobThatRunsSaysSo) {
    World world({.run_s = 300});
    world.run_for(5);
    world.submit(0, world.job("req-1", 2));
    world.run_for(40);
    ASSERT_EQ(world.machines_of({"req-1", 0}).size(), 1u);
    int leader = world.owner(partition_of_team(world.facts(0), "red"));
    RequestId again = world.submit(leader, world.job("req-1", 2));
    world.run_for(0.5);
    EXPECT_EQ(heard(world, again), std::pair(200, std::string("running")));
}

// An answer under way when another node tells something newer: the read is sent, and its answer
// comes only after the job has been accepted, cancelled or done elsewhere and its user told.
class CloseLooksCrossing : public testing::TestWithParam<std::tuple<int, double>> {};

TEST_P(CloseLooksCrossing, WhatIsAskedAfterwardsIsNotAnsweredByWhatWasReadBefore) {
    auto [what, after] = GetParam(); // the newer answer's request is sent that much later
    World world({.nodes = 5, .run_s = 300, .state_rps = 300, .state_write_rps = 100});
    world.run_for(30);
    world.troubles.state_slow_s = 0.4; // half of all that is asked
    int n = 0;
    int asked = 0;
    for (int round = 0; round < 12; ++round) {
        JobSpec spec = world.job("req-" + std::to_string(++n), 1);
        std::vector<RequestId> all;
        if (what != 0) {
            RequestId accepted = world.submit(0, spec);
            while (heard(world, accepted).first == 0) {
                world.run_for(0.01);
            }
            ASSERT_EQ(heard(world, accepted).first, 201);
        }
        // Questions whose answers are under way at every node, known there or not.
        for (int node = 0; node < 5; ++node) {
            all.push_back(world.poll(node, spec.id));
        }
        world.run_for(after);
        RequestId news = what == 0 ? world.submit(1, spec) : world.cancel(1, spec.id);
        for (int k = 0; k < 300 && heard(world, news).first == 0; ++k) {
            world.run_for(0.002);
            for (int node = 0; node < 5 && k % 10 == 0; ++node) {
                all.push_back(world.poll(node, spec.id));
                all.push_back(what == 0 ? world.cancel(node, spec.id + "0")
                                        : world.submit(node, spec));
            }
        }
        for (int k = 0; k < 20; ++k) { // from here on it is known to the user
            for (int node = 0; node < 5; ++node) {
                all.push_back(world.poll(node, spec.id));
                all.push_back(world.submit(node, spec));
            }
            world.run_for(0.003);
        }
        world.run_for(4);
        for (RequestId request_id : all) {
            EXPECT_NE(heard(world, request_id).first, 0);
            asked += heard(world, request_id).first == 200;
        }
        ASSERT_TRUE(world.broken.empty()) << world.broken.front();
        world.cancel(2, spec.id);
    }
    EXPECT_GT(asked, 12 * 40);
}
INSTANTIATE_TEST_SUITE_P(Accepted, CloseLooksCrossing,
                         testing::Combine(testing::Values(0), testing::Values(0.0, 0.01, 0.1)));
INSTANTIATE_TEST_SUITE_P(Cancelled, CloseLooksCrossing,
                         testing::Combine(testing::Values(1), testing::Values(0.0, 0.01, 0.1)));

// What meets the close looks.
enum class With {
    nothing,
    cancel_at_end,       // at the moment at which the last task ends
    answering_node_ends, // right after its answer, back after 0, 0.02, 0.3, 6 s in turn
    owners_end,
    all_end,
    lost_answers,
    late_writes,
    slow_state,
    one_refused,
    refused_then_outage,
    odd_requests,
    count
};
constexpr const char* kWith[] = {
    "nothing",     "cancel_at_end",       "answering_node_ends", "owners_end",
    "all_end",     "lost_answers",        "late_writes",         "slow_state",
    "one_refused", "refused_then_outage", "odd_requests"};

class CloseLooksMeet : public testing::TestWithParam<int> {};

TEST_P(CloseLooksMeet, AndNobodyHearsSomethingOlder) {
    auto with = static_cast<With>(GetParam());
    World world({.seed = 7 + static_cast<std::uint64_t>(GetParam()),
                 .nodes = 5,
                 .run_s = 4,
                 .limits = 12,
                 .capacity = 60,
                 .state_rps = 600,
                 .state_write_rps = 100,
                 .notices = true});
    world.run_for(30);
    std::mt19937_64 random(1);
    auto any = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
    world.troubles.close_looks = 1;
    constexpr double kBack[] = {0, 0.02, 0.3, 6};
    int ends = 0;
    switch (with) {
    case With::cancel_at_end: world.troubles.cancel_at_end = 1; break;
    case With::answering_node_ends:
        world.after_output = [&](int, const OutboundRequest*,
                                 const Response* a) -> std::optional<double> {
            const auto* job = a ? std::get_if<JobStatusBody>(&a->body) : nullptr;
            bool news = job && (a->status == 201 || job->stage == "cancelled");
            return news && any(6) == 0 ? std::optional(kBack[++ends % 4]) : std::nullopt;
        };
        break;
    case With::lost_answers: world.troubles.lost_answers = 0.3; break;
    case With::late_writes: world.troubles.late_writes = 0.3; break;
    case With::slow_state: world.troubles.state_slow_s = 1; break;
    default: break;
    }
    int jobs = 0;
    constexpr int rounds = 40;
    for (int round = 0; round < rounds; ++round) {
        JobSpec spec = world.job("req-" + std::to_string(++jobs), 1 + any(3), 1);
        spec.kind = any(4) ? JobKind::array : any(2) ? JobKind::gang : JobKind::service;
        spec.team = any(2) ? "red" : "blue";
        world.submit(any(5), spec);
        world.run_for(1);
        world.cancel(any(5), "req-" + std::to_string(1 + any(jobs)));
        int node = any(5);
        switch (with) {
        case With::owners_end:
            if (round % 8 == 3) {
                world.crash(world.owner(partition_of_team(world.facts(0), spec.team)),
                            kBack[++ends % 4]);
            }
            break;
        case With::all_end:
            if (round % 13 == 5) {
                ++ends;
                for (int n = 0; n < 5; ++n) {
                    world.crash(n, kBack[(ends + n) % 4]);
                }
            }
            break;
        case With::one_refused:
        case With::refused_then_outage:
            world.state_refuses(node, true);
            world.run_for(1);
            if (with == With::refused_then_outage && round % 10 == 4) {
                world.state_down(true);
                world.run_for(45);
                world.state_down(false);
            }
            world.state_refuses(node, false);
            break;
        case With::odd_requests:
            for (int k = 0; k < 3; ++k) {
                world.odd_requests("req-" + std::to_string(1 + any(jobs)));
            }
            break;
        default: break;
        }
        world.run_for(1);
        ASSERT_TRUE(world.broken.empty()) << world.broken.front() << " at " << world.now();
    }
    world.troubles = {};
    world.after_output = nullptr;
    world.run_for(60);
    world.ask_often();
    world.run_for(100);
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
    EXPECT_LT(world.longest_unanswered(), 75);
    EXPECT_GT(world.looks_answered(), static_cast<std::size_t>(10 * rounds));
    EXPECT_EQ(world.judge().late_starts().left_after, 0);
}
INSTANTIATE_TEST_SUITE_P(Troubles, CloseLooksMeet, testing::Range(0, static_cast<int>(With::count)),
                         [](const auto& p) { return kWith[p.param]; });

} // namespace
} // namespace scheduler::test
