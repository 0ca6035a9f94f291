// Tests of the components of the scale test: the checker must find the violation in a synthetic
// history for each rule, and the models of worker, key-value store and cloud must follow their
// protocols.
#include <gtest/gtest.h>

#include <filesystem>

#include "scale/checker.h"
#include "scale/cloud_model.h"
#include "scale/hollow_worker.h"
#include "scale/store_model.h"

namespace scheduler::scale {
namespace {

using Kind = Event::Kind;
constexpr char kJob[] = "req-1";
constexpr double kCancellationTimeout_s = 42;

InstanceType machine_type() { return {"m8", 8, 0, 32, 20, 1, 1.0, 0.4, 10, {"a", "b"}}; }

JobSpec spec_of(const std::string& id) {
    JobSpec spec;
    spec.id = id;
    spec.job_class = "scan";
    spec.team = "red";
    spec.tasks = 3;
    spec.cpus = 2;
    spec.ram_gb = 2;
    spec.image = "img";
    spec.image_gb = 1;
    spec.zone = "a";
    return spec;
}

class CheckerTest : public testing::Test {
  protected:
    void SetUp() override {
        Checker::Settings settings;
        settings.teams = {{"red", 4, 4, 0, 0}};
        settings.type = machine_type();
        settings.cancel_s = kCancellationTimeout_s;
        settings.lowering_grace_s = 20;
        settings.job = [](const std::string& id) -> std::optional<JobSpec> {
            return id == kJob ? std::optional(spec_of(id)) : std::nullopt;
        };
        checker.emplace(settings);
    }
    void task_event(Kind kind, Time time, std::uint32_t task, const char* name,
                    const char* zone = "a", bool spot = false) {
        Event event;
        event.kind = kind;
        event.time = time;
        event.machine = name;
        event.zone = zone;
        event.spot = spot;
        event.task = {kJob, task};
        checker->on_event(event);
    }
    void request(Kind kind, Time time, int status, const char* stage, const char* job = kJob) {
        Event event;
        event.kind = kind;
        event.time = time;
        event.task.job = job;
        event.request = ++last_request;
        checker->on_event(event);
        event.kind = Kind::response;
        event.time += 0.1;
        event.status = status;
        event.stage = stage;
        checker->on_event(event);
    }
    void write_quota(Time time, double cpus_max) {
        Event event;
        event.kind = Kind::quota_written;
        event.time = time;
        event.stage = "red";
        event.amount = cpus_max;
        checker->on_event(event);
    }
    void accept() { request(Kind::submit, 1, 201, "pending"); }
    bool only_violation_is(const std::string& rule) const {
        return checker->violations().size() == 1 && checker->violations()[0].starts_with(rule);
    }

