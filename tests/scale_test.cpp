// The parts of the scale run: for each rule a synthetic history that breaks it, which the checker
// has to find, and the protocol that the models of worker, key-value store and cloud keep.
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
constexpr double kCancel_s = 42;

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
        settings.cancel_s = kCancel_s;
        settings.lowering_grace_s = 20;
        settings.job = [](const std::string& id) -> std::optional<JobSpec> {
            return id == kJob ? std::optional(spec_of(id)) : std::nullopt;
        };
        checker.emplace(settings);
    }
    void task_event(Kind kind, Time time, std::uint32_t task, const char* name,
                    const char* zone = "a", bool spot = false) {
        Event e;
        e.kind = kind;
        e.time = time;
        e.machine = name;
        e.zone = zone;
        e.spot = spot;
        e.task = {kJob, task};
        checker->on_event(e);
    }
    void request(Kind kind, Time time, int status, const char* stage, const char* job = kJob) {
        Event e;
        e.kind = kind;
        e.time = time;
        e.task.job = job;
        e.request = ++last_request;
        checker->on_event(e);
        e.kind = Kind::response;
        e.time += 0.1;
        e.status = status;
        e.stage = stage;
        checker->on_event(e);
    }
    void write_quota(Time time, double cpus_max) {
        Event e;
        e.kind = Kind::quota_written;
        e.time = time;
        e.stage = "red";
        e.amount = cpus_max;
        checker->on_event(e);
    }
    void accept() { request(Kind::submit, 1, 201, "pending"); }
    bool only_violation_is(const std::string& rule) const {
        return checker->violations().size() == 1 && checker->violations()[0].starts_with(rule);
    }

    std::optional<Checker> checker;
    std::uint64_t last_request = 0;
};

