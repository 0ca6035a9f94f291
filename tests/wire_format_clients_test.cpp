// Golden encodings of the messages of users and workers; see wire_format.h.
#include "wire_format.h"

#include <gtest/gtest.h>

namespace scheduler::test {
namespace {

constexpr std::uint64_t kLargeAttempt = (1ULL << 50) + 3;

// Numbers as other encoders write them; msgpack-c writes a whole number in its shortest encoding.
const std::string kFloatOfFour("\xcb\x40\x10\x00\x00\x00\x00\x00\x00", 9);
const std::string kWideTwo("\xcf\x00\x00\x00\x00\x00\x00\x00\x02", 9);

// Returns the stored record of the job, which contains all its fields and can be compared.
std::string stored_job_bytes(const JobSpec& job) {
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

void check_full_submission(const std::string& golden) {
    JobSpec job = wire::parse_job(golden);
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

// Has amounts as integers and as 32-bit floats, fields in another order, and an unknown field.
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

GoldenEncoding minimal_submission_encoding(const std::string& kind_name, JobKind kind,
                                           const std::string& priority_name, Priority priority) {
    return {"user/submit_" + kind_name + "_" + priority_name,
            [=] { return minimal_submission(kind_name, priority_name); },
            [=](const std::string& golden) {
                expect_same_bytes(stored_job_bytes(wire::parse_job(golden)),
                                  stored_job_bytes(minimal_job(kind, priority)));
            }};
}

// A response that only users or workers decode.
GoldenEncoding response_encoding(const std::string& name, const ResponseBody& response) {
    return {name, [=] { return wire::encode_response(response); }, nullptr};
}

std::vector<GoldenEncoding> submission_encodings() {
    return {
        {"user/submit_full", full_submission, check_full_submission},
        minimal_submission_encoding("batch", JobKind::array, "prod", Priority::production),
        minimal_submission_encoding("batch", JobKind::array, "standard", Priority::normal),
        minimal_submission_encoding("ensemble", JobKind::gang, "high", Priority::high),
        minimal_submission_encoding("standing", JobKind::service, "idle", Priority::low),
    };
}

std::vector<GoldenEncoding> user_response_encodings() {
    return {
        response_encoding("user/answer_job_full",
                          JobStatusBody{"req-000412", "running", 70000, 16}),
        response_encoding("user/answer_job_pending", JobStatusBody{"req-1", "pending", 0, 0}),
        response_encoding("user/answer_job_done", JobStatusBody{"req-1", "done", {}, {}}),
        response_encoding("user/answer_job_done_count", JobStatusBody{"req-1", "done", 3, {}}),
        response_encoding("user/answer_job_running_count",
                          JobStatusBody{"req-1", "running", {}, 3}),
        response_encoding("user/answer_job_cancelled", JobStatusBody{"req-1", "cancelled", {}, {}}),
        response_encoding("user/answer_error", TextBody{"no such job"}),
        response_encoding("user/answer_error_empty", TextBody{}),
        response_encoding("user/answer_redirect", LeaderRedirect{"n1"}),
        response_encoding("user/answer_redirect_unknown", LeaderRedirect{}),
    };
}

std::string reported_task(const std::string& task, std::uint64_t attempt,
                          const std::string& stage) {
    return packed_map(
        {{"petal", packed(task)}, {"sowing", packed(attempt)}, {"stage", packed(stage)}});
}

std::string exited_task(const std::string& task, const std::string& reason) {
    return packed_map({{"petal", packed(task)},
                       {"sowing", packed(kLargeAttempt)},
                       {"stage", packed("exited")},
                       {"wilt", packed(reason)}});
}

// Contains each task stage and each exit reason.
std::string full_heartbeat() {
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
              {reported_task("req-1/0", 1, "pulling"), reported_task("req-1/1", 2, "waiting"),
               reported_task("req-1/70000", 3, "running"), reported_task("req-1/3", 4, "flushing"),
               exited_task("req-000412/0", "done"), exited_task("req-000412/1", "halted"),
               exited_task("req-000412/2", "mates_gone"), exited_task("req-000412/3", "incomplete"),
               exited_task("req-000412/4", "error"), exited_task("req-000412/5", "no_room"),
               exited_task("req-000412/6", "busy"), exited_task("req-000412/7", "unknown")})}});
}

