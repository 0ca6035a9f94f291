// Shares of machines and their moves: the pure parts, a move as its steps, and several machines and
// failures on the fake clock. See docs/shares.md.
#include <gtest/gtest.h>

#include <cstdlib>

#include "core/balance.h"
#include "core/mover.h"
#include "core/parts.h"
#include "policy/defaults.h"
#include "seeds.h"
#include "world.h"

namespace orchidlanding::test {
namespace {

Facts five_nodes() { return World({.nodes = 5}).facts(0); }

TEST(Shares, AreAtMostATwentiethOfAllMachinesAndHomeIsTheFixedHash) {
    for (const auto& zones :
         {std::vector<std::string>(5, "a"), std::vector<std::string>{"a", "b", "a", "b", "c"},
          std::vector<std::string>{"a", "b", "c"}}) {
        Facts f;
        for (std::size_t n = 0; n < zones.size(); ++n) {
            f.parts.push_back({"n" + std::to_string(n), zones[n]});
        }
        std::map<ShareId, int> count;
        int machines = 0;
        for (const auto& zone : {"a", "b", "c", "d"}) { // nobody is at home in d
            for (int i = 0; i < 2000; ++i, ++machines) {
                std::string name = "i-" + std::to_string(100000 + i);
                ShareId share = share_of_machine(f, name, zone);
                EXPECT_EQ(share.home, part_of_machine(f, name, zone));
                EXPECT_EQ(share, share_at(f, share.home, name));
                ++count[share];
            }
        }
        EXPECT_EQ(count.size(), all_shares(f).size());
        for (const auto& [share, n] : count) {
            EXPECT_LT(n, 0.08 * machines) << text_of(share);
        }
    }
}

TEST(Shares, OfALostPartAreSpreadEvenlyOverThoseWhoAreThere) {
    Facts f = five_nodes();
    Holders now;
    for (const auto& share : all_shares(f)) {
        now[share.home].push_back(share.home);
    }
    Holders next = spread(now, 1, {0, 2, 3, 4}, 10);
    ASSERT_EQ(next.size(), 1u);
    for (const auto& [home, holders] : next) {
        now[home] = holders;
    }
    std::map<int, int> held;
    for (const auto& [home, holders] : now) {
        for (int holder : holders) {
            ++held[holder];
        }
    }
    EXPECT_EQ(held.count(1), 0u);
    int most = std::max({held[0], held[2], held[3], held[4]});
    EXPECT_LE(most, 1.25 * static_cast<double>(all_shares(f).size()) / 4);
    EXPECT_TRUE(spread(now, 1, {0, 2}, 10).empty()); // it holds none any more
    EXPECT_TRUE(spread(now, 0, {}, 10).empty());     // nobody is there
}

// ---- When to move ----

TEST(ShareBalance, GivesToTheLeastLoadedUntilTheDifferenceIsSmall) {
    Facts f = five_nodes();
    Balance balance(f);
    auto choose = [&](Time now, double mine, double theirs, double capacity = 1) {
        std::vector<ShareLoad> shares;
        for (int n = 0; n < 10; ++n) {
            shares.push_back({{0, n}, mine / 10, true});
        }
        return balance.choose(now, 0,
                              {{0, mine, capacity, false},
                               {1, theirs, 1, true},
                               {2, theirs * 2, 1, true},
                               {3, 0, 1, false}}, // not heard of lately
                              shares, 8);
    };
    EXPECT_FALSE(choose(100, 1000, 900)); // near enough
    auto move = choose(100, 1000, 500);
    ASSERT_TRUE(move);
    EXPECT_EQ(move->to, 1);
    balance.began(100);
    EXPECT_FALSE(choose(100.1, 1000, 500));   // one at a time
    EXPECT_TRUE(choose(104, 1000, 800));      // it goes on below where it began
    EXPECT_FALSE(choose(108, 1000, 900));     // until they are alike
    EXPECT_FALSE(choose(112, 1000, 800));     // and does not begin again for that
    EXPECT_TRUE(choose(116, 1000, 950, 0.5)); // a slow processor has twice the load
    EXPECT_FALSE(choose(120, 40, 10));        // too few machines to be worth it
}

TEST(ShareBalance, HasABoundOnMovesInAnHour) {
    Facts f = five_nodes();
    Balance balance(f);
    int moves = 0;
    for (Time now = 0; now < 3600; now += 1) {
        std::vector<ShareLoad> shares{{{0, 1}, 10, true}};
        if (balance.choose(now, 0, {{0, 1000, 1, false}, {1, 10, 1, true}}, shares, 8)) {
            balance.began(now);
            ++moves;
        }
    }
    EXPECT_GE(moves, shares_at(f, 0));
    EXPECT_LE(moves, 5 * shares_at(f, 0) + 1);
}

TEST(ShareBalance, CapacityFallsWhileTheTimerIsLateAndComesBackByDegrees) {
    Facts f = five_nodes();
    double tick = Controller::tick_s(f);
    Capacity capacity(f, tick);
    Time now = 0;
    auto run = [&](double seconds, double gap) {
        for (Time end = now + seconds; now < end; now += gap) {
            capacity.tick(now);
        }
    };
    run(60, tick * 1.1);
    EXPECT_EQ(capacity.value(), 1);
    run(2 * f.report_s + 1, 1); // four times as long as it should be
    EXPECT_LT(capacity.value(), 1);
    run(120, 1);
    EXPECT_NEAR(capacity.value(), 0.1, 0.01);
    run(2 * f.lease_s + 2, tick);
    EXPECT_GT(capacity.value(), 0.15);
    EXPECT_LT(capacity.value(), 0.5);
    run(20 * f.lease_s, tick);
    EXPECT_EQ(capacity.value(), 1);
}

// ---- The table and the holdings ----

struct Table {
    Facts facts = five_nodes();
    StateBudget budget{1000, 1000, 1};
    Calls calls{budget, 1};
    Authority authority{11};
    PartTable table{facts};
    std::uint64_t revision = 10;

