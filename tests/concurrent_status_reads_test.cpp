// Concurrent status reads: users poll a job at different controllers within milliseconds, repeat
// its submission and cancel it. No user may get an older state than one already returned. See
// "Close looks" in docs/meetings.md.
#include <gtest/gtest.h>

#include <random>

#include "core/model/partition_assignment.h"
#include "world.h"

namespace scheduler::test {
namespace {

// Returns the status of the response and the job's stage in it; 0 and "" before there is one.
std::pair<int, std::string> status_and_stage(const World& world, RequestId request_id) {
    auto it = world.answers.find(request_id);
    if (it == world.answers.end()) {
        return {0, ""};
    }
    const auto* job = std::get_if<JobStatusBody>(&it->second.body);
    return {it->second.status, job ? job->stage : ""};
}

// Returns jobs that could have been accepted under earlier settings and would be rejected now.
std::vector<JobSpec> jobs_now_invalid(const World& world) {
    std::vector<JobSpec> jobs(4, world.job("", 2));
    jobs[0].team = "nobody";
    jobs[1].cpus = 25; // over the limit
    jobs[2].types = {"sold"};
    jobs[3].zone = "closed";
    return jobs;
}

TEST(ConcurrentStatusReads, RepeatedSubmissionOfAJobThatIsNowInvalidReturnsItsState) {
    World world({});
    world.run_for(5);
    const std::pair<Outcome, const char*> kOutcomes[] = {
        {Outcome::none, "pending"}, {Outcome::done, "done"}, {Outcome::cancelled, "cancelled"}};
    int n = 0;
    for (auto [outcome, stage] : kOutcomes) {
        for (JobSpec spec : jobs_now_invalid(world)) {
            spec.id = "req-" + std::to_string(++n);
            // No controller has seen its record. The response does not wait for a store watch.
            world.accepted_before(spec, outcome);
            RequestId request_id = world.submit(n % 3, spec);
            world.run_for(0.5);
            EXPECT_EQ(status_and_stage(world, request_id), std::pair(200, std::string(stage))) << n;
        }
    }
    for (JobSpec spec : jobs_now_invalid(world)) { // rejected if not accepted before
        spec.id = "req-" + std::to_string(++n);
        RequestId request_id = world.submit(n % 3, spec);
        world.run_for(0.5);
        EXPECT_EQ(status_and_stage(world, request_id).first, 422) << n;
    }
    EXPECT_TRUE(world.broken.empty()) << world.broken.front();
}

TEST(ConcurrentStatusReads, RequestsForAJobWithAnUnreadableRecordGetStatus503) {
    World world({});
    world.run_for(5);
    int n = 0;
    std::vector<JobSpec> jobs = jobs_now_invalid(world);
    jobs.push_back(world.job("", 2)); // and one that is valid
    for (JobSpec spec : jobs) {
        spec.id = "req-" + std::to_string(++n);
        world.put(kJobPrefix + spec.id, UnreadableRecord{});
        for (RequestId request_id : {world.submit(n % 3, spec), world.poll(n % 3, spec.id),
                                     world.cancel(n % 3, spec.id)}) {
            world.run_for(0.5);
            EXPECT_EQ(status_and_stage(world, request_id).first, 503) << n;
        }
    }
    EXPECT_GE(world.logged("event=record_unreadable"), jobs.size());
}

TEST(ConcurrentStatusReads, RepeatedSubmissionOfARunningJobReturnsRunning) {
    World world({.run_s = 300});
    world.run_for(5);
    world.submit(0, world.job("req-1", 2));
    world.run_for(40);
    ASSERT_EQ(world.machines_of({"req-1", 0}).size(), 1u);
    int leader = world.owner(partition_of_team(world.facts(0), "red"));
    RequestId repeated = world.submit(leader, world.job("req-1", 2));
    world.run_for(0.5);
    EXPECT_EQ(status_and_stage(world, repeated), std::pair(200, std::string("running")));
}

// A controller reads a job's record, and the response arrives only after the job has been accepted
// or cancelled at another controller and the user has been told. Later requests must not get the
// state of the earlier read.
class ConcurrentStatusReadsSlowStore : public testing::TestWithParam<std::tuple<int, double>> {};

TEST_P(ConcurrentStatusReadsSlowStore, LaterRequestsDoNotGetStateReadEarlier) {
    // The change is a submission (0) or a cancellation (1), requested `delay_s` after the reads.
    auto [change, delay_s] = GetParam();
    World world({.nodes = 5, .run_s = 300, .state_rps = 300, .state_write_rps = 100});
    world.run_for(30);
    world.troubles.state_slow_s = 0.4; // delays half of the requests to the store
    int n = 0;
    int answered = 0;
    for (int round = 0; round < 12; ++round) {
        JobSpec spec = world.job("req-" + std::to_string(++n), 1);
        std::vector<RequestId> requests;
        if (change != 0) {
            RequestId accepted = world.submit(0, spec);
            while (status_and_stage(world, accepted).first == 0) {
                world.run_for(0.01);
            }
            ASSERT_EQ(status_and_stage(world, accepted).first, 201);
        }
        // Reads in flight at every controller, whether it knows the job or not.
        for (int controller = 0; controller < 5; ++controller) {
            requests.push_back(world.poll(controller, spec.id));
        }
        world.run_for(delay_s);
        RequestId change_request = change == 0 ? world.submit(1, spec) : world.cancel(1, spec.id);
        for (int k = 0; k < 300 && status_and_stage(world, change_request).first == 0; ++k) {
            world.run_for(0.002);
            for (int controller = 0; controller < 5 && k % 10 == 0; ++controller) {
                requests.push_back(world.poll(controller, spec.id));
                requests.push_back(change == 0 ? world.cancel(controller, spec.id + "0")
                                               : world.submit(controller, spec));
            }
        }
        for (int k = 0; k < 20; ++k) { // the user knows the change from here on
            for (int controller = 0; controller < 5; ++controller) {
                requests.push_back(world.poll(controller, spec.id));
                requests.push_back(world.submit(controller, spec));
            }
            world.run_for(0.003);
        }
        world.run_for(4);
        for (RequestId request_id : requests) {
            EXPECT_NE(status_and_stage(world, request_id).first, 0);
            answered += status_and_stage(world, request_id).first == 200;
        }
        ASSERT_TRUE(world.broken.empty()) << world.broken.front();
        world.cancel(2, spec.id);
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
    auto random_below = [&](int n) {
        return static_cast<int>(random() % static_cast<unsigned>(n));
    };
    world.troubles.close_looks = 1;
    constexpr double kDowntimesS[] = {0, 0.02, 0.3, 6};
    int crashes = 0;
    switch (fault) {
    case Fault::cancel_at_job_end: world.troubles.cancel_at_end = 1; break;
    case Fault::responder_crashes:
        world.after_output = [&](int, const OutboundRequest*,
                                 const Response* response) -> std::optional<double> {
            const auto* job = response ? std::get_if<JobStatusBody>(&response->body) : nullptr;
            bool is_change = job && (response->status == 201 || job->stage == "cancelled");
            return is_change && random_below(6) == 0 ? std::optional(kDowntimesS[++crashes % 4])
                                                     : std::nullopt;
        };
        break;
    case Fault::lost_responses: world.troubles.lost_answers = 0.3; break;
    case Fault::late_writes: world.troubles.late_writes = 0.3; break;
    case Fault::slow_store: world.troubles.state_slow_s = 1; break;
    default: break;
    }
    int jobs = 0;
    constexpr int kRounds = 40;
    for (int round = 0; round < kRounds; ++round) {
        JobSpec spec = world.job("req-" + std::to_string(++jobs), 1 + random_below(3), 1);
        spec.kind = random_below(4)   ? JobKind::array
                    : random_below(2) ? JobKind::gang
                                      : JobKind::service;
        spec.team = random_below(2) ? "red" : "blue";
        world.submit(random_below(5), spec);
        world.run_for(1);
        world.cancel(random_below(5), "req-" + std::to_string(1 + random_below(jobs)));
        int controller = random_below(5);
        switch (fault) {
        case Fault::leaders_crash:
            if (round % 8 == 3) {
                world.crash(world.owner(partition_of_team(world.facts(0), spec.team)),
                            kDowntimesS[++crashes % 4]);
            }
            break;
        case Fault::all_controllers_crash:
            if (round % 13 == 5) {
                ++crashes;
                for (int n = 0; n < 5; ++n) {
                    world.crash(n, kDowntimesS[(crashes + n) % 4]);
                }
            }
            break;
        case Fault::store_refuses_one:
        case Fault::store_refuses_one_then_outage:
            world.state_refuses(controller, true);
            world.run_for(1);
            if (fault == Fault::store_refuses_one_then_outage && round % 10 == 4) {
                world.state_down(true);
                world.run_for(45);
                world.state_down(false);
            }
            world.state_refuses(controller, false);
            break;
        case Fault::edge_case_requests:
            for (int k = 0; k < 3; ++k) {
                world.odd_requests("req-" + std::to_string(1 + random_below(jobs)));
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
    EXPECT_GT(world.looks_answered(), static_cast<std::size_t>(10 * kRounds));
    EXPECT_EQ(world.judge().late_starts().left_after, 0);
}
INSTANTIATE_TEST_SUITE_P(Faults, ConcurrentStatusReadsFaults,
                         testing::Range(0, static_cast<int>(Fault::count)),
                         [](const auto& p) { return kFaultNames[p.param]; });

} // namespace
} // namespace scheduler::test
