// What the owner of jobs may conclude from whose listing: the steps 3 and 4 of the argument in
// docs/shares.md, with scripted holders of shares.
#include <gtest/gtest.h>

#include "core/borrowing.h"
#include "core/lending.h"
#include "core/parts.h"
#include "policy/defaults.h"
#include "world.h"

namespace orchidlanding::test {
namespace {

// The owner of part 0 with a job of ten tasks; parts 1 and 2 hold the share of the machine `there`.
struct Owner : Borrowing::Part {
    Facts facts = World({.nodes = 3}).facts(0);
    Policy policy = policy::defaults(facts);
    StateBudget budget{1000, 1000, 1};
    Calls calls{budget, 1};
    Authority authority{11};
    PartTable table{facts};
    JobStore jobs{1000};
    MachineTable machines{facts.lease_s, 1};
    Teams teams{facts.teams};
    Gangs gangs{30};
    MachineTypes types{{{"m8", 8, 0, 32, 20, 1, 1, 0.4, 10, {"a", "b"}}}};
    std::unique_ptr<Claim> claim;
    std::unique_ptr<Holdings> holdings;
    std::unique_ptr<Fleet> fleet;
    std::unique_ptr<WaitingOrder> order;
    std::unique_ptr<DemandBook> demand;
    std::unique_ptr<Borrowing> borrowing;
    std::vector<TaskRef> ended;
    std::string there;
    ShareId share;

    Owner() {
        authority.granted(1, 0);
        authority.claimed(0, 5);
        CallReply read;
        read.revision = 20;
        for (int p = 0; p < 3; ++p) {
            read.items.push_back({part_key(p), PartRecord{"n" + std::to_string(p), true},
                                  static_cast<std::uint64_t>(5 + p)});
        }
        EXPECT_TRUE(table.take(read, calls));
        claim = std::make_unique<Claim>(0, 0, authority);
        holdings = std::make_unique<Holdings>(*claim, table);
        holdings->follow(0);
        fleet = std::make_unique<Fleet>(facts, policy, 5);
        order = std::make_unique<WaitingOrder>(
            facts, policy, jobs, teams, [this](Time at, const Job& job) { return waits(at, job); },
            [] { return std::vector<PeerWants>{}; });
        demand = std::make_unique<DemandBook>(*claim, facts, policy, types, jobs, teams, machines,
                                              *fleet);
        borrowing = std::make_unique<Borrowing>(*claim, facts, policy, table, *holdings, jobs,
                                                teams, gangs, *order, *demand, calls, *this);
        JobSpec s = World({}).job("req-1", 10, 2);
        jobs.add(0, s, 7);
        for (int i = 0; there.empty(); ++i) {
            std::string name = "i-" + std::to_string(i);
            share = share_of_machine(facts, name, "b");
            there = share.home == 1 ? name : "";
        }
    }
    bool waits(Time, const Job& job) const override { return !job.waiting.empty(); }
    bool settled() const override { return true; }
    bool end_is_durable(const ListedTask&) override { return false; }
    void ended_there(Time, const TaskRef& task, ExitWhy, const std::string& zone) override {
        ended.push_back(task);
        jobs.unplace(*jobs.find(task.job), task.index, zone);
    }
    void found_done(Time, Job&, std::uint32_t) override {}
    bool want_gang(const Job&, bool, Want&) override { return false; }
    void use_gang_grants(Time, int, const std::vector<Grant>&) override {}
    void end_attempt(Time, const std::string&, bool) override {}
    void settle(Time) override {}
    void after_reply(Time) override {}