    CallReply read(std::vector<KeyedRecord> more = {}) {
        CallReply r;
        r.status = 200;
        r.revision = revision;
        for (int p = 0; p < 5; ++p) {
            r.items.push_back({part_key(p), PartRecord{"n" + std::to_string(p), true},
                               static_cast<std::uint64_t>(2 + p)});
        }
        r.items.insert(r.items.end(), more.begin(), more.end());
        return r;
    }
    KeyedRecord shares(int home, std::vector<int> holders, std::uint64_t version) {
        return {PartTable::shares_key(home), ShareRecord{std::move(holders)}, version};
    }
    std::vector<int> at_home(int home) {
        return std::vector<int>(static_cast<std::size_t>(shares_at(facts, home)), home);
    }
    std::size_t errors() {
        Outputs out;
        calls.take(out);
        return static_cast<std::size_t>(
            std::count_if(out.log.begin(), out.log.end(), [](const LogLine& line) {
                return line.text.starts_with("event=unreadable_record");
            }));
    }
};

TEST(ShareMap, WithoutOneEverythingIsAtHome) {
    Table t;
    EXPECT_EQ(t.table.revision(), 0u);
    EXPECT_FALSE(t.table.may_change(12));
    ASSERT_TRUE(t.table.take(t.read(), t.calls));
    for (const auto& share : all_shares(t.facts)) {
        EXPECT_EQ(t.table.holder(share), share.home);
    }
    EXPECT_TRUE(t.table.may_change(12));
    EXPECT_FALSE(t.table.may_change(1)); // its conditions would not fit into a transaction
}

TEST(ShareMap, ANodeOfTheVersionBeforeKeepsAllSharesWhereTheyAre) {
    Table t;
    CallReply r = t.read();
    std::get<PartRecord>(r.items[3].record).knows_shares = false;
    ASSERT_TRUE(t.table.take(r, t.calls));
    EXPECT_FALSE(t.table.may_change(12));
}

TEST(ShareMap, ADamagedOneIsNamedAndFencedAndWhatWasKnownHolds) {
    Table t;
    auto moved = t.at_home(2);
    moved[0] = 4;
    ASSERT_TRUE(t.table.take(t.read({t.shares(2, moved, 7)}), t.calls));
    EXPECT_EQ(t.table.holder({2, 0}), 4);
    EXPECT_EQ(t.errors(), 0u);
    auto short_one = t.at_home(2);
    short_one.pop_back();
    auto unknown_part = t.at_home(2);
    unknown_part[1] = 5;
    std::uint64_t version = 8;
    for (const KeyedRecord& bad :
         {KeyedRecord{PartTable::shares_key(2), Unreadable{}, version++},
          t.shares(2, short_one, version++), t.shares(2, unknown_part, version++)}) {
        ++t.revision;
        ASSERT_TRUE(t.table.take(t.read({bad}), t.calls)); // the parts themselves are readable
        EXPECT_EQ(t.errors(), 1u);
        ++t.revision;
        ASSERT_TRUE(t.table.take(t.read({bad}), t.calls));
        EXPECT_EQ(t.errors(), 0u); // said once
        EXPECT_EQ(t.table.holder({2, 0}), 4);
        EXPECT_FALSE(t.table.readable(2));
        EXPECT_TRUE(t.table.readable(1));
    }
    // A claim that has not held them gets none by what was read before: that may be older than the
    // last change.
    t.authority.granted(1, 0);
    t.authority.claimed(4, t.revision);
    Claim claim(0, 4, t.authority);
    Holdings holdings(claim, t.table);
    for (const auto& share : holdings.follow(0).gained) {
        EXPECT_NE(share.home, 2);
    }
    EXPECT_FALSE(holdings.serves({2, 0}));
    // A node that has never seen a readable one knows nobody who holds them.
    Table fresh;
    ASSERT_TRUE(fresh.table.take(fresh.read({t.shares(2, short_one, 9)}), fresh.calls));
    EXPECT_EQ(fresh.table.holder({2, 0}), -1);
    EXPECT_EQ(fresh.table.holder({1, 0}), 1);
}

TEST(ShareMap, AnUnreadablePartIsBelievedInNothing) {
    Table t;
    CallReply r = t.read();
    r.items[0].record = Unreadable{};
    EXPECT_FALSE(t.table.take(r, t.calls));
    EXPECT_EQ(t.table.revision(), 0u);
}

struct Holding : Table {
    std::unique_ptr<Claim> claim;
    std::unique_ptr<Holdings> holdings;

