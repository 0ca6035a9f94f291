// The roster against a scripted state service.
#include <gtest/gtest.h>

#include "core/roster.h"

namespace orchidlanding::test {
namespace {

struct Desk {
    StateBudget budget{1000, 1000, 1};
    Calls calls{budget, 1};
    std::vector<std::string> stand;
    Roster roster{{"part/0", 7},
                  facts(),
                  calls,
                  [this](Time, const CallReply&, const std::vector<std::string>& names) {
                      stand.insert(stand.end(), names.begin(), names.end());
                  }};
    static Facts facts() {
        Facts f;
        f.txn_ops = 12;
        f.report_s = 3;
        return f;
    }
    // What was sent since the last time.
    std::vector<Call> sent() {
        Outputs out;
        calls.take(out);
        return out.calls;
    }
    void reply(Time now, const Call& call, int status) {
        CallReply r;
        r.call = call.id;
        r.status = status;
        calls.answered(now, r);
    }
};

std::string name(int n) { return "i-" + std::to_string(100 + n); }

TEST(Roster, MachinesThatComeTogetherShareTransactions) {
    Desk d;
    for (int n = 0; n < 30; ++n) {
        d.roster.write(0, 0, name(n), {"10.0.0.1:1", "m8", "a", true});
    }
    std::size_t requests = 0;
    std::size_t changes = 0;
    for (auto calls = d.sent(); !calls.empty(); calls = d.sent()) {
        ASSERT_EQ(calls.size(), 1u); // one at a time
        const auto& txn = std::get<Txn>(calls[0].body);
        ASSERT_EQ(txn.when.size(), 1u);
        EXPECT_EQ(txn.when[0].version, 7u); // under the claim as it stands
        EXPECT_LE(txn.then.size(), 12u);
        ++requests;
        changes += txn.then.size();
        d.reply(0.01, calls[0], 200);
    }
    EXPECT_EQ(changes, 30u);
    EXPECT_LE(requests, 4u);
    EXPECT_EQ(d.stand.size(), 30u);
}

TEST(Roster, GoesInSmallerStepsWhereTheBudgetIsShort) {
    Desk d;
    while (d.budget.take(0, StateBudget::Use::user, 100)) {
    }
    while (d.budget.take(0, StateBudget::Use::user, 3)) { // a change or two more is all there is
    }
    for (int n = 0; n < 12; ++n) {
        d.roster.write(0, 0, name(n), {});
    }
    std::size_t changes = 0;
    for (Time t = 0.001; t < 1; t += 0.001) { // others take what comes in, but for one change
        d.roster.flush(t);
        for (const auto& call : d.sent()) {
            changes += std::get<Txn>(call.body).then.size();
            d.reply(t, call, 200);
        }
        while (d.budget.take(t, StateBudget::Use::user, 2)) {
        }
    }
    EXPECT_EQ(changes, 12u);
    EXPECT_EQ(d.stand.size(), 12u);
}

TEST(Roster, WhatFailedOrHadNoAnswerIsSentAgain) {
    Desk d;
    d.roster.write(0, 0, name(1), {});
    d.roster.drop(0, 0, name(2));
    d.reply(0.1, d.sent().at(0), 0);
    EXPECT_TRUE(d.stand.empty());
    d.roster.flush(0.2);
    EXPECT_TRUE(d.sent().empty()); // not at once
    d.roster.flush(1);
    auto again = d.sent();
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(std::get<Txn>(again[0].body).then.size(), 2u);
    d.reply(1.1, again[0], 200);
    EXPECT_EQ(d.stand, std::vector<std::string>{name(1)});
    d.roster.flush(3);
    EXPECT_TRUE(d.sent().empty());
}

TEST(Roster, AMachineThatGoesWhileItsEntryIsUnderWayIsDroppedAfterIt) {
    Desk d;
    d.roster.write(0, 0, name(1), {});
    auto first = d.sent();
    d.roster.drop(0.01, 0, name(1));
    EXPECT_TRUE(d.sent().empty());
    d.reply(0.02, first.at(0), 200);
    EXPECT_TRUE(d.stand.empty()); // nothing may be started there
    auto second = d.sent();
    ASSERT_EQ(second.size(), 1u);
    const auto& then = std::get<Txn>(second[0].body).then;
    ASSERT_EQ(then.size(), 1u);
    EXPECT_EQ(then[0].key, "machine/0/" + name(1));
    EXPECT_FALSE(then[0].put);
}

} // namespace
} // namespace orchidlanding::test
