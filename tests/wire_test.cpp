// The codec: strict about what it takes, and its own inverse for what the state service keeps.
#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <msgpack.hpp>

#include "wire/codec.h"

namespace scheduler::test {
namespace {

// A map whose values are packed already, so that a test can put anything there.
using Object = std::map<std::string, std::string>;

template <class T> std::string v(const T& value) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

Object good() {
    return {{"uid", v(std::string("req-000412"))},
            {"bloom", v(std::string("train"))},
            {"grower", v(std::string("vision"))},
            {"habit", v(std::string("batch"))},
            {"rank", v(std::string("high"))},
            {"petals", v(16)},
            {"cpus", v(8.0)},
            {"cards", v(0.0)},
            {"ram_gb", v(64)},
            {"bulb", v(std::string("img-07"))},
            {"pull_gb", v(6.2)},
            {"one_zone", v(true)},
            {"spread", v(false)},
            {"cuttings", v(true)},
            {"bloom_s", v(240.0)},
            {"pot_s", v(30.0)},
            {"repot_s", v(4.0)},
            {"show_s", v(900.0)},
            {"unheard_of", v(1)}};
}

std::string pack(const Object& object) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> p(buffer);
    p.pack_map(static_cast<std::uint32_t>(object.size()));
    for (const auto& [name, value] : object) {
        p.pack(name);
        buffer.write(value.data(), value.size());
    }
    return {buffer.data(), buffer.size()};
}

TEST(Wire, TakesAGoodJob) {
    JobSpec spec = wire::parse_job(pack(good()));
    EXPECT_EQ(spec.id, "req-000412");
    EXPECT_EQ(spec.kind, JobKind::array);
    EXPECT_EQ(spec.priority, Priority::high);
    EXPECT_EQ(spec.tasks, 16u);
    EXPECT_EQ(spec.ram_gb, 64);
    EXPECT_FALSE(spec.types);
    EXPECT_EQ(spec.deadline_s, 900);
}

TEST(Wire, RefusesEachFieldThatIsMissingOrWrong) {
    for (const char* name :
         {"uid", "bloom", "grower", "habit", "rank", "petals", "cpus", "cards", "ram_gb", "bulb",
          "pull_gb", "one_zone", "spread", "cuttings", "bloom_s", "pot_s", "repot_s"}) {
        Object o = good();
        o.erase(name);
        EXPECT_THROW(wire::parse_job(pack(o)), wire::MessageError) << name;
    }
    std::vector<std::pair<const char*, std::string>> wrong{{"uid", v(std::string("job 1"))},
                                                           {"uid", v(std::string("req-"))},
                                                           {"uid", v(std::string("req-1/2"))},
                                                           {"petals", v(0)},
                                                           {"petals", v(-3)},
                                                           {"petals", v(100001)},
                                                           {"petals", v(2.5)},
                                                           {"cpus", v(-1.0)},
                                                           {"cpus", v(std::nan(""))},
                                                           {"cpus", v(INFINITY)},
                                                           {"cpus", v(std::string("2"))},
                                                           {"habit", v(std::string("x"))},
                                                           {"rank", v(std::string(""))},
                                                           {"cuttings", v(1)},
                                                           {"show_s", v(-5.0)},
                                                           {"benches", v(std::string("g"))},
                                                           {"house", v(3)}};
    for (const auto& [name, value] : wrong) {
        Object o = good();
        o[name] = value;
        EXPECT_THROW(wire::parse_job(pack(o)), wire::MessageError) << name;
    }
}

TEST(Wire, RefusesWhatIsNotOneMap) {
    for (const std::string& body :
         {std::string(""), std::string("{\"uid\":1}"), std::string("\x93\x01\x02\x03"),
          pack(good()) + "x", std::string(2000, '\x91')}) {
        EXPECT_THROW(wire::parse_job(body), wire::MessageError);
    }
}

TEST(Wire, RecordsSurviveTheStateService) {
    // What a transaction writes is what a read takes in.
    JobSpec spec = wire::parse_job(pack(good()));
    std::vector<bool> bits{true, false, false, true, true, false};
    InventoryRecord account{9, 8, 77, 3, {{{2, 5}, 8, true, true}}, {}, {{1ULL << 40, 2}}};
    account.tasks.push_back({{{"req-000412", 3}, 1ULL << 50, TaskStage::exited, ExitReason::done},
                             "i-1",
                             "a",
                             false,
                             true,
                             true});
    for (const auto& [key, record] : std::vector<std::pair<std::string, StoredRecord>>{
             {"job/req-000412", JobRecord{Outcome::cancelled, spec}},
             {"done/req-000412/0", ProgressRecord{bits}},
             {"part/0", PartitionRecord{"n1", true}},
             {"part/1/shares", ShardHoldersRecord{{1, 0, 4}}},
             {"account/1/2/0", account},
             {"config/team/red", QuotaRecord{{"", 16, 24.5, 1, 2}}},
             {"machine/0/i-1", MachineRecord{"10.0.0.9:9000", "g8", "a", true}}}) {
        auto http = wire::encode_request(StoreTransaction{{}, {{key, record, {}}}});
        auto handle = msgpack::unpack(http.body.data(), http.body.size());
        auto change = handle.get()
                          .as<std::map<std::string, msgpack::object>>()["then"]
                          .as<std::vector<std::map<std::string, msgpack::object>>>()[0];
        msgpack::sbuffer buffer;
        msgpack::pack(buffer, std::map<std::string, msgpack::object>{
                                  {"data", change["data"]}, {"graft", msgpack::object(7)}});
        OutboundResponse response =
            wire::decode_response(1, StoreGet{key}, 200, {buffer.data(), buffer.size()});
        ASSERT_EQ(response.status, 200) << key;
        EXPECT_EQ(response.entries[0].version, 7u);
        EXPECT_EQ(response.entries[0].record.index(), record.index()) << key;
        if (const auto* p = std::get_if<ProgressRecord>(&response.entries[0].record)) {
            for (std::size_t i = 0; i < bits.size(); ++i) {
                EXPECT_EQ(p->done[i], bits[i]);
            }
        }
        if (const auto* p = std::get_if<PartitionRecord>(&response.entries[0].record)) {
            EXPECT_TRUE(p->node == "n1" && p->supports_sharding);
        }
        if (const auto* a = std::get_if<InventoryRecord>(&response.entries[0].record)) {
            EXPECT_TRUE(a->for_term == 9 && a->term == 8 && a->version == 77 && a->pages == 3);
            ASSERT_TRUE(a->shards.size() == 1 && a->tasks.size() == 1 &&
                        a->pending_launches.size() == 1);
            EXPECT_TRUE(a->shards[0].shard == (ShardId{2, 5}) && a->shards[0].reconciled);
            EXPECT_EQ(a->tasks[0].status.task, (TaskId{"req-000412", 3}));
            EXPECT_EQ(a->tasks[0].status.attempt, 1ULL << 50);
            EXPECT_EQ(a->tasks[0].status.exit_reason, ExitReason::done);
            EXPECT_TRUE(a->tasks[0].draining && a->tasks[0].preemption_notice &&
                        !a->tasks[0].resources_unknown);
            EXPECT_EQ(a->pending_launches[0], (LaunchId{1ULL << 40, 2}));
        }
        if (const auto* t = std::get_if<QuotaRecord>(&response.entries[0].record)) {
            EXPECT_TRUE(t->quota.guaranteed_cpus == 16 && t->quota.max_cpus == 24.5 &&
                        t->quota.guaranteed_gpus == 1 && t->quota.max_gpus == 2);
        }
        if (const auto* h = std::get_if<ShardHoldersRecord>(&response.entries[0].record)) {
            EXPECT_EQ(h->holders, (std::vector<int>{1, 0, 4}));
        }
        if (const auto* j = std::get_if<JobRecord>(&response.entries[0].record)) {
            EXPECT_EQ(j->outcome, Outcome::cancelled);
            EXPECT_EQ(j->spec->image, "img-07");
        }
    }
}

TEST(Wire, AnUnreadableAnswerCountsAsNone) {
    EXPECT_EQ(wire::decode_response(1, StoreGet{"job/req-1"}, 200, "junk").status, 0);
    EXPECT_EQ(wire::decode_response(1, ListInstanceTypes{}, 200, "\x80").status, 0);
    EXPECT_EQ(wire::decode_response(1, StoreTransaction{}, 503, "junk").status, 503);
}

PeerSyncRequest asks_for_a_gang() {
    PeerSyncRequest request;
    request.term = 5;
    SlotRequest wanted;
    wanted.job = "req-1";
    wanted.kind = JobKind::gang;
    wanted.attempt = 77;
    wanted.gang_members = {0, 2};
    wanted.count = 2;
    wanted.gang_size = 3;
    wanted.gpus = 2;
    wanted.one_zone = true;
    wanted.preempt = true;
    request.slot_requests.push_back(wanted);
    request.commands.push_back({RemoteTaskCommand::Type::stop, "i-1", {77, 2}, 4.5, JobKind::gang});
    request.demand.zone_bound_slots["a"] = 6;
    return request;
}

TEST(Wire, WhatIsAskedForAGangComesThrough) {
    PeerSyncRequest request = wire::parse_peer_sync_request(
        wire::encode_request(PeerSyncCall{"n1", asks_for_a_gang()}).body);
    ASSERT_EQ(request.slot_requests.size(), 1u);
    EXPECT_EQ(request.slot_requests[0].attempt, 77u);
    EXPECT_EQ(request.slot_requests[0].gang_members, (std::vector<std::uint32_t>{0, 2}));
    EXPECT_EQ(request.slot_requests[0].gang_size, 3u);
    EXPECT_TRUE(request.slot_requests[0].one_zone && request.slot_requests[0].preempt &&
                !request.slot_requests[0].accepts_partial);
    ASSERT_EQ(request.commands.size(), 1u);
    EXPECT_EQ(request.commands[0].launch, (LaunchId{77, 2}));
    EXPECT_EQ(request.commands[0].grace_s, 4.5);
    EXPECT_EQ(request.demand.zone_bound_slots.at("a"), 6);
}

TEST(Wire, CancelledJobsComeThrough) {
    wire::HttpRequest call = wire::encode_request(CancellationCall{"n1", {"req-1", "req-2"}});
    EXPECT_EQ(call.service, wire::Service::peer);
    EXPECT_EQ(call.endpoint, "n1");
    EXPECT_EQ(wire::parse_cancellations(call.body), (std::vector<std::string>{"req-1", "req-2"}));
    EXPECT_EQ(wire::decode_response(1, CancellationCall{}, 200,
                                    wire::encode_response(TextBody{"taken in"}))
                  .status,
              200);
    EXPECT_THROW(wire::parse_cancellations("\x80"), wire::MessageError);
    EXPECT_THROW(wire::parse_cancellations("\x81\xa4jobs\x01"), wire::MessageError);
}

TEST(Wire, PromisesComeThrough) {
    LeaseExtensionRequest request = wire::parse_lease_extension_request(
        wire::encode_request(LeaseExtensionCall{"n1", {3, 77, 11.05, 4.5, 99}}).body);
    EXPECT_EQ(request.partition, 3);
    EXPECT_EQ(request.term, 77u);
    EXPECT_EQ(request.duration_s, 11.05);
    EXPECT_EQ(request.cancellations_age_s, 4.5);
    EXPECT_EQ(request.quota_revision, 99u);
    std::string body = wire::encode_response(LeaseExtensionResponse{
        true, false, {"req-1", "req-2"}, {{"red", TeamQuota{"red", 1, 2, 3, 4}, 88}}});
    OutboundResponse response = wire::decode_response(1, LeaseExtensionCall{}, 200, body);
    ASSERT_TRUE(response.lease_extension);
    EXPECT_TRUE(response.lease_extension->store_reachable);
    EXPECT_FALSE(response.lease_extension->granted);
    EXPECT_EQ(response.lease_extension->cancelled_jobs.size(), 2u);
    ASSERT_EQ(response.lease_extension->quota_changes.size(), 1u);
    EXPECT_EQ(response.lease_extension->quota_changes[0].team, "red");
    EXPECT_EQ(response.lease_extension->quota_changes[0].revision, 88u);
    EXPECT_EQ(response.lease_extension->quota_changes[0].quota->max_gpus, 4);
    // A node of the version before says nothing of teams, nor asks for any.
    OutboundResponse older = wire::decode_response(1, LeaseExtensionCall{}, 200,
                                                   "\x83\xa7reaches\xc3\xa5given\xc2\xa9"
                                                   "cancelled\x90");
    ASSERT_TRUE(older.lease_extension);
    EXPECT_TRUE(older.lease_extension->quota_changes.empty());
    EXPECT_EQ(wire::decode_response(1, LeaseExtensionCall{}, 200, "junk").status, 0);
    EXPECT_THROW(wire::parse_lease_extension_request("\x80"), wire::MessageError);
}

TEST(Wire, HowATeamStandsComesThrough) {
    QuotaStatus standing{90, 1.5, {"red", 1, 2, 3, 4}, 88, 7.25, true};
    OutboundResponse response =
        wire::decode_response(1, QuotaStatusCall{"red"}, 200, wire::encode_response(standing));
    ASSERT_TRUE(response.quota_status);
    const QuotaStatus& s = *response.quota_status;
    EXPECT_TRUE(s.revision == 90 && s.age_s == 1.5 && s.effective_revision == 88 &&
                s.effective_for_s == 7.25 && s.blocked && s.quota.name == "red" &&
                s.quota.max_cpus == 2 && s.quota.guaranteed_gpus == 3);
    EXPECT_EQ(wire::parse_quota_status_query(wire::encode_request(QuotaStatusCall{"red"}).body),
              "red");
}

TEST(Wire, ATeamsRecordOfAnUnknownFormatOrWithANumberThatIsNoneIsUnreadable) {
    auto read = [](std::uint64_t format, double cpus) {
        std::map<std::string, std::string> data{{"format", v(format)},
                                                {"cpus", v(cpus)},
                                                {"cpus_max", v(8.0)},
                                                {"gpus", v(0.0)},
                                                {"gpus_max", v(0.0)}};
        msgpack::sbuffer buffer;
        msgpack::packer<msgpack::sbuffer> p(buffer);
        p.pack_map(2);
        p.pack(std::string("graft"));
        p.pack(7);
        p.pack(std::string("data"));
        p.pack_map(static_cast<std::uint32_t>(data.size()));
        for (const auto& [name, value] : data) {
            p.pack(name);
            buffer.write(value.data(), value.size());
        }
        OutboundResponse response = wire::decode_response(1, StoreGet{"config/team/red"}, 200,
                                                          {buffer.data(), buffer.size()});
        return response.entries.size() == 1 &&
               std::holds_alternative<QuotaRecord>(response.entries[0].record);
    };
    EXPECT_TRUE(read(1, 4));
    EXPECT_FALSE(read(2, 4));
    EXPECT_FALSE(read(1, -4));
    EXPECT_FALSE(read(1, NAN));
}

// What the version before says of shares is nothing, and what it does not know it ignores.
TEST(Wire, SharesComeThroughAndMayBeMissing) {
    PeerSyncRequest request = asks_for_a_gang();
    request.transfers = {{{3, 7}, 1000000007, 55}};
    request.capacity = {320, 64, 0.25, true};
    request.sequence = 4;
    PeerSyncRequest got =
        wire::parse_peer_sync_request(wire::encode_request(PeerSyncCall{"n1", request}).body);
    ASSERT_EQ(got.transfers.size(), 1u);
    EXPECT_EQ(got.transfers[0].shard, (ShardId{3, 7}));
    EXPECT_EQ(got.transfers[0].revision, 1000000007u);
    EXPECT_EQ(got.transfers[0].term, 55u);
    EXPECT_EQ(got.sequence, 4u);
    EXPECT_EQ(got.capacity.cpu_headroom, 0.25);
    EXPECT_TRUE(got.capacity.accepts_shards);
    PeerSyncResponse response;
    for (bool knows : {false, true}) {
        if (knows) {
            response.shards = {{{{0, 1}, 99, true, false}, {{4, 19}, 1ULL << 40, false, true}}};
        }
        std::string body = wire::encode_response(response);
        OutboundResponse decoded = wire::decode_response(1, PeerSyncCall{}, 200, body);
        ASSERT_TRUE(decoded.peer_sync);
        ASSERT_EQ(decoded.peer_sync->shards.has_value(), knows);
        if (knows) {
            const auto& shards = *decoded.peer_sync->shards;
            ASSERT_EQ(shards.size(), 2u);
            EXPECT_EQ(shards[0].shard, (ShardId{0, 1}));
            EXPECT_TRUE(shards[0].reconciled && !shards[0].complete);
            EXPECT_EQ(shards[1].term, 1ULL << 40);
            EXPECT_TRUE(!shards[1].reconciled && shards[1].complete);
        }
    }
}

TEST(Wire, AMapOfAnUnknownFormatIsUnreadable) {
    auto read = [](const std::string& data) {
        return wire::decode_response(1, StoreGet{"part/1/shares"}, 200,
                                     "\x82\xa4"
                                     "data" +
                                         data +
                                         "\xa5"
                                         "graft\x07");
    };
    std::string holders = "\xa7"
                          "holders\x92\x01";
    OutboundResponse good = read("\x82\xa6"
                                 "format\x01" +
                                 holders + "\x03");
    ASSERT_EQ(good.entries.size(), 1u);
    EXPECT_EQ(std::get<ShardHoldersRecord>(good.entries[0].record).holders,
              (std::vector<int>{1, 3}));
    for (const auto& bad : {"\x82\xa6"
                            "format\x02" +
                                holders + "\x03",
                            "\x82\xa6"
                            "format\x01" +
                                holders + "\xc3",
                            std::string("\x81\xa6"
                                        "format\x01")}) {
        OutboundResponse r = read(bad);
        ASSERT_EQ(r.entries.size(), 1u);
        EXPECT_TRUE(std::holds_alternative<UnreadableRecord>(r.entries[0].record));
    }
    // A part whose owner is of the version before.
    OutboundResponse partition = wire::decode_response(1, StoreGet{"part/1"}, 200,
                                                       "\x82\xa4"
                                                       "data\x81\xa4"
                                                       "node\xa2"
                                                       "n1\xa5"
                                                       "graft\x07");
    EXPECT_FALSE(std::get<PartitionRecord>(partition.entries.at(0).record).supports_sharding);
}

TEST(Wire, ARefusedTransactionSaysAtWhichRevision) {
    OutboundResponse response = wire::decode_response(1, StoreTransaction{}, 409,
                                                      "\x82\xa6"
                                                      "failed\x91\xa3"
                                                      "a/b\xa4"
                                                      "ring\xcd\x01\xaf");
    EXPECT_EQ(response.failed_keys, (std::vector<std::string>{"a/b"}));
    EXPECT_EQ(response.revision, 431u);
}

TEST(Wire, RefusesAGangWhoseAttemptAndMembersDoNotGoTogether) {
    for (auto spoil : std::vector<std::function<void(SlotRequest&)>>{
             [](SlotRequest& request) { request.attempt = 0; },
             [](SlotRequest& request) { request.gang_members.pop_back(); },
             [](SlotRequest& request) { request.kind = JobKind::array; },
             [](SlotRequest& request) { request.gang_members[0] = 100000; }}) {
        PeerSyncRequest request = asks_for_a_gang();
        spoil(request.slot_requests[0]);
        std::string body = wire::encode_request(PeerSyncCall{"n1", request}).body;
        EXPECT_THROW(wire::parse_peer_sync_request(body), wire::MessageError);
    }
}

} // namespace
} // namespace scheduler::test
