// The roster against a scripted state service.
#include <gtest/gtest.h>

#include "core/machines/machine_registry.h"

namespace scheduler::test {
namespace {

struct Desk {
    StoreRateLimiter budget{1000, 1000, 1};
    OutboundRequests calls{budget, 1};
    std::vector<std::string> stand;
    MachineRegistry roster{
        {"part/0", 7},
        cluster_settings(),
        calls,
        [this](Time, const OutboundResponse&, const std::vector<std::string>& names) {
            stand.insert(stand.end(), names.begin(), names.end());
        }};
    static ClusterSettings cluster_settings() {
        ClusterSettings settings;
        settings.store_transaction_limit = 12;
        settings.heartbeat_interval_s = 3;
        return settings;
    }
    // What was sent since the last time.
    std::vector<OutboundRequest> sent() {
        Outputs out;
        calls.drain_into(out);
        return out.requests;
    }
    void reply(Time now, const OutboundRequest& call, int status, std::uint64_t at_revision = 0) {
        OutboundResponse r;
        r.request_id = call.id;
        r.status = status;
        r.revision = at_revision;
        calls.handle_response(now, r);
    }
    // A state service of a few keys: what it answers to the call, if it is carried out.
    std::map<std::string, std::uint64_t> keys{{"part/0", 7}};
    std::uint64_t revision = 7;
    OutboundResponse carry_out(const OutboundRequest& call) {
        OutboundResponse r;
        r.request_id = call.id;
        r.status = 200;
        if (const auto* get = std::get_if<StoreGet>(&call.body)) {
            auto it = keys.find(get->key);
            r.status = it == keys.end() ? 404 : 200;
            if (r.status == 200) {
                r.entries.push_back({get->key, MachineRecord{}, it->second});
            }
            return r;
        }
        const auto& txn = std::get<StoreTransaction>(call.body);
        for (const auto& condition : txn.conditions) {
            if ((keys.contains(condition.key) ? keys[condition.key] : 0) != condition.version) {
                r.failed_keys.push_back(condition.key);
            }
        }
        r.status = r.failed_keys.empty() ? 200 : 409;
        r.revision = r.status == 200 ? ++revision : revision;
        for (const auto& c : txn.writes) {
            if (r.status == 200 && c.value) {
                keys[c.key] = revision;
            } else if (r.status == 200) {
                keys.erase(c.key);
            }
        }
        return r;
    }
    // Everything is carried out and answered until nothing more is sent.
    void serve(Time now) {
        roster.flush(now);
        for (auto calls_sent = sent(); !calls_sent.empty(); calls_sent = sent()) {
            for (const auto& call : calls_sent) {
                OutboundResponse r = carry_out(call);
                calls.handle_response(now, r);
            }
        }
    }
};

std::string name(int n) { return "i-" + std::to_string(100 + n); }

TEST(Roster, MachinesThatComeTogetherShareTransactions) {
    Desk d;
    for (int n = 0; n < 30; ++n) {
        d.roster.add(0, 0, name(n), {"10.0.0.1:1", "m8", "a", true});
    }
    std::size_t requests = 0;
    std::size_t changes = 0;
    for (auto calls = d.sent(); !calls.empty(); calls = d.sent()) {
        ASSERT_EQ(calls.size(), 1u); // one at a time
        const auto& txn = std::get<StoreTransaction>(calls[0].body);
        ASSERT_EQ(txn.conditions.size(), 1 + txn.writes.size());
        EXPECT_EQ(txn.conditions[0].key, "part/0");
        EXPECT_EQ(txn.conditions[0].version, 7u);             // under the claim as it stands
        for (std::size_t i = 0; i < txn.writes.size(); ++i) { // and none of them entered meanwhile
            EXPECT_EQ(txn.conditions[i + 1].key, txn.writes[i].key);
            EXPECT_EQ(txn.conditions[i + 1].version, 0u);
        }
        EXPECT_LE(txn.writes.size(), 12u);
        ++requests;
        changes += txn.writes.size();
        d.reply(0.01, calls[0], 200);
    }
    EXPECT_EQ(changes, 30u);
    EXPECT_LE(requests, 4u);
    EXPECT_EQ(d.stand.size(), 30u);
}

TEST(Roster, GoesInSmallerStepsWhereTheBudgetIsShort) {
    Desk d;
    while (d.budget.try_acquire(0, StoreRateLimiter::Use::user, 100)) {
    }
    while (d.budget.try_acquire(0, StoreRateLimiter::Use::user,
                                3)) { // a change or two more is all there is
    }
    for (int n = 0; n < 12; ++n) {
        d.roster.add(0, 0, name(n), {});
    }
    std::size_t changes = 0;
    for (Time t = 0.001; t < 1; t += 0.001) { // others take what comes in, but for one change
        d.roster.flush(t);
        for (const auto& call : d.sent()) {
            changes += std::get<StoreTransaction>(call.body).writes.size();
            d.reply(t, call, 200);
        }
        while (d.budget.try_acquire(t, StoreRateLimiter::Use::user, 2)) {
        }
    }
    EXPECT_EQ(changes, 12u);
    EXPECT_EQ(d.stand.size(), 12u);
}

TEST(Roster, WhatFailedOrHadNoAnswerIsSentAgain) {
    Desk d;
    d.roster.on_loaded(name(2), 5);
    d.roster.add(0, 0, name(1), {});
    d.roster.remove(0, 0, name(2));
    d.reply(0.1, d.sent().at(0), 0);
    EXPECT_TRUE(d.stand.empty());
    d.roster.flush(0.2);
    EXPECT_TRUE(d.sent().empty()); // not at once
    d.roster.flush(1);
    auto again = d.sent();
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(std::get<StoreTransaction>(again[0].body).writes.size(), 2u);
    d.reply(1.1, again[0], 200);
    EXPECT_EQ(d.stand, std::vector<std::string>{name(1)});
    d.roster.flush(3);
    EXPECT_TRUE(d.sent().empty());
}

// A drop without an answer was carried out after the machine had been entered anew under the same
// claim, and took a machine that carried tasks off the roster: the next owner would not have asked
// it.
TEST(Roster, ALateDropLeavesAnEntryThatCameAfterIt) {
    Desk d;
    const std::string key = "machine/0/" + name(1);
    d.roster.add(0, 0, name(1), {});
    d.serve(0);
    ASSERT_TRUE(d.keys.contains(key));
    d.roster.remove(1, 0, name(1));
    OutboundRequest late = d.sent().at(0);
    d.reply(2, late, 0); // no answer
    d.roster.add(3, 0, name(1), {});
    d.serve(4);
    ASSERT_EQ(d.stand.size(), 2u);
    EXPECT_EQ(d.carry_out(late).status, 409);
    EXPECT_TRUE(d.keys.contains(key));
    // Carried out before: the entry is found gone, and written.
    d.roster.remove(10, 0, name(1));
    late = d.sent().at(0);
    d.carry_out(late);
    EXPECT_FALSE(d.keys.contains(key));
    d.reply(11, late, 0);
    d.roster.add(12, 0, name(1), {});
    d.serve(13);
    EXPECT_TRUE(d.keys.contains(key));
    EXPECT_EQ(d.stand.size(), 3u);
}

TEST(Roster, ALateEntryNeitherFailsNorIsWrittenOver) {
    Desk d;
    const std::string key = "machine/0/" + name(1);
    d.roster.add(0, 0, name(1), {});
    OutboundRequest late = d.sent().at(0);
    d.carry_out(late); // and its answer is lost
    d.reply(1, late, 0);
    d.serve(2);
    EXPECT_EQ(d.stand, std::vector<std::string>{name(1)});
    EXPECT_TRUE(d.keys.contains(key));
    d.roster.remove(3, 0, name(1));
    d.serve(4);
    EXPECT_FALSE(d.keys.contains(key));
    // One that an owner before us entered, not read yet, is dropped as well.
    d.keys["machine/0/" + name(2)] = 3;
    d.roster.remove(5, 0, name(2));
    d.serve(6);
    EXPECT_FALSE(d.keys.contains("machine/0/" + name(2)));
}

TEST(Roster, AMachineThatGoesWhileItsEntryIsUnderWayIsDroppedAfterIt) {
    Desk d;
    d.roster.add(0, 0, name(1), {});
    auto first = d.sent();
    d.roster.remove(0.01, 0, name(1));
    EXPECT_TRUE(d.sent().empty());
    d.reply(0.02, first.at(0), 200);
    EXPECT_TRUE(d.stand.empty()); // nothing may be started there
    auto second = d.sent();
    ASSERT_EQ(second.size(), 1u);
    const auto& then = std::get<StoreTransaction>(second[0].body).writes;
    ASSERT_EQ(then.size(), 1u);
    EXPECT_EQ(then[0].key, "machine/0/" + name(1));
    EXPECT_FALSE(then[0].value);
}

} // namespace
} // namespace scheduler::test
