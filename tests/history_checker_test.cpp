// Each check of the history checker reports a constructed history that violates its rule, and
// accepts histories that comply with it.
#include "simulation/history_checker.h"

#include <gtest/gtest.h>

namespace scheduler::test {
namespace {

using RequestKind = HistoryChecker::RequestKind;

class HistoryCheckerTest : public testing::Test {
  protected:
    static JobSpec job(const std::string& id, std::uint32_t tasks = 1, double cpus = 2) {
        JobSpec spec;
        spec.id = id;
        spec.job_class = "scan";
        spec.team = "red";
        spec.tasks = tasks;
        spec.cpus = cpus;
        spec.ram_gb = cpus;
        spec.spot = true;
        spec.estimated_run_s = 10;
        return spec;
    }
    // Records a user request at `when` that is answered 0.1 s later. An empty `stage` stands for a
    // response without a job status.
    void record_answered_request(Time when, RequestKind kind, const std::string& id, int status,
                                 const char* stage) {
        checker.asked(when, ++request, kind, id);
        ResponseBody body = TextBody{};
        if (*stage) {
            body = JobStatusBody{id, stage, {}, {}};
        }
        checker.answered(when + 0.1, Response{request, status, body});
    }
    // Records a submission that is accepted.
    void accept(const JobSpec& spec, Time when = 1) {
        checker.submitted(when, spec);
        record_answered_request(when, RequestKind::submit, spec.id, 201, "pending");
        ASSERT_TRUE(checker.broken.empty()) << checker.broken.front();
    }
    // Returns whether exactly one violation was reported and its text starts with `prefix`.
    bool reported_only(const std::string& prefix) const {
        return checker.broken.size() == 1 && checker.broken[0].starts_with(prefix);
    }
    HistoryChecker::FreeCapacity free_capacity(double cpus, const char* zone = "a",
                                               bool spot = true) {
        return {zone, spot, &type, cpus, 0, 32};
    }
    // Returns for how many of 90 s the checker counts the job as waiting next to this free
    // capacity.
    double idle_seconds(const HistoryChecker::WaitingJob& waiting_job,
                        const std::vector<HistoryChecker::FreeCapacity>& capacities,
                        std::pair<double, double> used = {0, 0}) {
        checker.faults_ended(100);
        for (Time t = 100; t <= 190; t += 1) {
            checker.observe_capacity(t, capacities, {waiting_job}, {{"red", used}});
        }
        return checker.longest_idle();
    }