    std::optional<Checker> checker;
    std::uint64_t last_request = 0;
};

TEST_F(CheckerTest, AHistoryThatKeepsAllRulesHasNoViolations) {
    accept();
    task_event(Kind::task_started, 2, 0, "x");
    task_event(Kind::task_started, 2, 1, "x");
    task_event(Kind::task_stopped, 3, 1,
               "x"); // its slot was lost; it is restarted on another machine
    task_event(Kind::task_started, 4, 1, "y");
    task_event(Kind::task_completed, 5, 0, "x");
    task_event(Kind::task_started, 5, 2, "x");
    task_event(Kind::task_completed, 6, 1, "y");
    task_event(Kind::task_completed, 6, 2, "x");
    request(Kind::submit, 7, 200, "done");
    request(Kind::poll, 8, 200, "done");
    request(Kind::poll, 8, 404, "", "req-9");
    checker->finish(100);
    EXPECT_TRUE(checker->violations().empty()) << checker->violations().front();
}

TEST_F(CheckerTest, ATaskRunningOnTwoMachinesViolatesRanTwice) {
    accept();
    task_event(Kind::task_started, 2, 0, "x");
    task_event(Kind::task_started, 3, 0, "y");
    EXPECT_TRUE(only_violation_is("ran_twice"));
}

TEST_F(CheckerTest, AnAttemptThatBeginsASecondTimeIsAViolation) {
    accept();
    task_event(Kind::task_started, 2, 0, "x");
    task_event(Kind::task_completed, 3, 0, "x");
    task_event(Kind::attempt_repeated, 4, 0, "x");
    EXPECT_TRUE(only_violation_is("began_twice"));
}

TEST_F(CheckerTest, UsageAboveTheLimitViolatesQuota) {
    accept();
    task_event(Kind::task_started, 2, 0, "x");
    task_event(Kind::task_started, 2, 1, "x");
    task_event(Kind::task_started, 2, 2, "x");
    EXPECT_TRUE(only_violation_is("quota"));
}

TEST_F(CheckerTest, ALoweredLimitIsEnforcedAfterItsGracePeriod) {
    accept();
    task_event(Kind::task_started, 2, 0, "x");
    task_event(Kind::task_started, 2, 1, "x");
    write_quota(10, 2);
    task_event(Kind::task_stopped, 29.9, 1, "x"); // within the grace period
    task_event(Kind::task_started, 31, 1, "x");   // above the lowered limit
    EXPECT_TRUE(only_violation_is("quota"));
}

TEST_F(CheckerTest, UsageAboveALoweredLimitAtTheEndViolatesQuota) {
    accept();
    task_event(Kind::task_started, 2, 0, "x");
    task_event(Kind::task_started, 2, 1, "x");
    write_quota(10, 2);
    checker->finish(31);
    EXPECT_TRUE(only_violation_is("quota"));
}

TEST_F(CheckerTest, ALimitLoweredTwiceAllowsTheHighestLimitOfTheGracePeriod) {
    accept();
    task_event(Kind::task_started, 2, 0, "x");
    task_event(Kind::task_started, 2, 1, "x");
    write_quota(10, 3);
    write_quota(11, 2);
    task_event(Kind::task_stopped, 30.5, 1, "x");
    EXPECT_TRUE(checker->violations().empty());
}

TEST_F(CheckerTest, ATaskInAnotherZoneViolatesWrongPlace) {
    accept();
    task_event(Kind::task_started, 2, 0, "x", "b");
    EXPECT_TRUE(only_violation_is("wrong_place"));
}

TEST_F(CheckerTest, AnOnDemandTaskOnASpotMachineViolatesWrongPlace) {
    accept();
    task_event(Kind::task_started, 2, 0, "x", "a", true);
    EXPECT_TRUE(only_violation_is("wrong_place"));
}

TEST_F(CheckerTest, ACancelledTaskThatKeepsRunningViolatesRanCancelled) {
    accept();
    task_event(Kind::task_started, 2, 0, "x");
    request(Kind::cancel, 3, 200, "cancelled");
    checker->finish(3 + kCancellationTimeout_s + 1);
    EXPECT_TRUE(only_violation_is("ran_cancelled"));
}

TEST_F(CheckerTest, ATaskStartedLongAfterItsCancellationViolatesRanCancelled) {
    accept();
    request(Kind::cancel, 3, 200, "cancelled");
    task_event(Kind::task_started, 3 + kCancellationTimeout_s + 1, 0, "x");
    EXPECT_TRUE(only_violation_is("ran_cancelled"));
}

TEST_F(CheckerTest, AJobReportedDoneWithUnfinishedTasksViolatesNotDone) {
    accept();
    task_event(Kind::task_started, 2, 0, "x");
    task_event(Kind::task_completed, 3, 0, "x");
    request(Kind::poll, 4, 200, "done");
    EXPECT_TRUE(only_violation_is("not_done"));
}

TEST_F(CheckerTest, ACancelledJobReportedPendingViolatesWentBack) {
    accept();
    request(Kind::cancel, 3, 200, "cancelled");
    request(Kind::poll, 5, 200, "pending");
    EXPECT_TRUE(only_violation_is("went_back"));
}

TEST_F(CheckerTest, AnAcceptedJobReportedUnknownViolatesForgotten) {
    accept();
    request(Kind::poll, 5, 404, "");
    EXPECT_TRUE(only_violation_is("forgotten"));
}

TEST_F(CheckerTest, AStatusForAJobNeverSubmittedViolatesInvented) {
    request(Kind::poll, 5, 200, "pending", "req-9");
    EXPECT_TRUE(only_violation_is("invented"));
}

TEST_F(CheckerTest, ARunningTaskOfAJobNeverSubmittedViolatesInvented) {
    task_event(Kind::task_started, 2, 0, "x");
    EXPECT_TRUE(only_violation_is("invented"));
}

TEST(ScaleHistory, AWrittenEventIsReadBackUnchanged) {
    std::string file = testing::TempDir() + "scale-history";
    Event event;
    event.kind = Kind::response;
    event.time = 12.5;
    event.task = {kJob, 7};
    event.request = 3;
    event.status = 200;
    event.stage = "pending";
    event.spot = true;
    HistoryWriter(file).write(event);
    auto events = read_history(file);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].kind, event.kind);
    EXPECT_EQ(events[0].time, event.time);
    EXPECT_EQ(events[0].task, event.task);
    EXPECT_EQ(events[0].request, event.request);
    EXPECT_EQ(events[0].stage, event.stage);
    EXPECT_EQ(events[0].machine, "");
    EXPECT_TRUE(events[0].spot);
    std::filesystem::remove(file);
}

