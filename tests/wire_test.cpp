// Tests of the codec: it rejects malformed messages, and decoding inverts encoding for stored
// records and peer messages.
#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <msgpack.hpp>

#include "wire/codec.h"

namespace scheduler::test {
namespace {

// A MessagePack map whose values are already packed, so that a test can set a field to any type.
using PackedMap = std::map<std::string, std::string>;

template <class T> std::string packed(const T& value) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

PackedMap valid_submission() {
    return {{"uid", packed(std::string("req-000412"))},
            {"bloom", packed(std::string("train"))},
            {"grower", packed(std::string("vision"))},
            {"habit", packed(std::string("batch"))},
            {"rank", packed(std::string("high"))},
            {"petals", packed(16)},
            {"cpus", packed(8.0)},
            {"cards", packed(0.0)},
            {"ram_gb", packed(64)},
            {"bulb", packed(std::string("img-07"))},
            {"pull_gb", packed(6.2)},
            {"one_zone", packed(true)},
            {"spread", packed(false)},
            {"cuttings", packed(true)},
            {"bloom_s", packed(240.0)},
            {"pot_s", packed(30.0)},
            {"repot_s", packed(4.0)},
            {"show_s", packed(900.0)},
            {"unheard_of", packed(1)}};
}

std::string pack(const PackedMap& fields) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_map(static_cast<std::uint32_t>(fields.size()));
    for (const auto& [name, value] : fields) {
        packer.pack(name);
        buffer.write(value.data(), value.size());
    }
    return {buffer.data(), buffer.size()};
}

TEST(Wire, ParseJobAcceptsAValidSubmission) {
    JobSpec spec = wire::parse_job(pack(valid_submission()));
    EXPECT_EQ(spec.id, "req-000412");
    EXPECT_EQ(spec.kind, JobKind::array);
    EXPECT_EQ(spec.priority, Priority::high);
    EXPECT_EQ(spec.tasks, 16u);
    EXPECT_EQ(spec.ram_gb, 64);
    EXPECT_FALSE(spec.types);
    EXPECT_EQ(spec.deadline_s, 900);
}

TEST(Wire, ParseJobRejectsEachMissingOrInvalidField) {
    for (const char* name :
         {"uid", "bloom", "grower", "habit", "rank", "petals", "cpus", "cards", "ram_gb", "bulb",
          "pull_gb", "one_zone", "spread", "cuttings", "bloom_s", "pot_s", "repot_s"}) {
        PackedMap fields = valid_submission();
        fields.erase(name);
        EXPECT_THROW(wire::parse_job(pack(fields)), wire::MessageError) << name;
    }
    std::vector<std::pair<const char*, std::string>> wrong{{"uid", packed(std::string("job 1"))},
                                                           {"uid", packed(std::string("req-"))},
                                                           {"uid", packed(std::string("req-1/2"))},
                                                           {"petals", packed(0)},
                                                           {"petals", packed(-3)},
                                                           {"petals", packed(100001)},
                                                           {"petals", packed(2.5)},
                                                           {"cpus", packed(-1.0)},
                                                           {"cpus", packed(std::nan(""))},
                                                           {"cpus", packed(INFINITY)},
                                                           {"cpus", packed(std::string("2"))},
                                                           {"habit", packed(std::string("x"))},
                                                           {"rank", packed(std::string(""))},
                                                           {"cuttings", packed(1)},
                                                           {"show_s", packed(-5.0)},
                                                           {"benches", packed(std::string("g"))},
                                                           {"house", packed(3)}};
    for (const auto& [name, value] : wrong) {
        PackedMap fields = valid_submission();
        fields[name] = value;
        EXPECT_THROW(wire::parse_job(pack(fields)), wire::MessageError) << name;
    }
}

TEST(Wire, ParseJobRejectsABodyThatIsNotASingleMap) {
    for (const std::string& body :
         {std::string(""), std::string("{\"uid\":1}"), std::string("\x93\x01\x02\x03"),
          pack(valid_submission()) + "x", std::string(2000, '\x91')}) {
        EXPECT_THROW(wire::parse_job(body), wire::MessageError);
    }
}

TEST(Wire, StoredRecordsSurviveEncodingAndDecoding) {
    // A record encoded in a transaction is decoded unchanged from a read of its key.
    JobSpec spec = wire::parse_job(pack(valid_submission()));
    std::vector<bool> bits{true, false, false, true, true, false};
    InventoryRecord inventory{9, 8, 77, 3, {{{2, 5}, 8, true, true}}, {}, {{1ULL << 40, 2}}};
    inventory.tasks.push_back({{{"req-000412", 3}, 1ULL << 50, TaskStage::exited, ExitReason::done},
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
             {"account/1/2/0", inventory},
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
        if (const auto* progress = std::get_if<ProgressRecord>(&response.entries[0].record)) {
            for (std::size_t i = 0; i < bits.size(); ++i) {
                EXPECT_EQ(progress->done[i], bits[i]);
            }
        }
        if (const auto* partition = std::get_if<PartitionRecord>(&response.entries[0].record)) {
            EXPECT_TRUE(partition->node == "n1" && partition->supports_sharding);
        }
        if (const auto* read = std::get_if<InventoryRecord>(&response.entries[0].record)) {
            EXPECT_TRUE(read->for_term == 9 && read->term == 8 && read->version == 77 &&
                        read->pages == 3);
            ASSERT_TRUE(read->shards.size() == 1 && read->tasks.size() == 1 &&
                        read->pending_launches.size() == 1);
            EXPECT_TRUE(read->shards[0].shard == (ShardId{2, 5}) && read->shards[0].reconciled);
            EXPECT_EQ(read->tasks[0].status.task, (TaskId{"req-000412", 3}));
            EXPECT_EQ(read->tasks[0].status.attempt, 1ULL << 50);
            EXPECT_EQ(read->tasks[0].status.exit_reason, ExitReason::done);
            EXPECT_TRUE(read->tasks[0].draining && read->tasks[0].preemption_notice &&
                        !read->tasks[0].resources_unknown);
            EXPECT_EQ(read->pending_launches[0], (LaunchId{1ULL << 40, 2}));
        }
        if (const auto* quota = std::get_if<QuotaRecord>(&response.entries[0].record)) {
            EXPECT_TRUE(quota->quota.guaranteed_cpus == 16 && quota->quota.max_cpus == 24.5 &&
                        quota->quota.guaranteed_gpus == 1 && quota->quota.max_gpus == 2);
        }
        if (const auto* shards = std::get_if<ShardHoldersRecord>(&response.entries[0].record)) {
            EXPECT_EQ(shards->holders, (std::vector<int>{1, 0, 4}));
        }
        if (const auto* job = std::get_if<JobRecord>(&response.entries[0].record)) {
            EXPECT_EQ(job->outcome, Outcome::cancelled);
            EXPECT_EQ(job->spec->image, "img-07");
        }
    }
}

TEST(Wire, AnUnreadableResponseDecodesToStatusZero) {
    EXPECT_EQ(wire::decode_response(1, StoreGet{"job/req-1"}, 200, "junk").status, 0);
    EXPECT_EQ(wire::decode_response(1, ListInstanceTypes{}, 200, "\x80").status, 0);
    EXPECT_EQ(wire::decode_response(1, StoreTransaction{}, 503, "junk").status, 503);
}

PeerSyncRequest gang_sync_request() {
    PeerSyncRequest request;
    request.term = 5;
    SlotRequest slot_request;
    slot_request.job = "req-1";
    slot_request.kind = JobKind::gang;
    slot_request.attempt = 77;
    slot_request.gang_members = {0, 2};
    slot_request.count = 2;
    slot_request.gang_size = 3;
    slot_request.gpus = 2;
    slot_request.one_zone = true;
    slot_request.preempt = true;
    request.slot_requests.push_back(slot_request);
    request.commands.push_back({RemoteTaskCommand::Type::stop, "i-1", {77, 2}, 4.5, JobKind::gang});
    request.demand.zone_bound_slots["a"] = 6;
    return request;
}

TEST(Wire, AGangSlotRequestSurvivesEncodingAndDecoding) {
    PeerSyncRequest request = wire::parse_peer_sync_request(
        wire::encode_request(PeerSyncCall{"n1", gang_sync_request()}).body);
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

TEST(Wire, ACancellationBroadcastSurvivesEncodingAndDecoding) {
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

TEST(Wire, LeaseExtensionsSurviveEncodingAndDecoding) {
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
    // A controller of the previous version neither sends nor requests team quotas.
    OutboundResponse from_previous_version =
        wire::decode_response(1, LeaseExtensionCall{}, 200,
                              "\x83\xa7reaches\xc3\xa5given\xc2\xa9"
                              "cancelled\x90");
    ASSERT_TRUE(from_previous_version.lease_extension);
    EXPECT_TRUE(from_previous_version.lease_extension->quota_changes.empty());
    EXPECT_EQ(wire::decode_response(1, LeaseExtensionCall{}, 200, "junk").status, 0);
    EXPECT_THROW(wire::parse_lease_extension_request("\x80"), wire::MessageError);
}

TEST(Wire, QuotaStatusSurvivesEncodingAndDecoding) {
    QuotaStatus sent{90, 1.5, {"red", 1, 2, 3, 4}, 88, 7.25, true};
    OutboundResponse response =
        wire::decode_response(1, QuotaStatusCall{"red"}, 200, wire::encode_response(sent));
    ASSERT_TRUE(response.quota_status);
    const QuotaStatus& status = *response.quota_status;
    EXPECT_TRUE(status.revision == 90 && status.age_s == 1.5 && status.effective_revision == 88 &&
                status.effective_for_s == 7.25 && status.blocked && status.quota.name == "red" &&
                status.quota.max_cpus == 2 && status.quota.guaranteed_gpus == 3);
    EXPECT_EQ(wire::parse_quota_status_query(wire::encode_request(QuotaStatusCall{"red"}).body),
              "red");
}

TEST(Wire, AQuotaRecordOfAnUnknownFormatOrWithAnInvalidAmountIsUnreadable) {
    auto read = [](std::uint64_t format, double cpus) {
        std::map<std::string, std::string> data{{"format", packed(format)},
                                                {"cpus", packed(cpus)},
                                                {"cpus_max", packed(8.0)},
                                                {"gpus", packed(0.0)},
                                                {"gpus_max", packed(0.0)}};
        msgpack::sbuffer buffer;
        msgpack::packer<msgpack::sbuffer> packer(buffer);
        packer.pack_map(2);
        packer.pack(std::string("graft"));
        packer.pack(7);
        packer.pack(std::string("data"));
        packer.pack_map(static_cast<std::uint32_t>(data.size()));
        for (const auto& [name, value] : data) {
            packer.pack(name);
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

// The previous version sends no shards and ignores unknown fields, so a response may lack them.
TEST(Wire, ShardsSurviveEncodingAndDecodingAndAreOptional) {
    PeerSyncRequest request = gang_sync_request();
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
    for (bool has_shards : {false, true}) {
        if (has_shards) {
            response.shards = {{{{0, 1}, 99, true, false}, {{4, 19}, 1ULL << 40, false, true}}};
        }
        std::string body = wire::encode_response(response);
        OutboundResponse decoded = wire::decode_response(1, PeerSyncCall{}, 200, body);
        ASSERT_TRUE(decoded.peer_sync);
        ASSERT_EQ(decoded.peer_sync->shards.has_value(), has_shards);
        if (has_shards) {
            const auto& shards = *decoded.peer_sync->shards;
            ASSERT_EQ(shards.size(), 2u);
            EXPECT_EQ(shards[0].shard, (ShardId{0, 1}));
            EXPECT_TRUE(shards[0].reconciled && !shards[0].complete);
            EXPECT_EQ(shards[1].term, 1ULL << 40);
            EXPECT_TRUE(!shards[1].reconciled && shards[1].complete);
        }
    }
}

TEST(Wire, AShardHoldersRecordOfAnUnknownFormatIsUnreadable) {
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
        OutboundResponse response = read(bad);
        ASSERT_EQ(response.entries.size(), 1u);
        EXPECT_TRUE(std::holds_alternative<UnreadableRecord>(response.entries[0].record));
    }
    // The partition leader runs the previous version, which does not write `knows_shares`.
    OutboundResponse partition = wire::decode_response(1, StoreGet{"part/1"}, 200,
                                                       "\x82\xa4"
                                                       "data\x81\xa4"
                                                       "node\xa2"
                                                       "n1\xa5"
                                                       "graft\x07");
    EXPECT_FALSE(std::get<PartitionRecord>(partition.entries.at(0).record).supports_sharding);
}

TEST(Wire, ARejectedTransactionReportsTheStoreRevision) {
    OutboundResponse response = wire::decode_response(1, StoreTransaction{}, 409,
                                                      "\x82\xa6"
                                                      "failed\x91\xa3"
                                                      "a/b\xa4"
                                                      "ring\xcd\x01\xaf");
    EXPECT_EQ(response.failed_keys, (std::vector<std::string>{"a/b"}));
    EXPECT_EQ(response.revision, 431u);
}

TEST(Wire, AGangSlotRequestWithInconsistentAttemptAndMembersIsRejected) {
    for (auto corrupt : std::vector<std::function<void(SlotRequest&)>>{
             [](SlotRequest& request) { request.attempt = 0; },
             [](SlotRequest& request) { request.gang_members.pop_back(); },
             [](SlotRequest& request) { request.kind = JobKind::array; },
             [](SlotRequest& request) { request.gang_members[0] = 100000; }}) {
        PeerSyncRequest request = gang_sync_request();
        corrupt(request.slot_requests[0]);
        std::string body = wire::encode_request(PeerSyncCall{"n1", request}).body;
        EXPECT_THROW(wire::parse_peer_sync_request(body), wire::MessageError);
    }
}

} // namespace
} // namespace scheduler::test
