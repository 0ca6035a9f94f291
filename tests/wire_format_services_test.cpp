// Forms of the calls to the store and to the cloud, and of what they answer; see wire_format.h.
#include "wire_format.h"

#include <gtest/gtest.h>

namespace orchidlanding::test {
namespace {

using CheckReply = std::function<void(const CallReply&)>;

// A call is only written: the store and the cloud read it.
WireForm call_form(const std::string& name, const CallBody& call) {
    return {name, [=] { return request_bytes(call); }, nullptr};
}

// A reply is only read. `check` tells what the call gave.
WireForm reply_form(const std::string& name, const CallBody& call, int status,
                    const std::string& bytes, const CheckReply& check) {
    return {name, [=] { return bytes; },
            [=](const std::string& pinned) {
                CallReply reply = wire::decode_reply(9, call, status, pinned);
                EXPECT_EQ(reply.call, 9u);
                EXPECT_EQ(reply.status, status);
                EXPECT_FALSE(reply.unsent);
                check(reply);
            }};
}

void expect_nothing_told(const CallReply& reply) {
    EXPECT_EQ(reply.revision, 0u);
    EXPECT_EQ(reply.lease, 0u);
    EXPECT_FALSE(reply.more);
    EXPECT_TRUE(reply.items.empty() && reply.deleted.empty() && reply.failed.empty());
    EXPECT_TRUE(reply.types.empty() && reply.hosts.empty() && reply.names.empty());
    EXPECT_FALSE(reply.report || reply.exchange || reply.promise || reply.standing);
}

void expect_partition(const KeyedRecord& item, const std::string& key, const std::string& node,
                      bool knows_shares, std::uint64_t version) {
    EXPECT_EQ(item.key, key);
    EXPECT_EQ(item.version, version);
    ASSERT_TRUE(std::holds_alternative<PartRecord>(item.record));
    EXPECT_EQ(std::get<PartRecord>(item.record).node, node);
    EXPECT_EQ(std::get<PartRecord>(item.record).knows_shares, knows_shares);
}

std::string partition_data(const std::string& node, bool knows_shares) {
    return packed_map({{"node", packed(node)}, {"knows_shares", packed(knows_shares)}});
}

Txn full_txn() {
    return {{{"part/1", 1000000007}, {"job/req-1", 0}},
            {{"part/1", PartRecord{"n1", true}, 1ULL << 40},
             {"job/req-1", JobRecord{Outcome::done, {}}, {}},
             {"done/req-1/0", {}, {}}}};
}

std::vector<WireForm> store_call_forms() {
    return {
        call_form("store/get", Get{"part/1"}),
        call_form("store/get_escaped", Get{"config/team/a b+\xc3\xa9%&=?_-."}),
        call_form("store/range_first", Range{"job/", ""}),
        call_form("store/range_next", Range{"config/team/", "config/team/a b"}),
        call_form("store/txn_empty", Txn{}),
        call_form("store/txn_full", full_txn()),
        call_form("store/grant_lease", GrantLease{4.5}),
        // Cut to whole milliseconds.
        call_form("store/grant_lease_cut", GrantLease{0.0019}),
        call_form("store/renew_lease", Renew{1ULL << 40}),
        call_form("store/watch", Watch{"part/", 1000000007, 2.5}),
        call_form("store/watch_from_the_start", Watch{"a b", 0, 0}),
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
        reply_form("store/get_reply", Get{"part/1"}, 200, get,
                   [](const CallReply& reply) {
                       ASSERT_EQ(reply.items.size(), 1u);
                       expect_partition(reply.items[0], "part/1", "n1", true, 70000);
                   }),
        reply_form("store/get_reply_unreadable", Get{"part/1"}, 200, other,
                   [](const CallReply& reply) {
                       ASSERT_EQ(reply.items.size(), 1u);
                       EXPECT_EQ(reply.items[0].version, 7u);
                       EXPECT_TRUE(std::holds_alternative<Unreadable>(reply.items[0].record));
                   }),
        reply_form("store/range_reply", Range{}, 200, range,
                   [](const CallReply& reply) {
                       EXPECT_EQ(reply.revision, 300u);
                       EXPECT_TRUE(reply.more);
                       ASSERT_EQ(reply.items.size(), 1u);
                       expect_partition(reply.items[0], "part/2", "n2", false, 1ULL << 40);
                   }),
        reply_form("store/range_reply_empty", Range{}, 200, range_empty,
                   [](const CallReply& reply) {
                       EXPECT_EQ(reply.revision, 300u);
                       EXPECT_FALSE(reply.more);
                       EXPECT_TRUE(reply.items.empty());
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
        reply_form("store/watch_reply", Watch{}, 200, events,
                   [](const CallReply& reply) {
                       EXPECT_EQ(reply.revision, 70001u);
                       ASSERT_EQ(reply.items.size(), 1u);
                       expect_partition(reply.items[0], "part/2", "n2", true, 70000);
                       EXPECT_EQ(reply.deleted, std::vector<std::string>{"part/3"});
                   }),
        reply_form("store/watch_reply_empty", Watch{}, 200, none,
                   [](const CallReply& reply) {
                       EXPECT_EQ(reply.revision, 5u);
                       EXPECT_TRUE(reply.items.empty());
                       EXPECT_TRUE(reply.deleted.empty());
                   }),
    };
}

std::vector<WireForm> store_write_forms() {
    std::string failed = packed_list({packed("part/1"), packed("job/req-1")});
    return {
        reply_form("store/txn_reply", Txn{}, 200, packed_map({{"ring", packed(1ULL << 40)}}),
                   [](const CallReply& reply) { EXPECT_EQ(reply.revision, 1ULL << 40); }),
        reply_form("store/txn_reply_failed", Txn{}, 409,
                   packed_map({{"failed", failed}, {"ring", packed(70000)}}),
                   [](const CallReply& reply) {
                       EXPECT_EQ(reply.failed, (std::vector<std::string>{"part/1", "job/req-1"}));
                       EXPECT_EQ(reply.revision, 70000u);
                   }),
        reply_form("store/txn_reply_failed_without_revision", Txn{}, 409,
                   packed_map({{"failed", failed}}),
                   [](const CallReply& reply) {
                       EXPECT_EQ(reply.failed.size(), 2u);
                       EXPECT_EQ(reply.revision, 0u);
                   }),
        reply_form("store/grant_lease_reply", GrantLease{}, 200,
                   packed_map({{"lease", packed(1ULL << 40)}}),
                   [](const CallReply& reply) { EXPECT_EQ(reply.lease, 1ULL << 40); }),
        // Its body is not read.
        reply_form("store/renew_lease_reply", Renew{}, 200, packed_map({}), expect_nothing_told),
        reply_form("store/error_reply", Get{}, 404, packed_map({{"error", packed("no such key")}}),
                   expect_nothing_told),
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

void expect_type(const CallReply& reply, double spot_price) {
    ASSERT_EQ(reply.types.size(), 1u);
    const MachineType& type = reply.types[0];
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

void expect_host(const Host& host, const std::string& name, const std::string& endpoint,
                 HostStage stage, bool spot) {
    EXPECT_EQ(host.name, name);
    EXPECT_EQ(host.endpoint, endpoint);
    EXPECT_EQ(host.type, "g8");
    EXPECT_EQ(host.zone, "east");
    EXPECT_EQ(host.spot, spot);
    EXPECT_EQ(host.stage, stage);
    EXPECT_EQ(host.age_s, 120.5);
}

void expect_hosts(const CallReply& reply) {
    EXPECT_TRUE(reply.more);
    ASSERT_EQ(reply.hosts.size(), 3u);
    expect_host(reply.hosts[0], "i-1", "e:1", HostStage::running, true);
    expect_host(reply.hosts[1], "i-2", "", HostStage::booting, false);
    expect_host(reply.hosts[2], "i-3", "", HostStage::failed, false);
}

std::vector<WireForm> cloud_call_forms() {
    return {
        call_form("cloud/catalog", Catalog{}),
        call_form("cloud/list_first", ListHosts{}),
        call_form("cloud/list_next", ListHosts{"i 1"}),
        call_form("cloud/rent", Rent{"order-1", "g8", "east", true, 300}),
        call_form("cloud/rent_minimal", Rent{}),
        call_form("cloud/release", Release{{"i-1", "i-2"}}),
        call_form("cloud/release_minimal", Release{}),
    };
}

std::vector<WireForm> cloud_reply_forms() {
    return {
        reply_form("cloud/catalog_reply", Catalog{}, 200,
                   cloud_type({{"market_price", packed(4.75)}}),
                   [](const CallReply& reply) { expect_type(reply, 4.75); }),
        reply_form("cloud/catalog_reply_without_spot_price", Catalog{}, 200, cloud_type({}),
                   [](const CallReply& reply) { expect_type(reply, 12.5); }),
        reply_form("cloud/list_reply", ListHosts{}, 200, host_list(), expect_hosts),
        reply_form("cloud/list_reply_empty", ListHosts{}, 200,
                   packed_map({{"more", packed(false)}, {"pots", packed_list({})}}),
                   expect_nothing_told),
        reply_form("cloud/rent_reply", Rent{}, 200,
                   packed_map({{"pots", packed_list({packed("i-1"), packed("i-2")})}}),
                   [](const CallReply& reply) {
                       EXPECT_EQ(reply.names, (std::vector<std::string>{"i-1", "i-2"}));
                   }),
        // Its body is not read.
        reply_form("cloud/release_reply", Release{}, 200, packed_map({}), expect_nothing_told),
        // A 409 is read for the keys that a transaction failed by; here there are none.
        reply_form("cloud/rent_reply_refused", Rent{}, 409,
                   packed_map({{"error", packed("no capacity")}}), expect_nothing_told),
    };
}

void expect_service(const CallBody& call, wire::Service service, double wait_s) {
    wire::HttpCall http = wire::encode_call(call);
    EXPECT_EQ(http.service, service);
    EXPECT_EQ(http.endpoint, "");
    EXPECT_EQ(http.wait_s, wait_s);
}

TEST(WireFormat, EachCallGoesToItsService) {
    for (const CallBody& call : {CallBody(Get{}), CallBody(Range{}), CallBody(Txn{}),
                                 CallBody(GrantLease{}), CallBody(Renew{})}) {
        expect_service(call, wire::Service::state, 0);
    }
    expect_service(Watch{"part/", 1, 2.5}, wire::Service::state, 2.5);
    for (const CallBody& call :
         {CallBody(Catalog{}), CallBody(ListHosts{}), CallBody(Rent{}), CallBody(Release{})}) {
        expect_service(call, wire::Service::cloud, 0);
    }
}

// Of refusals only those with 409 are read; of the others the status is all that counts.
TEST(WireFormat, ARefusalThatCannotBeReadCountsAsNoAnswer) {
    for (const CallBody& call : {CallBody(Txn{}), CallBody(Orders{}), CallBody(Rent{})}) {
        EXPECT_EQ(wire::decode_reply(1, call, 409, "junk").status, 0);
        EXPECT_EQ(wire::decode_reply(1, call, 404, "junk").status, 404);
        EXPECT_EQ(wire::decode_reply(1, call, 503, "").status, 503);
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

} // namespace orchidlanding::test