class HollowWorkerTest : public testing::Test {
  protected:
    HollowWorkerTest() {
        environment.job = [](const std::string& id) -> std::optional<JobSpec> {
            return spec_of(id);
        };
        environment.task_duration_s = [](const TaskId&) { return 10.0; };
        environment.completed = [this](const TaskId& task) { return completed.contains(task); };
        environment.attempt_begun = [this](Time, const std::string&, const TaskId& task,
                                           std::uint64_t attempt,
                                           bool) { begun.emplace_back(task, attempt); };
        environment.attempt_cleared = [this](double exited_for_s) {
            cleared_after_s.push_back(exited_for_s);
        };
        environment.task_started = [this](Time, const std::string&, const TaskId& task) {
            running.insert(task);
        };
        environment.task_stopped = [this](Time, const std::string&, const TaskId& task, bool done) {
            running.erase(task);
            if (done) {
                completed.insert(task);
            }
        };
    }
    static WorkerCommand start(std::uint32_t task, std::uint64_t attempt) {
        return {CommandType::start, {kJob, task}, attempt, 0};
    }
    std::vector<std::pair<TaskId, std::uint64_t>> begun;
    std::vector<double> cleared_after_s;
    std::set<TaskId> running;
    std::set<TaskId> completed;
    HollowWorker::Environment environment;
    HollowWorker worker{0, {"i-1", "127.0.0.1:1", "a", false}, machine_type(), 17, environment};
};

TEST_F(HollowWorkerTest, ATaskIsFetchedRunsExitsAndIsCleared) {
    EXPECT_EQ(worker.on_direct_commands(1, {5, 1, {start(0, 9)}}), 200);
    Heartbeat heartbeat = worker.heartbeat(1.5, true);
    ASSERT_EQ(heartbeat.tasks.size(), 1U);
    EXPECT_EQ(heartbeat.tasks[0].stage, TaskStage::fetching);
    EXPECT_EQ(heartbeat.fencing_token, 5U);
    worker.advance(2.1); // an image of 1 GB at 1 GB/s
    EXPECT_TRUE(running.contains({kJob, 0}));
    worker.on_heartbeat_response(10, 1, 9, {5, {}});
    worker.advance(12.2);
    EXPECT_TRUE(completed.contains({kJob, 0}));
    EXPECT_EQ(worker.heartbeat(12.3, true).tasks[0].exit_reason, ExitReason::done);
    EXPECT_EQ(worker.on_direct_commands(12.4, {5, 1, {{CommandType::clear, {kJob, 0}, 9, 0}}}),
              200);
    EXPECT_TRUE(worker.heartbeat(12.5, true).tasks.empty());
}