TEST_F(CheckerTest, AHistoryThatKeepsAllRules) {
    accept();
    task_event(Kind::task_started, 2, 0, "x");
    task_event(Kind::task_started, 2, 1, "x");
    task_event(Kind::task_stopped, 3, 1, "x"); // lost with its slot, and started again elsewhere
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

TEST_F(CheckerTest, RanTwice) {
    accept();
    task_event(Kind::task_started, 2, 0, "x");
    task_event(Kind::task_started, 3, 0, "y");
    EXPECT_TRUE(only_violation_is("ran_twice"));
}

TEST_F(CheckerTest, Quota) {
    accept();
    task_event(Kind::task_started, 2, 0, "x");
    task_event(Kind::task_started, 2, 1, "x");
    task_event(Kind::task_started, 2, 2, "x");
    EXPECT_TRUE(only_violation_is("quota"));
}

TEST_F(CheckerTest, ALoweredLimitCountsFromTheEndOfItsTime) {
    accept();
    task_event(Kind::task_started, 2, 0, "x");
    task_event(Kind::task_started, 2, 1, "x");
    write_quota(10, 2);
    task_event(Kind::task_stopped, 29.9, 1, "x"); // in time
    task_event(Kind::task_started, 31, 1, "x");   // above what holds now
    EXPECT_TRUE(only_violation_is("quota"));
}

TEST_F(CheckerTest, AboveALoweredLimitUntilTheEnd) {
    accept();
    task_event(Kind::task_started, 2, 0, "x");
    task_event(Kind::task_started, 2, 1, "x");
    write_quota(10, 2);
    checker->finish(31);
    EXPECT_TRUE(only_violation_is("quota"));
}

TEST_F(CheckerTest, ALimitLoweredTwiceAllowsTheHighestOfItsTime) {
    accept();
    task_event(Kind::task_started, 2, 0, "x");
    task_event(Kind::task_started, 2, 1, "x");
    write_quota(10, 3);
    write_quota(11, 2);
    task_event(Kind::task_stopped, 30.5, 1, "x");
    EXPECT_TRUE(checker->violations().empty());
}

TEST_F(CheckerTest, WrongPlaceByZone) {
    accept();
    task_event(Kind::task_started, 2, 0, "x", "b");
    EXPECT_TRUE(only_violation_is("wrong_place"));
}

TEST_F(CheckerTest, WrongPlaceByKind) {
    accept();
    task_event(Kind::task_started, 2, 0, "x", "a", true);
    EXPECT_TRUE(only_violation_is("wrong_place"));
}

TEST_F(CheckerTest, RanCancelledOnAMachineTooLong) {
    accept();
    task_event(Kind::task_started, 2, 0, "x");
    request(Kind::cancel, 3, 200, "cancelled");
    checker->finish(3 + kCancel_s + 1);
    EXPECT_TRUE(only_violation_is("ran_cancelled"));
}

TEST_F(CheckerTest, RanCancelledByALateStart) {
    accept();
    request(Kind::cancel, 3, 200, "cancelled");
    task_event(Kind::task_started, 3 + kCancel_s + 1, 0, "x");
    EXPECT_TRUE(only_violation_is("ran_cancelled"));
}

TEST_F(CheckerTest, NotDone) {
    accept();
    task_event(Kind::task_started, 2, 0, "x");
    task_event(Kind::task_completed, 3, 0, "x");
    request(Kind::poll, 4, 200, "done");
    EXPECT_TRUE(only_violation_is("not_done"));
}

TEST_F(CheckerTest, WentBack) {
    accept();
    request(Kind::cancel, 3, 200, "cancelled");
    request(Kind::poll, 5, 200, "pending");
    EXPECT_TRUE(only_violation_is("went_back"));
}

TEST_F(CheckerTest, Forgotten) {
    accept();
    request(Kind::poll, 5, 404, "");
    EXPECT_TRUE(only_violation_is("forgotten"));
}

TEST_F(CheckerTest, InventedToAUser) {
    request(Kind::poll, 5, 200, "pending", "req-9");
    EXPECT_TRUE(only_violation_is("invented"));
}

TEST_F(CheckerTest, InventedOnAMachine) {
    task_event(Kind::task_started, 2, 0, "x");
    EXPECT_TRUE(only_violation_is("invented"));
}

TEST(ScaleHistory, IsReadAsItWasWritten) {
    std::string file = testing::TempDir() + "scale-history";
    Event e;
    e.kind = Kind::response;
    e.time = 12.5;
    e.task = {kJob, 7};
    e.request = 3;
    e.status = 200;
    e.stage = "pending";
    e.spot = true;
    HistoryWriter(file).write(e);
    auto read = read_history(file);
    ASSERT_EQ(read.size(), 1U);
    EXPECT_EQ(read[0].kind, e.kind);
    EXPECT_EQ(read[0].time, e.time);
    EXPECT_EQ(read[0].task, e.task);
    EXPECT_EQ(read[0].request, e.request);
    EXPECT_EQ(read[0].stage, e.stage);
    EXPECT_EQ(read[0].machine, "");
    EXPECT_TRUE(read[0].spot);
    std::filesystem::remove(file);
}

class HollowWorkerTest : public testing::Test {
  protected:
    HollowWorkerTest() {
        environment.job = [](const std::string& id) -> std::optional<JobSpec> {
            return spec_of(id);
        };
        environment.task_duration_s = [](const TaskId&) { return 10.0; };
        environment.completed = [this](const TaskId& t) { return completed.contains(t); };
        environment.task_started = [this](Time, const std::string&, const TaskId& t) {
            running.insert(t);
        };
        environment.task_stopped = [this](Time, const std::string&, const TaskId& t, bool done) {
            running.erase(t);
            if (done) {
                completed.insert(t);
            }
        };
    }
    static WorkerCommand start(std::uint32_t task, std::uint64_t attempt) {
        return {CommandType::start, {kJob, task}, attempt, 0};
    }
    std::set<TaskId> running;
    std::set<TaskId> completed;
    HollowWorker::Environment environment;
    HollowWorker worker{0, {"i-1", "127.0.0.1:1", "a", false}, machine_type(), 17, environment};
};

TEST_F(HollowWorkerTest, ATaskFetchesRunsExitsAndIsCleared) {
    EXPECT_EQ(worker.on_direct_commands(1, {5, 1, {start(0, 9)}}), 200);
    Heartbeat heartbeat = worker.report(1.5, true);
    ASSERT_EQ(heartbeat.tasks.size(), 1U);
    EXPECT_EQ(heartbeat.tasks[0].stage, TaskStage::fetching);
    EXPECT_EQ(heartbeat.fencing_token, 5U);
    worker.advance(2.1); // one GB at one a second
    EXPECT_TRUE(running.contains({kJob, 0}));
    worker.on_report_reply(10, 1, 9, {5, {}});
    worker.advance(12.2);
    EXPECT_TRUE(completed.contains({kJob, 0}));
    EXPECT_EQ(worker.report(12.3, true).tasks[0].exit_reason, ExitReason::done);
    EXPECT_EQ(worker.on_direct_commands(12.4, {5, 1, {{CommandType::clear, {kJob, 0}, 9, 0}}}),
              200);
    EXPECT_TRUE(worker.report(12.5, true).tasks.empty());
}

TEST_F(HollowWorkerTest, LowerTokensAndOtherSessionsAreRefused) {
    EXPECT_EQ(worker.on_direct_commands(1, {5, 1, {}}), 200);
    EXPECT_EQ(worker.on_direct_commands(1, {4, 1, {start(0, 9)}}), 409);
    EXPECT_EQ(worker.on_direct_commands(1, {6, 2, {start(0, 9)}}), 409);
    EXPECT_FALSE(worker.on_report_reply(1, 1, 1, {4, {start(0, 9)}}));
    EXPECT_FALSE(worker.on_report_reply(1, 1, 1, {0, {start(0, 9)}}));
    EXPECT_TRUE(worker.report(1, true).tasks.empty());
}

TEST_F(HollowWorkerTest, TheLeaseRunsFromTheSendingOfTheLastAnsweredReport) {
    worker.on_direct_commands(1, {5, 1, {start(0, 9)}});
    worker.on_report_reply(6, 1, 4, {5, {}});
    worker.advance(20.9);
    EXPECT_EQ(worker.session(), 1U);
    worker.advance(21.1);
    EXPECT_EQ(worker.session(), 2U);
    EXPECT_TRUE(running.empty());
    EXPECT_FALSE(worker.on_report_reply(22, 1, 20, {5, {start(1, 9)}})); // of the session before
}

TEST_F(HollowWorkerTest, RefusesWhatHasNoRoomOrRunsAlready) {
    worker.on_direct_commands(1, {5, 1, {start(0, 9), start(0, 10), start(1, 9), start(2, 9)}});
    Heartbeat heartbeat = worker.report(1, true);
    ASSERT_EQ(heartbeat.tasks.size(), 4U);
    EXPECT_EQ(heartbeat.tasks[1].exit_reason, ExitReason::busy);
    for (std::uint32_t i = 0; i < 3; ++i) { // four places, three of them taken
        worker.on_direct_commands(1, {5, 1, {{CommandType::start, {"req-2", i}, 9, 0}}});
    }
    EXPECT_EQ(worker.report(1, true).tasks.back().exit_reason, ExitReason::insufficient_capacity);
}

class StateStoreTest : public testing::Test {
  protected:
    static Json set(const char* key, int value) { return {{"set", key}, {"data", value}}; }
    StoreModel store;
};

TEST_F(StateStoreTest, TransactionsAreAtomicAndConditional) {
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

TEST_F(StateStoreTest, LeasesTakeTheirKeysAlong) {
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

TEST_F(StateStoreTest, WatchesSeeWhatComesAfterAndAreTooOldInTheEnd) {
    std::uint64_t since = store.revision();
    EXPECT_FALSE(store.watch("a", since));
    store.transact(0, {{"then", {set("a/1", 1)}}});
    store.transact(0, {{"then", {set("b/1", 1)}}});
    auto news = store.watch("a", since);
    ASSERT_TRUE(news);
    EXPECT_EQ(news->body["events"].size(), 1U);
    EXPECT_FALSE(store.watch("a", store.revision()));
    for (std::size_t i = 0; i < StoreModel::kChangesKept; ++i) {
        store.transact(0, {{"then", {set("b/1", 1)}}});
    }
    EXPECT_EQ(store.watch("a", since)->status, 410);
}

TEST(ScaleCloud, RentsWhatWasReleasedAndNoMore) {
    Options o;
    o.workers = 6;
    o.tasks = 6;
    Plan plan(o, 0);
    CloudModel cloud(plan, 0);
    EXPECT_TRUE(cloud.rent(1, "r-1", plan.zone(0), false, 2).empty());
    cloud.release({plan.machine_name(0)});
    auto names = cloud.rent(1, "r-1", plan.zone(0), false, 2);
    ASSERT_EQ(names.size(), 1U);
    EXPECT_EQ(cloud.rent(2, "r-1", plan.zone(0), false, 2), names); // the same order again
    EXPECT_TRUE(cloud.take_booted(2).empty());
    EXPECT_EQ(cloud.take_booted(1 + plan.machine_type().boot_s), names);
    cloud.terminate(60, names[0]);
    EXPECT_EQ(cloud.list(61, "", 500).hosts.back().state, InstanceState::running);
    EXPECT_EQ(cloud.list(91, "", 500).hosts.back().state, InstanceState::failed);
}

TEST(ScaleOptions, ARunThatWouldTakeTooMuchIsRefusedBeforeItBegins) {
    Options o;
    o.daemon = "/bin/sh";
    EXPECT_NO_THROW(validate(o, 24e9));
    auto refused = [&](auto change, const std::string& key) {
        Options bad = o;
        change(bad);
        try {
            validate(bad, 24e9);
        } catch (const ScaleTestError& why) {
            return std::string(why.what()).starts_with(key);
        }
        return false;
    };
    EXPECT_TRUE(refused([](Options& b) { b.workers = 200000, b.regions = 6; }, "--workers"));
    EXPECT_TRUE(refused([](Options& b) { b.regions = 40, b.controllers = 8; }, "--controllers"));
    EXPECT_TRUE(refused([](Options& b) { b.daemon = "/nowhere"; }, "--daemon"));
    EXPECT_TRUE(refused([](Options& b) { b.start_rate = 0; }, "--starts"));
    EXPECT_TRUE(refused([](Options& b) { b.replace = 1000; }, "--replace"));
}

} // namespace
} // namespace scheduler::scale