    InstanceType type{"m8", 8, 0, 32, 20, 1, 1.0, 0.4, 10, {"a", "b"}};
    HistoryChecker checker{42, {{"red", 16, 24, 0, 0}}, {type}};
    RequestId request = 0;
};

TEST_F(HistoryCheckerTest, ReportsAnOlderStageThanOneReceivedBeforeTheRequest) {
    accept(job("req-1"));
    checker.completed({"req-1", 0});
    record_answered_request(5, RequestKind::poll, "req-1", 200, "done");
    checker.asked(5.05, 100, RequestKind::poll, "req-1"); // sent before that response was received
    checker.answered(6, Response{100, 200, JobStatusBody{"req-1", "running", {}, {}}});
    EXPECT_TRUE(checker.broken.empty());
    record_answered_request(5.2, RequestKind::submit, "req-1", 200, "pending");
    EXPECT_TRUE(reported_only("went_back req-1 done pending"));
}

TEST_F(HistoryCheckerTest, ReportsTwoOutcomesOfOneJob) {
    accept(job("req-1"));
    checker.completed({"req-1", 0});
    checker.asked(5, 100, RequestKind::cancel, "req-1");
    record_answered_request(5, RequestKind::poll, "req-1", 200, "done");
    checker.answered(5.2, Response{100, 200, JobStatusBody{"req-1", "cancelled", {}, {}}});
    EXPECT_TRUE(reported_only("went_back req-1 done cancelled"));
}

TEST_F(HistoryCheckerTest, ReportsACancellationThatNoUserRequested) {
    accept(job("req-1"));
    record_answered_request(5, RequestKind::poll, "req-1", 200, "cancelled");
    EXPECT_TRUE(reported_only("went_back req-1 cancelled by nobody"));
}

TEST_F(HistoryCheckerTest, ReportsAJobDoneBeforeItsTasks) {
    accept(job("req-1", 2));
    checker.completed({"req-1", 0});
    record_answered_request(5, RequestKind::poll, "req-1", 200, "done");
    EXPECT_TRUE(reported_only("not_done"));
}

TEST_F(HistoryCheckerTest, ReportsAnAcceptedJobThatIsLaterRejectedUnknownOrAcceptedAgain) {
    for (int status : {404, 400, 422, 201}) {
        accept(job("req-1"));
        record_answered_request(5, RequestKind::submit, "req-1", status,
                                status == 201 ? "pending" : "");
        EXPECT_TRUE(reported_only("forgotten")) << status;
        checker.broken.clear();
    }
    accept(job("req-2"));
    record_answered_request(5, RequestKind::cancel, "req-2", 404, "");
    EXPECT_TRUE(reported_only("forgotten"));
}

TEST_F(HistoryCheckerTest, ReportsAJobThatNoUserSubmitted) {
    record_answered_request(5, RequestKind::poll, "req-9", 200, "pending");
    EXPECT_TRUE(reported_only("invented"));
}

TEST_F(HistoryCheckerTest, ReportsAnAcceptedJobThatCannotRun) {
    std::vector<JobSpec> unfit(5, job("req-1"));
    unfit[0].cpus = 9;
    unfit[1].types = {"none"};
    unfit[2].team = "nobody";
    unfit[3].zone = "c";
    unfit[4].kind = JobKind::gang;
    unfit[4].tasks = 13; // of 2 CPUs each; the team's limit is 24
    for (std::size_t i = 0; i < unfit.size(); ++i) {
        unfit[i].id = "req-" + std::to_string(i);
        checker.submitted(1, unfit[i]);
        record_answered_request(1, RequestKind::submit, unfit[i].id, 422, "");
        EXPECT_TRUE(checker.broken.empty());
        record_answered_request(2, RequestKind::submit, unfit[i].id, 201, "pending");
        EXPECT_TRUE(reported_only("accepted though it cannot run")) << i;
        checker.broken.clear();
    }
}

TEST_F(HistoryCheckerTest, ReportsATaskThatRunsTooLongAfterItsCancellation) {
    accept(job("req-1", 3));
    checker.started(3, {"req-1", 0}, 2.9);
    record_answered_request(5, RequestKind::cancel, "req-1", 200, "cancelled"); // received at 5.1
    checker.started(5.5, {"req-1", 1}, 5.0);
    checker.started(8, {"req-1", 2}, 7.1);
    checker.task_on_machine(47, {"req-1", 0});
    EXPECT_TRUE(checker.broken.empty());
    const HistoryChecker::LateStarts& late_starts = checker.late_starts();
    EXPECT_EQ(late_starts.sent_before_response, 1);
    EXPECT_EQ(late_starts.sent_after_response, 1);
    EXPECT_NEAR(late_starts.longest_s, 2.9, 1e-9);
    EXPECT_NEAR(late_starts.longest_sent_s, 2, 1e-9);
    checker.task_on_machine(47.2, {"req-1", 0});
    EXPECT_TRUE(reported_only("ran_cancelled"));
    EXPECT_NEAR(checker.longest_cancelled(), 42.1, 1e-9);
}

TEST_F(HistoryCheckerTest, MeasuresTheLongestTimeWithoutAnAnsweredRequest) {
    accept(job("req-1"));
    accept(job("req-2"));
    checker.faults_ended(10);
    record_answered_request(20, RequestKind::poll, "req-1", 200, "running");
    record_answered_request(20, RequestKind::poll, "req-2", 200, "running");
    record_answered_request(50, RequestKind::poll, "req-1", 503, "");
    record_answered_request(50, RequestKind::poll, "req-2", 200, "running");
    EXPECT_NEAR(checker.longest_unanswered(100), 79.9, 1e-9);
}

TEST_F(HistoryCheckerTest, MeasuresHowLongAJobWaitsNextToAMachineThatFits) {
    accept(job("req-1", 2));
    EXPECT_EQ(idle_seconds({"req-1", 2, {}}, {free_capacity(2)}), 90);
    // Not counted: too little free capacity, the wrong machines, the team at its limit, or the time
    // up to the start of a task.
    EXPECT_EQ(idle_seconds({"req-1", 2, {}}, {free_capacity(1.9), free_capacity(1)}), 0);
    EXPECT_EQ(idle_seconds({"req-1", 2, {}}, {free_capacity(2)}, {23, 0}), 0);
    checker.faults_ended(100);
    for (Time t = 100; t <= 190; t += 1) {
        checker.observe_capacity(t, {free_capacity(2)}, {{"req-1", 2, {}}}, {});
        if (t == 150) {
            checker.started(t, {"req-1", 0}, t);
        }
    }
    EXPECT_EQ(checker.longest_idle(), 50);
    JobSpec bound = job("req-2");
    bound.zone = "b";
    bound.spot = false;
    accept(bound);
    EXPECT_EQ(idle_seconds({"req-2", 1, {}},
                           {free_capacity(8), free_capacity(8, "a", false), free_capacity(8, "b")}),
              0);
    EXPECT_EQ(idle_seconds({"req-2", 1, {}}, {free_capacity(8, "b", false)}), 90);
    EXPECT_EQ(checker.longest_idle_job(), "req-2");
}

TEST_F(HistoryCheckerTest, CountsAGangAsIdleOnlyNextToCapacityForAllOfIt) {
    JobSpec gang = job("req-1", 4);
    gang.kind = JobKind::gang;
    accept(gang);
    EXPECT_EQ(idle_seconds({"req-1", 4, {}}, {free_capacity(4), free_capacity(3)}), 0);
    EXPECT_EQ(idle_seconds({"req-1", 4, {}}, {free_capacity(4), free_capacity(5, "b")}), 90);
    // Not counted: half of the gang is placed already.
    EXPECT_EQ(idle_seconds({"req-1", 2, {{"a", 2}}}, {free_capacity(8)}), 0);
    gang.id = "req-2";
    gang.one_zone = true;
    accept(gang);
    EXPECT_EQ(idle_seconds({"req-2", 4, {}}, {free_capacity(4), free_capacity(5, "b")}), 0);
    EXPECT_EQ(idle_seconds({"req-2", 4, {}}, {free_capacity(8)}), 90);
    gang.id = "req-3";
    gang.one_zone = false;
    gang.spread = true;
    accept(gang);
    EXPECT_EQ(idle_seconds({"req-3", 4, {}}, {free_capacity(8)}), 0);
    EXPECT_EQ(idle_seconds({"req-3", 4, {}}, {free_capacity(8), free_capacity(4, "b")}), 90);
}

TEST_F(HistoryCheckerTest, CountsTheLargestJobsOfAClassSeparately) {
    for (int i = 0; i < 8; ++i) {
        std::string id = "req-" + std::to_string(i);
        accept(job(id, i < 2 ? 50 : 1), i);
        if (i >= 2) {
            checker.started(10, {id, 0}, 9);
            checker.completed({id, 0});
        }
    }
    EXPECT_EQ(checker.groups_served_below(0.5),
              std::vector<std::string>{"largest of scan: 0 of 2"});
    EXPECT_EQ(checker.groups_served_below(0.8).size(), 3u); // the class and the team, too
    checker.started(200, {"req-0", 0}, 199);
    EXPECT_EQ(checker.largest_jobs_started_after(240, 240), std::vector<std::string>{});
    EXPECT_EQ(checker.largest_jobs_started_after(240, 242), std::vector<std::string>{"req-1"});
}

} // namespace
} // namespace scheduler::test
