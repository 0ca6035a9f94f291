// Forms of the messages between controllers; see wire_format.h.
#include "wire_format.h"

#include <gtest/gtest.h>

namespace scheduler::test {
namespace {

constexpr char kPeer[] = "n1";
constexpr std::uint64_t kLargeTerm = 1ULL << 40;

SlotRequest gang_want() {
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

SlotRequest service_want() {
    SlotRequest request;
    request.job = "req-2";
    request.kind = JobKind::service;
    request.count = 5;
    request.types.emplace();
    request.priority = Priority::low;
    return request;
}

SlotRequest minimal_want(Priority priority) {
    SlotRequest request;
    request.priority = priority;
    return request;
}

// Wants that differ in every flag: seen over all of them, no flag is set as another one is.
std::vector<SlotRequest> wants_with_each_flag() {
    std::vector<SlotRequest> wants{gang_want(), service_want(), minimal_want(Priority::high),
                                   minimal_want(Priority::normal)};
    for (std::size_t i = 0; i < wants.size(); ++i) {
        auto set_in_this_want = [i](int flag_number) { return ((flag_number >> i) & 1) != 0; };
        SlotRequest& request = wants[i];
        request.one_zone = set_in_this_want(1);
        request.spread = set_in_this_want(2);
        request.preempt = set_in_this_want(3);
        request.accepts_partial = set_in_this_want(4);
        request.spot = set_in_this_want(5);
        request.over_guarantee = set_in_this_want(6);
        request.bottleneck_team = set_in_this_want(7);
        request.starving = set_in_this_want(8);
    }
    return wants;
}

RemoteTaskCommand full_told() {
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

RemoteTaskCommand minimal_told(RemoteTaskCommand::Type what, JobKind kind) {
    RemoteTaskCommand command;
    command.type = what;
    command.kind = kind;
    return command;
}

Demand full_demand() { return {10.5, 20.5, 3000.25, {{"east", 6.5}, {"west", 7.5}}}; }

PeerSyncRequest full_exchange() {
    PeerSyncRequest request;
    request.from_partition = 3;
    request.term = kLargeTerm + 5;
    request.sequence = 400;
    request.to_partition = 127;
    request.slot_requests = wants_with_each_flag();
    request.max_slots = 70000;
    request.commands = {full_told(), minimal_told(RemoteTaskCommand::Type::stop, JobKind::array),
                        minimal_told(RemoteTaskCommand::Type::clear, JobKind::service),
                        minimal_told(RemoteTaskCommand::Type::return_slot, JobKind::array)};
    request.provisioned = {{"i-2", "g8", "east", true}, {"i-3", "c16", "west", false}};
    request.transfers = {{{3, 7}, 1000000007, 55}, {{0, 300}, 1, kLargeTerm}};
    request.acked_term = 65536;
    request.acked_version = 255;
    request.demand = full_demand();
    request.capacity = {320.5, 64.5, 0.25, true};
    return request;
}

// From a controller that says nothing of call numbers, processors and shares.
std::string older_exchange() {
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

PeerSyncRequest older_exchange_expected() {
    PeerSyncRequest request;
    request.from_partition = 1;
    request.term = 9;
    request.to_partition = 2;
    request.demand = {1, 2.5, 3.5, {}};
    request.capacity = {4.5, 5.5, 1, false};
    return request;
}

// A later version may say more than is known here.
std::string newer_exchange() {
    std::string older = older_exchange();
    constexpr char kMapOfFifteen = '\x8f';
    EXPECT_EQ(older[0], kMapOfFifteen);
    const std::string map_of_sixteen("\xde\x00\x10", 3);
    return map_of_sixteen + older.substr(1) + packed("not_known") + packed_list({packed(1)});
}

// Numbers that no sender means are brought into range.
PeerSyncRequest exchange_out_of_range(double capacity) {
    PeerSyncRequest request;
    request.capacity.cpu_headroom = capacity;
    request.transfers = {{{130, 100001}, 5, 6}};
    return request;
}

PeerSyncRequest exchange_in_range(double capacity) {
    PeerSyncRequest request;
    request.capacity.cpu_headroom = capacity;
    request.transfers = {{{2, 1}, 5, 6}};
    return request;
}

RemoteTaskStatus full_held() {
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

// Each stage, each reason to exit, and each combination of the flags.
std::vector<RemoteTaskStatus> all_held() {
    std::vector<RemoteTaskStatus> all{full_held()};
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

PeerSyncResponse full_exchange_reply() {
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
    response.tasks = all_held();
    response.pending_launches = {{kLargeTerm + 7, 1}, {2, 0}};
    response.grants = {full_grant(), SlotGrant{}};
    return response;
}

// With the full reply, no flag is set as another one is.
PeerSyncResponse clean_and_full_exchange_reply() {
    PeerSyncResponse response;
    response.no_stale_grants = true;
    response.complete = true;
    response.shards.emplace();
    return response;
}

std::string older_exchange_reply() {
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

PeerSyncResponse older_exchange_reply_expected() {
    PeerSyncResponse response;
    response.term = 9;
    response.reconciled = true;
    response.version = 8;
    response.machines = {"i-1"};
    response.capacity = {4.5, 5.5, 1, false};
    return response;
}

std::string older_promise_ask() {
    return packed_map({{"part", packed(3)},
                       {"term", packed(77)},
                       {"for_s", packed(11.5)},
                       {"silent_s", packed(4.5)}});
}

std::string older_promise_reply() {
    return packed_map({{"reaches", packed(false)},
                       {"given", packed(true)},
                       {"cancelled", packed_list({packed("req-1")})}});
}

LeaseExtensionResponse full_promise_reply() {
    return {true,
            false,
            {"req-1", "req-2"},
            {{"red", TeamQuota{"red", 1.5, 2.5, 3.5, 4.5}, 70000},
             {"blue", TeamQuota{"blue", 5, 6, 7, 8}, kLargeTerm}}};
}

// A call whose receiver is a controller: decoded from its body and called again, it is the same.
WireForm call_form(const std::string& name, const OutboundBody& call,
                   const std::function<OutboundBody(const std::string& body)>& decode) {
    return {"peer/" + name, [=] { return request_bytes(call); },
            [=](const std::string& pinned) {
                expect_same_bytes(request_bytes(decode(body_of(pinned))), pinned);
            }};
}

// A call of another version: decoded, it is the call expected.
WireForm foreign_call_form(const std::string& name, const std::string& body,
                           const OutboundBody& expected,
                           const std::function<OutboundBody(const std::string& body)>& decode) {
    return {"peer/" + name, [=] { return body; },
            [=](const std::string& pinned) {
                expect_same_bytes(request_bytes(decode(pinned)), request_bytes(expected));
            }};
}

std::string encode_peer_reply(const OutboundResponse& response) {
    if (response.peer_sync) {
        return wire::encode_response(*response.peer_sync);
    }
    if (response.lease_extension) {
        return wire::encode_response(*response.lease_extension);
    }
    return response.quota_status ? wire::encode_response(*response.quota_status) : "none";
}

WireForm reply_form(const std::string& name, const OutboundBody& call, const ResponseBody& reply) {
    return {"peer/" + name, [=] { return wire::encode_response(reply); },
            [=](const std::string& pinned) {
                OutboundResponse read = wire::decode_response(1, call, 200, pinned);
                EXPECT_EQ(read.status, 200);
                expect_same_bytes(encode_peer_reply(read), pinned);
            }};
}

WireForm foreign_reply_form(const std::string& name, const OutboundBody& call,
                            const std::string& bytes, const ResponseBody& expected) {
    return {"peer/" + name, [=] { return bytes; },
            [=](const std::string& pinned) {
                OutboundResponse read = wire::decode_response(1, call, 200, pinned);
                EXPECT_EQ(read.status, 200);
                expect_same_bytes(encode_peer_reply(read), wire::encode_response(expected));
            }};
}

std::string exchange_body(const PeerSyncRequest& request) {
    return wire::encode_request(PeerSyncCall{kPeer, request}).body;
}

OutboundBody decode_exchange(const std::string& body) {
    return PeerSyncCall{kPeer, wire::parse_peer_sync_request(body)};
}
OutboundBody decode_promise(const std::string& body) {
    return LeaseExtensionCall{kPeer, wire::parse_lease_extension_request(body)};
}
OutboundBody decode_cancelled(const std::string& body) {
    return CancellationCall{kPeer, wire::parse_cancellations(body)};
}
OutboundBody decode_standing(const std::string& body) {
    return QuotaStatusCall{wire::parse_quota_status_query(body)};
}

std::vector<WireForm> exchange_forms() {
    return {
        call_form("exchange/call_minimal", PeerSyncCall{kPeer, PeerSyncRequest{}}, decode_exchange),
        call_form("exchange/call_full", PeerSyncCall{kPeer, full_exchange()}, decode_exchange),
        foreign_call_form("exchange/call_older", older_exchange(),
                          PeerSyncCall{kPeer, older_exchange_expected()}, decode_exchange),
        foreign_call_form("exchange/call_newer", newer_exchange(),
                          PeerSyncCall{kPeer, older_exchange_expected()}, decode_exchange),
        foreign_call_form("exchange/call_numbers_too_high", exchange_body(exchange_out_of_range(7)),
                          PeerSyncCall{kPeer, exchange_in_range(1)}, decode_exchange),
        foreign_call_form("exchange/call_capacity_too_low", exchange_body(exchange_out_of_range(0)),
                          PeerSyncCall{kPeer, exchange_in_range(0.01)}, decode_exchange),
        reply_form("exchange/reply_minimal", PeerSyncCall{}, PeerSyncResponse{}),
        reply_form("exchange/reply_clean_and_full", PeerSyncCall{},
                   clean_and_full_exchange_reply()),
        reply_form("exchange/reply_full", PeerSyncCall{}, full_exchange_reply()),
        foreign_reply_form("exchange/reply_older", PeerSyncCall{}, older_exchange_reply(),
                           older_exchange_reply_expected()),
    };
}

std::vector<WireForm> promise_forms() {
    return {
        call_form("promise/call_minimal", LeaseExtensionCall{kPeer, LeaseExtensionRequest{}},
                  decode_promise),
        call_form("promise/call_full",
                  LeaseExtensionCall{kPeer, {3, kLargeTerm, 11.05, 4.5, 70000}}, decode_promise),
        foreign_call_form("promise/call_older", older_promise_ask(),
                          LeaseExtensionCall{kPeer, {3, 77, 11.5, 4.5, 0}}, decode_promise),
        foreign_call_form(
            "promise/call_partition_too_high",
            wire::encode_request(LeaseExtensionCall{kPeer, {1 << 30, 1, 2, 3, 4}}).body,
            LeaseExtensionCall{kPeer, {1 << 20, 1, 2, 3, 4}}, decode_promise),
        reply_form("promise/reply_minimal", LeaseExtensionCall{}, LeaseExtensionResponse{}),
        reply_form("promise/reply_given", LeaseExtensionCall{},
                   LeaseExtensionResponse{false, true, {}, {}}),
        reply_form("promise/reply_full", LeaseExtensionCall{}, full_promise_reply()),
        foreign_reply_form("promise/reply_older", LeaseExtensionCall{}, older_promise_reply(),
                           LeaseExtensionResponse{false, true, {"req-1"}, {}}),
        // A team whose record cannot be read is told as one that is given nothing.
        reply_form("promise/reply_unreadable_team", LeaseExtensionCall{},
                   LeaseExtensionResponse{true, true, {}, {{"red", {}, 5}}}),
    };
}

std::vector<WireForm> notice_forms() {
    const QuotaStatus full{90, 1.5, {"red", 1.5, 2.5, 3.5, 4.5}, 88, 7.25, true};
    return {
        call_form("cancelled/call_minimal", CancellationCall{kPeer, {}}, decode_cancelled),
        call_form("cancelled/call_full", CancellationCall{kPeer, {"req-1", "req-000412"}},
                  decode_cancelled),
        call_form("standing/call", QuotaStatusCall{"red"}, decode_standing),
        reply_form("standing/reply_minimal", QuotaStatusCall{}, QuotaStatus{}),
        reply_form("standing/reply_full", QuotaStatusCall{}, full),
    };
}

TEST(WireFormat, CallsToPeersGoToTheNodeNamed) {
    for (const OutboundBody& call :
         {OutboundBody(PeerSyncCall{kPeer, {}}), OutboundBody(LeaseExtensionCall{kPeer, {}}),
          OutboundBody(CancellationCall{kPeer, {}})}) {
        wire::HttpRequest http = wire::encode_request(call);
        EXPECT_EQ(http.service, wire::Service::peer);
        EXPECT_EQ(http.endpoint, kPeer);
        EXPECT_EQ(http.wait_s, 0);
    }
    EXPECT_EQ(wire::encode_request(QuotaStatusCall{"red"}).service, wire::Service::peer);
    EXPECT_EQ(wire::encode_request(QuotaStatusCall{"red"}).endpoint, "");
}

// All that a cancel notice's answer says is its status, whatever the body is.
TEST(WireFormat, TheAnswerToACancelNoticeIsItsStatus) {
    std::string body = wire::encode_response(TextBody{"taken in"});
    EXPECT_EQ(wire::decode_response(1, CancellationCall{}, 200, body).status, 200);
    EXPECT_EQ(wire::decode_response(1, CancellationCall{}, 503, body).status, 503);
}

// A refusal carries an error text, which is not read.
TEST(WireFormat, ARefusalOfAPeerIsItsStatus) {
    std::string body = wire::encode_response(TextBody{"a later owner has called"});
    OutboundResponse response = wire::decode_response(1, PeerSyncCall{}, 409, body);
    EXPECT_EQ(response.status, 409);
    EXPECT_FALSE(response.peer_sync);
    EXPECT_EQ(wire::decode_response(1, LeaseExtensionCall{}, 421, body).status, 421);
    EXPECT_EQ(wire::decode_response(1, QuotaStatusCall{}, 404, body).status, 404);
}

} // namespace

std::vector<WireForm> peer_forms() {
    std::vector<WireForm> forms = exchange_forms();
    for (const auto& group : {promise_forms(), notice_forms()}) {
        forms.insert(forms.end(), group.begin(), group.end());
    }
    return forms;
}

} // namespace scheduler::test
