// Forms of the calls to the store and to the cloud, and of what they answer; see wire_format.h.
#include "wire_format.h"

#include <gtest/gtest.h>

namespace scheduler::test {
namespace {

using CheckReply = std::function<void(const OutboundResponse&)>;

// A call is only written: the store and the cloud read it.
WireForm call_form(const std::string& name, const OutboundBody& call) {
    return {name, [=] { return request_bytes(call); }, nullptr};
}

// A reply is only read. `check` tells what the call gave.
WireForm reply_form(const std::string& name, const OutboundBody& call, int status,
                    const std::string& bytes, const CheckReply& check) {
    return {name, [=] { return bytes; },
            [=](const std::string& pinned) {
                OutboundResponse response = wire::decode_response(9, call, status, pinned);
                EXPECT_EQ(response.request_id, 9u);
                EXPECT_EQ(response.status, status);
                EXPECT_FALSE(response.never_sent);
                check(response);
            }};
}

void expect_nothing_told(const OutboundResponse& response) {
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
                      bool knows_shares, std::uint64_t version) {
    EXPECT_EQ(item.key, key);
    EXPECT_EQ(item.version, version);
    ASSERT_TRUE(std::holds_alternative<PartitionRecord>(item.record));
    EXPECT_EQ(std::get<PartitionRecord>(item.record).node, node);
    EXPECT_EQ(std::get<PartitionRecord>(item.record).supports_sharding, knows_shares);
}

std::string partition_data(const std::string& node, bool knows_shares) {
    return packed_map({{"node", packed(node)}, {"knows_shares", packed(knows_shares)}});
}

StoreTransaction full_txn() {
    return {{{"part/1", 1000000007}, {"job/req-1", 0}},
            {{"part/1", PartitionRecord{"n1", true}, 1ULL << 40},
             {"job/req-1", JobRecord{Outcome::done, {}}, {}},
             {"done/req-1/0", {}, {}}}};
}

std::vector<WireForm> store_call_forms() {
    return {
        call_form("store/get", StoreGet{"part/1"}),
        call_form("store/get_escaped", StoreGet{"config/team/a b+\xc3\xa9%&=?_-."}),
        call_form("store/range_first", StoreRange{"job/", ""}),
        call_form("store/range_next", StoreRange{"config/team/", "config/team/a b"}),
        call_form("store/txn_empty", StoreTransaction{}),
        call_form("store/txn_full", full_txn()),
        call_form("store/grant_lease", StoreLeaseGrant{4.5}),
        // Cut to whole milliseconds.
        call_form("store/grant_lease_cut", StoreLeaseGrant{0.0019}),
        call_form("store/renew_lease", StoreLeaseRenewal{1ULL << 40}),
        call_form("store/watch", StoreWatch{"part/", 1000000007, 2.5}),
        call_form("store/watch_from_the_start", StoreWatch{"a b", 0, 0}),
    };
}

std::vector<WireForm> store_read_forms() {
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
        reply_form("store/get_reply", StoreGet{"part/1"}, 200, get,
                   [](const OutboundResponse& response) {
                       ASSERT_EQ(response.entries.size(), 1u);
                       expect_partition(response.entries[0], "part/1", "n1", true, 70000);
                   }),
        reply_form("store/get_reply_unreadable", StoreGet{"part/1"}, 200, other,
                   [](const OutboundResponse& response) {
                       ASSERT_EQ(response.entries.size(), 1u);
                       EXPECT_EQ(response.entries[0].version, 7u);
                       EXPECT_TRUE(
                           std::holds_alternative<UnreadableRecord>(response.entries[0].record));
                   }),
        reply_form("store/range_reply", StoreRange{}, 200, range,
                   [](const OutboundResponse& response) {
                       EXPECT_EQ(response.revision, 300u);
                       EXPECT_TRUE(response.more);
                       ASSERT_EQ(response.entries.size(), 1u);
                       expect_partition(response.entries[0], "part/2", "n2", false, 1ULL << 40);
                   }),
        reply_form("store/range_reply_empty", StoreRange{}, 200, range_empty,
                   [](const OutboundResponse& response) {
                       EXPECT_EQ(response.revision, 300u);
                       EXPECT_FALSE(response.more);
                       EXPECT_TRUE(response.entries.empty());
                   }),
    };
}

std::vector<WireForm> store_watch_forms() {
    std::string set = packed_map({{"set", packed("part/2")},
                                  {"data", partition_data("n2", true)},
                                  {"graft", packed(70000)}});
    std::string drop = packed_map({{"drop", packed("part/3")}, {"graft", packed(70001)}});
    std::string events =
        packed_map({{"ring", packed(70001)}, {"events", packed_list({set, drop})}});
    std::string none = packed_map({{"ring", packed(5)}, {"events", packed_list({})}});
    return {
        reply_form("store/watch_reply", StoreWatch{}, 200, events,
                   [](const OutboundResponse& response) {
                       EXPECT_EQ(response.revision, 70001u);
                       ASSERT_EQ(response.entries.size(), 1u);
                       expect_partition(response.entries[0], "part/2", "n2", true, 70000);
                       EXPECT_EQ(response.deleted, std::vector<std::string>{"part/3"});
                   }),
        reply_form("store/watch_reply_empty", StoreWatch{}, 200, none,
                   [](const OutboundResponse& response) {
                       EXPECT_EQ(response.revision, 5u);
                       EXPECT_TRUE(response.entries.empty());
                       EXPECT_TRUE(response.deleted.empty());
                   }),
    };
}

std::vector<WireForm> store_write_forms() {
    std::string failed = packed_list({packed("part/1"), packed("job/req-1")});
    return {
        reply_form(
            "store/txn_reply", StoreTransaction{}, 200, packed_map({{"ring", packed(1ULL << 40)}}),
            [](const OutboundResponse& response) { EXPECT_EQ(response.revision, 1ULL << 40); }),
        reply_form(
            "store/txn_reply_failed", StoreTransaction{}, 409,
            packed_map({{"failed", failed}, {"ring", packed(70000)}}),
            [](const OutboundResponse& response) {
                EXPECT_EQ(response.failed_keys, (std::vector<std::string>{"part/1", "job/req-1"}));
                EXPECT_EQ(response.revision, 70000u);
            }),
        reply_form("store/txn_reply_failed_without_revision", StoreTransaction{}, 409,
                   packed_map({{"failed", failed}}),
                   [](const OutboundResponse& response) {
                       EXPECT_EQ(response.failed_keys.size(), 2u);
                       EXPECT_EQ(response.revision, 0u);
                   }),
        reply_form("store/grant_lease_reply", StoreLeaseGrant{}, 200,
                   packed_map({{"lease", packed(1ULL << 40)}}),
                   [](const OutboundResponse& response) { EXPECT_EQ(response.lease, 1ULL << 40); }),
        // Its body is not read.
        reply_form("store/renew_lease_reply", StoreLeaseRenewal{}, 200, packed_map({}),
                   expect_nothing_told),
        reply_form("store/error_reply", StoreGet{}, 404,
                   packed_map({{"error", packed("no such key")}}), expect_nothing_told),
    };
}

std::string cloud_type(const std::vector<PackedField>& more) {
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

std::string cloud_host(const std::string& name, const std::string& stage, bool spot,
                       const std::vector<PackedField>& more) {
    std::vector<PackedField> fields{{"uid", packed(name)},     {"bench", packed("g8")},
                                    {"house", packed("east")}, {"cuttings", packed(spot)},
                                    {"stage", packed(stage)},  {"held_s", packed(120.5)}};
    fields.insert(fields.end(), more.begin(), more.end());
    return packed_map(fields);
}

std::string host_list() {
    return packed_map(
        {{"more", packed(true)},
         {"pots", packed_list({cloud_host("i-1", "running", true, {{"endpoint", packed("e:1")}}),
                               cloud_host("i-2", "booting", false, {{"endpoint", packed_nil()}}),
                               cloud_host("i-3", "failed", false, {})})}});
}

void expect_host(const Instance& instance, const std::string& name, const std::string& endpoint,
                 InstanceState stage, bool spot) {
    EXPECT_EQ(instance.name, name);
    EXPECT_EQ(instance.endpoint, endpoint);
    EXPECT_EQ(instance.type, "g8");
    EXPECT_EQ(instance.zone, "east");
    EXPECT_EQ(instance.spot, spot);
    EXPECT_EQ(instance.state, stage);
    EXPECT_EQ(instance.age_s, 120.5);
}

void expect_hosts(const OutboundResponse& response) {
    EXPECT_TRUE(response.more);
    ASSERT_EQ(response.instances.size(), 3u);
    expect_host(response.instances[0], "i-1", "e:1", InstanceState::running, true);
    expect_host(response.instances[1], "i-2", "", InstanceState::booting, false);
    expect_host(response.instances[2], "i-3", "", InstanceState::failed, false);
}

std::vector<WireForm> cloud_call_forms() {
    return {
        call_form("cloud/catalog", ListInstanceTypes{}),
        call_form("cloud/list_first", ListInstances{}),
        call_form("cloud/list_next", ListInstances{"i 1"}),
        call_form("cloud/rent", ScaleOut{"order-1", "g8", "east", true, 300}),
        call_form("cloud/rent_minimal", ScaleOut{}),
        call_form("cloud/release", ScaleIn{{"i-1", "i-2"}}),
        call_form("cloud/release_minimal", ScaleIn{}),
    };
}

std::vector<WireForm> cloud_reply_forms() {
    return {
        reply_form("cloud/catalog_reply", ListInstanceTypes{}, 200,
                   cloud_type({{"market_price", packed(4.75)}}),
                   [](const OutboundResponse& response) { expect_type(response, 4.75); }),
        reply_form("cloud/catalog_reply_without_spot_price", ListInstanceTypes{}, 200,
                   cloud_type({}),
                   [](const OutboundResponse& response) { expect_type(response, 12.5); }),
        reply_form("cloud/list_reply", ListInstances{}, 200, host_list(), expect_hosts),
        reply_form("cloud/list_reply_empty", ListInstances{}, 200,
                   packed_map({{"more", packed(false)}, {"pots", packed_list({})}}),
                   expect_nothing_told),
        reply_form(
            "cloud/rent_reply", ScaleOut{}, 200,
            packed_map({{"pots", packed_list({packed("i-1"), packed("i-2")})}}),
            [](const OutboundResponse& response) {
                EXPECT_EQ(response.accepted_machines, (std::vector<std::string>{"i-1", "i-2"}));
            }),
        // Its body is not read.
        reply_form("cloud/release_reply", ScaleIn{}, 200, packed_map({}), expect_nothing_told),
        // A 409 is read for the keys that a transaction failed by; here there are none.
        reply_form("cloud/rent_reply_refused", ScaleOut{}, 409,
                   packed_map({{"error", packed("no capacity")}}), expect_nothing_told),
    };
}

void expect_service(const OutboundBody& call, wire::Service service, double wait_s) {
    wire::HttpRequest http = wire::encode_request(call);
    EXPECT_EQ(http.service, service);
    EXPECT_EQ(http.endpoint, "");
    EXPECT_EQ(http.wait_s, wait_s);
}

TEST(WireFormat, EachCallGoesToItsService) {
    for (const OutboundBody& call :
         {OutboundBody(StoreGet{}), OutboundBody(StoreRange{}), OutboundBody(StoreTransaction{}),
          OutboundBody(StoreLeaseGrant{}), OutboundBody(StoreLeaseRenewal{})}) {
        expect_service(call, wire::Service::store, 0);
    }
    expect_service(StoreWatch{"part/", 1, 2.5}, wire::Service::store, 2.5);
    for (const OutboundBody& call :
         {OutboundBody(ListInstanceTypes{}), OutboundBody(ListInstances{}),
          OutboundBody(ScaleOut{}), OutboundBody(ScaleIn{})}) {
        expect_service(call, wire::Service::cloud, 0);
    }
}

// Of refusals only those with 409 are read; of the others the status is all that counts.
TEST(WireFormat, ARefusalThatCannotBeReadCountsAsNoAnswer) {
    for (const OutboundBody& call : {OutboundBody(StoreTransaction{}),
                                     OutboundBody(WorkerCommands{}), OutboundBody(ScaleOut{})}) {
        EXPECT_EQ(wire::decode_response(1, call, 409, "junk").status, 0);
        EXPECT_EQ(wire::decode_response(1, call, 404, "junk").status, 404);
        EXPECT_EQ(wire::decode_response(1, call, 503, "").status, 503);
    }
}

} // namespace

std::vector<WireForm> store_forms() {
    std::vector<WireForm> forms = store_call_forms();
    for (const auto& group : {store_read_forms(), store_watch_forms(), store_write_forms()}) {
        forms.insert(forms.end(), group.begin(), group.end());
    }
    return forms;
}

std::vector<WireForm> cloud_forms() {
    std::vector<WireForm> forms = cloud_call_forms();
    for (const auto& form : cloud_reply_forms()) {
        forms.push_back(form);
    }
    return forms;
}

} // namespace scheduler::test
