// Tests of the machine registry against a scripted key-value store.
#include <gtest/gtest.h>

#include "core/machines/machine_registry.h"

namespace scheduler::test {
namespace {

// A registry, and a key-value store that executes or drops its requests as the test decides.
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
    // Returns the requests that were sent since the last call.
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
    std::map<std::string, std::uint64_t> versions{{"part/0", 7}}; // of the keys in the store
    std::uint64_t revision = 7;
    // Executes the request in the store and returns the store's response.
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
    // Executes and answers all requests until no more are sent.
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
        ASSERT_EQ(requests.size(), 1u); // one transaction at a time
        const auto& txn = std::get<StoreTransaction>(requests[0].body);
        ASSERT_EQ(txn.conditions.size(), 1 + txn.writes.size());
        EXPECT_EQ(txn.conditions[0].key, "part/0");
        EXPECT_EQ(txn.conditions[0].version, 7u); // conditional on the current leadership term
        for (std::size_t i = 0; i < txn.writes.size(); ++i) { // and on the absence of each entry
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
    // Leaves only a change or two.
    while (fixture.rate_limiter.try_acquire(0, StoreRateLimiter::Use::user, 3)) {
    }
    for (int n = 0; n < 12; ++n) {
        fixture.registry.add(0, 0, machine_name(n), {});
    }
    std::size_t changes = 0;
    // Other requests use all but one change of the refill.
    for (Time now = 0.001; now < 1; now += 0.001) {
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
    EXPECT_TRUE(fixture.take_requests().empty()); // not retried immediately
    fixture.registry.flush(1);
    auto retry = fixture.take_requests();
    ASSERT_EQ(retry.size(), 1u);
    EXPECT_EQ(std::get<StoreTransaction>(retry[0].body).writes.size(), 2u);
    fixture.respond(1.1, retry[0], 200);
    EXPECT_EQ(fixture.registered, std::vector<std::string>{machine_name(1)});
    fixture.registry.flush(3);
    EXPECT_TRUE(fixture.take_requests().empty());
}

// An unanswered removal was executed after the machine had been registered again in the same
// leadership term. It deleted the entry of a machine that ran tasks, which the next leader would
// then not have queried.
TEST(MachineRegistry, LateRemovalDoesNotDeleteANewerEntry) {
    RegistryFixture fixture;
    const std::string key = "machine/0/" + machine_name(1);
    fixture.registry.add(0, 0, machine_name(1), {});
    fixture.execute_all(0);
    ASSERT_TRUE(fixture.versions.contains(key));
    fixture.registry.remove(1, 0, machine_name(1));
    OutboundRequest late = fixture.take_requests().at(0);
    fixture.respond(2, late, 0); // no response
    fixture.registry.add(3, 0, machine_name(1), {});
    fixture.execute_all(4);
    ASSERT_EQ(fixture.registered.size(), 2u);
    EXPECT_EQ(fixture.execute(late).status, 409);
    EXPECT_TRUE(fixture.versions.contains(key));
    // If the removal is executed before the new addition, the entry is written again.
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
    fixture.execute(late); // its response is lost
    fixture.respond(1, late, 0);
    fixture.execute_all(2);
    EXPECT_EQ(fixture.registered, std::vector<std::string>{machine_name(1)});
    EXPECT_TRUE(fixture.versions.contains(key));
    fixture.registry.remove(3, 0, machine_name(1));
    fixture.execute_all(4);
    EXPECT_FALSE(fixture.versions.contains(key));
    // An entry of an earlier leader is removed as well, though it has not been read yet.
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
    EXPECT_TRUE(fixture.registered.empty()); // no task may be started on it
    auto second = fixture.take_requests();
    ASSERT_EQ(second.size(), 1u);
    const auto& writes = std::get<StoreTransaction>(second[0].body).writes;
    ASSERT_EQ(writes.size(), 1u);
    EXPECT_EQ(writes[0].key, "machine/0/" + machine_name(1));
    EXPECT_FALSE(writes[0].value);
}

} // namespace
} // namespace scheduler::test
