// Forms of the messages of users and workers; see wire_format.h.
#include "wire_format.h"

#include <gtest/gtest.h>

namespace scheduler::test {
namespace {

constexpr std::uint64_t kLargeAttempt = (1ULL << 50) + 3;

// Numbers as other encoders write them: msgpack-c writes a whole number in its shortest form.
const std::string kFloatOfFour("\xcb\x40\x10\x00\x00\x00\x00\x00\x00", 9);
const std::string kWideTwo("\xcf\x00\x00\x00\x00\x00\x00\x00\x02", 9);

// The value as the store keeps it: every field of a job in a form that can be compared.
std::string bytes_of(const JobSpec& job) {
    return stored_bytes("job/" + job.id, JobRecord{Outcome::none, job});
}

std::string full_submission() {
    return packed_map(
        {{"uid", packed("req-000412")}, {"bloom", packed("train")},
         {"grower", packed("vision")},  {"habit", packed("ensemble")},
         {"rank", packed("high")},      {"petals", packed(16)},
         {"cpus", packed(8.5)},         {"cards", packed(2.0)},
         {"ram_gb", packed(64.25)},     {"bulb", packed("img-07")},
         {"pull_gb", packed(6.2)},      {"benches", packed_list({packed("g8"), packed("c16")})},
         {"house", packed("east")},     {"one_zone", packed(true)},
         {"spread", packed(false)},     {"cuttings", packed(true)},
         {"bloom_s", packed(240.5)},    {"pot_s", packed(30.5)},
         {"repot_s", packed(4.5)},      {"show_s", packed(900.5)}});
}

void check_full_submission(const std::string& pinned) {
    JobSpec job = wire::parse_job(pinned);
    EXPECT_EQ(job.id, "req-000412");
    EXPECT_EQ(job.job_class, "train");
    EXPECT_EQ(job.team, "vision");
    EXPECT_EQ(job.kind, JobKind::gang);
    EXPECT_EQ(job.priority, Priority::high);
    EXPECT_EQ(job.tasks, 16u);
    EXPECT_EQ(job.cpus, 8.5);
    EXPECT_EQ(job.gpus, 2);
    EXPECT_EQ(job.ram_gb, 64.25);
    EXPECT_EQ(job.image, "img-07");
    EXPECT_EQ(job.image_gb, 6.2);
    EXPECT_EQ(job.types, (std::vector<std::string>{"g8", "c16"}));
    EXPECT_EQ(job.zone, "east");
    EXPECT_TRUE(job.one_zone);
    EXPECT_FALSE(job.spread);
    EXPECT_TRUE(job.spot);
    EXPECT_EQ(job.estimated_run_s, 240.5);
    EXPECT_EQ(job.checkpoint_interval_s, 30.5);
    EXPECT_EQ(job.save_duration_s, 4.5);
    EXPECT_EQ(job.deadline_s, 900.5);
}

// Amounts as integers and as short floats, fields in another order, one field that is not known.
std::string minimal_submission(const std::string& kind, const std::string& priority) {
    return packed_map({{"repot_s", kFloatOfFour},
                       {"pot_s", packed(0)},
                       {"bloom_s", packed(240)},
                       {"cuttings", packed(true)},
                       {"spread", packed(true)},
                       {"one_zone", packed(false)},
                       {"pull_gb", packed(6.5f)},
                       {"bulb", packed("i")},
                       {"ram_gb", packed(2)},
                       {"cards", packed(0)},
                       {"cpus", packed(0.5f)},
                       {"petals", packed(100000)},
                       {"rank", packed(priority)},
                       {"habit", packed(kind)},
                       {"grower", packed("t")},
                       {"bloom", packed("c")},
                       {"uid", packed("req-7")},
                       {"not_known", packed_list({packed(1)})}});
}

JobSpec minimal_job(JobKind kind, Priority priority) {
    JobSpec job;
    job.id = "req-7";
    job.job_class = "c";
    job.team = "t";
    job.kind = kind;
    job.priority = priority;
    job.tasks = 100000;
    job.cpus = 0.5;
    job.ram_gb = 2;
    job.image = "i";
    job.image_gb = 6.5;
    job.spread = true;
    job.spot = true;
    job.estimated_run_s = 240;
    job.save_duration_s = 4;
    return job;
}

WireForm minimal_submission_form(const std::string& kind_name, JobKind kind,
                                 const std::string& priority_name, Priority priority) {
    return {"user/submit_" + kind_name + "_" + priority_name,
            [=] { return minimal_submission(kind_name, priority_name); },
            [=](const std::string& pinned) {
                expect_same_bytes(bytes_of(wire::parse_job(pinned)),
                                  bytes_of(minimal_job(kind, priority)));
            }};
}

// What is only written: users and workers read it.
WireForm answer_form(const std::string& name, const ResponseBody& answer) {
    return {name, [=] { return wire::encode_response(answer); }, nullptr};
}

std::vector<WireForm> submission_forms() {
    return {
        {"user/submit_full", full_submission, check_full_submission},
        minimal_submission_form("batch", JobKind::array, "prod", Priority::production),
        minimal_submission_form("batch", JobKind::array, "standard", Priority::normal),
        minimal_submission_form("ensemble", JobKind::gang, "high", Priority::high),
        minimal_submission_form("standing", JobKind::service, "idle", Priority::low),
    };
}

std::vector<WireForm> user_answer_forms() {
    return {
        answer_form("user/answer_job_full", JobStatusBody{"req-000412", "running", 70000, 16}),
        answer_form("user/answer_job_pending", JobStatusBody{"req-1", "pending", 0, 0}),
        answer_form("user/answer_job_done", JobStatusBody{"req-1", "done", {}, {}}),
        answer_form("user/answer_job_done_count", JobStatusBody{"req-1", "done", 3, {}}),
        answer_form("user/answer_job_running_count", JobStatusBody{"req-1", "running", {}, 3}),
        answer_form("user/answer_job_cancelled", JobStatusBody{"req-1", "cancelled", {}, {}}),
        answer_form("user/answer_error", TextBody{"no such job"}),
        answer_form("user/answer_error_empty", TextBody{}),
        answer_form("user/answer_redirect", LeaderRedirect{"n1"}),
        answer_form("user/answer_redirect_unknown", LeaderRedirect{}),
    };
}

std::string listed_task(const std::string& task, std::uint64_t attempt, const std::string& stage) {
    return packed_map(
        {{"petal", packed(task)}, {"sowing", packed(attempt)}, {"stage", packed(stage)}});
}

std::string exited_task(const std::string& task, const std::string& reason) {
    return packed_map({{"petal", packed(task)},
                       {"sowing", packed(kLargeAttempt)},
                       {"stage", packed("exited")},
                       {"wilt", packed(reason)}});
}

// Each stage and each reason to exit.
std::string full_report() {
    return packed_map(
        {{"pot", packed("i-1")},
         {"endpoint", packed("10.0.0.9:9000")},
         {"bench", packed("g8")},
         {"house", packed("east")},
         {"cuttings", packed(true)},
         {"season", packed(1764000000000)},
         {"tick", packed(70000)},
         {"warrant", packed(300)},
         {"frost_s", packed(110.5)},
         {"petals",
          packed_list(
              {listed_task("req-1/0", 1, "pulling"), listed_task("req-1/1", 2, "waiting"),
               listed_task("req-1/70000", 3, "running"), listed_task("req-1/3", 4, "flushing"),
               exited_task("req-000412/0", "done"), exited_task("req-000412/1", "halted"),
               exited_task("req-000412/2", "mates_gone"), exited_task("req-000412/3", "incomplete"),
               exited_task("req-000412/4", "error"), exited_task("req-000412/5", "no_room"),
               exited_task("req-000412/6", "busy"), exited_task("req-000412/7", "unknown")})}});
}

std::string minimal_report() {
    return packed_map({{"pot", packed("i-2")},
                       {"endpoint", packed("e")},
                       {"bench", packed("c1")},
                       {"house", packed("west")},
                       {"cuttings", packed(false)},
                       {"season", packed(1)},
                       {"tick", kWideTwo},
                       {"warrant", packed(0)},
                       {"petals", packed_list({})}});
}

void expect_task(const TaskStatus& actual, const TaskId& task, std::uint64_t attempt,
                 TaskStage stage, ExitReason why) {
    EXPECT_EQ(actual.task, task);
    EXPECT_EQ(actual.attempt, attempt);
    EXPECT_EQ(actual.stage, stage);
    EXPECT_EQ(actual.exit_reason, why);
}

void expect_tasks_of_full_report(const std::vector<TaskStatus>& tasks) {
    ASSERT_EQ(tasks.size(), 12u);
    expect_task(tasks[0], {"req-1", 0}, 1, TaskStage::fetching, ExitReason::none);
    expect_task(tasks[1], {"req-1", 1}, 2, TaskStage::waiting, ExitReason::none);
    expect_task(tasks[2], {"req-1", 70000}, 3, TaskStage::running, ExitReason::none);
    expect_task(tasks[3], {"req-1", 3}, 4, TaskStage::saving, ExitReason::none);
    const std::vector<ExitReason> reasons{ExitReason::done,
                                          ExitReason::stopped,
                                          ExitReason::gang_member_lost,
                                          ExitReason::gang_incomplete,
                                          ExitReason::error,
                                          ExitReason::insufficient_capacity,
                                          ExitReason::busy,
                                          ExitReason::unknown};
    for (std::uint32_t i = 0; i < reasons.size(); ++i) {
        expect_task(tasks[4 + i], {"req-000412", i}, kLargeAttempt, TaskStage::exited, reasons[i]);
    }
}

void expect_full_report(const Heartbeat& heartbeat) {
    EXPECT_EQ(heartbeat.machine, "i-1");
    EXPECT_EQ(heartbeat.endpoint, "10.0.0.9:9000");
    EXPECT_EQ(heartbeat.type, "g8");
    EXPECT_EQ(heartbeat.zone, "east");
    EXPECT_TRUE(heartbeat.spot);
    EXPECT_EQ(heartbeat.agent_epoch, 1764000000000u);
    EXPECT_EQ(heartbeat.sequence, 70000u);
    EXPECT_EQ(heartbeat.fencing_token, 300u);
    EXPECT_EQ(heartbeat.preemption_notice_s, 110.5);
    expect_tasks_of_full_report(heartbeat.tasks);
}

void expect_minimal_report(const Heartbeat& heartbeat) {
    EXPECT_EQ(heartbeat.machine, "i-2");
    EXPECT_EQ(heartbeat.endpoint, "e");
    EXPECT_EQ(heartbeat.type, "c1");
    EXPECT_EQ(heartbeat.zone, "west");
    EXPECT_FALSE(heartbeat.spot);
    EXPECT_EQ(heartbeat.agent_epoch, 1u);
    EXPECT_EQ(heartbeat.sequence, 2u);
    EXPECT_EQ(heartbeat.fencing_token, 0u);
    EXPECT_FALSE(heartbeat.preemption_notice_s);
    EXPECT_TRUE(heartbeat.tasks.empty());
}

// A worker's report, and the same as its answer to commands: taken (200) or refused (409).
WireForm report_form(const std::string& name, const std::function<std::string()>& bytes,
                     const std::function<void(const Heartbeat&)>& expect) {
    return {"worker/" + name, bytes, [=](const std::string& pinned) {
                expect(wire::parse_heartbeat(pinned));
                for (int status : {200, 409}) {
                    OutboundResponse response =
                        wire::decode_response(1, WorkerCommands{}, status, pinned);
                    EXPECT_EQ(response.status, status);
                    EXPECT_TRUE(response.heartbeat);
                    expect(response.heartbeat.value_or(Heartbeat{}));
                }
            }};
}

std::vector<WorkerCommand> all_commands() {
    return {{CommandType::start, {"req-000412", 69999}, kLargeAttempt, 0},
            {CommandType::stop, {"req-1", 0}, 5, 4.5},
            {CommandType::stop, {"req-1", 1}, 6, 0},
            {CommandType::clear, {"req-2", 3}, 7, 0}};
}

// Polls and cancels have no body: the path names the job.
TEST(WireFormat, JobIdsAreReqAndDigits) {
    for (const std::string& id :
         {std::string("req-1"), std::string("req-000412"), "req-" + std::string(60, '7')}) {
        EXPECT_TRUE(wire::valid_job_id(id)) << id;
    }
    for (const std::string& id :
         {std::string(), std::string("req-"), std::string("req-1a"), std::string("REQ-1"),
          std::string("req--1"), std::string("req-1/2"), "req-" + std::string(61, '7')}) {
        EXPECT_FALSE(wire::valid_job_id(id)) << id;
    }
}

TEST(WireFormat, CommandsGoToTheWorkersEndpoint) {
    wire::HttpRequest http =
        wire::encode_request(WorkerCommands{"i-1", "10.0.0.9:9000", 300, 1, {}});
    EXPECT_EQ(http.service, wire::Service::worker);
    EXPECT_EQ(http.endpoint, "10.0.0.9:9000");
    EXPECT_EQ(http.wait_s, 0);
}

} // namespace

std::vector<WireForm> user_forms() {
    std::vector<WireForm> forms = submission_forms();
    for (const auto& form : user_answer_forms()) {
        forms.push_back(form);
    }
    // What requests are told apart by.
    forms.push_back({"paths",
                     [] {
                         return std::string(wire::kJobsPath) + "\n" + wire::kCancelSuffix + "\n" +
                                wire::kHeartbeatPath + "\n" + wire::kReadyPath + "\n" +
                                wire::kPeerSyncPath + "\n" + wire::kLeaseExtensionPath + "\n" +
                                wire::kCancellationsPath + "\n" + wire::kQuotaStatusPath + "\n" +
                                wire::kContentType;
                     },
                     nullptr});
    return forms;
}

std::vector<WireForm> worker_forms() {
    const WorkerCommands full{"i-1", "10.0.0.9:9000", 300, 1764000000000, all_commands()};
    const WorkerCommands minimal{"i-1", "10.0.0.9:9000", 0, 0, {}};
    return {
        report_form("report_full", full_report, expect_full_report),
        report_form("report_minimal", minimal_report, expect_minimal_report),
        answer_form("worker/answer_full", HeartbeatBody{300, all_commands()}),
        answer_form("worker/answer_minimal", HeartbeatBody{}),
        {"worker/orders_full", [=] { return request_bytes(full); }, nullptr},
        {"worker/orders_minimal", [=] { return request_bytes(minimal); }, nullptr},
    };
}

} // namespace scheduler::test