    // The next calls; the reply of one part to its own.
    std::vector<Call> sent() {
        Outputs out;
        calls.take(out);
        return out.calls;
    }
    const Exchange* call_to(int part, std::vector<Call>& all, Time now) {
        borrowing->call_soon();
        borrowing->call(now);
        all = sent();
        for (const auto& c : all) {
            const auto* peer = std::get_if<PeerCall>(&c.body);
            if (peer && peer->exchange.to == part) {
                return &peer->exchange;
            }
        }
        return nullptr;
    }
    void reply(Time now, int part, const std::vector<Call>& all, ExchangeReply body) {
        for (const auto& c : all) {
            const auto* peer = std::get_if<PeerCall>(&c.body);
            if (!peer) {
                continue;
            }
            CallReply r;
            r.call = c.id;
            if (peer->exchange.to == part) {
                r.status = 200;
                r.exchange = body;
            }
            calls.answered(now, r); // the others have no answer
        }
    }
    // A reply of the part's owner that covers the share under the term.
    ExchangeReply listing(std::uint64_t term, bool accounted, bool whole) const {
        ExchangeReply r;
        r.term = term < 30 ? 6 : 7; // of its claim
        r.clean = true;
        r.version = 3;
        r.shares = {{{share, term, accounted, whole}}};
        return r;
    }
    Grant grant(std::uint64_t term, std::uint64_t attempt) const {
        return {{attempt, 0},
                "req-1",
                there,
                there + ":1",
                1,
                make_token(term, 0),
                "m8",
                "b",
                true,
                2,
                0,
                2};
    }
    HeldTask held(std::uint64_t attempt, std::uint32_t index) const {
        return {{{"req-1", index}, attempt, TaskStage::running, ExitWhy::none}, there, "b"};
    }
    std::uint64_t placed() { return jobs.find("req-1")->placed; }
    // A task on a slot that part 1 gave under term 25.
    void borrow() {
        std::vector<Call> all;
        call_to(1, all, 1);
        ExchangeReply r = listing(25, true, true);
        r.grants = {grant(25, 100)};
        reply(1, 1, all, r);
        ASSERT_EQ(placed(), 1u);
        sent();
    }
};

// A gang's slots are kept while the rest is gathered. Their machine was released meanwhile, which
// was listed once, before the tasks were started there: they counted as placed for ever, and the
// gang was never done (seed 1173 of the random moves of shares).
TEST(ShareListings, AreWholeOnceAfterSlotsThatWereKeptAreUsed) {
    Owner o;
    std::vector<Call> all;
    ASSERT_TRUE(o.call_to(1, all, 1));
    o.reply(1, 1, all, o.listing(25, true, true));
    const Exchange* changes = o.call_to(1, all, 2);
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->seen, 3u);
    o.borrowing->list_anew(1); // while a call is on its way that asks for changes only
    o.reply(2, 1, all, o.listing(25, true, false));
    const Exchange* whole = o.call_to(1, all, 3);
    ASSERT_TRUE(whole);
    EXPECT_EQ(whole->seen, 0u);
    o.reply(3, 2, all, o.listing(25, true, false)); // to part 1 it was lost
    const Exchange* again = o.call_to(1, all, 4);
    ASSERT_TRUE(again);
    EXPECT_EQ(again->seen, 0u);
    o.reply(4, 1, all, o.listing(25, true, true));
    const Exchange* after = o.call_to(1, all, 5);
    ASSERT_TRUE(after);
    EXPECT_EQ(after->seen, 3u);
}

TEST(ShareListings, ATaskIsGoneOnlyByAnAccountedListingOfItsShare) {
    Owner o;
    o.borrow();
    std::vector<Call> all;
    o.call_to(1, all, 2);
    ExchangeReply other = o.listing(25, true, true);
    (*other.shares)[0].share.number = (o.share.number + 1) % 10; // of another share
    o.reply(2, 1, all, other);
    o.call_to(2, all, 3);
    o.reply(3, 2, all, o.listing(40, false, true)); // whole, but not accounted for
    EXPECT_TRUE(o.ended.empty());
    o.call_to(2, all, 4);
    o.reply(4, 2, all, o.listing(40, true, false)); // accounted for, but of no machine that changed
    EXPECT_TRUE(o.ended.empty());
    o.call_to(2, all, 5);
    o.reply(5, 2, all, o.listing(40, true, true));
    EXPECT_EQ(o.ended.size(), 1u);
}

TEST(ShareListings, WhatTheHolderBeforeSaysLateCountsForNothing) {
    Owner o;
    o.borrow();
    std::vector<Call> all;
    o.call_to(2, all, 2);
    ExchangeReply now = o.listing(40, true, true);
    now.held = {o.held(100, 0)};
    o.reply(2, 2, all, now); // it has moved, and runs
    o.call_to(1, all, 3);
    o.reply(3, 1, all, o.listing(25, true, true)); // without it
    EXPECT_TRUE(o.ended.empty());
    o.call_to(1, all, 4);
    ExchangeReply late = o.listing(25, true, true);
    late.held = {o.held(77, 3)}; // nor is a task believed to run that it lists
    o.reply(4, 1, all, late);
    EXPECT_EQ(o.placed(), 1u);
}

TEST(ShareListings, ASlotGivenUnderAnEarlierTermIsNotUsedAnyMore) {
    Owner o;
    std::vector<Call> all;
    o.call_to(2, all, 1);
    o.reply(1, 2, all, o.listing(40, true, true));
    o.sent();
    o.call_to(1, all, 2);
    ExchangeReply late = o.listing(25, true, true);
    late.grants = {o.grant(25, 100)};
    o.reply(2, 1, all, late);
    EXPECT_EQ(o.placed(), 0u);
    for (const auto& c : o.sent()) {
        EXPECT_FALSE(std::holds_alternative<Orders>(c.body));
    }
    const Exchange* next = o.call_to(1, all, 3);
    ASSERT_TRUE(next);
    ASSERT_EQ(next->told.size(), 1u);
    EXPECT_EQ(next->told[0].what, Told::What::back);
}

TEST(ShareListings, WordsAboutATaskFollowItsShare) {
    Owner o;
    o.borrow();
    o.borrowing->stop_job("req-1", 4);
    std::vector<Call> all;
    o.call_to(2, all, 2); // part 1 does not answer
    ExchangeReply now = o.listing(40, true, true);
    now.held = {o.held(100, 0)};
    o.reply(2, 2, all, now);
    const Exchange* next = o.call_to(2, all, 3);
    ASSERT_TRUE(next);
    ASSERT_EQ(next->told.size(), 1u);
    EXPECT_EQ(next->told[0].what, Told::What::stop);
}

TEST(ShareListings, AShareThatWeGaveAwayUnknowinglyIsListedAgain) {
    Owner o; // holds what is at home in part 0, under term 20
    std::vector<Call> all;
    const Exchange* first = o.call_to(2, all, 1);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->seen, 0u);
    ExchangeReply r = o.listing(40, true, true);
    r.shares->push_back({{0, 0}, 40, true, true}); // ours, as far as we know
    o.reply(1, 2, all, r);
    const Exchange* second = o.call_to(2, all, 2);
    EXPECT_EQ(second->seen, 0u); // so nothing has been taken in for good
    o.holdings->gave({0, 0}, 39);
    o.reply(2, 2, all, r);
    EXPECT_EQ(o.call_to(2, all, 3)->seen, 3u);
    EXPECT_TRUE(o.borrowing->inventoried({0, 0}));
}

