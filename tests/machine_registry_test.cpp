// The registry against a scripted state service.
#include <gtest/gtest.h>

#include "core/machines/machine_registry.h"

namespace scheduler::test {
namespace {

struct RegistryFixture {
    StoreRateLimiter rate_limiter{1000, 1000, 1};
    OutboundRequests requests{rate_limiter, 1};
    std::vector<std::string> registered;
    MachineRegistry registry{
        {"part/0", 7},
        make_settings(),
        requests,
        [this](Time, const OutboundResponse&, const std::vector<std::string>& names) {
            registered.insert(registered.end(), names.begin(), names.end());
        }};
    static ClusterSettings make_settings() {
        ClusterSettings settings;
        settings.store_transaction_limit = 12;
        settings.heartbeat_interval_s = 3;
        return settings;
    }
    // What was sent since the last time.
    std::vector<OutboundRequest> take_requests() {
        Outputs out;
        requests.drain_into(out);
        return out.requests;
    }
    void respond(Time now, const OutboundRequest& request, int status,
                 std::uint64_t at_revision = 0) {
        OutboundResponse response;
        response.request_id = request.id;
        response.status = status;
        response.revision = at_revision;
        requests.handle_response(now, response);
    }
    // A state service of a few keys: what it answers to the request, if it is carried out.
    std::map<std::string, std::uint64_t> versions{{"part/0", 7}};
    std::uint64_t revision = 7;
    OutboundResponse execute(const OutboundRequest& request) {
        OutboundResponse response;
        response.request_id = request.id;
        response.status = 200;
        if (const auto* get = std::get_if<StoreGet>(&request.body)) {
            auto it = versions.find(get->key);
            response.status = it == versions.end() ? 404 : 200;
            if (response.status == 200) {
                response.entries.push_back({get->key, MachineRecord{}, it->second});
            }
            return response;
        }
        const auto& txn = std::get<StoreTransaction>(request.body);
        for (const auto& condition : txn.conditions) {
            if ((versions.contains(condition.key) ? versions[condition.key] : 0) !=
                condition.version) {
                response.failed_keys.push_back(condition.key);
            }
        }
        response.status = response.failed_keys.empty() ? 200 : 409;
        response.revision = response.status == 200 ? ++revision : revision;
        for (const auto& write : txn.writes) {
            if (response.status == 200 && write.value) {
                versions[write.key] = revision;
            } else if (response.status == 200) {
                versions.erase(write.key);
            }
        }
        return response;
    }
    // Everything is carried out and answered until nothing more is sent.
    void execute_all(Time now) {
        registry.flush(now);
        for (auto sent = take_requests(); !sent.empty(); sent = take_requests()) {
            for (const auto& request : sent) {
                OutboundResponse response = execute(request);
                requests.handle_response(now, response);
            }
        }
    }
};

std::string machine_name(int n) { return "i-" + std::to_string(100 + n); }

TEST(MachineRegistry, MachinesAddedTogetherShareTransactions) {
    RegistryFixture fixture;
    for (int n = 0; n < 30; ++n) {
        fixture.registry.add(0, 0, machine_name(n), {"10.0.0.1:1", "m8", "a", true});
    }
    std::size_t transactions = 0;
    std::size_t changes = 0;
    for (auto requests = fixture.take_requests(); !requests.empty();
         requests = fixture.take_requests()) {
        ASSERT_EQ(requests.size(), 1u); // one at a time
        const auto& txn = std::get<StoreTransaction>(requests[0].body);
        ASSERT_EQ(txn.conditions.size(), 1 + txn.writes.size());
        EXPECT_EQ(txn.conditions[0].key, "part/0");
        EXPECT_EQ(txn.conditions[0].version, 7u);             // under the claim as it stands
        for (std::size_t i = 0; i < txn.writes.size(); ++i) { // and none of them entered meanwhile
            EXPECT_EQ(txn.conditions[i + 1].key, txn.writes[i].key);
            EXPECT_EQ(txn.conditions[i + 1].version, 0u);
        }
        EXPECT_LE(txn.writes.size(), 12u);
        ++transactions;
        changes += txn.writes.size();
        fixture.respond(0.01, requests[0], 200);
    }
    EXPECT_EQ(changes, 30u);
    EXPECT_LE(transactions, 4u);
    EXPECT_EQ(fixture.registered.size(), 30u);
}

TEST(MachineRegistry, SendsSmallerTransactionsWhenTheRateLimitIsNearlyExhausted) {
    RegistryFixture fixture;
    while (fixture.rate_limiter.try_acquire(0, StoreRateLimiter::Use::user, 100)) {
    }
    while (fixture.rate_limiter.try_acquire(0, StoreRateLimiter::Use::user,
                                            3)) { // a change or two more is all there is
    }
    for (int n = 0; n < 12; ++n) {
        fixture.registry.add(0, 0, machine_name(n), {});
    }
    std::size_t changes = 0;
    for (Time now = 0.001; now < 1; now += 0.001) { // others take what comes in, but for one change
        fixture.registry.flush(now);
        for (const auto& request : fixture.take_requests()) {
            changes += std::get<StoreTransaction>(request.body).writes.size();
            fixture.respond(now, request, 200);
        }
        while (fixture.rate_limiter.try_acquire(now, StoreRateLimiter::Use::user, 2)) {
        }
    }
    EXPECT_EQ(changes, 12u);
    EXPECT_EQ(fixture.registered.size(), 12u);
}

TEST(MachineRegistry, UnansweredTransactionIsRetriedAfterADelay) {
    RegistryFixture fixture;
    fixture.registry.on_loaded(machine_name(2), 5);
    fixture.registry.add(0, 0, machine_name(1), {});
    fixture.registry.remove(0, 0, machine_name(2));
    fixture.respond(0.1, fixture.take_requests().at(0), 0);
    EXPECT_TRUE(fixture.registered.empty());
    fixture.registry.flush(0.2);
    EXPECT_TRUE(fixture.take_requests().empty()); // not at once
    fixture.registry.flush(1);
    auto retry = fixture.take_requests();
    ASSERT_EQ(retry.size(), 1u);
    EXPECT_EQ(std::get<StoreTransaction>(retry[0].body).writes.size(), 2u);
    fixture.respond(1.1, retry[0], 200);
    EXPECT_EQ(fixture.registered, std::vector<std::string>{machine_name(1)});
    fixture.registry.flush(3);
    EXPECT_TRUE(fixture.take_requests().empty());
}

// A drop without an answer was carried out after the machine had been entered anew under the same
// claim, and took a machine that carried tasks off the registry: the next owner would not have
// asked it.
TEST(MachineRegistry, LateRemovalDoesNotDeleteANewerEntry) {
    RegistryFixture fixture;
    const std::string key = "machine/0/" + machine_name(1);
    fixture.registry.add(0, 0, machine_name(1), {});
    fixture.execute_all(0);
    ASSERT_TRUE(fixture.versions.contains(key));
    fixture.registry.remove(1, 0, machine_name(1));
    OutboundRequest late = fixture.take_requests().at(0);
    fixture.respond(2, late, 0); // no answer
    fixture.registry.add(3, 0, machine_name(1), {});
    fixture.execute_all(4);
    ASSERT_EQ(fixture.registered.size(), 2u);
    EXPECT_EQ(fixture.execute(late).status, 409);
    EXPECT_TRUE(fixture.versions.contains(key));
    // Carried out before: the entry is found gone, and written.
    fixture.registry.remove(10, 0, machine_name(1));
    late = fixture.take_requests().at(0);
    fixture.execute(late);
    EXPECT_FALSE(fixture.versions.contains(key));
    fixture.respond(11, late, 0);
    fixture.registry.add(12, 0, machine_name(1), {});
    fixture.execute_all(13);
    EXPECT_TRUE(fixture.versions.contains(key));
    EXPECT_EQ(fixture.registered.size(), 3u);
}

TEST(MachineRegistry, UnansweredAddThatTookEffectIsConfirmedAndCanBeRemoved) {
    RegistryFixture fixture;
    const std::string key = "machine/0/" + machine_name(1);
    fixture.registry.add(0, 0, machine_name(1), {});
    OutboundRequest late = fixture.take_requests().at(0);
    fixture.execute(late); // and its answer is lost
    fixture.respond(1, late, 0);
    fixture.execute_all(2);
    EXPECT_EQ(fixture.registered, std::vector<std::string>{machine_name(1)});
    EXPECT_TRUE(fixture.versions.contains(key));
    fixture.registry.remove(3, 0, machine_name(1));
    fixture.execute_all(4);
    EXPECT_FALSE(fixture.versions.contains(key));
    // One that an owner before us entered, not read yet, is dropped as well.
    fixture.versions["machine/0/" + machine_name(2)] = 3;
    fixture.registry.remove(5, 0, machine_name(2));
    fixture.execute_all(6);
    EXPECT_FALSE(fixture.versions.contains("machine/0/" + machine_name(2)));
}

TEST(MachineRegistry, MachineRemovedWhileItsAddIsInFlightIsDeletedAfterwards) {
    RegistryFixture fixture;
    fixture.registry.add(0, 0, machine_name(1), {});
    auto first = fixture.take_requests();
    fixture.registry.remove(0.01, 0, machine_name(1));
    EXPECT_TRUE(fixture.take_requests().empty());
    fixture.respond(0.02, first.at(0), 200);
    EXPECT_TRUE(fixture.registered.empty()); // nothing may be started there
    auto second = fixture.take_requests();
    ASSERT_EQ(second.size(), 1u);
    const auto& writes = std::get<StoreTransaction>(second[0].body).writes;
    ASSERT_EQ(writes.size(), 1u);
    EXPECT_EQ(writes[0].key, "machine/0/" + machine_name(1));
    EXPECT_FALSE(writes[0].value);
}

} // namespace
} // namespace scheduler::test