std::string minimal_heartbeat() {
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
                 TaskStage stage, ExitReason reason) {
    EXPECT_EQ(actual.task, task);
    EXPECT_EQ(actual.attempt, attempt);
    EXPECT_EQ(actual.stage, stage);
    EXPECT_EQ(actual.exit_reason, reason);
}

void expect_tasks_of_full_heartbeat(const std::vector<TaskStatus>& tasks) {
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

void expect_full_heartbeat(const Heartbeat& heartbeat) {
    EXPECT_EQ(heartbeat.machine, "i-1");
    EXPECT_EQ(heartbeat.endpoint, "10.0.0.9:9000");
    EXPECT_EQ(heartbeat.type, "g8");
    EXPECT_EQ(heartbeat.zone, "east");
    EXPECT_TRUE(heartbeat.spot);
    EXPECT_EQ(heartbeat.agent_epoch, 1764000000000u);
    EXPECT_EQ(heartbeat.sequence, 70000u);
    EXPECT_EQ(heartbeat.fencing_token, 300u);
    EXPECT_EQ(heartbeat.preemption_notice_s, 110.5);
    expect_tasks_of_full_heartbeat(heartbeat.tasks);
}

void expect_minimal_heartbeat(const Heartbeat& heartbeat) {
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

// A worker's heartbeat, which is also the body of its response to commands, whether accepted (200)
// or rejected (409).
GoldenEncoding heartbeat_encoding(const std::string& name,
                                  const std::function<std::string()>& bytes,
                                  const std::function<void(const Heartbeat&)>& expect) {
    return {"worker/" + name, bytes, [=](const std::string& golden) {
                expect(wire::parse_heartbeat(golden));
                for (int status : {200, 409}) {
                    OutboundResponse response =
                        wire::decode_response(1, WorkerCommands{}, status, golden);
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

// Polls and cancellations have no body: the path contains the job id.
TEST(WireFormat, AJobIdIsReqDashAndUpTo60Digits) {
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

TEST(WireFormat, WorkerCommandsAreSentToTheWorkersEndpoint) {
    wire::HttpRequest http =
        wire::encode_request(WorkerCommands{"i-1", "10.0.0.9:9000", 300, 1, {}});
    EXPECT_EQ(http.service, wire::Service::worker);
    EXPECT_EQ(http.endpoint, "10.0.0.9:9000");
    EXPECT_EQ(http.wait_s, 0);
}

} // namespace

std::vector<GoldenEncoding> user_encodings() {
    std::vector<GoldenEncoding> encodings = submission_encodings();
    for (const auto& encoding : user_response_encodings()) {
        encodings.push_back(encoding);
    }
    // The paths and the content type by which requests are dispatched.
    encodings.push_back({"paths",
                         [] {
                             return std::string(wire::kJobsPath) + "\n" + wire::kCancelSuffix +
                                    "\n" + wire::kHeartbeatPath + "\n" + wire::kReadyPath + "\n" +
                                    wire::kPeerSyncPath + "\n" + wire::kLeaseExtensionPath + "\n" +
                                    wire::kCancellationsPath + "\n" + wire::kQuotaStatusPath +
                                    "\n" + wire::kContentType;
                         },
                         nullptr});
    return encodings;
}

std::vector<GoldenEncoding> worker_encodings() {
    const WorkerCommands full{"i-1", "10.0.0.9:9000", 300, 1764000000000, all_commands()};
    const WorkerCommands minimal{"i-1", "10.0.0.9:9000", 0, 0, {}};
    return {
        heartbeat_encoding("report_full", full_heartbeat, expect_full_heartbeat),
        heartbeat_encoding("report_minimal", minimal_heartbeat, expect_minimal_heartbeat),
        response_encoding("worker/answer_full", HeartbeatBody{300, all_commands()}),
        response_encoding("worker/answer_minimal", HeartbeatBody{}),
        {"worker/orders_full", [=] { return request_bytes(full); }, nullptr},
        {"worker/orders_minimal", [=] { return request_bytes(minimal); }, nullptr},
    };
}

} // namespace scheduler::test
