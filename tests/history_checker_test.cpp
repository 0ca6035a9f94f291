// Each check of the history checker reports a constructed history that violates its rule, and
// accepts histories that comply with it.
#include "simulation/judge.h"

#include <gtest/gtest.h>

namespace scheduler::test {
namespace {

using Ask = Judge::Ask;

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
    void tell(Time when, Ask what, const std::string& id, int status, const char* stage) {
        judge.asked(when, ++request, what, id);
        ResponseBody body = TextBody{};
        if (*stage) {
            body = JobStatusBody{id, stage, {}, {}};
        }
        judge.answered(when + 0.1, Response{request, status, body});
    }
    // Records a submission that is accepted.
    void accept(const JobSpec& spec, Time when = 1) {
        judge.submitted(when, spec);
        tell(when, Ask::submit, spec.id, 201, "pending");
        ASSERT_TRUE(judge.broken.empty()) << judge.broken.front();
    }
    bool found(const std::string& what) const {
        return judge.broken.size() == 1 && judge.broken[0].starts_with(what);
    }
    Judge::Room room(double cpus, const char* zone = "a", bool spot = true) {
        return {zone, spot, &type, cpus, 0, 32};
    }
    // Seconds of a minute and a half in which the job is seen to wait beside such room.
    double idle(const Judge::Standing& standing, const std::vector<Judge::Room>& rooms,
                std::pair<double, double> used = {0, 0}) {
        judge.troubles_over(100);
        for (Time t = 100; t <= 190; t += 1) {
            judge.look(t, rooms, {standing}, {{"red", used}});
        }
        return judge.longest_idle();
    }

    InstanceType type{"m8", 8, 0, 32, 20, 1, 1.0, 0.4, 10, {"a", "b"}};
    Judge judge{42, {{"red", 16, 24, 0, 0}}, {type}};
    RequestId request = 0;
};

TEST_F(JudgeTest, AnAnswerOlderThanOneHeardBeforeTheQuestionWasSent) {
    accept(job("req-1"));
    judge.completed({"req-1", 0});
    tell(5, Ask::poll, "req-1", 200, "done");
    judge.asked(5.05, 100, Ask::poll, "req-1"); // sent before that response was received
    judge.answered(6, Response{100, 200, JobStatusBody{"req-1", "running", {}, {}}});
    EXPECT_TRUE(judge.broken.empty());
    tell(5.2, Ask::submit, "req-1", 200, "pending");
    EXPECT_TRUE(found("went_back req-1 done pending"));
}

TEST_F(JudgeTest, TwoOutcomesOfOneJob) {
    accept(job("req-1"));
    judge.completed({"req-1", 0});
    judge.asked(5, 100, Ask::cancel, "req-1");
    tell(5, Ask::poll, "req-1", 200, "done");
    judge.answered(5.2, Response{100, 200, JobStatusBody{"req-1", "cancelled", {}, {}}});
    EXPECT_TRUE(found("went_back req-1 done cancelled"));
}

TEST_F(JudgeTest, CancelledByNobody) {
    accept(job("req-1"));
    tell(5, Ask::poll, "req-1", 200, "cancelled");
    EXPECT_TRUE(found("went_back req-1 cancelled by nobody"));
}

TEST_F(JudgeTest, DoneBeforeItsTasks) {
    accept(job("req-1", 2));
    judge.completed({"req-1", 0});
    tell(5, Ask::poll, "req-1", 200, "done");
    EXPECT_TRUE(found("not_done"));
}

TEST_F(JudgeTest, AnAcceptedJobIsRefusedOrUnknownOrAcceptedAgain) {
    for (int status : {404, 400, 422, 201}) {
        accept(job("req-1"));
        tell(5, Ask::submit, "req-1", status, status == 201 ? "pending" : "");
        EXPECT_TRUE(found("forgotten")) << status;
        judge.broken.clear();
    }
    accept(job("req-2"));
    tell(5, Ask::cancel, "req-2", 404, "");
    EXPECT_TRUE(found("forgotten"));
}

TEST_F(JudgeTest, AJobThatNobodySubmitted) {
    tell(5, Ask::poll, "req-9", 200, "pending");
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
        judge.submitted(1, unfit[i]);
        tell(1, Ask::submit, unfit[i].id, 422, "");
        EXPECT_TRUE(judge.broken.empty());
        tell(2, Ask::submit, unfit[i].id, 201, "pending");
        EXPECT_TRUE(found("accepted though it cannot run")) << i;
        judge.broken.clear();
    }
}

