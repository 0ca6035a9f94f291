// Golden encodings of the messages between controllers; see wire_format.h.
#include "wire_format.h"

#include <gtest/gtest.h>

namespace scheduler::test {
namespace {

constexpr char kPeer[] = "n1";
constexpr std::uint64_t kLargeTerm = 1ULL << 40;

SlotRequest gang_slot_request() {
    SlotRequest request;
    request.job = "req-000412";
    request.kind = JobKind::gang;
    request.attempt = kLargeTerm + 77;
    request.gang_members = {0, 2, 70000};
    request.gang_size = 70001;
    request.count = 3;
    request.cpus = 8.5;
    request.gpus = 2.25;
    request.ram_gb = 64.5;
    request.image = "img-07";
    request.image_gb = 6.2;
    request.types = {"g8", "c16"};
    request.zone = "east";
    request.priority = Priority::production;
    request.age_s = 12.5;
    request.due_s = 99.5;
    return request;
}

SlotRequest service_slot_request() {
    SlotRequest request;
    request.job = "req-2";
    request.kind = JobKind::service;
    request.count = 5;
    request.types.emplace();
    request.priority = Priority::low;
    return request;
}

SlotRequest minimal_slot_request(Priority priority) {
    SlotRequest request;
    request.priority = priority;
    return request;
}

// Returns slot requests in which no two flags have the same values, so that a swap of two flags
// shows.
std::vector<SlotRequest> slot_requests_with_each_flag() {
    std::vector<SlotRequest> slot_requests{gang_slot_request(), service_slot_request(),
                                           minimal_slot_request(Priority::high),
                                           minimal_slot_request(Priority::normal)};
    for (std::size_t i = 0; i < slot_requests.size(); ++i) {
        auto is_set = [i](int flag_number) { return ((flag_number >> i) & 1) != 0; };
        SlotRequest& request = slot_requests[i];
        request.one_zone = is_set(1);
        request.spread = is_set(2);
        request.preempt = is_set(3);
        request.accepts_partial = is_set(4);
        request.spot = is_set(5);
        request.over_guarantee = is_set(6);
        request.bottleneck_team = is_set(7);
        request.starving = is_set(8);
    }
    return slot_requests;
}

RemoteTaskCommand full_remote_task_command() {
    RemoteTaskCommand command;
    command.type = RemoteTaskCommand::Type::describe;
    command.machine = "i-1";
    command.launch = {kLargeTerm + 1, 2};
    command.grace_s = 4.5;
    command.kind = JobKind::gang;
    command.cpus = 1.5;
    command.gpus = 2.5;
    command.ram_gb = 3.5;
    command.image = "img-07";
    command.image_gb = 5.5;
    return command;
}

RemoteTaskCommand minimal_remote_task_command(RemoteTaskCommand::Type type, JobKind kind) {
    RemoteTaskCommand command;
    command.type = type;
    command.kind = kind;
    return command;
}

Demand full_demand() { return {10.5, 20.5, 3000.25, {{"east", 6.5}, {"west", 7.5}}}; }

PeerSyncRequest full_sync_request() {
    PeerSyncRequest request;
    request.from_partition = 3;
    request.term = kLargeTerm + 5;
    request.sequence = 400;
    request.to_partition = 127;
    request.slot_requests = slot_requests_with_each_flag();
    request.max_slots = 70000;
    request.commands = {
        full_remote_task_command(),
        minimal_remote_task_command(RemoteTaskCommand::Type::stop, JobKind::array),
        minimal_remote_task_command(RemoteTaskCommand::Type::clear, JobKind::service),
        minimal_remote_task_command(RemoteTaskCommand::Type::return_slot, JobKind::array)};
    request.provisioned = {{"i-2", "g8", "east", true}, {"i-3", "c16", "west", false}};
    request.transfers = {{{3, 7}, 1000000007, 55}, {{0, 300}, 1, kLargeTerm}};
    request.acked_term = 65536;
    request.acked_version = 255;
    request.demand = full_demand();
    request.capacity = {320.5, 64.5, 0.25, true};
    return request;
}

// From a controller that sends no sequence numbers, CPU headroom and shards.
std::string older_sync_request() {
    return packed_map({{"from", packed(1)},
                       {"most", packed(0)},
                       {"seen_term", packed(0)},
                       {"seen", packed(0)},
                       {"term", packed(9)},
                       {"to", packed(2)},
                       {"wants", packed_list({})},
                       {"told", packed_list({})},
                       {"bought", packed_list({})},
                       {"ordinary_slots", packed(1)},
                       {"any_slots", packed(2.5f)},
                       {"left_slot_s", packed(3.5)},
                       {"bound", packed_list({})},
                       {"ordinary", packed(4.5)},
                       {"spot", packed(5.5)}});
}

PeerSyncRequest older_sync_request_expected() {
    PeerSyncRequest request;
    request.from_partition = 1;
    request.term = 9;
    request.to_partition = 2;
    request.demand = {1, 2.5, 3.5, {}};
    request.capacity = {4.5, 5.5, 1, false};
    return request;
}

// A later version may send fields that are unknown here.
std::string newer_sync_request() {
    std::string older = older_sync_request();
    constexpr char kMapOfFifteen = '\x8f';
    EXPECT_EQ(older[0], kMapOfFifteen);
    const std::string map_of_sixteen("\xde\x00\x10", 3);
    return map_of_sixteen + older.substr(1) + packed("not_known") + packed_list({packed(1)});
}

// Numbers that no correct sender sends are clamped to their range.
PeerSyncRequest sync_request_out_of_range(double capacity) {
    PeerSyncRequest request;
    request.capacity.cpu_headroom = capacity;
    request.transfers = {{{130, 100001}, 5, 6}};
    return request;
}

PeerSyncRequest sync_request_in_range(double capacity) {
    PeerSyncRequest request;
    request.capacity.cpu_headroom = capacity;
    request.transfers = {{{2, 1}, 5, 6}};
    return request;
}

std::vector<TaskGroup> task_groups() {
    return {{{"c16", "g8"}, {"east", "west"}, true, 1.5, 2.5, 3.5, 70000, 4.5},
            {{"g8"}, {}, false, 8.5, 0, 64.5, 1, 0.25}};
}

IdleMachines idle_machines() {
    return {{{{"c16", false}, "east"}, {1, 2, 3, 4, 5, 6, 7, 70000}},
            {{{"g8", true}, "west"}, {0, 0, 0, 9}}};
}

PeerSyncRequest sync_request_with_task_groups() {
    PeerSyncRequest request;
    request.demand.groups = task_groups();
    request.capacity.idle = idle_machines();
    return request;
}

PeerSyncResponse sync_response_with_task_groups() {
    PeerSyncResponse response;
    response.demand.groups = task_groups();
    response.capacity.idle = idle_machines();
    return response;
}

// A partition without machines reports that none is idle, which differs from no report.
PeerSyncResponse sync_response_without_machines() {
    PeerSyncResponse response;
    response.capacity.idle.emplace();
    return response;
}

RemoteTaskStatus full_remote_task() {
    RemoteTaskStatus remote_task;
    remote_task.status.task = {"req-000412", 69999};
    remote_task.status.attempt = kLargeTerm + 3;
    remote_task.status.stage = TaskStage::exited;
    remote_task.status.exit_reason = ExitReason::done;
    remote_task.machine = "i-1";
    remote_task.zone = "east";
    remote_task.resources_unknown = true;
    remote_task.draining = false;
    remote_task.preemption_notice = true;
    return remote_task;
}

// Contains each task stage, each exit reason and each combination of the flags.
std::vector<RemoteTaskStatus> all_remote_tasks() {
    std::vector<RemoteTaskStatus> all{full_remote_task()};
    constexpr int kReasons = static_cast<int>(ExitReason::unknown) + 1;
    constexpr int kStages = static_cast<int>(TaskStage::exited) + 1;
    for (int i = 0; i < kReasons; ++i) {
        RemoteTaskStatus remote_task;
        remote_task.status.task = {"req-1", static_cast<std::uint32_t>(i)};
        remote_task.status.stage = static_cast<TaskStage>(i % kStages);
        remote_task.status.exit_reason = static_cast<ExitReason>(i);
        remote_task.resources_unknown = (i & 1) != 0;
        remote_task.draining = (i & 2) != 0;
        remote_task.preemption_notice = (i & 4) != 0;
        all.push_back(remote_task);
    }
    return all;
}

SlotGrant full_grant() {
    SlotGrant grant;
    grant.launch = {kLargeTerm + 4, 6};
    grant.job = "req-000412";
    grant.machine = "i-1";
    grant.endpoint = "10.0.0.9:9000";
    grant.agent_epoch = 1764000000000;
    grant.fencing_token = 300;
    grant.type = "g8";
    grant.zone = "east";
    grant.spot = true;
    grant.cpus = 8.5;
    grant.gpus = 2.5;
    grant.ram_gb = 64.5;
    return grant;
}

PeerSyncResponse full_sync_response() {
    PeerSyncResponse response;
    response.term = kLargeTerm + 6;
    response.reconciled = true;
    response.no_stale_grants = false;
    response.complete = true;
    response.shards = {{{{0, 1}, 99, true, false},
                        {{4, 19}, kLargeTerm, false, true},
                        {{5, 20}, 1, true, true},
                        {{6, 21}, 2, false, false}}};
    response.version = 70000;
    response.machines = {"i-1", "i-2"};
    response.demand = full_demand();
    response.capacity = {320.5, 64.5, 0.25, true};
    response.tasks = all_remote_tasks();
    response.pending_launches = {{kLargeTerm + 7, 1}, {2, 0}};
    response.grants = {full_grant(), SlotGrant{}};
    return response;
}

// Together with the full response, no two flags have the same values.
PeerSyncResponse sync_response_without_stale_grants() {
    PeerSyncResponse response;
    response.no_stale_grants = true;
    response.complete = true;
    response.shards.emplace();
    return response;
}

std::string older_sync_response() {
    return packed_map({{"term", packed(9)},
                       {"settled", packed(true)},
                       {"clean", packed(false)},
                       {"full", packed(false)},
                       {"version", packed(8)},
                       {"machines", packed_list({packed("i-1")})},
                       {"ordinary_slots", packed(0.0)},
                       {"any_slots", packed(0.0)},
                       {"left_slot_s", packed(0.0)},
                       {"bound", packed_list({})},
                       {"ordinary", packed(4.5)},
                       {"spot", packed(5.5)},
                       {"held", packed_list({})},
                       {"open", packed_list({})},
                       {"grants", packed_list({})}});
}

PeerSyncResponse older_sync_response_expected() {
    PeerSyncResponse response;
    response.term = 9;
    response.reconciled = true;
    response.version = 8;
    response.machines = {"i-1"};
    response.capacity = {4.5, 5.5, 1, false};
    return response;
}

std::string older_lease_extension_request() {
    return packed_map({{"part", packed(3)},
                       {"term", packed(77)},
                       {"for_s", packed(11.5)},
                       {"silent_s", packed(4.5)}});
}

std::string older_lease_extension_response() {
    return packed_map({{"reaches", packed(false)},
                       {"given", packed(true)},
                       {"cancelled", packed_list({packed("req-1")})}});
}

LeaseExtensionResponse full_lease_extension_response() {
    return {true,
            false,
            {"req-1", "req-2"},
            {{"red", TeamQuota{"red", 1.5, 2.5, 3.5, 4.5}, 70000},
             {"blue", TeamQuota{"blue", 5, 6, 7, 8}, kLargeTerm}}};
}

// A request that a controller receives: decoding its body and encoding it again gives the same
// bytes.
GoldenEncoding
request_encoding(const std::string& name, const OutboundBody& request,
                 const std::function<OutboundBody(const std::string& body)>& decode) {
    return {"peer/" + name, [=] { return request_bytes(request); },
            [=](const std::string& golden) {
                expect_same_bytes(request_bytes(decode(request_body(golden))), golden);
            }};
}

// A request from another version: it decodes to the expected request.
GoldenEncoding
foreign_request_encoding(const std::string& name, const std::string& body,
                         const OutboundBody& expected,
                         const std::function<OutboundBody(const std::string& body)>& decode) {
    return {"peer/" + name, [=] { return body; },
            [=](const std::string& golden) {
                expect_same_bytes(request_bytes(decode(golden)), request_bytes(expected));
            }};
}

std::string encode_peer_response(const OutboundResponse& response) {
    if (response.peer_sync) {
        return wire::encode_response(*response.peer_sync);
    }
    if (response.lease_extension) {
        return wire::encode_response(*response.lease_extension);
    }
    return response.quota_status ? wire::encode_response(*response.quota_status) : "none";
}

GoldenEncoding response_encoding(const std::string& name, const OutboundBody& request,
                                 const ResponseBody& response) {
    return {"peer/" + name, [=] { return wire::encode_response(response); },
            [=](const std::string& golden) {
                OutboundResponse read = wire::decode_response(1, request, 200, golden);
                EXPECT_EQ(read.status, 200);
                expect_same_bytes(encode_peer_response(read), golden);
            }};
}

GoldenEncoding foreign_response_encoding(const std::string& name, const OutboundBody& request,
                                         const std::string& bytes, const ResponseBody& expected) {
    return {"peer/" + name, [=] { return bytes; },
            [=](const std::string& golden) {
                OutboundResponse read = wire::decode_response(1, request, 200, golden);
                EXPECT_EQ(read.status, 200);
                expect_same_bytes(encode_peer_response(read), wire::encode_response(expected));
            }};
}

std::string sync_request_body(const PeerSyncRequest& request) {
    return wire::encode_request(PeerSyncCall{kPeer, request}).body;
}

OutboundBody decode_sync_request(const std::string& body) {
    return PeerSyncCall{kPeer, wire::parse_peer_sync_request(body)};
}
OutboundBody decode_lease_extension(const std::string& body) {
    return LeaseExtensionCall{kPeer, wire::parse_lease_extension_request(body)};
}
OutboundBody decode_cancellations(const std::string& body) {
    return CancellationCall{kPeer, wire::parse_cancellations(body)};
}
OutboundBody decode_quota_status_query(const std::string& body) {
    return QuotaStatusCall{wire::parse_quota_status_query(body)};
}

std::vector<GoldenEncoding> peer_sync_encodings() {
    return {
        request_encoding("exchange/call_minimal", PeerSyncCall{kPeer, PeerSyncRequest{}},
                         decode_sync_request),
        request_encoding("exchange/call_full", PeerSyncCall{kPeer, full_sync_request()},
                         decode_sync_request),
        foreign_request_encoding("exchange/call_older", older_sync_request(),
                                 PeerSyncCall{kPeer, older_sync_request_expected()},
                                 decode_sync_request),
        foreign_request_encoding("exchange/call_newer", newer_sync_request(),
                                 PeerSyncCall{kPeer, older_sync_request_expected()},
                                 decode_sync_request),
        foreign_request_encoding(
            "exchange/call_numbers_too_high", sync_request_body(sync_request_out_of_range(7)),
            PeerSyncCall{kPeer, sync_request_in_range(1)}, decode_sync_request),
        foreign_request_encoding(
            "exchange/call_capacity_too_low", sync_request_body(sync_request_out_of_range(0)),
            PeerSyncCall{kPeer, sync_request_in_range(0.01)}, decode_sync_request),
        request_encoding("exchange/call_groups",
                         PeerSyncCall{kPeer, sync_request_with_task_groups()}, decode_sync_request),
        response_encoding("exchange/reply_minimal", PeerSyncCall{}, PeerSyncResponse{}),
        response_encoding("exchange/reply_groups", PeerSyncCall{},
                          sync_response_with_task_groups()),
        response_encoding("exchange/reply_without_machines", PeerSyncCall{},
                          sync_response_without_machines()),
        response_encoding("exchange/reply_clean_and_full", PeerSyncCall{},
                          sync_response_without_stale_grants()),
        response_encoding("exchange/reply_full", PeerSyncCall{}, full_sync_response()),
        foreign_response_encoding("exchange/reply_older", PeerSyncCall{}, older_sync_response(),
                                  older_sync_response_expected()),
    };
}

std::vector<GoldenEncoding> lease_extension_encodings() {
    return {
        request_encoding("promise/call_minimal", LeaseExtensionCall{kPeer, LeaseExtensionRequest{}},
                         decode_lease_extension),
        request_encoding("promise/call_full",
                         LeaseExtensionCall{kPeer, {3, kLargeTerm, 11.05, 4.5, 70000}},
                         decode_lease_extension),
        foreign_request_encoding("promise/call_older", older_lease_extension_request(),
                                 LeaseExtensionCall{kPeer, {3, 77, 11.5, 4.5, 0}},
                                 decode_lease_extension),
        foreign_request_encoding(
            "promise/call_partition_too_high",
            wire::encode_request(LeaseExtensionCall{kPeer, {1 << 30, 1, 2, 3, 4}}).body,
            LeaseExtensionCall{kPeer, {1 << 20, 1, 2, 3, 4}}, decode_lease_extension),
        response_encoding("promise/reply_minimal", LeaseExtensionCall{}, LeaseExtensionResponse{}),
        response_encoding("promise/reply_given", LeaseExtensionCall{},
                          LeaseExtensionResponse{false, true, {}, {}}),
        response_encoding("promise/reply_full", LeaseExtensionCall{},
                          full_lease_extension_response()),
        foreign_response_encoding("promise/reply_older", LeaseExtensionCall{},
                                  older_lease_extension_response(),
                                  LeaseExtensionResponse{false, true, {"req-1"}, {}}),
        // A team whose record cannot be decoded is sent without a quota.
        response_encoding("promise/reply_unreadable_team", LeaseExtensionCall{},
                          LeaseExtensionResponse{true, true, {}, {{"red", {}, 5}}}),
    };
}

std::vector<GoldenEncoding> cancellation_and_quota_encodings() {
    const QuotaStatus full{90, 1.5, {"red", 1.5, 2.5, 3.5, 4.5}, 88, 7.25, true};
    return {
        request_encoding("cancelled/call_minimal", CancellationCall{kPeer, {}},
                         decode_cancellations),
        request_encoding("cancelled/call_full", CancellationCall{kPeer, {"req-1", "req-000412"}},
                         decode_cancellations),
        request_encoding("standing/call", QuotaStatusCall{"red"}, decode_quota_status_query),
        response_encoding("standing/reply_minimal", QuotaStatusCall{}, QuotaStatus{}),
        response_encoding("standing/reply_full", QuotaStatusCall{}, full),
    };
}

TEST(WireFormat, PeerRequestsAreSentToTheNamedController) {
    for (const OutboundBody& request :
         {OutboundBody(PeerSyncCall{kPeer, {}}), OutboundBody(LeaseExtensionCall{kPeer, {}}),
          OutboundBody(CancellationCall{kPeer, {}})}) {
        wire::HttpRequest http = wire::encode_request(request);
        EXPECT_EQ(http.service, wire::Service::peer);
        EXPECT_EQ(http.endpoint, kPeer);
        EXPECT_EQ(http.wait_s, 0);
    }
    EXPECT_EQ(wire::encode_request(QuotaStatusCall{"red"}).service, wire::Service::peer);
    EXPECT_EQ(wire::encode_request(QuotaStatusCall{"red"}).endpoint, "");
}

// Of the response to a cancellation broadcast only the status matters, whatever the body is.
TEST(WireFormat, TheBodyOfACancellationResponseIsIgnored) {
    std::string body = wire::encode_response(TextBody{"taken in"});
    EXPECT_EQ(wire::decode_response(1, CancellationCall{}, 200, body).status, 200);
    EXPECT_EQ(wire::decode_response(1, CancellationCall{}, 503, body).status, 503);
}

// Pending tasks without types, or a report of idle machines in more or fewer parts, cannot be
// used: the message is refused as a whole.
TEST(WireFormat, MalformedTaskGroupAndIdleMachinesAreRefused) {
    auto minimal_with = [](const PackedField& field) {
        std::string body = sync_request_body(PeerSyncRequest{});
        const std::string map_of_twenty("\xde\x00\x14", 3);
        EXPECT_EQ(body.substr(0, 3), std::string("\xde\x00\x13", 3));
        return map_of_twenty + body.substr(3) + packed(field.name) + field.value;
    };
    auto groups = [&](const std::string& types, const std::string& tasks) {
        return minimal_with({"groups", packed_list({packed_map({{"types", types},
                                                                {"zones", packed_list({})},
                                                                {"spot", packed(true)},
                                                                {"cpus", packed(1.0)},
                                                                {"gpus", packed(0.0)},
                                                                {"ram_gb", packed(2.0)},
                                                                {"tasks", tasks},
                                                                {"slots", packed(3.0)}})})});
    };
    auto idle = [&](const std::vector<std::string>& parts) {
        return minimal_with({"idle", packed_list({packed_map({{"type", packed("g8")},
                                                              {"spot", packed(false)},
                                                              {"zone", packed("east")},
                                                              {"parts", packed_list(parts)}})})});
    };
    const std::vector<std::string> eight_parts(kIdleParts, packed(1));
    const std::vector<std::string> seven_parts(kIdleParts - 1, packed(1));
    EXPECT_EQ(wire::parse_peer_sync_request(groups(packed_list({packed("g8")}), packed(3)))
                  .demand.groups.size(),
              1u);
    EXPECT_THROW(wire::parse_peer_sync_request(groups(packed_list({}), packed(3))),
                 wire::MessageError);
    EXPECT_THROW(
        wire::parse_peer_sync_request(groups(packed_list({packed("g8")}), packed(1ULL << 40))),
        wire::MessageError);
    EXPECT_EQ(wire::parse_peer_sync_request(idle(eight_parts)).capacity.idle->size(), 1u);
    EXPECT_THROW(wire::parse_peer_sync_request(idle(seven_parts)), wire::MessageError);
}

// A peer's error response carries an error text, which is not decoded.
TEST(WireFormat, TheBodyOfAPeersErrorResponseIsIgnored) {
    std::string body = wire::encode_response(TextBody{"a later owner has called"});
    OutboundResponse response = wire::decode_response(1, PeerSyncCall{}, 409, body);
    EXPECT_EQ(response.status, 409);
    EXPECT_FALSE(response.peer_sync);
    EXPECT_EQ(wire::decode_response(1, LeaseExtensionCall{}, 421, body).status, 421);
    EXPECT_EQ(wire::decode_response(1, QuotaStatusCall{}, 404, body).status, 404);
}

} // namespace

std::vector<GoldenEncoding> peer_encodings() {
    std::vector<GoldenEncoding> encodings = peer_sync_encodings();
    for (const auto& group : {lease_extension_encodings(), cancellation_and_quota_encodings()}) {
        encodings.insert(encodings.end(), group.begin(), group.end());
    }
    return encodings;
}

} // namespace scheduler::test