TEST(ShareListings, ANodeOfTheVersionBeforeListsWhatIsAtHome) {
    Owner o;
    o.borrow();
    std::vector<Call> all;
    o.call_to(1, all, 2);
    ExchangeReply r = o.listing(25, true, true);
    r.shares.reset();
    r.term = 30;
    r.settled = r.full = true;
    o.reply(2, 1, all, r);
    EXPECT_EQ(o.ended.size(), 1u);
    for (int number = 0; number < shares_at(o.facts, 1); ++number) {
        EXPECT_TRUE(o.borrowing->inventoried({1, number}));
    }
    EXPECT_FALSE(o.borrowing->inventoried({2, 0}));
}

// The owner of part 1 with one machine that a gang of part 0 has been handed a slot of.
struct Lender : Lending::Part {
    Facts facts = World({.nodes = 3}).facts(1);
    Policy policy = policy::defaults(facts);
    StateBudget budget{1000, 1000, 1};
    Calls calls{budget, 1};
    Authority authority{11};
    PartTable table{facts};
    JobStore jobs{1000};
    MachineTable machines{facts.lease_s, 1};
    Teams teams{facts.teams};
    MachineTypes types{{{"m8", 8, 0, 32, 20, 1, 1, 0.4, 10, {"a", "b"}}}};
    std::unique_ptr<Claim> claim;
    std::unique_ptr<Holdings> holdings;
    Fleet fleet{facts, policy, 5};
    WaitingOrder order{facts,
                       policy,
                       jobs,
                       teams,
                       [](Time, const Job&) { return false; },
                       [] { return std::vector<PeerWants>{}; }};
    std::unique_ptr<DemandBook> demand;
    std::unique_ptr<Lending> lending;
    Machine* m = nullptr;
    Want want;
    std::uint64_t attempt = make_attempt(5, 1, 0, true);