TEST_F(JudgeTest, ACancelledTaskThatStaysOrStarts) {
    accept(job("req-1", 3));
    judge.started(3, {"req-1", 0}, 2.9);
    tell(5, Ask::cancel, "req-1", 200, "cancelled"); // received at 5.1
    judge.started(5.5, {"req-1", 1}, 5.0);
    judge.started(8, {"req-1", 2}, 7.1);
    judge.there(47, {"req-1", 0});
    EXPECT_TRUE(judge.broken.empty());
    const Judge::LateStarts& late = judge.late_starts();
    EXPECT_EQ(late.left_before, 1);
    EXPECT_EQ(late.left_after, 1);
    EXPECT_NEAR(late.longest_s, 2.9, 1e-9);
    EXPECT_NEAR(late.longest_left, 2, 1e-9);
    judge.there(47.2, {"req-1", 0});
    EXPECT_TRUE(found("ran_cancelled"));
    EXPECT_NEAR(judge.longest_cancelled(), 42.1, 1e-9);
}

TEST_F(JudgeTest, AnAcceptedJobWhoseQuestionsGoUnanswered) {
    accept(job("req-1"));
    accept(job("req-2"));
    judge.troubles_over(10);
    tell(20, Ask::poll, "req-1", 200, "running");
    tell(20, Ask::poll, "req-2", 200, "running");
    tell(50, Ask::poll, "req-1", 503, "");
    tell(50, Ask::poll, "req-2", 200, "running");
    EXPECT_NEAR(judge.longest_unanswered(100), 79.9, 1e-9);
}

TEST_F(JudgeTest, AJobThatWaitsBesideAMachineThatFits) {
    accept(job("req-1", 2));
    EXPECT_EQ(idle({"req-1", 2, {}}, {room(2)}), 90);
    // Not counted: too little free capacity, the wrong machines, the team at its limit, or the time
    // up to the start of a task.
    EXPECT_EQ(idle({"req-1", 2, {}}, {room(1.9), room(1)}), 0);
    EXPECT_EQ(idle({"req-1", 2, {}}, {room(2)}, {23, 0}), 0);
    judge.troubles_over(100);
    for (Time t = 100; t <= 190; t += 1) {
        judge.look(t, {room(2)}, {{"req-1", 2, {}}}, {});
        if (t == 150) {
            judge.started(t, {"req-1", 0}, t);
        }
    }
    EXPECT_EQ(judge.longest_idle(), 50);
    JobSpec bound = job("req-2");
    bound.zone = "b";
    bound.spot = false;
    accept(bound);
    EXPECT_EQ(idle({"req-2", 1, {}}, {room(8), room(8, "a", false), room(8, "b")}), 0);
    EXPECT_EQ(idle({"req-2", 1, {}}, {room(8, "b", false)}), 90);
    EXPECT_EQ(judge.idlest(), "req-2");
}

TEST_F(JudgeTest, AGangWaitsOnlyBesideRoomForAllOfIt) {
    JobSpec gang = job("req-1", 4);
    gang.kind = JobKind::gang;
    accept(gang);
    EXPECT_EQ(idle({"req-1", 4, {}}, {room(4), room(3)}), 0);
    EXPECT_EQ(idle({"req-1", 4, {}}, {room(4), room(5, "b")}), 90);
    EXPECT_EQ(idle({"req-1", 2, {{"a", 2}}}, {room(8)}), 0); // partly placed already
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
            judge.started(10, {id, 0}, 9);
            judge.completed({id, 0});
        }
    }
    EXPECT_EQ(judge.served_under(0.5), std::vector<std::string>{"largest of scan: 0 of 2"});
    EXPECT_EQ(judge.served_under(0.8).size(), 3u); // the class and the team, too
    judge.started(200, {"req-0", 0}, 199);
    EXPECT_EQ(judge.begun_later_than(240, 240), std::vector<std::string>{});
    EXPECT_EQ(judge.begun_later_than(240, 242), std::vector<std::string>{"req-1"});
}

} // namespace
} // namespace scheduler::test
