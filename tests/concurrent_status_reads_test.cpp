// Concurrent status reads: users poll a job at different controllers within milliseconds, repeat
// its submission and cancel it. No user may get an older state than one already returned. See
// "Close looks" in docs/meetings.md.
#include <gtest/gtest.h>

#include <random>

#include "core/model/partition_assignment.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

// Returns the status of the response and the job's stage in it; 0 and "" before there is one.
std::pair<int, std::string> status_and_stage(const SimulatedCluster& cluster,
                                             RequestId request_id) {
    auto it = cluster.answers.find(request_id);
    if (it == cluster.answers.end()) {
        return {0, ""};
    }
    const auto* job = std::get_if<JobStatusBody>(&it->second.body);
    return {it->second.status, job ? job->stage : ""};
}

// Returns jobs that could have been accepted under earlier settings and would be rejected now.
std::vector<JobSpec> jobs_now_invalid(const SimulatedCluster& cluster) {
    std::vector<JobSpec> jobs(4, cluster.job("", 2));
    jobs[0].team = "nobody";
    jobs[1].cpus = 25; // over the limit
    jobs[2].types = {"sold"};
    jobs[3].zone = "closed";
    return jobs;
}

TEST(ConcurrentStatusReads, RepeatedSubmissionOfAJobThatIsNowInvalidReturnsItsState) {
    SimulatedCluster cluster({});
    cluster.run_for(5);
    const std::pair<Outcome, const char*> kOutcomes[] = {
        {Outcome::none, "pending"}, {Outcome::done, "done"}, {Outcome::cancelled, "cancelled"}};
    int n = 0;
    for (auto [outcome, stage] : kOutcomes) {
        for (JobSpec spec : jobs_now_invalid(cluster)) {
            spec.id = "req-" + std::to_string(++n);
            // No controller has seen its record. The response does not wait for a store watch.
            cluster.add_existing_job(spec, outcome);
            RequestId request_id = cluster.submit(n % 3, spec);
            cluster.run_for(0.5);
            EXPECT_EQ(status_and_stage(cluster, request_id), std::pair(200, std::string(stage)))
                << n;
        }
    }
    for (JobSpec spec : jobs_now_invalid(cluster)) { // rejected if not accepted before
        spec.id = "req-" + std::to_string(++n);
        RequestId request_id = cluster.submit(n % 3, spec);
        cluster.run_for(0.5);
        EXPECT_EQ(status_and_stage(cluster, request_id).first, 422) << n;
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(ConcurrentStatusReads, RequestsForAJobWithAnUnreadableRecordGetStatus503) {
    SimulatedCluster cluster({});
    cluster.run_for(5);
    int n = 0;
    std::vector<JobSpec> jobs = jobs_now_invalid(cluster);
    jobs.push_back(cluster.job("", 2)); // and one that is valid
    for (JobSpec spec : jobs) {
        spec.id = "req-" + std::to_string(++n);
        cluster.put(kJobPrefix + spec.id, UnreadableRecord{});
        for (RequestId request_id : {cluster.submit(n % 3, spec), cluster.poll(n % 3, spec.id),
                                     cluster.cancel(n % 3, spec.id)}) {
            cluster.run_for(0.5);
            EXPECT_EQ(status_and_stage(cluster, request_id).first, 503) << n;
        }
    }
    EXPECT_GE(cluster.log_count("event=record_unreadable"), jobs.size());
}

TEST(ConcurrentStatusReads, RepeatedSubmissionOfARunningJobReturnsRunning) {
    SimulatedCluster cluster({.run_s = 300});
    cluster.run_for(5);
    cluster.submit(0, cluster.job("req-1", 2));
    cluster.run_for(40);
    ASSERT_EQ(cluster.machines_of({"req-1", 0}).size(), 1u);
    int leader = cluster.owner(partition_of_team(cluster.cluster_settings(0), "red"));
    RequestId repeated = cluster.submit(leader, cluster.job("req-1", 2));
    cluster.run_for(0.5);
    EXPECT_EQ(status_and_stage(cluster, repeated), std::pair(200, std::string("running")));
}

// A controller reads a job's record, and the response arrives only after the job has been accepted
// or cancelled at another controller and the user has been told. Later requests must not get the
// state of the earlier read.
class ConcurrentStatusReadsSlowStore : public testing::TestWithParam<std::tuple<int, double>> {};

TEST_P(ConcurrentStatusReadsSlowStore, LaterRequestsDoNotGetStateReadEarlier) {
    // The change is a submission (0) or a cancellation (1), requested `delay_s` after the reads.
    auto [change, delay_s] = GetParam();
    SimulatedCluster cluster({.nodes = 5, .run_s = 300, .state_rps = 300, .state_write_rps = 100});
    cluster.run_for(30);
    cluster.random_faults.store_delay_s = 0.4; // delays half of the requests to the store
    int n = 0;
    int answered = 0;
    for (int round = 0; round < 12; ++round) {
        JobSpec spec = cluster.job("req-" + std::to_string(++n), 1);
        std::vector<RequestId> requests;
        if (change != 0) {
            RequestId accepted = cluster.submit(0, spec);
            while (status_and_stage(cluster, accepted).first == 0) {
                cluster.run_for(0.01);
            }
            ASSERT_EQ(status_and_stage(cluster, accepted).first, 201);
        }
        // Reads in flight at every controller, whether it knows the job or not.
        for (int controller = 0; controller < 5; ++controller) {
            requests.push_back(cluster.poll(controller, spec.id));
        }
        cluster.run_for(delay_s);
        RequestId change_request =
            change == 0 ? cluster.submit(1, spec) : cluster.cancel(1, spec.id);
        for (int k = 0; k < 300 && status_and_stage(cluster, change_request).first == 0; ++k) {
            cluster.run_for(0.002);
            for (int controller = 0; controller < 5 && k % 10 == 0; ++controller) {
                requests.push_back(cluster.poll(controller, spec.id));
                requests.push_back(change == 0 ? cluster.cancel(controller, spec.id + "0")
                                               : cluster.submit(controller, spec));
            }
        }
        for (int k = 0; k < 20; ++k) { // the user knows the change from here on
            for (int controller = 0; controller < 5; ++controller) {
                requests.push_back(cluster.poll(controller, spec.id));
                requests.push_back(cluster.submit(controller, spec));
            }
            cluster.run_for(0.003);
        }
        cluster.run_for(4);
        for (RequestId request_id : requests) {
            EXPECT_NE(status_and_stage(cluster, request_id).first, 0);
            answered += status_and_stage(cluster, request_id).first == 200;
        }
        ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front();
        cluster.cancel(2, spec.id);
    }
    EXPECT_GT(answered, 12 * 40);
}
INSTANTIATE_TEST_SUITE_P(Accepted, ConcurrentStatusReadsSlowStore,
                         testing::Combine(testing::Values(0), testing::Values(0.0, 0.01, 0.1)));
INSTANTIATE_TEST_SUITE_P(Cancelled, ConcurrentStatusReadsSlowStore,
                         testing::Combine(testing::Values(1), testing::Values(0.0, 0.01, 0.1)));

// The fault that occurs during the concurrent status reads.
enum class Fault {
    none,
    cancel_at_job_end, // at the moment when the last task ends
    responder_crashes, // right after its response, for 0, 0.02, 0.3 and 6 s in turn
    leaders_crash,
    all_controllers_crash,
    lost_responses,
    late_writes,
    slow_store,
    store_refuses_one,
    store_refuses_one_then_outage,
    edge_case_requests,
    count
};
constexpr const char* kFaultNames[] = {"none",
                                       "cancel_at_job_end",
                                       "responder_crashes",
                                       "leaders_crash",
                                       "all_controllers_crash",
                                       "lost_responses",
                                       "late_writes",
                                       "slow_store",
                                       "store_refuses_one",
                                       "store_refuses_one_then_outage",
                                       "edge_case_requests"};

class ConcurrentStatusReadsFaults : public testing::TestWithParam<int> {};

TEST_P(ConcurrentStatusReadsFaults, NoUserGetsAnOlderState) {
    auto fault = static_cast<Fault>(GetParam());
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
    auto random_below = [&](int n) {
        return static_cast<int>(random() % static_cast<unsigned>(n));
    };
    cluster.random_faults.concurrent_status_reads = 1;
    constexpr double kDowntimesS[] = {0, 0.02, 0.3, 6};
    int crashes = 0;
    switch (fault) {
    case Fault::cancel_at_job_end: cluster.random_faults.cancel_at_end = 1; break;
    case Fault::responder_crashes:
        cluster.after_output = [&](int, const OutboundRequest*,
                                   const Response* response) -> std::optional<double> {
            const auto* job = response ? std::get_if<JobStatusBody>(&response->body) : nullptr;
            bool is_change = job && (response->status == 201 || job->stage == "cancelled");
            return is_change && random_below(6) == 0 ? std::optional(kDowntimesS[++crashes % 4])
                                                     : std::nullopt;
        };
        break;
    case Fault::lost_responses: cluster.random_faults.lost_responses = 0.3; break;
    case Fault::late_writes: cluster.random_faults.late_writes = 0.3; break;
    case Fault::slow_store: cluster.random_faults.store_delay_s = 1; break;
    default: break;
    }
    int jobs = 0;
    constexpr int kRounds = 40;
    for (int round = 0; round < kRounds; ++round) {
        JobSpec spec = cluster.job("req-" + std::to_string(++jobs), 1 + random_below(3), 1);
        spec.kind = random_below(4)   ? JobKind::array
                    : random_below(2) ? JobKind::gang
                                      : JobKind::service;
        spec.team = random_below(2) ? "red" : "blue";
        cluster.submit(random_below(5), spec);
        cluster.run_for(1);
        cluster.cancel(random_below(5), "req-" + std::to_string(1 + random_below(jobs)));
        int controller = random_below(5);
        switch (fault) {
        case Fault::leaders_crash:
            if (round % 8 == 3) {
                cluster.crash(
                    cluster.owner(partition_of_team(cluster.cluster_settings(0), spec.team)),
                    kDowntimesS[++crashes % 4]);
            }
            break;
        case Fault::all_controllers_crash:
            if (round % 13 == 5) {
                ++crashes;
                for (int n = 0; n < 5; ++n) {
                    cluster.crash(n, kDowntimesS[(crashes + n) % 4]);
                }
            }
            break;
        case Fault::store_refuses_one:
        case Fault::store_refuses_one_then_outage:
            cluster.set_store_refusing(controller, true);
            cluster.run_for(1);
            if (fault == Fault::store_refuses_one_then_outage && round % 10 == 4) {
                cluster.set_store_down(true);
                cluster.run_for(45);
                cluster.set_store_down(false);
            }
            cluster.set_store_refusing(controller, false);
            break;
        case Fault::edge_case_requests:
            for (int k = 0; k < 3; ++k) {
                cluster.send_edge_case_requests("req-" + std::to_string(1 + random_below(jobs)));
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
    EXPECT_GT(cluster.status_reads_answered(), static_cast<std::size_t>(10 * kRounds));
    EXPECT_EQ(cluster.history_checker().late_starts().sent_after_response, 0);
}
INSTANTIATE_TEST_SUITE_P(Faults, ConcurrentStatusReadsFaults,
                         testing::Range(0, static_cast<int>(Fault::count)),
                         [](const auto& p) { return kFaultNames[p.param]; });

} // namespace
} // namespace scheduler::test