    Lender() {
        authority.granted(1, 0);
        authority.claimed(1, 6);
        claim = std::make_unique<Claim>(0, 1, authority);
        holdings = std::make_unique<Holdings>(*claim, table);
        demand = std::make_unique<DemandBook>(*claim, facts, policy, types, jobs, teams, machines,
                                              fleet);
        lending = std::make_unique<Lending>(*claim, facts, *holdings, machines, order, *demand,
                                            calls, *this);
        m = &machines.add(0, "i-1", types.all()[0], "b", true, {1, 0}, 6);
        want.job = "req-1";
        want.kind = JobKind::gang;
        want.attempt = attempt;
        want.count = 1;
        want.members = {0};
        want.cpus = 2;
    }
    void relist(Machine&) override {}
    void serve(Time) override {}
    void ask(const std::string&) override {}
    void expect(Time, const Bought&) override {}
    void take_given(Time, const Given&) override {}
    Answer call(std::uint64_t number, bool gives_back) {
        Exchange e;
        e.from = 0;
        e.term = 5;
        e.to = 1;
        e.number = number;
        e.most = 4;
        if (gives_back) {
            e.told.push_back({Told::What::back, "i-1", {attempt, 0}});
        }
        lending->exchange(1, 9, e);
        Outputs out;
        calls.take(out);
        return out.answers.at(0);
    }
};

// The tasks of a gang's attempt share its number, so a slot may come to have the name of one that
// went back: a call that comes late would give it back while its task starts.
TEST(ShareLending, ACallThatComesLateGivesNothingBack) {
    Lender l;
    EXPECT_EQ(l.call(1, false).status, 200);
    EXPECT_EQ(l.call(3, false).status, 200);
    l.lending->lend(1, *l.m, 0, l.want);
    ASSERT_EQ(l.m->lots.size(), 1u);
    EXPECT_EQ(l.call(2, true).status, 409);
    EXPECT_EQ(l.call(3, true).status, 409); // nor one that comes twice
    EXPECT_EQ(l.m->lots.size(), 1u);
    EXPECT_EQ(l.call(4, true).status, 200);
    EXPECT_TRUE(l.m->lots.empty());
}

TEST(ShareLending, AnOpenSlotOfAGangIsNotHandedOverASecondTime) {
    Lender l;
    l.call(1, false);
    l.lending->lend(1, *l.m, 0, l.want);
    l.want.count = 1;
    l.lending->lend(1, *l.m, 0, l.want);
    EXPECT_EQ(l.want.count, 0u); // asked and answered
    Answer a = l.call(2, false);
    EXPECT_EQ(std::get<ExchangeReply>(a.body).grants.size(), 1u);
}

} // namespace
} // namespace orchidlanding::test
