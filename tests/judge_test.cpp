// Each history checker fails on a made history that breaks what it judges, and on no history that
// keeps it.
#include "simulation/history_checker.h"

#include <gtest/gtest.h>

namespace scheduler::test {
namespace {

using RequestKind = HistoryChecker::RequestKind;

class JudgeTest : public testing::Test {
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
    // A question at `when` that is answered 0.1 s later.
    void tell(Time when, RequestKind what, const std::string& id, int status, const char* stage) {
        history_checker.asked(when, ++request, what, id);
        ResponseBody body = TextBody{};
        if (*stage) {
            body = JobStatusBody{id, stage, {}, {}};
        }
        history_checker.answered(when + 0.1, Response{request, status, body});
    }
    void accept(const JobSpec& spec, Time when = 1) {
        history_checker.submitted(when, spec);
        tell(when, RequestKind::submit, spec.id, 201, "pending");
        ASSERT_TRUE(history_checker.broken.empty()) << history_checker.broken.front();
    }
    bool found(const std::string& what) const {
        return history_checker.broken.size() == 1 && history_checker.broken[0].starts_with(what);
    }
    HistoryChecker::FreeCapacity room(double cpus, const char* zone = "a", bool spot = true) {
        return {zone, spot, &type, cpus, 0, 32};
    }
    // Seconds of a minute and a half in which the job is seen to wait beside such room.
    double idle(const HistoryChecker::WaitingJob& standing,
                const std::vector<HistoryChecker::FreeCapacity>& rooms,
                std::pair<double, double> used = {0, 0}) {
        history_checker.faults_ended(100);
        for (Time t = 100; t <= 190; t += 1) {
            history_checker.observe_capacity(t, rooms, {standing}, {{"red", used}});
        }
        return history_checker.longest_idle();
    }