// As the protocol has it: the worker tells a repeated start by the attempts that it holds.
TEST_F(HollowWorkerTest, ACopyOfAStartIsExecutedOnceTheAttemptIsClearedUnlessTheTokenIsHigher) {
    const std::pair<TaskId, std::uint64_t> attempt{{kJob, 0}, 9};
    const DirectCommands copy{5, 1, {start(0, 9)}};
    const std::vector<WorkerCommand> stop_and_clear{{CommandType::stop, {kJob, 0}, 9, 0},
                                                    {CommandType::clear, {kJob, 0}, 9, 0}};
    worker.on_direct_commands(1, copy);
    EXPECT_EQ(worker.on_direct_commands(1.5, copy), 200);
    EXPECT_EQ(begun, (std::vector{attempt}));
    EXPECT_TRUE(worker.on_heartbeat_response(3, 1, 2, {5, stop_and_clear}));
    EXPECT_EQ(cleared_after_s, std::vector<double>{0});
    EXPECT_EQ(worker.on_direct_commands(4, copy), 200);
    EXPECT_EQ(begun, (std::vector{attempt, attempt}));
    EXPECT_TRUE(worker.on_heartbeat_response(5, 1, 4, {6, stop_and_clear}));
    EXPECT_EQ(worker.on_direct_commands(6, copy), 409);
    EXPECT_EQ(begun.size(), 2U);
}

TEST_F(HollowWorkerTest, CommandsWithALowerTokenOrAnotherAgentEpochAreRejected) {
    EXPECT_EQ(worker.on_direct_commands(1, {5, 1, {}}), 200);
    EXPECT_EQ(worker.on_direct_commands(1, {4, 1, {start(0, 9)}}), 409);
    EXPECT_EQ(worker.on_direct_commands(1, {6, 2, {start(0, 9)}}), 409);
    EXPECT_FALSE(worker.on_heartbeat_response(1, 1, 1, {4, {start(0, 9)}}));
    EXPECT_FALSE(worker.on_heartbeat_response(1, 1, 1, {0, {start(0, 9)}}));
    EXPECT_TRUE(worker.heartbeat(1, true).tasks.empty());
}

TEST_F(HollowWorkerTest, TheLeaseStartsWhenTheLastAcknowledgedHeartbeatWasSent) {
    worker.on_direct_commands(1, {5, 1, {start(0, 9)}});
    worker.on_heartbeat_response(6, 1, 4, {5, {}});
    worker.advance(20.9);
    EXPECT_EQ(worker.agent_epoch(), 1U);
    worker.advance(21.1);
    EXPECT_EQ(worker.agent_epoch(), 2U);
    EXPECT_TRUE(running.empty());
    EXPECT_FALSE(worker.on_heartbeat_response(22, 1, 20,
                                              {5, {start(1, 9)}})); // from the previous agent epoch
}

TEST_F(HollowWorkerTest, StartsWithoutFreeCapacityOrOfARunningTaskExitAtOnce) {
    worker.on_direct_commands(1, {5, 1, {start(0, 9), start(0, 10), start(1, 9), start(2, 9)}});
    Heartbeat heartbeat = worker.heartbeat(1, true);
    ASSERT_EQ(heartbeat.tasks.size(), 4U);
    EXPECT_EQ(heartbeat.tasks[1].exit_reason, ExitReason::busy);
    for (std::uint32_t i = 0; i < 3; ++i) { // four slots, three of them taken
        worker.on_direct_commands(1, {5, 1, {{CommandType::start, {"req-2", i}, 9, 0}}});
    }
    EXPECT_EQ(worker.heartbeat(1, true).tasks.back().exit_reason,
              ExitReason::insufficient_capacity);
}

class StoreModelTest : public testing::Test {
  protected:
    static Json set(const char* key, int value) { return {{"set", key}, {"data", value}}; }
    StoreModel store;
};

TEST_F(StoreModelTest, TransactionsAreAtomicAndConditional) {
    EXPECT_EQ(store
                  .transact(0, {{"when", {{{"key", "a"}, {"graft", 0}}}},
                                {"then", {set("a", 1), set("b", 2)}}})
                  .status,
              200);
    auto again =
        store.transact(0, {{"when", {{{"key", "a"}, {"graft", 0}}}}, {"then", {set("c", 1)}}});
    EXPECT_EQ(again.status, 409);
    EXPECT_EQ(again.body["failed"], Json::array({"a"}));
    EXPECT_EQ(store.get("c").status, 404);
    EXPECT_EQ(store.get("a").body["graft"], store.get("b").body["graft"]);
    EXPECT_EQ(store.range("", "a", 10).body["pairs"].size(), 1U);
}

