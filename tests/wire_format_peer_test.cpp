// Forms of the messages between controllers; see wire_format.h.
#include "wire_format.h"

#include <gtest/gtest.h>

namespace orchidlanding::test {
namespace {

constexpr char kPeer[] = "n1";
constexpr std::uint64_t kLargeTerm = 1ULL << 40;

Want gang_want() {
    Want want;
    want.job = "req-000412";
    want.kind = JobKind::gang;
    want.attempt = kLargeTerm + 77;
    want.members = {0, 2, 70000};
    want.gang_tasks = 70001;
    want.count = 3;
    want.cpus = 8.5;
    want.gpus = 2.25;
    want.ram_gb = 64.5;
    want.image = "img-07";
    want.image_gb = 6.2;
    want.types = {"g8", "c16"};
    want.zone = "east";
    want.priority = Priority::production;
    want.age_s = 12.5;
    want.due_s = 99.5;
    return want;
}

Want service_want() {
    Want want;
    want.job = "req-2";
    want.kind = JobKind::service;
    want.count = 5;
    want.types.emplace();
    want.priority = Priority::low;
    return want;
}

Want minimal_want(Priority priority) {
    Want want;
    want.priority = priority;
    return want;
}

// Wants that differ in every flag: seen over all of them, no flag is set as another one is.
std::vector<Want> wants_with_each_flag() {
    std::vector<Want> wants{gang_want(), service_want(), minimal_want(Priority::high),
                            minimal_want(Priority::normal)};
    for (std::size_t i = 0; i < wants.size(); ++i) {
        auto set_in_this_want = [i](int flag_number) { return ((flag_number >> i) & 1) != 0; };
        Want& want = wants[i];
        want.one_zone = set_in_this_want(1);
        want.spread = set_in_this_want(2);
        want.preempt = set_in_this_want(3);
        want.partial = set_in_this_want(4);
        want.spot = set_in_this_want(5);
        want.borrows = set_in_this_want(6);
        want.longest = set_in_this_want(7);
        want.kept = set_in_this_want(8);
    }
    return wants;
}

Told full_told() {
    Told told;
    told.what = Told::What::shape;
    told.machine = "i-1";
    told.id = {kLargeTerm + 1, 2};
    told.grace_s = 4.5;
    told.kind = JobKind::gang;
    told.cpus = 1.5;
    told.gpus = 2.5;
    told.ram_gb = 3.5;
    told.image = "img-07";
    told.image_gb = 5.5;
    return told;
}

Told minimal_told(Told::What what, JobKind kind) {
    Told told;
    told.what = what;
    told.kind = kind;
    return told;
}

Demand full_demand() { return {10.5, 20.5, 3000.25, {{"east", 6.5}, {"west", 7.5}}}; }

Exchange full_exchange() {
    Exchange exchange;
    exchange.from = 3;
    exchange.term = kLargeTerm + 5;
    exchange.number = 400;
    exchange.to = 127;
    exchange.wants = wants_with_each_flag();
    exchange.most = 70000;
    exchange.told = {full_told(), minimal_told(Told::What::stop, JobKind::array),
                     minimal_told(Told::What::clear, JobKind::service),
                     minimal_told(Told::What::back, JobKind::array)};
    exchange.bought = {{"i-2", "g8", "east", true}, {"i-3", "c16", "west", false}};
    exchange.given = {{{3, 7}, 1000000007, 55}, {{0, 300}, 1, kLargeTerm}};
    exchange.seen_term = 65536;
    exchange.seen = 255;
    exchange.demand = full_demand();
    exchange.fleet = {320.5, 64.5, 0.25, true};
    return exchange;
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

Exchange older_exchange_expected() {
    Exchange exchange;
    exchange.from = 1;
    exchange.term = 9;
    exchange.to = 2;
    exchange.demand = {1, 2.5, 3.5, {}};
    exchange.fleet = {4.5, 5.5, 1, false};
    return exchange;
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
Exchange exchange_out_of_range(double capacity) {
    Exchange exchange;
    exchange.fleet.capacity = capacity;
    exchange.given = {{{130, 100001}, 5, 6}};
    return exchange;
}

Exchange exchange_in_range(double capacity) {
    Exchange exchange;
    exchange.fleet.capacity = capacity;
    exchange.given = {{{2, 1}, 5, 6}};
    return exchange;
}

HeldTask full_held() {
    HeldTask held;
    held.listed.task = {"req-000412", 69999};
    held.listed.attempt = kLargeTerm + 3;
    held.listed.stage = TaskStage::exited;
    held.listed.why = ExitWhy::done;
    held.machine = "i-1";
    held.zone = "east";
    held.shape_unknown = true;
    held.draining = false;
    held.notice = true;
    return held;
}

// Each stage, each reason to exit, and each combination of the flags.
std::vector<HeldTask> all_held() {
    std::vector<HeldTask> all{full_held()};
    constexpr int kReasons = static_cast<int>(ExitWhy::unknown) + 1;
    constexpr int kStages = static_cast<int>(TaskStage::exited) + 1;
    for (int i = 0; i < kReasons; ++i) {
        HeldTask held;
        held.listed.task = {"req-1", static_cast<std::uint32_t>(i)};
        held.listed.stage = static_cast<TaskStage>(i % kStages);
        held.listed.why = static_cast<ExitWhy>(i);
        held.shape_unknown = (i & 1) != 0;
        held.draining = (i & 2) != 0;
        held.notice = (i & 4) != 0;
        all.push_back(held);
    }
    return all;
}

Grant full_grant() {
    Grant grant;
    grant.id = {kLargeTerm + 4, 6};
    grant.job = "req-000412";
    grant.machine = "i-1";
    grant.endpoint = "10.0.0.9:9000";
    grant.session = 1764000000000;
    grant.token = 300;
    grant.type = "g8";
    grant.zone = "east";
    grant.spot = true;
    grant.cpus = 8.5;
    grant.gpus = 2.5;
    grant.ram_gb = 64.5;
    return grant;
}

ExchangeReply full_exchange_reply() {
    ExchangeReply reply;
    reply.term = kLargeTerm + 6;
    reply.settled = true;
    reply.clean = false;
    reply.full = true;
    reply.shares = {{{{0, 1}, 99, true, false},
                     {{4, 19}, kLargeTerm, false, true},
                     {{5, 20}, 1, true, true},
                     {{6, 21}, 2, false, false}}};
    reply.version = 70000;
    reply.machines = {"i-1", "i-2"};
    reply.demand = full_demand();
    reply.fleet = {320.5, 64.5, 0.25, true};
    reply.held = all_held();
    reply.open = {{kLargeTerm + 7, 1}, {2, 0}};
    reply.grants = {full_grant(), Grant{}};
    return reply;
}

// With the full reply, no flag is set as another one is.
ExchangeReply clean_and_full_exchange_reply() {
    ExchangeReply reply;
    reply.clean = true;
    reply.full = true;
    reply.shares.emplace();
    return reply;
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

ExchangeReply older_exchange_reply_expected() {
    ExchangeReply reply;
    reply.term = 9;
    reply.settled = true;
    reply.version = 8;
    reply.machines = {"i-1"};
    reply.fleet = {4.5, 5.5, 1, false};
    return reply;
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

PromiseReply full_promise_reply() {
    return {true,
            false,
            {"req-1", "req-2"},
            {{"red", TeamFacts{"red", 1.5, 2.5, 3.5, 4.5}, 70000},
             {"blue", TeamFacts{"blue", 5, 6, 7, 8}, kLargeTerm}}};
}

// A call whose receiver is a controller: decoded from its body and called again, it is the same.
WireForm call_form(const std::string& name, const CallBody& call,
                   const std::function<CallBody(const std::string& body)>& decode) {
    return {"peer/" + name, [=] { return request_bytes(call); },
            [=](const std::string& pinned) {
                expect_same_bytes(request_bytes(decode(body_of(pinned))), pinned);
            }};
}

// A call of another version: decoded, it is the call expected.
WireForm foreign_call_form(const std::string& name, const std::string& body,
                           const CallBody& expected,
                           const std::function<CallBody(const std::string& body)>& decode) {
    return {"peer/" + name, [=] { return body; },
            [=](const std::string& pinned) {
                expect_same_bytes(request_bytes(decode(pinned)), request_bytes(expected));
            }};
}

std::string encode_peer_reply(const CallReply& reply) {
    if (reply.exchange) {
        return wire::encode_answer(*reply.exchange);
    }
    if (reply.promise) {
        return wire::encode_answer(*reply.promise);
    }
    return reply.standing ? wire::encode_answer(*reply.standing) : "none";
}

WireForm reply_form(const std::string& name, const CallBody& call, const AnswerBody& reply) {
    return {"peer/" + name, [=] { return wire::encode_answer(reply); },
            [=](const std::string& pinned) {
                CallReply read = wire::decode_reply(1, call, 200, pinned);
                EXPECT_EQ(read.status, 200);
                expect_same_bytes(encode_peer_reply(read), pinned);
            }};
}

WireForm foreign_reply_form(const std::string& name, const CallBody& call, const std::string& bytes,
                            const AnswerBody& expected) {
    return {"peer/" + name, [=] { return bytes; },
            [=](const std::string& pinned) {
                CallReply read = wire::decode_reply(1, call, 200, pinned);
                EXPECT_EQ(read.status, 200);
                expect_same_bytes(encode_peer_reply(read), wire::encode_answer(expected));
            }};
}

std::string exchange_body(const Exchange& exchange) {
    return wire::encode_call(PeerCall{kPeer, exchange}).body;
}

CallBody decode_exchange(const std::string& body) {
    return PeerCall{kPeer, wire::parse_exchange(body)};
}
CallBody decode_promise(const std::string& body) {
    return PromiseCall{kPeer, wire::parse_promise_ask(body)};
}
CallBody decode_cancelled(const std::string& body) {
    return CancelledCall{kPeer, wire::parse_cancelled(body)};
}
CallBody decode_standing(const std::string& body) {
    return StandingCall{wire::parse_standing_ask(body)};
}

std::vector<WireForm> exchange_forms() {
    return {
        call_form("exchange/call_minimal", PeerCall{kPeer, Exchange{}}, decode_exchange),
        call_form("exchange/call_full", PeerCall{kPeer, full_exchange()}, decode_exchange),
        foreign_call_form("exchange/call_older", older_exchange(),
                          PeerCall{kPeer, older_exchange_expected()}, decode_exchange),
        foreign_call_form("exchange/call_newer", newer_exchange(),
                          PeerCall{kPeer, older_exchange_expected()}, decode_exchange),
        foreign_call_form("exchange/call_numbers_too_high", exchange_body(exchange_out_of_range(7)),
                          PeerCall{kPeer, exchange_in_range(1)}, decode_exchange),
        foreign_call_form("exchange/call_capacity_too_low", exchange_body(exchange_out_of_range(0)),
                          PeerCall{kPeer, exchange_in_range(0.01)}, decode_exchange),
        reply_form("exchange/reply_minimal", PeerCall{}, ExchangeReply{}),
        reply_form("exchange/reply_clean_and_full", PeerCall{}, clean_and_full_exchange_reply()),
        reply_form("exchange/reply_full", PeerCall{}, full_exchange_reply()),
        foreign_reply_form("exchange/reply_older", PeerCall{}, older_exchange_reply(),
                           older_exchange_reply_expected()),
    };
}

std::vector<WireForm> promise_forms() {
    return {
        call_form("promise/call_minimal", PromiseCall{kPeer, PromiseAsk{}}, decode_promise),
        call_form("promise/call_full", PromiseCall{kPeer, {3, kLargeTerm, 11.05, 4.5, 70000}},
                  decode_promise),
        foreign_call_form("promise/call_older", older_promise_ask(),
                          PromiseCall{kPeer, {3, 77, 11.5, 4.5, 0}}, decode_promise),
        foreign_call_form("promise/call_partition_too_high",
                          wire::encode_call(PromiseCall{kPeer, {1 << 30, 1, 2, 3, 4}}).body,
                          PromiseCall{kPeer, {1 << 20, 1, 2, 3, 4}}, decode_promise),
        reply_form("promise/reply_minimal", PromiseCall{}, PromiseReply{}),
        reply_form("promise/reply_given", PromiseCall{}, PromiseReply{false, true, {}, {}}),
        reply_form("promise/reply_full", PromiseCall{}, full_promise_reply()),
        foreign_reply_form("promise/reply_older", PromiseCall{}, older_promise_reply(),
                           PromiseReply{false, true, {"req-1"}, {}}),
        // A team whose record cannot be read is told as one that is given nothing.
        reply_form("promise/reply_unreadable_team", PromiseCall{},
                   PromiseReply{true, true, {}, {{"red", {}, 5}}}),
    };
}

std::vector<WireForm> notice_forms() {
    const TeamStanding full{90, 1.5, {"red", 1.5, 2.5, 3.5, 4.5}, 88, 7.25, true};
    return {
        call_form("cancelled/call_minimal", CancelledCall{kPeer, {}}, decode_cancelled),
        call_form("cancelled/call_full", CancelledCall{kPeer, {"req-1", "req-000412"}},
                  decode_cancelled),
        call_form("standing/call", StandingCall{"red"}, decode_standing),
        reply_form("standing/reply_minimal", StandingCall{}, TeamStanding{}),
        reply_form("standing/reply_full", StandingCall{}, full),
    };
}

TEST(WireFormat, CallsToPeersGoToTheNodeNamed) {
    for (const CallBody& call : {CallBody(PeerCall{kPeer, {}}), CallBody(PromiseCall{kPeer, {}}),
                                 CallBody(CancelledCall{kPeer, {}})}) {
        wire::HttpCall http = wire::encode_call(call);
        EXPECT_EQ(http.service, wire::Service::peer);
        EXPECT_EQ(http.endpoint, kPeer);
        EXPECT_EQ(http.wait_s, 0);
    }
    EXPECT_EQ(wire::encode_call(StandingCall{"red"}).service, wire::Service::peer);
    EXPECT_EQ(wire::encode_call(StandingCall{"red"}).endpoint, "");
}

// All that a cancel notice's answer says is its status, whatever the body is.
TEST(WireFormat, TheAnswerToACancelNoticeIsItsStatus) {
    std::string body = wire::encode_answer(Plain{"taken in"});
    EXPECT_EQ(wire::decode_reply(1, CancelledCall{}, 200, body).status, 200);
    EXPECT_EQ(wire::decode_reply(1, CancelledCall{}, 503, body).status, 503);
}

// A refusal carries an error text, which is not read.
TEST(WireFormat, ARefusalOfAPeerIsItsStatus) {
    std::string body = wire::encode_answer(Plain{"a later owner has called"});
    CallReply reply = wire::decode_reply(1, PeerCall{}, 409, body);
    EXPECT_EQ(reply.status, 409);
    EXPECT_FALSE(reply.exchange);
    EXPECT_EQ(wire::decode_reply(1, PromiseCall{}, 421, body).status, 421);
    EXPECT_EQ(wire::decode_reply(1, StandingCall{}, 404, body).status, 404);
}

} // namespace

std::vector<WireForm> peer_forms() {
    std::vector<WireForm> forms = exchange_forms();
    for (const auto& group : {promise_forms(), notice_forms()}) {
        forms.insert(forms.end(), group.begin(), group.end());
    }
    return forms;
}

} // namespace orchidlanding::test
