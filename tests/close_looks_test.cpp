// Users ask at all nodes within milliseconds, repeat the submission, cancel at once: nobody hears
// anything older than he was told. See "Close looks" in docs/meetings.md.
#include <gtest/gtest.h>

#include <random>

#include "core/model/partition_assignment.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

// Status and stage of the answer; 0 and empty: none yet.
std::pair<int, std::string> heard(const SimulatedCluster& cluster, RequestId request_id) {
    auto it = cluster.answers.find(request_id);
    if (it == cluster.answers.end()) {
        return {0, ""};
    }
    const auto* job = std::get_if<JobStatusBody>(&it->second.body);
    return {it->second.status, job ? job->stage : ""};
}

// Jobs that were accepted under earlier settings, and that would be refused today.
std::vector<JobSpec> refused_today(const SimulatedCluster& cluster) {
    std::vector<JobSpec> jobs(4, cluster.job("", 2));
    jobs[0].team = "nobody";
    jobs[1].cpus = 25; // over the limit
    jobs[2].types = {"sold"};
    jobs[3].zone = "closed";
    return jobs;
}

TEST(CloseLooks, ARepeatOfAJobThatWouldBeRefusedTodayGetsItsState) {
    SimulatedCluster cluster({});
    cluster.run_for(5);
    const std::pair<Outcome, const char*> kOutcomes[] = {
        {Outcome::none, "pending"}, {Outcome::done, "done"}, {Outcome::cancelled, "cancelled"}};
    int n = 0;
    for (auto [outcome, stage] : kOutcomes) {
        for (JobSpec spec : refused_today(cluster)) {
            spec.id = "req-" + std::to_string(++n);
            // No node has seen its record: it is answered at once, before any watch has told.
            cluster.add_existing_job(spec, outcome);
            RequestId request_id = cluster.submit(n % 3, spec);
            cluster.run_for(0.5);
            EXPECT_EQ(heard(cluster, request_id), std::pair(200, std::string(stage))) << n;
        }
    }
    for (JobSpec spec : refused_today(cluster)) { // those that nobody accepted are refused
        spec.id = "req-" + std::to_string(++n);
        RequestId request_id = cluster.submit(n % 3, spec);
        cluster.run_for(0.5);
        EXPECT_EQ(heard(cluster, request_id).first, 422) << n;
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(CloseLooks, ARepeatOfAJobWhoseRecordCannotBeReadWaits) {
    SimulatedCluster cluster({});
    cluster.run_for(5);
    int n = 0;
    std::vector<JobSpec> jobs = refused_today(cluster);
    jobs.push_back(cluster.job("", 2)); // and one that fits
    for (JobSpec spec : jobs) {
        spec.id = "req-" + std::to_string(++n);
        cluster.put(kJobPrefix + spec.id, UnreadableRecord{});
        for (RequestId request_id : {cluster.submit(n % 3, spec), cluster.poll(n % 3, spec.id),
                                     cluster.cancel(n % 3, spec.id)}) {
            cluster.run_for(0.5);
            EXPECT_EQ(heard(cluster, request_id).first, 503) << n;
        }
    }
    EXPECT_GE(cluster.log_count("event=record_unreadable"), jobs.size());
}

TEST(CloseLooks, ARepeatOfAJobThatRunsSaysSo) {
    SimulatedCluster cluster({.run_s = 300});
    cluster.run_for(5);
    cluster.submit(0, cluster.job("req-1", 2));
    cluster.run_for(40);
    ASSERT_EQ(cluster.machines_of({"req-1", 0}).size(), 1u);
    int leader = cluster.owner(partition_of_team(cluster.cluster_settings(0), "red"));
    RequestId again = cluster.submit(leader, cluster.job("req-1", 2));
    cluster.run_for(0.5);
    EXPECT_EQ(heard(cluster, again), std::pair(200, std::string("running")));
}

// An answer under way when another node tells something newer: the read is sent, and its answer
// comes only after the job has been accepted, cancelled or done elsewhere and its user told.
class CloseLooksCrossing : public testing::TestWithParam<std::tuple<int, double>> {};

TEST_P(CloseLooksCrossing, WhatIsAskedAfterwardsIsNotAnsweredByWhatWasReadBefore) {
    auto [what, after] = GetParam(); // the newer answer's request is sent that much later
    SimulatedCluster cluster({.nodes = 5, .run_s = 300, .state_rps = 300, .state_write_rps = 100});
    cluster.run_for(30);
    cluster.random_faults.store_delay_s = 0.4; // half of all that is asked
    int n = 0;
    int asked = 0;
    for (int round = 0; round < 12; ++round) {
        JobSpec spec = cluster.job("req-" + std::to_string(++n), 1);
        std::vector<RequestId> all;
        if (what != 0) {
            RequestId accepted = cluster.submit(0, spec);
            while (heard(cluster, accepted).first == 0) {
                cluster.run_for(0.01);
            }
            ASSERT_EQ(heard(cluster, accepted).first, 201);
        }
        // Questions whose answers are under way at every node, known there or not.
        for (int node = 0; node < 5; ++node) {
            all.push_back(cluster.poll(node, spec.id));
        }
        cluster.run_for(after);
        RequestId news = what == 0 ? cluster.submit(1, spec) : cluster.cancel(1, spec.id);
        for (int k = 0; k < 300 && heard(cluster, news).first == 0; ++k) {
            cluster.run_for(0.002);
            for (int node = 0; node < 5 && k % 10 == 0; ++node) {
                all.push_back(cluster.poll(node, spec.id));
                all.push_back(what == 0 ? cluster.cancel(node, spec.id + "0")
                                        : cluster.submit(node, spec));
            }
        }
        for (int k = 0; k < 20; ++k) { // from here on it is known to the user
            for (int node = 0; node < 5; ++node) {
                all.push_back(cluster.poll(node, spec.id));
                all.push_back(cluster.submit(node, spec));
            }
            cluster.run_for(0.003);
        }
        cluster.run_for(4);
        for (RequestId request_id : all) {
            EXPECT_NE(heard(cluster, request_id).first, 0);
            asked += heard(cluster, request_id).first == 200;
        }
        ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front();
        cluster.cancel(2, spec.id);
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
    lost_responses,
    late_writes,
    slow_state,
    one_refused,
    refused_then_outage,
    send_edge_case_requests,
    count
};
constexpr const char* kWith[] = {
    "nothing",     "cancel_at_end",       "answering_node_ends", "owners_end",
    "all_end",     "lost_answers",        "late_writes",         "slow_state",
    "one_refused", "refused_then_outage", "odd_requests"};

class CloseLooksMeet : public testing::TestWithParam<int> {};

TEST_P(CloseLooksMeet, AndNobodyHearsSomethingOlder) {
    auto with = static_cast<With>(GetParam());
    SimulatedCluster cluster({.seed = 7 + static_cast<std::uint64_t>(GetParam()),
                              .nodes = 5,
                              .run_s = 4,
                              .limits = 12,
                              .capacity = 60,
                              .state_rps = 600,
                              .state_write_rps = 100,
                              .cancellation_broadcasts = true});
    cluster.run_for(30);
    std::mt19937_64 random(1);
    auto any = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
    cluster.random_faults.concurrent_status_reads = 1;
    constexpr double kBack[] = {0, 0.02, 0.3, 6};
    int ends = 0;
    switch (with) {
    case With::cancel_at_end: cluster.random_faults.cancel_at_end = 1; break;
    case With::answering_node_ends:
        cluster.after_output = [&](int, const OutboundRequest*,
                                   const Response* a) -> std::optional<double> {
            const auto* job = a ? std::get_if<JobStatusBody>(&a->body) : nullptr;
            bool news = job && (a->status == 201 || job->stage == "cancelled");
            return news && any(6) == 0 ? std::optional(kBack[++ends % 4]) : std::nullopt;
        };
        break;
    case With::lost_responses: cluster.random_faults.lost_responses = 0.3; break;
    case With::late_writes: cluster.random_faults.late_writes = 0.3; break;
    case With::slow_state: cluster.random_faults.store_delay_s = 1; break;
    default: break;
    }
    int jobs = 0;
    constexpr int rounds = 40;
    for (int round = 0; round < rounds; ++round) {
        JobSpec spec = cluster.job("req-" + std::to_string(++jobs), 1 + any(3), 1);
        spec.kind = any(4) ? JobKind::array : any(2) ? JobKind::gang : JobKind::service;
        spec.team = any(2) ? "red" : "blue";
        cluster.submit(any(5), spec);
        cluster.run_for(1);
        cluster.cancel(any(5), "req-" + std::to_string(1 + any(jobs)));
        int node = any(5);
        switch (with) {
        case With::owners_end:
            if (round % 8 == 3) {
                cluster.crash(
                    cluster.owner(partition_of_team(cluster.cluster_settings(0), spec.team)),
                    kBack[++ends % 4]);
            }
            break;
        case With::all_end:
            if (round % 13 == 5) {
                ++ends;
                for (int n = 0; n < 5; ++n) {
                    cluster.crash(n, kBack[(ends + n) % 4]);
                }
            }
            break;
        case With::one_refused:
        case With::refused_then_outage:
            cluster.set_store_refusing(node, true);
            cluster.run_for(1);
            if (with == With::refused_then_outage && round % 10 == 4) {
                cluster.set_store_down(true);
                cluster.run_for(45);
                cluster.set_store_down(false);
            }
            cluster.set_store_refusing(node, false);
            break;
        case With::send_edge_case_requests:
            for (int k = 0; k < 3; ++k) {
                cluster.send_edge_case_requests("req-" + std::to_string(1 + any(jobs)));
            }
            break;
        default: break;
        }
        cluster.run_for(1);
        ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front() << " at " << cluster.now();
    }
    cluster.random_faults = {};
    cluster.after_output = nullptr;
    cluster.run_for(60);
    cluster.start_polling_open_jobs();
    cluster.run_for(100);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_LT(cluster.longest_unanswered(), 75);
    EXPECT_GT(cluster.status_reads_answered(), static_cast<std::size_t>(10 * rounds));
    EXPECT_EQ(cluster.history_checker().late_starts().sent_after_response, 0);
}
INSTANTIATE_TEST_SUITE_P(RandomFaults, CloseLooksMeet,
                         testing::Range(0, static_cast<int>(With::count)),
                         [](const auto& p) { return kWith[p.param]; });

} // namespace
} // namespace scheduler::test