    explicit Holding(std::uint64_t term) {
        authority.granted(1, 0);
        authority.claimed(2, term);
        claim = std::make_unique<Claim>(0, 2, authority);
        holdings = std::make_unique<Holdings>(*claim, table);
    }
    Holdings::News read_map(std::uint64_t at, std::vector<int> holders, std::uint64_t version) {
        revision = at;
        EXPECT_TRUE(table.take(read({shares(2, std::move(holders), version)}), calls));
        return holdings->follow(0);
    }
};

TEST(ShareHoldings, CountOnlyFromAMapReadAfterTheClaimAndRiseWithEachHolding) {
    Holding h(20);
    EXPECT_TRUE(h.read_map(19, h.at_home(2), 7).gained.empty()); // older than the claim
    EXPECT_FALSE(h.holdings->known());
    EXPECT_EQ(h.read_map(25, h.at_home(2), 7).gained.size(), h.at_home(2).size());
    EXPECT_EQ(h.holdings->term({2, 0}), 25u);
    auto given = h.at_home(2);
    given[0] = 3;
    auto news = h.read_map(30, given, 29);
    ASSERT_EQ(news.lost.size(), 1u);
    EXPECT_EQ(news.lost[0], (std::pair(ShareId{2, 0}, 3)));
    EXPECT_FALSE(h.holdings->serves({2, 0}));
    EXPECT_TRUE(h.read_map(28, h.at_home(2), 7).gained.empty()); // a read that was overtaken
    EXPECT_EQ(h.read_map(35, h.at_home(2), 33).gained.size(), 1u);
    EXPECT_EQ(h.holdings->term({2, 0}), 35u);
    EXPECT_EQ(h.holdings->term({2, 1}), 25u); // it has been ours all along
}

TEST(ShareHoldings, TheGiversWordCountsAsAReadOfThatRevisionAndNoLonger) {
    Holding h(20);
    auto others = h.at_home(2);
    others[0] = 3;
    EXPECT_FALSE(h.holdings->take(0, {{2, 0}, 26, 20})); // no map has been seen yet
    h.read_map(25, others, 7);
    EXPECT_FALSE(h.holdings->take(0, {{2, 0}, 26, 19})); // given to a claim before this one
    EXPECT_FALSE(h.holdings->take(0, {{2, 0}, 24, 20})); // read better since
    ASSERT_TRUE(h.holdings->take(0, {{2, 0}, 30, 20}));
    EXPECT_EQ(h.holdings->term({2, 0}), 30u);
    EXPECT_TRUE(h.read_map(28, others, 7).lost.empty()); // read before it was given
    EXPECT_TRUE(h.read_map(31, h.at_home(2), 30).gained.empty());
    EXPECT_EQ(h.holdings->term({2, 0}), 30u);
    h.holdings->gave({2, 0}, 40);
    EXPECT_FALSE(h.holdings->take(0, {{2, 0}, 30, 20})); // the same word, late
    EXPECT_EQ(h.holdings->find({2, 0}), nullptr);
}

// ---- A move, step by step ----

struct Moving : Holding, Mover::Part {
    std::unique_ptr<Mover> mover;
    bool quiet = true;
    std::vector<int> handed_on;
    std::vector<std::pair<int, std::uint64_t>> told;
    int listed_again = 0;