TEST_F(StoreModelTest, AnExpiredLeaseDeletesItsKeys) {
    std::uint64_t lease = store.grant(0, 5).body["lease"];
    store.transact(0, {{"then", {{{"set", "a"}, {"data", 1}, {"lease", lease}}}}});
    EXPECT_EQ(store.renew(4, lease).status, 200);
    EXPECT_FALSE(store.expire(8.9));
    std::uint64_t before = store.revision();
    EXPECT_TRUE(store.expire(9.1));
    EXPECT_EQ(store.get("a").status, 404);
    EXPECT_EQ(store.renew(9.2, lease).status, 404);
    auto late = store.transact(9.3, {{"then", {{{"set", "a"}, {"data", 1}, {"lease", lease}}}}});
    EXPECT_EQ(late.status, 400);
    auto watch = store.watch("a", before);
    ASSERT_TRUE(watch);
    EXPECT_EQ(watch->body["events"][0]["drop"], "a");
}

TEST_F(StoreModelTest, AWatchReturnsLaterChangesAndFailsOnceItsRevisionIsTooOld) {
    std::uint64_t since = store.revision();
    EXPECT_FALSE(store.watch("a", since));
    store.transact(0, {{"then", {set("a/1", 1)}}});
    store.transact(0, {{"then", {set("b/1", 1)}}});
    auto changes = store.watch("a", since);
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->body["events"].size(), 1U);
    EXPECT_FALSE(store.watch("a", store.revision()));
    for (std::size_t i = 0; i < StoreModel::kMaxChanges; ++i) {
        store.transact(0, {{"then", {set("b/1", 1)}}});
    }
    EXPECT_EQ(store.watch("a", since)->status, 410);
}

TEST(ScaleCloud, ProvisionsOnlyMachinesThatWereReleased) {
    Options options;
    options.workers = 6;
    options.tasks = 6;
    Plan plan(options, 0);
    CloudModel cloud(plan, 0);
    EXPECT_TRUE(cloud.provision(1, "r-1", plan.zone(0), false, 2).empty());
    cloud.release({plan.machine_name(0)});
    auto names = cloud.provision(1, "r-1", plan.zone(0), false, 2);
    ASSERT_EQ(names.size(), 1U);
    EXPECT_EQ(cloud.provision(2, "r-1", plan.zone(0), false, 2), names); // the same request again
    EXPECT_TRUE(cloud.take_booted(2).empty());
    EXPECT_EQ(cloud.take_booted(1 + plan.machine_type().boot_s), names);
    cloud.terminate(60, names[0]);
    EXPECT_EQ(cloud.list(61, "", 500).hosts.back().state, InstanceState::running);
    EXPECT_EQ(cloud.list(91, "", 500).hosts.back().state, InstanceState::failed);
}

TEST(ScaleOptions, OptionsBeyondTheMachinesLimitsAreRejected) {
    Options options;
    options.daemon = "/bin/sh";
    EXPECT_NO_THROW(validate(options, 24e9));
    auto rejected = [&](auto change, const std::string& key) {
        Options bad = options;
        change(bad);
        try {
            validate(bad, 24e9);
        } catch (const ScaleTestError& error) {
            return std::string(error.what()).starts_with(key);
        }
        return false;
    };
    EXPECT_TRUE(rejected([](Options& bad) { bad.workers = 200000, bad.regions = 6; }, "--workers"));
    EXPECT_TRUE(
        rejected([](Options& bad) { bad.regions = 40, bad.controllers = 8; }, "--controllers"));
    EXPECT_TRUE(rejected([](Options& bad) { bad.daemon = "/nowhere"; }, "--daemon"));
    EXPECT_TRUE(rejected([](Options& bad) { bad.start_rate = 0; }, "--starts"));
    EXPECT_TRUE(rejected([](Options& bad) { bad.replace = 1000; }, "--replace"));
}

} // namespace
} // namespace scheduler::scale
