// Golden encodings of the requests to the key-value store and the cloud, and of their responses;
// see wire_format.h.
#include "wire_format.h"

#include <gtest/gtest.h>

namespace scheduler::test {
namespace {

using CheckResponse = std::function<void(const OutboundResponse&)>;

// A request, which only the store or the cloud decodes.
GoldenEncoding request_encoding(const std::string& name, const OutboundBody& request) {
    return {name, [=] { return request_bytes(request); }, nullptr};
}

// A response, which is only decoded here. `check` verifies the decoded value.
GoldenEncoding response_encoding(const std::string& name, const OutboundBody& request, int status,
                                 const std::string& bytes, const CheckResponse& check) {
    return {name, [=] { return bytes; },
            [=](const std::string& golden) {
                OutboundResponse response = wire::decode_response(9, request, status, golden);
                EXPECT_EQ(response.request_id, 9u);
                EXPECT_EQ(response.status, status);
                EXPECT_FALSE(response.never_sent);
                check(response);
            }};
}

void expect_no_data(const OutboundResponse& response) {
    EXPECT_EQ(response.revision, 0u);
    EXPECT_EQ(response.lease, 0u);
    EXPECT_FALSE(response.more);
    EXPECT_TRUE(response.entries.empty() && response.deleted.empty() &&
                response.failed_keys.empty());
    EXPECT_TRUE(response.instance_types.empty() && response.instances.empty() &&
                response.accepted_machines.empty());
    EXPECT_FALSE(response.heartbeat || response.peer_sync || response.lease_extension ||
                 response.quota_status);
}

void expect_partition(const KeyedRecord& item, const std::string& key, const std::string& node,
                      bool supports_sharding, std::uint64_t version) {
    EXPECT_EQ(item.key, key);
    EXPECT_EQ(item.version, version);
    ASSERT_TRUE(std::holds_alternative<PartitionRecord>(item.record));
    EXPECT_EQ(std::get<PartitionRecord>(item.record).node, node);
    EXPECT_EQ(std::get<PartitionRecord>(item.record).supports_sharding, supports_sharding);
}

std::string partition_data(const std::string& node, bool supports_sharding) {
    return packed_map({{"node", packed(node)}, {"knows_shares", packed(supports_sharding)}});
}

StoreTransaction full_txn() {
    return {{{"part/1", 1000000007}, {"job/req-1", 0}},
            {{"part/1", PartitionRecord{"n1", true}, 1ULL << 40},
             {"job/req-1", JobRecord{Outcome::done, {}}, {}},
             {"done/req-1/0", {}, {}}}};
}

std::vector<GoldenEncoding> store_request_encodings() {
    return {
        request_encoding("store/get", StoreGet{"part/1"}),
        request_encoding("store/get_escaped", StoreGet{"config/team/a b+\xc3\xa9%&=?_-."}),
        request_encoding("store/range_first", StoreRange{"job/", ""}),
        request_encoding("store/range_next", StoreRange{"config/team/", "config/team/a b"}),
        request_encoding("store/txn_empty", StoreTransaction{}),
        request_encoding("store/txn_full", full_txn()),
        request_encoding("store/grant_lease", StoreLeaseGrant{4.5}),
        // The duration is truncated to whole milliseconds.
        request_encoding("store/grant_lease_cut", StoreLeaseGrant{0.0019}),
        request_encoding("store/renew_lease", StoreLeaseRenewal{1ULL << 40}),
        request_encoding("store/watch", StoreWatch{"part/", 1000000007, 2.5}),
        request_encoding("store/watch_from_the_start", StoreWatch{"a b", 0, 0}),
    };
}

std::vector<GoldenEncoding> store_read_response_encodings() {
    std::string get = packed_map({{"data", partition_data("n1", true)}, {"graft", packed(70000)}});
    std::string pair = packed_map({{"key", packed("part/2")},
                                   {"data", partition_data("n2", false)},
                                   {"graft", packed(1ULL << 40)}});
    std::string range =
        packed_map({{"ring", packed(300)}, {"more", packed(true)}, {"pairs", packed_list({pair})}});
    std::string range_empty =
        packed_map({{"ring", packed(300)}, {"more", packed(false)}, {"pairs", packed_list({})}});
    std::string other = packed_map({{"data", packed("text")}, {"graft", packed(7)}});
    return {
        response_encoding("store/get_reply", StoreGet{"part/1"}, 200, get,
                          [](const OutboundResponse& response) {
                              ASSERT_EQ(response.entries.size(), 1u);
                              expect_partition(response.entries[0], "part/1", "n1", true, 70000);
                          }),
        response_encoding("store/get_reply_unreadable", StoreGet{"part/1"}, 200, other,
                          [](const OutboundResponse& response) {
                              ASSERT_EQ(response.entries.size(), 1u);
                              EXPECT_EQ(response.entries[0].version, 7u);
                              EXPECT_TRUE(std::holds_alternative<UnreadableRecord>(
                                  response.entries[0].record));
                          }),
        response_encoding("store/range_reply", StoreRange{}, 200, range,
                          [](const OutboundResponse& response) {
                              EXPECT_EQ(response.revision, 300u);
                              EXPECT_TRUE(response.more);
                              ASSERT_EQ(response.entries.size(), 1u);
                              expect_partition(response.entries[0], "part/2", "n2", false,
                                               1ULL << 40);
                          }),
        response_encoding("store/range_reply_empty", StoreRange{}, 200, range_empty,
                          [](const OutboundResponse& response) {
                              EXPECT_EQ(response.revision, 300u);
                              EXPECT_FALSE(response.more);
                              EXPECT_TRUE(response.entries.empty());
                          }),
    };
}

std::vector<GoldenEncoding> store_watch_response_encodings() {
    std::string set = packed_map({{"set", packed("part/2")},
                                  {"data", partition_data("n2", true)},
                                  {"graft", packed(70000)}});
    std::string drop = packed_map({{"drop", packed("part/3")}, {"graft", packed(70001)}});
    std::string events =
        packed_map({{"ring", packed(70001)}, {"events", packed_list({set, drop})}});
    std::string none = packed_map({{"ring", packed(5)}, {"events", packed_list({})}});
    return {
        response_encoding("store/watch_reply", StoreWatch{}, 200, events,
                          [](const OutboundResponse& response) {
                              EXPECT_EQ(response.revision, 70001u);
                              ASSERT_EQ(response.entries.size(), 1u);
                              expect_partition(response.entries[0], "part/2", "n2", true, 70000);
                              EXPECT_EQ(response.deleted, std::vector<std::string>{"part/3"});
                          }),
        response_encoding("store/watch_reply_empty", StoreWatch{}, 200, none,
                          [](const OutboundResponse& response) {
                              EXPECT_EQ(response.revision, 5u);
                              EXPECT_TRUE(response.entries.empty());
                              EXPECT_TRUE(response.deleted.empty());
                          }),
    };
}

std::vector<GoldenEncoding> store_write_response_encodings() {
    std::string failed = packed_list({packed("part/1"), packed("job/req-1")});
    return {
        response_encoding(
            "store/txn_reply", StoreTransaction{}, 200, packed_map({{"ring", packed(1ULL << 40)}}),
            [](const OutboundResponse& response) { EXPECT_EQ(response.revision, 1ULL << 40); }),
        response_encoding(
            "store/txn_reply_failed", StoreTransaction{}, 409,
            packed_map({{"failed", failed}, {"ring", packed(70000)}}),
            [](const OutboundResponse& response) {
                EXPECT_EQ(response.failed_keys, (std::vector<std::string>{"part/1", "job/req-1"}));
                EXPECT_EQ(response.revision, 70000u);
            }),
        response_encoding("store/txn_reply_failed_without_revision", StoreTransaction{}, 409,
                          packed_map({{"failed", failed}}),
                          [](const OutboundResponse& response) {
                              EXPECT_EQ(response.failed_keys.size(), 2u);
                              EXPECT_EQ(response.revision, 0u);
                          }),
        response_encoding(
            "store/grant_lease_reply", StoreLeaseGrant{}, 200,
            packed_map({{"lease", packed(1ULL << 40)}}),
            [](const OutboundResponse& response) { EXPECT_EQ(response.lease, 1ULL << 40); }),
        // The body is ignored.
        response_encoding("store/renew_lease_reply", StoreLeaseRenewal{}, 200, packed_map({}),
                          expect_no_data),
        response_encoding("store/error_reply", StoreGet{}, 404,
                          packed_map({{"error", packed("no such key")}}), expect_no_data),
    };
}

std::string instance_type_list(const std::vector<PackedField>& more) {
    std::vector<PackedField> fields{{"sku", packed("g8")},
                                    {"cpus", packed(96)},
                                    {"cards", packed(8)},
                                    {"ram_gb", packed(768.5)},
                                    {"cache_gb", packed(400.5)},
                                    {"pull_gb_per_s", packed(1.25)},
                                    {"rate", packed(12.5)},
                                    {"startup_s", packed(45.5)},
                                    {"houses", packed_list({packed("east"), packed("west")})}};
    fields.insert(fields.end(), more.begin(), more.end());
    return packed_map({{"benches", packed_list({packed_map(fields)})}});
}

void expect_type(const OutboundResponse& response, double spot_price) {
    ASSERT_EQ(response.instance_types.size(), 1u);
    const InstanceType& type = response.instance_types[0];
    EXPECT_EQ(type.name, "g8");
    EXPECT_EQ(type.cpus, 96);
    EXPECT_EQ(type.gpus, 8);
    EXPECT_EQ(type.ram_gb, 768.5);
    EXPECT_EQ(type.cache_gb, 400.5);
    EXPECT_EQ(type.fetch_gb_per_s, 1.25);
    EXPECT_EQ(type.price, 12.5);
    EXPECT_EQ(type.spot_price, spot_price);
    EXPECT_EQ(type.boot_s, 45.5);
    EXPECT_EQ(type.zones, (std::vector<std::string>{"east", "west"}));
}

std::string cloud_instance(const std::string& name, const std::string& stage, bool spot,
                           const std::vector<PackedField>& more) {
    std::vector<PackedField> fields{{"uid", packed(name)},     {"bench", packed("g8")},
                                    {"house", packed("east")}, {"cuttings", packed(spot)},
                                    {"stage", packed(stage)},  {"held_s", packed(120.5)}};
    fields.insert(fields.end(), more.begin(), more.end());
    return packed_map(fields);
}

std::string instance_list() {
    return packed_map(
        {{"more", packed(true)},
         {"pots",
          packed_list({cloud_instance("i-1", "running", true, {{"endpoint", packed("e:1")}}),
                       cloud_instance("i-2", "booting", false, {{"endpoint", packed_nil()}}),
                       cloud_instance("i-3", "failed", false, {})})}});
}

void expect_instance(const Instance& instance, const std::string& name, const std::string& endpoint,
                     InstanceState stage, bool spot) {
    EXPECT_EQ(instance.name, name);
    EXPECT_EQ(instance.endpoint, endpoint);
    EXPECT_EQ(instance.type, "g8");
    EXPECT_EQ(instance.zone, "east");
    EXPECT_EQ(instance.spot, spot);
    EXPECT_EQ(instance.state, stage);
    EXPECT_EQ(instance.age_s, 120.5);
}

void expect_instances(const OutboundResponse& response) {
    EXPECT_TRUE(response.more);
    ASSERT_EQ(response.instances.size(), 3u);
    expect_instance(response.instances[0], "i-1", "e:1", InstanceState::running, true);
    expect_instance(response.instances[1], "i-2", "", InstanceState::booting, false);
    expect_instance(response.instances[2], "i-3", "", InstanceState::failed, false);
}

std::vector<GoldenEncoding> cloud_request_encodings() {
    return {
        request_encoding("cloud/catalog", ListInstanceTypes{}),
        request_encoding("cloud/list_first", ListInstances{}),
        request_encoding("cloud/list_next", ListInstances{"i 1"}),
        request_encoding("cloud/rent", ScaleOut{"order-1", "g8", "east", true, 300}),
        request_encoding("cloud/rent_minimal", ScaleOut{}),
        request_encoding("cloud/release", ScaleIn{{"i-1", "i-2"}}),
        request_encoding("cloud/release_minimal", ScaleIn{}),
    };
}

std::vector<GoldenEncoding> cloud_response_encodings() {
    return {
        response_encoding("cloud/catalog_reply", ListInstanceTypes{}, 200,
                          instance_type_list({{"market_price", packed(4.75)}}),
                          [](const OutboundResponse& response) { expect_type(response, 4.75); }),
        response_encoding("cloud/catalog_reply_without_spot_price", ListInstanceTypes{}, 200,
                          instance_type_list({}),
                          [](const OutboundResponse& response) { expect_type(response, 12.5); }),
        response_encoding("cloud/list_reply", ListInstances{}, 200, instance_list(),
                          expect_instances),
        response_encoding("cloud/list_reply_empty", ListInstances{}, 200,
                          packed_map({{"more", packed(false)}, {"pots", packed_list({})}}),
                          expect_no_data),
        response_encoding(
            "cloud/rent_reply", ScaleOut{}, 200,
            packed_map({{"pots", packed_list({packed("i-1"), packed("i-2")})}}),
            [](const OutboundResponse& response) {
                EXPECT_EQ(response.accepted_machines, (std::vector<std::string>{"i-1", "i-2"}));
            }),
        // The body is ignored.
        response_encoding("cloud/release_reply", ScaleIn{}, 200, packed_map({}), expect_no_data),
        // The body of a 409 is decoded for the failed keys of a transaction; this one has none.
        response_encoding("cloud/rent_reply_refused", ScaleOut{}, 409,
                          packed_map({{"error", packed("no capacity")}}), expect_no_data),
    };
}

void expect_service(const OutboundBody& request, wire::Service service, double wait_s) {
    wire::HttpRequest http = wire::encode_request(request);
    EXPECT_EQ(http.service, service);
    EXPECT_EQ(http.endpoint, "");
    EXPECT_EQ(http.wait_s, wait_s);
}

TEST(WireFormat, EachRequestIsSentToItsService) {
    for (const OutboundBody& request :
         {OutboundBody(StoreGet{}), OutboundBody(StoreRange{}), OutboundBody(StoreTransaction{}),
          OutboundBody(StoreLeaseGrant{}), OutboundBody(StoreLeaseRenewal{})}) {
        expect_service(request, wire::Service::store, 0);
    }
    expect_service(StoreWatch{"part/", 1, 2.5}, wire::Service::store, 2.5);
    for (const OutboundBody& request :
         {OutboundBody(ListInstanceTypes{}), OutboundBody(ListInstances{}),
          OutboundBody(ScaleOut{}), OutboundBody(ScaleIn{})}) {
        expect_service(request, wire::Service::cloud, 0);
    }
}

// Of error responses only a 409 has its body decoded; for the others only the status matters.
TEST(WireFormat, AConflictThatCannotBeDecodedHasStatusZero) {
    for (const OutboundBody& request : {OutboundBody(StoreTransaction{}),
                                        OutboundBody(WorkerCommands{}), OutboundBody(ScaleOut{})}) {
        EXPECT_EQ(wire::decode_response(1, request, 409, "junk").status, 0);
        EXPECT_EQ(wire::decode_response(1, request, 404, "junk").status, 404);
        EXPECT_EQ(wire::decode_response(1, request, 503, "").status, 503);
    }
}

} // namespace

std::vector<GoldenEncoding> store_encodings() {
    std::vector<GoldenEncoding> encodings = store_request_encodings();
    for (const auto& group : {store_read_response_encodings(), store_watch_response_encodings(),
                              store_write_response_encodings()}) {
        encodings.insert(encodings.end(), group.begin(), group.end());
    }
    return encodings;
}

std::vector<GoldenEncoding> cloud_encodings() {
    std::vector<GoldenEncoding> encodings = cloud_request_encodings();
    for (const auto& encoding : cloud_response_encodings()) {
        encodings.push_back(encoding);
    }
    return encodings;
}

} // namespace scheduler::test