    Moving() : Holding(4) { // the version of part/2 in `read`
        read_map(25, at_home(2), 7);
        mover = std::make_unique<Mover>(*claim, facts, table, *holdings, calls, *this);
    }
    bool still(const ShareId&) const override { return quiet; }
    void relist(const ShareId&) override {}
    void list_again(const ShareId&) override { ++listed_again; }
    void hand_on(Time, const ShareId&, int to) override { handed_on.push_back(to); }
    void tell_given(int to, const Given& given) override { told.emplace_back(to, given.term); }
    std::vector<Call> sent() {
        Outputs out;
        calls.take(out);
        return out.calls;
    }
    void reply(Time now, const Call& call, int status, std::uint64_t at = 0) {
        CallReply r;
        r.call = call.id;
        r.status = status;
        r.revision = at;
        calls.answered(now, r);
    }
    Holdings::State state() const { return holdings->find({2, 0})->state; }
};

TEST(ShareMover, GivesNoSlotFromTheStartAndNoAnswerFromTheTransactionOn) {
    Moving m;
    m.quiet = false;
    ASSERT_TRUE(m.mover->begin(100, {2, 0}, 3));
    EXPECT_FALSE(m.mover->begin(100, {2, 1}, 3)); // one at a time
    EXPECT_FALSE(m.holdings->gives({2, 0}));
    EXPECT_TRUE(m.holdings->serves({2, 0}));
    m.mover->tick(100.1);
    EXPECT_TRUE(m.sent().empty()); // starts are on their way
    m.quiet = true;
    m.mover->tick(100.2);
    auto calls = m.sent();
    ASSERT_EQ(calls.size(), 1u);
    const Txn& txn = std::get<Txn>(calls[0].body);
    EXPECT_EQ(txn.when.size(), 6u); // every part, and the key of the map
    ASSERT_EQ(txn.then.size(), 1u);
    EXPECT_EQ(txn.then[0].key, "part/2/shares");
    EXPECT_FALSE(m.holdings->serves({2, 0}));
    m.reply(100.3, calls[0], 200, 31);
    EXPECT_EQ(m.handed_on, (std::vector<int>{3}));
    EXPECT_EQ(m.told, (std::vector<std::pair<int, std::uint64_t>>{{3, 5}})); // and its claim's term
    EXPECT_EQ(m.holdings->find({2, 0}), nullptr);
    EXPECT_TRUE(m.read_map(30, m.at_home(2), 7).gained.empty()); // read before it took effect
}

TEST(ShareMover, WhatDoesNotSettleGoesAllTheSameAfterTwoReports) {
    Moving m;
    m.quiet = false;
    ASSERT_TRUE(m.mover->begin(100, {2, 0}, 3));
    m.mover->tick(100 + 2 * m.facts.report_s);
    EXPECT_TRUE(m.sent().empty());
    m.mover->tick(100.1 + 2 * m.facts.report_s);
    EXPECT_EQ(m.sent().size(), 1u);
}

TEST(ShareMover, KeepsTheShareWhenTheTransactionWasNotExecuted) {
    for (int status : {409, 429, 503}) {
        Moving m;
        ASSERT_TRUE(m.mover->begin(100, {2, 0}, 3));
        m.mover->tick(100);
        m.reply(100.1, m.sent().at(0), status, 30);
        EXPECT_FALSE(m.mover->busy());
        EXPECT_TRUE(m.holdings->gives({2, 0}));
        EXPECT_EQ(m.listed_again, 1); // listings have left it out
    }
}

TEST(ShareMover, WithoutAnAnswerSendsTheSameAgainAndLetsTheMapDecide) {
    for (bool took_effect : {false, true}) {
        Moving m;
        ASSERT_TRUE(m.mover->begin(100, {2, 0}, 3));
        m.mover->tick(100);
        auto first = m.sent().at(0);
        m.reply(101, first, 0);
        m.mover->tick(101.1);
        EXPECT_TRUE(m.sent().empty()); // not at once
        m.mover->tick(102);
        auto second = m.sent().at(0);
        EXPECT_EQ(std::get<Txn>(second.body).when.back().version,
                  std::get<Txn>(first.body).when.back().version);
        m.reply(102.1, second, 503); // not executed, but the first may be yet
        EXPECT_EQ(m.state(), Holdings::State::doubt);
        m.mover->tick(103);
        m.reply(103.1, m.sent().at(0), 409, 40);
        EXPECT_EQ(m.state(), Holdings::State::doubt); // the map as it was read says nothing
        m.mover->tick(104);
        EXPECT_TRUE(m.sent().empty());
        auto holders = m.at_home(2);
        holders[took_effect ? 0 : 1] = 3; // else another change refused it
        auto news = m.read_map(41, holders, 33);
        for (const auto& [share, to] : news.lost) {
            m.mover->lost(share);
        }
        m.mover->tick(105);
        EXPECT_FALSE(m.mover->busy());
        EXPECT_EQ(m.holdings->find({2, 0}) == nullptr, took_effect);
        EXPECT_EQ(m.listed_again, took_effect ? 0 : 1);
    }
}

TEST(ShareMover, MovesNothingToNobodyNorAFencedMap) {
    Moving m;
    EXPECT_FALSE(m.mover->begin(100, {1, 0}, 3)); // not ours
    EXPECT_FALSE(m.mover->begin(100, {2, 0}, 2)); // to ourselves
    CallReply r = m.read();
    std::erase_if(r.items, [](const auto& i) { return i.key == "part/3"; });
    r.revision = 50;
    ASSERT_TRUE(m.table.take(r, m.calls));
    EXPECT_FALSE(m.mover->begin(100, {2, 0}, 3)); // its owner is gone
    r = m.read({{PartTable::shares_key(2), Unreadable{}, 51}});
    r.revision = 51;
    ASSERT_TRUE(m.table.take(r, m.calls));
    EXPECT_FALSE(m.mover->begin(100, {2, 0}, 3));
}

// ---- Several machines and failures ----

WorldOptions five(std::uint64_t seed = 1) {
    return {.seed = seed, .nodes = 5, .run_s = 30, .limits = 10, .capacity = 70};
}

// A world of five controllers and at least `machines` that run the tasks of a large job.
void fill(World& w, std::size_t machines, const std::string& team = "red") {
    w.run_for(3);
    JobSpec s = w.job("req-1", static_cast<std::uint32_t>(machines * 4), 2);
    s.team = team;
    w.submit(0, s);
    w.run_for(30);
    ASSERT_GE(w.machines_up().size(), machines);
}

// A share that the part holds and that has machines.
ShareId busy_share(const World& w, int part) {
    std::map<ShareId, int> count;
    for (const auto& machine : w.machines_up()) {
        ++count[share_of_machine(w.facts(0), machine, w.zone_of(machine))];
    }
    ShareId best{-1, -1};
    for (const auto& share : w.shares(part)) {
        if (count[share] > 0 && (best.home < 0 || count[share] > count[best])) {
            best = share;
        }
    }
    return best;
}

void cut_all_peers(World& w, bool cut) {
    for (int a = 0; a < 5; ++a) {
        for (int b = 0; b <= a; ++b) {
            w.cut_peers(a, b, cut);
        }
    }
}

// The part that holds the share; -1: none that is owned now.
int holder(const World& w, const ShareId& share) {
    for (int part = 0; part < 5; ++part) {
        for (const auto& held : w.shares(part)) {
            if (held == share) {
                return part;
            }
        }
    }
    return -1;
}

TEST(ShareMoves, AHundredOfOneShareToAndFroStopNoTask) {
    WorldOptions options = five();
    options.run_s = 420;
    World w(options);
    fill(w, 24);
    w.run_for(20); // the parts have settled
    int from = 0;
    ShareId share = busy_share(w, from);
    ASSERT_GE(share.home, 0);
    std::map<TaskRef, std::uint64_t> before;
    for (std::uint32_t i = 0; i < 96; ++i) {
        before[{"req-1", i}] = w.attempt_of({"req-1", i});
    }
    int moves = 0;
    for (; moves < 100; ++moves) {
        int to = (from + 1 + moves % 4) % 5;
        ASSERT_TRUE(w.give(from, share, to)) << moves;
        for (int k = 0; k < 100 && holder(w, share) != to; ++k) {
            w.run_for(0.1);
        }
        ASSERT_EQ(holder(w, share), to) << moves;
        from = to;
        w.run_for(0.5);
        ASSERT_TRUE(w.broken.empty()) << w.broken.front();
    }
    for (const auto& [task, attempt] : before) {
        EXPECT_EQ(w.attempt_of(task), attempt) << task.index;
        EXPECT_EQ(w.starts(task), 1);
    }
    w.run_for(600);
    EXPECT_TRUE(w.all_done("req-1"));
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

TEST(ShareMoves, TheTakerGivesSlotsOfTheShareAndTheGiverNoMore) {
    World w(five());
    fill(w, 24);
    w.run_for(20);
    ShareId share = busy_share(w, 0);
    ASSERT_TRUE(w.give(0, share, 3));
    w.run_for(8);
    ASSERT_EQ(holder(w, share), 3);
    std::size_t on = 0;
    JobSpec s = w.job("req-2", 60, 2);
    s.team = "blue";
    w.submit(0, s);
    w.run_for(60);
    for (const auto& machine : w.machines_up()) {
        if (share_of_machine(w.facts(0), machine, w.zone_of(machine)) == share) {
            for (std::uint32_t i = 0; i < 60; ++i) {
                on += w.machines_of({"req-2", i}).contains(machine);
            }
        }
    }
    w.run_for(200);
    EXPECT_TRUE(w.all_done("req-1"));
    EXPECT_TRUE(w.all_done("req-2"));
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
    EXPECT_EQ(w.logged("event=share_moved"), 1u);
}

// The giver, the taker or both end right after the giver's n-th call since the move began, each n
// on its own.
struct Crash {
    bool giver = false;
    bool taker = false;
};
class ShareCrash : public testing::TestWithParam<Crash> {};

TEST_P(ShareCrash, AfterEachSingleOutputLosesNothing) {
    int outputs = 1;
    for (int n = 0; n < outputs; ++n) {
        World w(five(7));
        fill(w, 20);
        w.run_for(20);
        const int from = 0;
        const int to = 3;
        ShareId share = busy_share(w, from);
        ASSERT_GE(share.home, 0);
        int calls = 0;
        bool moving = true;
        w.intercept = [&](int node, const CallBody&) {
            moving = moving && holder(w, share) != to;
            if (node == from && (moving || calls <= n) && calls++ == n) {
                w.at(w.now(), [&w, from, to] {
                    if (GetParam().giver) {
                        w.crash(from, 15);
                    }
                    if (GetParam().taker) {
                        w.crash(to, 15);
                    }
                });
            }
            return false;
        };
        ASSERT_TRUE(w.give(from, share, to));
        w.run_for(8);
        w.intercept = nullptr;
        if (n == 0) {
            World calm(five(7)); // how many outputs a move has
            fill(calm, 20);
            calm.run_for(20);
            outputs = 0;
            calm.intercept = [&](int node, const CallBody&) {
                outputs += node == from && holder(calm, share) != to;
                return false;
            };
            ASSERT_TRUE(calm.give(from, share, to));
            calm.run_for(8);
            ASSERT_GT(outputs, 3);
        }
        w.run_for(240);
        ASSERT_TRUE(w.broken.empty()) << w.broken.front() << " after output " << n;
        ASSERT_TRUE(w.all_done("req-1")) << "after output " << n;
    }
}
INSTANTIATE_TEST_SUITE_P(OfGiverTakerBoth, ShareCrash,
                         testing::Values(Crash{true, false}, Crash{false, true},
                                         Crash{true, true}));

TEST(ShareMoves, AFrozenGiverOrTakerIsOutlived) {
    for (int frozen : {0, 3}) {
        World w(five(3));
        fill(w, 20);
        w.run_for(20);
        ShareId share = busy_share(w, 0);
        ASSERT_TRUE(w.give(0, share, 3));
        w.run_for(0.3);
        w.freeze(frozen, 40);
        w.run_for(240);
        EXPECT_TRUE(w.broken.empty()) << w.broken.front();
        EXPECT_TRUE(w.all_done("req-1"));
    }
}

TEST(ShareMoves, AStateOutageInItsMidstStopsNoTask) {
    WorldOptions options = five(4);
    options.run_s = 120;
    for (double after : {0.0, 0.02, 0.1, 0.3}) {
        World w(options);
        fill(w, 20);
        w.run_for(20);
        ShareId share = busy_share(w, 0);
        ASSERT_TRUE(w.give(0, share, 3));
        w.run_for(after);
        w.state_down(true);
        w.run_for(40); // longer than any lease: siblings' promises
        w.state_down(false);
        w.run_for(300);
        EXPECT_TRUE(w.all_done("req-1"));
        for (std::uint32_t i = 0; i < 80; ++i) {
            EXPECT_EQ(w.starts({"req-1", i}), 1) << i << " after " << after;
        }
        EXPECT_TRUE(w.broken.empty()) << w.broken.front();
    }
}

TEST(ShareMoves, GiverAndTakerCutFromEachOther) {
    World w(five(5));
    fill(w, 20);
    w.run_for(20);
    w.cut_peers(0, 3, true);
    ShareId share = busy_share(w, 0);
    ASSERT_TRUE(w.give(0, share, 3));
    w.run_for(30);
    EXPECT_EQ(holder(w, share), 3);
    w.cut_peers(0, 3, false);
    w.run_for(240);
    EXPECT_TRUE(w.all_done("req-1"));
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

TEST(ShareMoves, ACancelledJobsTasksAreStoppedOverAMove) {
    for (double after : {0.0, 0.05, 0.5, 1.0}) {
        WorldOptions options = five(6);
        options.run_s = 300;
        World w(options);
        fill(w, 20);
        w.run_for(20);
        ShareId share = busy_share(w, 0);
        ASSERT_TRUE(w.give(0, share, 3));
        w.run_for(after);
        RequestId request = w.cancel(2, "req-1");
        w.run_for(20);
        EXPECT_EQ(w.answers.at(request).status, 200);
        EXPECT_EQ(w.used("red"), 0);
        EXPECT_TRUE(w.broken.empty()) << w.broken.front();
    }
}

// A share moves while a gang is gathered, runs, or is stopped in good order.
TEST(ShareMoves, InTheMidstOfAGang) {
    for (double at : {10.2, 12.0, 14.0, 20.0, 26.0}) {
        World w(five(8));
        fill(w, 12);
        JobSpec g = w.job("req-2", 10, 4);
        g.kind = JobKind::gang;
        g.team = "blue";
        g.checkpoint_s = 5;
        g.save_s = 1;
        g.spot = false;
        w.at(w.now() + 5, [&] { w.submit(1, g); });
        w.at(w.now() + 24, [&] {
            for (std::uint32_t i = 0; i < 10; ++i) {
                for (const auto& machine : w.machines_of({"req-2", i})) {
                    w.take_machine(machine, 8);
                    return;
                }
            }
        });
        for (int k = 0; k < 4; ++k) {
            w.at(w.now() + at + 0.3 * k, [&w, k] {
                for (int from = 0; from < 5; ++from) {
                    ShareId share = busy_share(w, from);
                    if (share.home >= 0) {
                        w.give(from, share, (from + 1 + k) % 5);
                    }
                }
            });
        }
        w.run_for(300);
        EXPECT_GT(w.logged("event=share_moved"), 3u);
        EXPECT_TRUE(w.all_done("req-2")) << w.describe("req-2");
        EXPECT_GE(w.gang_runs("req-2"), 1);
        EXPECT_TRUE(w.broken.empty()) << w.broken.front();
    }
}

TEST(ShareMap, ADamagedOneLosesNothingWhileItsHoldersLive) {
    World w(five(9));
    fill(w, 20);
    w.run_for(20);
    ShareId share = busy_share(w, 0);
    ASSERT_TRUE(w.give(0, share, 3));
    w.run_for(8);
    ASSERT_TRUE(w.stands(PartTable::shares_key(share.home)));
    w.put(PartTable::shares_key(share.home), Unreadable{});
    w.run_for(10);
    EXPECT_EQ(holder(w, share), 3); // it goes on
    EXPECT_FALSE(w.give(3, share, 0));
    EXPECT_GE(w.logged("event=unreadable_record"), 5u); // each node has named it
    w.run_for(150);
    EXPECT_TRUE(w.all_done("req-1"));
    // A new claim of its part holds none of them, and says so to their machines.
    w.submit(1, w.job("req-2", 10, 2));
    w.crash(3, 60);
    w.run_for(30);
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

TEST(ShareMoves, BesideANodeOfTheVersionBeforeThereAreNone) {
    World w(five(10));
    fill(w, 20);
    w.run_for(20);
    w.crash(2, 100);
    w.put(part_key(2), PartRecord{"n2", false}); // as if an older program had claimed it
    w.run_for(3);
    EXPECT_FALSE(w.give(0, busy_share(w, 0), 3));
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

TEST(ShareTakeover, TheSharesOfALostControllerGoToAllWhoAreThere) {
    WorldOptions options = five(11);
    options.run_s = 60;
    World w(options);
    fill(w, 40, "blue");
    w.run_for(20);
    std::size_t all = all_shares(w.facts(0)).size();
    w.crash(1, 120);
    w.run_for(40);
    std::size_t held = 0;
    std::size_t most = 0;
    for (int part : {0, 2, 3, 4}) {
        held += w.shares(part).size();
        most = std::max(most, w.shares(part).size());
    }
    EXPECT_NE(w.owner(1), 1); // its teams have an owner ...
    EXPECT_GE(w.owner(1), 0);
    EXPECT_TRUE(w.shares(1).empty()); // ... who holds no machines for it
    EXPECT_EQ(held, all);
    EXPECT_LE(static_cast<double>(most), 1.25 * static_cast<double>(all) / 4);
    w.run_for(400);
    EXPECT_EQ(w.owner(1), 1); // it has its teams back
    EXPECT_TRUE(w.all_done("req-1"));
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

TEST(ShareTakeover, AControllerThatComesBackGetsSharesByDegrees) {
    WorldOptions options = five(12);
    options.run_s = 900;
    options.limits = 20;
    World w(options);
    fill(w, 60);
    w.run_for(20);
    w.crash(1, 40);
    w.run_for(39);
    ASSERT_EQ(w.shares(1).size(), 0u);
    std::size_t before = 0;
    for (int k = 0; k < 100; ++k) {
        w.run_for(1);
        std::size_t now = w.shares(1).size();
        EXPECT_LE(now, before + 4); // at most one from each of the others
        before = now;
    }
    std::set<ShareId> held;
    for (const auto& share : w.shares(1)) {
        held.insert(share);
    }
    std::size_t machines = 0;
    for (const auto& machine : w.machines_up()) {
        machines += held.contains(share_of_machine(w.facts(0), machine, w.zone_of(machine)));
    }
    EXPECT_GE(machines, 8u); // two thirds of an even part
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

// A lost controller's machines find their new holders before their leases end.
TEST(ShareTakeover, NoTaskIsLostToTheLeasesOfALostControllersMachines) {
    WorldOptions options = five(14);
    options.run_s = 120;
    World w(options);
    fill(w, 40, "blue");
    w.run_for(20);
    w.crash(1, 300);
    w.run_for(200);
    EXPECT_EQ(w.logged("event=machine_lapsed"), 0u);
    for (std::uint32_t i = 0; i < 160; ++i) {
        EXPECT_LE(w.starts({"req-1", i}), 1) << i;
    }
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
}

// Controllers refuse each other's calls while one of them is lost: its older tasks do not wait
// until the calls go through again, since the listings come by way of the state service.
TEST(ShareTakeover, OlderTasksRunWhilePeersRefuseCalls) {
    WorldOptions options = five(13);
    options.run_s = 25;
    options.limits = 4; // so that tasks wait when their owner is lost
    World w(options);
    w.run_for(3);
    JobSpec s = w.job("req-1", 150, 2);
    w.submit(0, s);
    w.run_for(40);
    ASSERT_FALSE(w.all_done("req-1"));
    cut_all_peers(w, true);
    int part = part_of_team(w.facts(0), "red");
    auto started = [&] {
        int n = 0;
        for (std::uint32_t i = 0; i < s.tasks; ++i) {
            n += w.starts({"req-1", i});
        }
        return n;
    };
    w.crash(w.owner(part), 200);
    w.run_for(16); // its lease is over, and another has read what there is to read
    int before = started();
    w.run_for(20);
    EXPECT_GT(w.logged("event=account_posted"), 2u);
    EXPECT_GT(started(), before);
    w.run_for(60);
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
    cut_all_peers(w, false);
    w.run_for(300);
    EXPECT_TRUE(w.all_done("req-1"));
    EXPECT_TRUE(w.broken.empty()) << w.broken.front();
    for (int page = 0; page < 3; ++page) { // read, and of no use any more
        EXPECT_FALSE(w.stands("account/" + std::to_string(part) + "/0/" + std::to_string(page)));
    }
}

// Moves forced at random all the time, while jobs, gangs and replicas run and things fail. The seed
// chooses which faults: each alone, and all together.
void play(std::uint64_t seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    constexpr int kNodes = 5;
    World w({.seed = seed,
             .nodes = kNodes,
             .drop = seed % 3 == 0 ? 0.03 : 0,
             .late = seed % 3 == 0 ? 0.03 : 0,
             .run_s = 12,
             .error = 0.01,
             .limits = 10,
             .capacity = 64});
    std::mt19937_64 random(seed);
    auto any = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
    int only = seed % 8 == 7 ? -1 : static_cast<int>(seed % 8); // -1: all faults together
    std::function<void()> move = [&] {
        int from = any(kNodes);
        auto shares = w.shares(from);
        if (!shares.empty()) {
            ShareId share =
                any(2) ? busy_share(w, from) : shares[any(static_cast<int>(shares.size()))];
            if (share.home >= 0) {
                w.give(from, share, any(kNodes));
            }
        }
    };
    std::set<std::string> services;
    int jobs = 0;
    JobSpec base = w.job("req-0", 160, 2); // so that there are sixty machines
    base.team = "blue";
    w.run_for(3);
    w.submit(0, base);
    for (int k = 0; k < 100; ++k) {
        w.run_for(1.5);
        for (int m = 0; m < 3; ++m) {
            move();
        }
        if (k < 60 && k % 2 == 0) {
            JobSpec s = w.job("req-" + std::to_string(++jobs), 4 + any(40), 1 + any(3));
            s.team = any(2) ? "red" : "blue";
            s.spot = any(2) != 0;
            int kind = any(5);
            if (kind == 0) {
                s.kind = JobKind::gang;
                s.tasks = 2 + static_cast<std::uint32_t>(any(10));
                s.one_zone = any(2) != 0;
                s.checkpoint_s = 3;
                s.save_s = any(2);
            } else if (kind == 1) {
                s.kind = JobKind::service;
                s.tasks = 1 + static_cast<std::uint32_t>(any(5));
                s.spread = any(2) != 0;
                services.insert(s.id);
            }
            w.submit(any(kNodes), s);
        }
        std::string job = "req-" + std::to_string(1 + any(std::max(1, jobs)));
        int fault = only >= 0 ? only : any(8);
        bool strikes = any(4) == 0;
        auto up = w.machines_up();
        if (strikes && fault == 0) {
            w.crash(any(kNodes), 1 + any(20));
        } else if (strikes && fault == 1) {
            w.freeze(any(kNodes), 1 + any(30));
        } else if (strikes && fault == 2) {
            w.state_down(true);
        } else if (strikes && fault == 3) {
            w.cut_peers(any(kNodes), any(kNodes), true);
        } else if (strikes && fault == 4) {
            any(2) ? w.cut_workers(any(kNodes), true) : w.state_refuses(any(kNodes), true);
        } else if (strikes && fault == 5 && !up.empty()) {
            const std::string& machine = up[any(static_cast<int>(up.size()))];
            any(2) ? w.take_machine(machine, 6) : w.cut_machine(machine, any(2) != 0);
        } else if (strikes && fault == 6) {
            w.cancel(any(kNodes), job);
        } else if (strikes && fault == 7 && !up.empty()) {
            w.kill_machine(up[any(static_cast<int>(up.size()))]);
        } else if (any(3) == 0) {
            w.state_down(false);
            for (int n = 0; n < kNodes; ++n) {
                w.state_refuses(n, false);
                w.cut_workers(n, false);
            }
            cut_all_peers(w, false);
            w.poll(any(kNodes), job);
        }
        ASSERT_TRUE(w.broken.empty()) << w.broken.front() << " at " << w.now();
    }
    w.state_down(false);
    for (int n = 0; n < kNodes; ++n) {
        w.state_refuses(n, false);
        w.cut_workers(n, false);
    }
    cut_all_peers(w, false);
    for (const auto& machine : w.machines_up()) {
        w.cut_machine(machine, false);
    }
    w.run_for(30);
    for (const auto& id : services) {
        for (int n = 0; n < kNodes; ++n) {
            w.cancel(n, id);
            w.run_for(0.2);
        }
    }
    for (int k = 0; k < 70; ++k) { // to the end, with moves
        w.run_for(10);
        move();
    }
    ASSERT_TRUE(w.broken.empty()) << w.broken.front();
    EXPECT_GT(w.logged("event=share_moved"), 20u);
    for (const auto& [id, outcome] : w.outcomes()) {
        EXPECT_NE(outcome, Outcome::none) << id << w.describe(id);
    }
}

class ShareRandom : public testing::TestWithParam<int> {};
TEST_P(ShareRandom, RulesHoldWhileSharesMove) { play(static_cast<std::uint64_t>(GetParam())); }
INSTANTIATE_TEST_SUITE_P(Seeds, ShareRandom, testing::Range(1, 17));

TEST(ShareSeeds, AsManyAsAreAskedFor) { play_seeds_asked(17, play); }

} // namespace
} // namespace orchidlanding::test