    InstanceType type{"m8", 8, 0, 32, 20, 1, 1.0, 0.4, 10, {"a", "b"}};
    HistoryChecker history_checker{42, {{"red", 16, 24, 0, 0}}, {type}};
    RequestId request = 0;
};

TEST_F(JudgeTest, AnAnswerOlderThanOneHeardBeforeTheQuestionWasSent) {
    accept(job("req-1"));
    history_checker.completed({"req-1", 0});
    tell(5, RequestKind::poll, "req-1", 200, "done");
    history_checker.asked(5.05, 100, RequestKind::poll, "req-1"); // asked before that was heard
    history_checker.answered(6, Response{100, 200, JobStatusBody{"req-1", "running", {}, {}}});
    EXPECT_TRUE(history_checker.broken.empty());
    tell(5.2, RequestKind::submit, "req-1", 200, "pending");
    EXPECT_TRUE(found("went_back req-1 done pending"));
}

TEST_F(JudgeTest, TwoOutcomesOfOneJob) {
    accept(job("req-1"));
    history_checker.completed({"req-1", 0});
    history_checker.asked(5, 100, RequestKind::cancel, "req-1");
    tell(5, RequestKind::poll, "req-1", 200, "done");
    history_checker.answered(5.2, Response{100, 200, JobStatusBody{"req-1", "cancelled", {}, {}}});
    EXPECT_TRUE(found("went_back req-1 done cancelled"));
}

TEST_F(JudgeTest, CancelledByNobody) {
    accept(job("req-1"));
    tell(5, RequestKind::poll, "req-1", 200, "cancelled");
    EXPECT_TRUE(found("went_back req-1 cancelled by nobody"));
}

TEST_F(JudgeTest, DoneBeforeItsTasks) {
    accept(job("req-1", 2));
    history_checker.completed({"req-1", 0});
    tell(5, RequestKind::poll, "req-1", 200, "done");
    EXPECT_TRUE(found("not_done"));
}

TEST_F(JudgeTest, AnAcceptedJobIsRefusedOrUnknownOrAcceptedAgain) {
    for (int status : {404, 400, 422, 201}) {
        accept(job("req-1"));
        tell(5, RequestKind::submit, "req-1", status, status == 201 ? "pending" : "");
        EXPECT_TRUE(found("forgotten")) << status;
        history_checker.broken.clear();
    }
    accept(job("req-2"));
    tell(5, RequestKind::cancel, "req-2", 404, "");
    EXPECT_TRUE(found("forgotten"));
}

TEST_F(JudgeTest, AJobThatNobodySubmitted) {
    tell(5, RequestKind::poll, "req-9", 200, "pending");
    EXPECT_TRUE(found("invented"));
}

TEST_F(JudgeTest, AcceptedThoughItCannotRun) {
    std::vector<JobSpec> unfit(5, job("req-1"));
    unfit[0].cpus = 9;
    unfit[1].types = {"none"};
    unfit[2].team = "nobody";
    unfit[3].zone = "c";
    unfit[4].kind = JobKind::gang;
    unfit[4].tasks = 13; // of 2 CPUs each; the team's limit is 24
    for (std::size_t i = 0; i < unfit.size(); ++i) {
        unfit[i].id = "req-" + std::to_string(i);
        history_checker.submitted(1, unfit[i]);
        tell(1, RequestKind::submit, unfit[i].id, 422, "");
        EXPECT_TRUE(history_checker.broken.empty());
        tell(2, RequestKind::submit, unfit[i].id, 201, "pending");
        EXPECT_TRUE(found("accepted though it cannot run")) << i;
        history_checker.broken.clear();
    }
}

TEST_F(JudgeTest, ACancelledTaskThatStaysOrStarts) {
    accept(job("req-1", 3));
    history_checker.started(3, {"req-1", 0}, 2.9);
    tell(5, RequestKind::cancel, "req-1", 200, "cancelled"); // heard at 5.1
    history_checker.started(5.5, {"req-1", 1}, 5.0);
    history_checker.started(8, {"req-1", 2}, 7.1);
    history_checker.task_on_machine(47, {"req-1", 0});
    EXPECT_TRUE(history_checker.broken.empty());
    const HistoryChecker::LateStarts& late = history_checker.late_starts();
    EXPECT_EQ(late.sent_before_response, 1);
    EXPECT_EQ(late.sent_after_response, 1);
    EXPECT_NEAR(late.longest_s, 2.9, 1e-9);
    EXPECT_NEAR(late.longest_sent_s, 2, 1e-9);
    history_checker.task_on_machine(47.2, {"req-1", 0});
    EXPECT_TRUE(found("ran_cancelled"));
    EXPECT_NEAR(history_checker.longest_cancelled(), 42.1, 1e-9);
}

TEST_F(JudgeTest, AnAcceptedJobWhoseQuestionsGoUnanswered) {
    accept(job("req-1"));
    accept(job("req-2"));
    history_checker.faults_ended(10);
    tell(20, RequestKind::poll, "req-1", 200, "running");
    tell(20, RequestKind::poll, "req-2", 200, "running");
    tell(50, RequestKind::poll, "req-1", 503, "");
    tell(50, RequestKind::poll, "req-2", 200, "running");
    EXPECT_NEAR(history_checker.longest_unanswered(100), 79.9, 1e-9);
}

TEST_F(JudgeTest, AJobThatWaitsBesideAMachineThatFits) {
    accept(job("req-1", 2));
    EXPECT_EQ(idle({"req-1", 2, {}}, {room(2)}), 90);
    // Not enough room, none of its kind, its team at its limit, or a task started now and then.
    EXPECT_EQ(idle({"req-1", 2, {}}, {room(1.9), room(1)}), 0);
    EXPECT_EQ(idle({"req-1", 2, {}}, {room(2)}, {23, 0}), 0);
    history_checker.faults_ended(100);
    for (Time t = 100; t <= 190; t += 1) {
        history_checker.observe_capacity(t, {room(2)}, {{"req-1", 2, {}}}, {});
        if (t == 150) {
            history_checker.started(t, {"req-1", 0}, t);
        }
    }
    EXPECT_EQ(history_checker.longest_idle(), 50);
    JobSpec bound = job("req-2");
    bound.zone = "b";
    bound.spot = false;
    accept(bound);
    EXPECT_EQ(idle({"req-2", 1, {}}, {room(8), room(8, "a", false), room(8, "b")}), 0);
    EXPECT_EQ(idle({"req-2", 1, {}}, {room(8, "b", false)}), 90);
    EXPECT_EQ(history_checker.longest_idle_job(), "req-2");
}

TEST_F(JudgeTest, AGangWaitsOnlyBesideRoomForAllOfIt) {
    JobSpec gang = job("req-1", 4);
    gang.kind = JobKind::gang;
    accept(gang);
    EXPECT_EQ(idle({"req-1", 4, {}}, {room(4), room(3)}), 0);
    EXPECT_EQ(idle({"req-1", 4, {}}, {room(4), room(5, "b")}), 90);
    EXPECT_EQ(idle({"req-1", 2, {{"a", 2}}}, {room(8)}), 0); // under way
    gang.id = "req-2";
    gang.one_zone = true;
    accept(gang);
    EXPECT_EQ(idle({"req-2", 4, {}}, {room(4), room(5, "b")}), 0);
    EXPECT_EQ(idle({"req-2", 4, {}}, {room(8)}), 90);
    gang.id = "req-3";
    gang.one_zone = false;
    gang.spread = true;
    accept(gang);
    EXPECT_EQ(idle({"req-3", 4, {}}, {room(8)}), 0);
    EXPECT_EQ(idle({"req-3", 4, {}}, {room(8), room(4, "b")}), 90);
}

TEST_F(JudgeTest, TheLargestOfAClassAreCountedApart) {
    for (int i = 0; i < 8; ++i) {
        std::string id = "req-" + std::to_string(i);
        accept(job(id, i < 2 ? 50 : 1), i);
        if (i >= 2) {
            history_checker.started(10, {id, 0}, 9);
            history_checker.completed({id, 0});
        }
    }
    EXPECT_EQ(history_checker.groups_served_below(0.5),
              std::vector<std::string>{"largest of scan: 0 of 2"});
    EXPECT_EQ(history_checker.groups_served_below(0.8).size(), 3u); // the class and the team, too
    history_checker.started(200, {"req-0", 0}, 199);
    EXPECT_EQ(history_checker.largest_jobs_started_after(240, 240), std::vector<std::string>{});
    EXPECT_EQ(history_checker.largest_jobs_started_after(240, 242),
              std::vector<std::string>{"req-1"});
}

} // namespace
} // namespace scheduler::test
