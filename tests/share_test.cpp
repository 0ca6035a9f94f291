// Shares of machines and their moves: the pure parts, a move as its steps, and several machines and
// failures on the fake clock. See docs/sharding.md.
#include <gtest/gtest.h>

#include <cstdlib>

#include "core/model/partition_assignment.h"
#include "core/sharding/shard_balancer.h"
#include "core/sharding/shard_migration.h"
#include "policy/default_policy.h"
#include "seeds.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

ClusterSettings five_nodes() { return SimulatedCluster({.nodes = 5}).cluster_settings(0); }

TEST(Shares, AreAtMostATwentiethOfAllMachinesAndHomeIsTheFixedHash) {
    for (const auto& zones :
         {std::vector<std::string>(5, "a"), std::vector<std::string>{"a", "b", "a", "b", "c"},
          std::vector<std::string>{"a", "b", "c"}}) {
        ClusterSettings settings;
        for (std::size_t n = 0; n < zones.size(); ++n) {
            settings.partitions.push_back({"n" + std::to_string(n), zones[n]});
        }
        std::map<ShardId, int> count;
        int machines = 0;
        for (const auto& zone : {"a", "b", "c", "d"}) { // nobody is at home in d
            for (int i = 0; i < 2000; ++i, ++machines) {
                std::string name = "i-" + std::to_string(100000 + i);
                ShardId shard = shard_of_machine(settings, name, zone);
                EXPECT_EQ(shard.home_partition, partition_of_machine(settings, name, zone));
                EXPECT_EQ(shard, shard_at_home(settings, shard.home_partition, name));
                ++count[shard];
            }
        }
        EXPECT_EQ(count.size(), all_shards(settings).size());
        for (const auto& [shard, n] : count) {
            EXPECT_LT(n, 0.08 * machines) << to_string(shard);
        }
    }
}

TEST(Shares, OfALostPartAreSpreadEvenlyOverThoseWhoAreThere) {
    ClusterSettings settings = five_nodes();
    ShardHolders now;
    for (const auto& shard : all_shards(settings)) {
        now[shard.home_partition].push_back(shard.home_partition);
    }
    ShardHolders next = reassign_shards(now, 1, {0, 2, 3, 4}, 10);
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
    EXPECT_LE(most, 1.25 * static_cast<double>(all_shards(settings).size()) / 4);
    EXPECT_TRUE(reassign_shards(now, 1, {0, 2}, 10).empty()); // it holds none any more
    EXPECT_TRUE(reassign_shards(now, 0, {}, 10).empty());     // nobody is there
}

// ---- When to move ----

TEST(ShareBalance, GivesToTheLeastLoadedUntilTheDifferenceIsSmall) {
    ClusterSettings settings = five_nodes();
    ShardBalancer balance(settings);
    auto choose = [&](Time now, double mine, double theirs, double capacity = 1) {
        std::vector<ShardLoad> shards;
        for (int n = 0; n < 10; ++n) {
            shards.push_back({{0, n}, mine / 10, true});
        }
        return balance.choose_move(now, 0,
                                   {{0, mine, capacity, false},
                                    {1, theirs, 1, true},
                                    {2, theirs * 2, 1, true},
                                    {3, 0, 1, false}}, // not heard of lately
                                   shards, 8);
    };
    EXPECT_FALSE(choose(100, 1000, 900)); // near enough
    auto move = choose(100, 1000, 500);
    ASSERT_TRUE(move);
    EXPECT_EQ(move->to_partition, 1);
    balance.on_migration_started(100);
    EXPECT_FALSE(choose(100.1, 1000, 500));   // one at a time
    EXPECT_TRUE(choose(104, 1000, 800));      // it goes on below where it began
    EXPECT_FALSE(choose(108, 1000, 900));     // until they are alike
    EXPECT_FALSE(choose(112, 1000, 800));     // and does not begin again for that
    EXPECT_TRUE(choose(116, 1000, 950, 0.5)); // a slow processor has twice the load
    EXPECT_FALSE(choose(120, 40, 10));        // too few machines to be worth it
}

TEST(ShareBalance, HasABoundOnMovesInAnHour) {
    ClusterSettings settings = five_nodes();
    ShardBalancer balance(settings);
    int moves = 0;
    for (Time now = 0; now < 3600; now += 1) {
        std::vector<ShardLoad> shards{{{0, 1}, 10, true}};
        if (balance.choose_move(now, 0, {{0, 1000, 1, false}, {1, 10, 1, true}}, shards, 8)) {
            balance.on_migration_started(now);
            ++moves;
        }
    }
    EXPECT_GE(moves, shards_per_home(settings, 0));
    EXPECT_LE(moves, 5 * shards_per_home(settings, 0) + 1);
}

TEST(ShareBalance, CapacityFallsWhileTheTimerIsLateAndComesBackByDegrees) {
    ClusterSettings settings = five_nodes();
    double tick = Controller::tick_s(settings);
    CpuHeadroom capacity(settings, tick);
    Time now = 0;
    auto run = [&](double seconds, double gap) {
        for (Time end = now + seconds; now < end; now += gap) {
            capacity.tick(now);
        }
    };
    run(60, tick * 1.1);
    EXPECT_EQ(capacity.value(), 1);
    run(2 * settings.heartbeat_interval_s + 1, 1); // four times as long as it should be
    EXPECT_LT(capacity.value(), 1);
    run(120, 1);
    EXPECT_NEAR(capacity.value(), 0.1, 0.01);
    run(2 * settings.worker_lease_s + 2, tick);
    EXPECT_GT(capacity.value(), 0.15);
    EXPECT_LT(capacity.value(), 0.5);
    run(20 * settings.worker_lease_s, tick);
    EXPECT_EQ(capacity.value(), 1);
}

// ---- The table and the holdings ----

struct Table {
    ClusterSettings cluster_settings = five_nodes();
    StoreRateLimiter budget{1000, 1000, 1};
    OutboundRequests calls{budget, 1};
    LeadershipLease authority{11};
    PartitionMap table{cluster_settings};
    std::uint64_t revision = 10;

    OutboundResponse read(std::vector<KeyedRecord> more = {}) {
        OutboundResponse r;
        r.status = 200;
        r.revision = revision;
        for (int p = 0; p < 5; ++p) {
            r.entries.push_back({partition_key(p), PartitionRecord{"n" + std::to_string(p), true},
                                 static_cast<std::uint64_t>(2 + p)});
        }
        r.entries.insert(r.entries.end(), more.begin(), more.end());
        return r;
    }
    KeyedRecord shares(int home, std::vector<int> holders, std::uint64_t version) {
        return {PartitionMap::shards_key(home), ShardHoldersRecord{std::move(holders)}, version};
    }
    std::vector<int> at_home(int home) {
        return std::vector<int>(static_cast<std::size_t>(shards_per_home(cluster_settings, home)),
                                home);
    }
    std::size_t errors() {
        Outputs out;
        calls.drain_into(out);
        return static_cast<std::size_t>(
            std::count_if(out.log.begin(), out.log.end(), [](const LogLine& line) {
                return line.text.starts_with("event=record_unreadable");
            }));
    }
};

TEST(ShareMap, WithoutOneEverythingIsAtHome) {
    Table t;
    EXPECT_EQ(t.table.revision(), 0u);
    EXPECT_FALSE(t.table.can_reassign(12));
    ASSERT_TRUE(t.table.load(t.read(), t.calls));
    for (const auto& shard : all_shards(t.cluster_settings)) {
        EXPECT_EQ(t.table.holder(shard), shard.home_partition);
    }
    EXPECT_TRUE(t.table.can_reassign(12));
    EXPECT_FALSE(t.table.can_reassign(1)); // its conditions would not fit into a transaction
}

TEST(ShareMap, ANodeOfTheVersionBeforeKeepsAllSharesWhereTheyAre) {
    Table t;
    OutboundResponse r = t.read();
    std::get<PartitionRecord>(r.entries[3].record).supports_sharding = false;
    ASSERT_TRUE(t.table.load(r, t.calls));
    EXPECT_FALSE(t.table.can_reassign(12));
}

TEST(ShareMap, ADamagedOneIsNamedAndFencedAndWhatWasKnownHolds) {
    Table t;
    auto moved = t.at_home(2);
    moved[0] = 4;
    ASSERT_TRUE(t.table.load(t.read({t.shares(2, moved, 7)}), t.calls));
    EXPECT_EQ(t.table.holder({2, 0}), 4);
    EXPECT_EQ(t.errors(), 0u);
    auto short_one = t.at_home(2);
    short_one.pop_back();
    auto unknown_part = t.at_home(2);
    unknown_part[1] = 5;
    std::uint64_t version = 8;
    for (const KeyedRecord& bad :
         {KeyedRecord{PartitionMap::shards_key(2), UnreadableRecord{}, version++},
          t.shares(2, short_one, version++), t.shares(2, unknown_part, version++)}) {
        ++t.revision;
        ASSERT_TRUE(t.table.load(t.read({bad}), t.calls)); // the parts themselves are readable
        EXPECT_EQ(t.errors(), 1u);
        ++t.revision;
        ASSERT_TRUE(t.table.load(t.read({bad}), t.calls));
        EXPECT_EQ(t.errors(), 0u); // said once
        EXPECT_EQ(t.table.holder({2, 0}), 4);
        EXPECT_FALSE(t.table.is_readable(2));
        EXPECT_TRUE(t.table.is_readable(1));
    }
    // A claim that has not held them gets none by what was read before: that may be older than the
    // last change.
    t.authority.on_granted(1, 0);
    t.authority.on_elected(4, t.revision);
    Leadership leadership(0, 4, t.authority);
    OwnedShards owned_shards(leadership, t.table);
    for (const auto& shard : owned_shards.update(0).gained) {
        EXPECT_NE(shard.home_partition, 2);
    }
    EXPECT_FALSE(owned_shards.may_serve({2, 0}));
    // A node that has never seen a readable one knows nobody who holds them.
    Table fresh;
    ASSERT_TRUE(fresh.table.load(fresh.read({t.shares(2, short_one, 9)}), fresh.calls));
    EXPECT_EQ(fresh.table.holder({2, 0}), -1);
    EXPECT_EQ(fresh.table.holder({1, 0}), 1);
}

TEST(ShareMap, AnUnreadablePartIsBelievedInNothing) {
    Table t;
    OutboundResponse r = t.read();
    r.entries[0].record = UnreadableRecord{};
    EXPECT_FALSE(t.table.load(r, t.calls));
    EXPECT_EQ(t.table.revision(), 0u);
}

struct Holding : Table {
    std::unique_ptr<Leadership> claim;
    std::unique_ptr<OwnedShards> holdings;

    explicit Holding(std::uint64_t term) {
        authority.on_granted(1, 0);
        authority.on_elected(2, term);
        claim = std::make_unique<Leadership>(0, 2, authority);
        holdings = std::make_unique<OwnedShards>(*claim, table);
    }
    OwnedShards::Changes read_map(std::uint64_t at, std::vector<int> holders,
                                  std::uint64_t version) {
        revision = at;
        EXPECT_TRUE(table.load(read({shares(2, std::move(holders), version)}), calls));
        return holdings->update(0);
    }
};

TEST(ShareHoldings, CountOnlyFromAMapReadAfterTheClaimAndRiseWithEachHolding) {
    Holding h(20);
    EXPECT_TRUE(h.read_map(19, h.at_home(2), 7).gained.empty()); // older than the claim
    EXPECT_FALSE(h.holdings->has_map());
    EXPECT_EQ(h.read_map(25, h.at_home(2), 7).gained.size(), h.at_home(2).size());
    EXPECT_EQ(h.holdings->term({2, 0}), 25u);
    auto given = h.at_home(2);
    given[0] = 3;
    auto news = h.read_map(30, given, 29);
    ASSERT_EQ(news.lost.size(), 1u);
    EXPECT_EQ(news.lost[0], (OwnedShards::LostShard{ShardId{2, 0}, 3}));
    EXPECT_FALSE(h.holdings->may_serve({2, 0}));
    EXPECT_TRUE(h.read_map(28, h.at_home(2), 7).gained.empty()); // a read that was overtaken
    EXPECT_EQ(h.read_map(35, h.at_home(2), 33).gained.size(), 1u);
    EXPECT_EQ(h.holdings->term({2, 0}), 35u);
    EXPECT_EQ(h.holdings->term({2, 1}), 25u); // it has been ours all along
}

TEST(ShareHoldings, TheGiversWordCountsAsAReadOfThatRevisionAndNoLonger) {
    Holding h(20);
    auto others = h.at_home(2);
    others[0] = 3;
    EXPECT_FALSE(h.holdings->accept_transfer(0, {{2, 0}, 26, 20})); // no map has been seen yet
    h.read_map(25, others, 7);
    EXPECT_FALSE(
        h.holdings->accept_transfer(0, {{2, 0}, 26, 19})); // given to a claim before this one
    EXPECT_FALSE(h.holdings->accept_transfer(0, {{2, 0}, 24, 20})); // read better since
    ASSERT_TRUE(h.holdings->accept_transfer(0, {{2, 0}, 30, 20}));
    EXPECT_EQ(h.holdings->term({2, 0}), 30u);
    EXPECT_TRUE(h.read_map(28, others, 7).lost.empty()); // read before it was given
    EXPECT_TRUE(h.read_map(31, h.at_home(2), 30).gained.empty());
    EXPECT_EQ(h.holdings->term({2, 0}), 30u);
    h.holdings->on_migrated_out({2, 0}, 40);
    EXPECT_FALSE(h.holdings->accept_transfer(0, {{2, 0}, 30, 20})); // the same word, late
    EXPECT_EQ(h.holdings->find({2, 0}), nullptr);
}

// ---- A move, step by step ----

struct Moving : Holding, ShardMigration::Delegate {
    std::unique_ptr<ShardMigration> mover;
    bool quiet = true;
    std::vector<int> handed_on;
    std::vector<std::pair<int, std::uint64_t>> told;
    int listed_again = 0;

    Moving() : Holding(4) { // the version of part/2 in `read`
        read_map(25, at_home(2), 7);
        mover = std::make_unique<ShardMigration>(*claim, cluster_settings, table, *holdings, calls,
                                                 *this);
    }
    bool is_quiescent(const ShardId&) const override { return quiet; }
    void update_slot_lists(const ShardId&) override {}
    void republish_inventory(const ShardId&) override { ++listed_again; }
    void on_migrated(Time, const ShardId&, int to) override { handed_on.push_back(to); }
    void announce_transfer(int to, const ShardTransfer& transfer) override {
        told.emplace_back(to, transfer.term);
    }
    std::vector<OutboundRequest> sent() {
        Outputs out;
        calls.drain_into(out);
        return out.requests;
    }
    void reply(Time now, const OutboundRequest& call, int status, std::uint64_t at = 0) {
        OutboundResponse r;
        r.request_id = call.id;
        r.status = status;
        r.revision = at;
        calls.handle_response(now, r);
    }
    OwnedShards::State state() const { return holdings->find({2, 0})->state; }
};

TEST(ShareMover, GivesNoSlotFromTheStartAndNoAnswerFromTheTransactionOn) {
    Moving m;
    m.quiet = false;
    ASSERT_TRUE(m.mover->start(100, {2, 0}, 3));
    EXPECT_FALSE(m.mover->start(100, {2, 1}, 3)); // one at a time
    EXPECT_FALSE(m.holdings->may_lend({2, 0}));
    EXPECT_TRUE(m.holdings->may_serve({2, 0}));
    m.mover->tick(100.1);
    EXPECT_TRUE(m.sent().empty()); // starts are on their way
    m.quiet = true;
    m.mover->tick(100.2);
    auto calls = m.sent();
    ASSERT_EQ(calls.size(), 1u);
    const StoreTransaction& transaction = std::get<StoreTransaction>(calls[0].body);
    EXPECT_EQ(transaction.conditions.size(), 6u); // every part, and the key of the map
    ASSERT_EQ(transaction.writes.size(), 1u);
    EXPECT_EQ(transaction.writes[0].key, "part/2/shares");
    EXPECT_FALSE(m.holdings->may_serve({2, 0}));
    m.reply(100.3, calls[0], 200, 31);
    EXPECT_EQ(m.handed_on, (std::vector<int>{3}));
    EXPECT_EQ(m.told, (std::vector<std::pair<int, std::uint64_t>>{{3, 5}})); // and its claim's term
    EXPECT_EQ(m.holdings->find({2, 0}), nullptr);
    EXPECT_TRUE(m.read_map(30, m.at_home(2), 7).gained.empty()); // read before it took effect
}

TEST(ShareMover, WhatDoesNotSettleGoesAllTheSameAfterTwoReports) {
    Moving m;
    m.quiet = false;
    ASSERT_TRUE(m.mover->start(100, {2, 0}, 3));
    m.mover->tick(100 + 2 * m.cluster_settings.heartbeat_interval_s);
    EXPECT_TRUE(m.sent().empty());
    m.mover->tick(100.1 + 2 * m.cluster_settings.heartbeat_interval_s);
    EXPECT_EQ(m.sent().size(), 1u);
}

TEST(ShareMover, KeepsTheShareWhenTheTransactionWasNotExecuted) {
    for (int status : {409, 429, 503}) {
        Moving m;
        ASSERT_TRUE(m.mover->start(100, {2, 0}, 3));
        m.mover->tick(100);
        m.reply(100.1, m.sent().at(0), status, 30);
        EXPECT_FALSE(m.mover->in_progress());
        EXPECT_TRUE(m.holdings->may_lend({2, 0}));
        EXPECT_EQ(m.listed_again, 1); // listings have left it out
    }
}

TEST(ShareMover, WithoutAnAnswerSendsTheSameAgainAndLetsTheMapDecide) {
    for (bool took_effect : {false, true}) {
        Moving m;
        ASSERT_TRUE(m.mover->start(100, {2, 0}, 3));
        m.mover->tick(100);
        auto first = m.sent().at(0);
        m.reply(101, first, 0);
        m.mover->tick(101.1);
        EXPECT_TRUE(m.sent().empty()); // not at once
        m.mover->tick(102);
        auto second = m.sent().at(0);
        EXPECT_EQ(std::get<StoreTransaction>(second.body).conditions.back().version,
                  std::get<StoreTransaction>(first.body).conditions.back().version);
        m.reply(102.1, second, 503); // not executed, but the first may be yet
        EXPECT_EQ(m.state(), OwnedShards::State::transfer_pending);
        m.mover->tick(103);
        m.reply(103.1, m.sent().at(0), 409, 40);
        EXPECT_EQ(m.state(),
                  OwnedShards::State::transfer_pending); // the map as it was read says nothing
        m.mover->tick(104);
        EXPECT_TRUE(m.sent().empty());
        auto holders = m.at_home(2);
        holders[took_effect ? 0 : 1] = 3; // else another change refused it
        auto news = m.read_map(41, holders, 33);
        for (const auto& [shard, to] : news.lost) {
            m.mover->on_shard_lost(shard);
        }
        m.mover->tick(105);
        EXPECT_FALSE(m.mover->in_progress());
        EXPECT_EQ(m.holdings->find({2, 0}) == nullptr, took_effect);
        EXPECT_EQ(m.listed_again, took_effect ? 0 : 1);
    }
}

TEST(ShareMover, MovesNothingToNobodyNorAFencedMap) {
    Moving m;
    EXPECT_FALSE(m.mover->start(100, {1, 0}, 3)); // not ours
    EXPECT_FALSE(m.mover->start(100, {2, 0}, 2)); // to ourselves
    OutboundResponse r = m.read();
    std::erase_if(r.entries, [](const auto& i) { return i.key == "part/3"; });
    r.revision = 50;
    ASSERT_TRUE(m.table.load(r, m.calls));
    EXPECT_FALSE(m.mover->start(100, {2, 0}, 3)); // its owner is gone
    r = m.read({{PartitionMap::shards_key(2), UnreadableRecord{}, 51}});
    r.revision = 51;
    ASSERT_TRUE(m.table.load(r, m.calls));
    EXPECT_FALSE(m.mover->start(100, {2, 0}, 3));
}

// ---- Several machines and failures ----

SimulationOptions five(std::uint64_t seed = 1) {
    return {.seed = seed, .nodes = 5, .run_s = 30, .limits = 10, .capacity = 70};
}

// A cluster of five controllers and at least `machines` that run the tasks of a large job.
void fill(SimulatedCluster& cluster, std::size_t machines, const std::string& team = "red") {
    cluster.run_for(3);
    JobSpec spec = cluster.job("req-1", static_cast<std::uint32_t>(machines * 4), 2);
    spec.team = team;
    cluster.submit(0, spec);
    cluster.run_for(30);
    ASSERT_GE(cluster.machines_up().size(), machines);
}

// A share that the part holds and that has machines.
ShardId busy_share(const SimulatedCluster& cluster, int partition) {
    std::map<ShardId, int> count;
    for (const auto& machine : cluster.machines_up()) {
        ++count[shard_of_machine(cluster.cluster_settings(0), machine, cluster.zone_of(machine))];
    }
    ShardId best{-1, -1};
    for (const auto& shard : cluster.held_shards(partition)) {
        if (count[shard] > 0 && (best.home_partition < 0 || count[shard] > count[best])) {
            best = shard;
        }
    }
    return best;
}

void cut_all_peers(SimulatedCluster& cluster, bool cut) {
    for (int a = 0; a < 5; ++a) {
        for (int b = 0; b <= a; ++b) {
            cluster.cut_peers(a, b, cut);
        }
    }
}

// The part that holds the share; -1: none that is owned now.
int holder(const SimulatedCluster& cluster, const ShardId& shard) {
    for (int partition = 0; partition < 5; ++partition) {
        for (const auto& held : cluster.held_shards(partition)) {
            if (held == shard) {
                return partition;
            }
        }
    }
    return -1;
}

TEST(ShareMoves, AHundredOfOneShareToAndFroStopNoTask) {
    SimulationOptions options = five();
    options.run_s = 420;
    SimulatedCluster cluster(options);
    fill(cluster, 24);
    cluster.run_for(20); // the parts have settled
    int from = 0;
    ShardId shard = busy_share(cluster, from);
    ASSERT_GE(shard.home_partition, 0);
    std::map<TaskId, std::uint64_t> before;
    for (std::uint32_t i = 0; i < 96; ++i) {
        before[{"req-1", i}] = cluster.attempt_of({"req-1", i});
    }
    int moves = 0;
    for (; moves < 100; ++moves) {
        int to = (from + 1 + moves % 4) % 5;
        ASSERT_TRUE(cluster.migrate_shard(from, shard, to)) << moves;
        for (int k = 0; k < 100 && holder(cluster, shard) != to; ++k) {
            cluster.run_for(0.1);
        }
        ASSERT_EQ(holder(cluster, shard), to) << moves;
        from = to;
        cluster.run_for(0.5);
        ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    }
    for (const auto& [task, attempt] : before) {
        EXPECT_EQ(cluster.attempt_of(task), attempt) << task.index;
        EXPECT_EQ(cluster.starts(task), 1);
    }
    cluster.run_for(600);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(ShareMoves, TheTakerGivesSlotsOfTheShareAndTheGiverNoMore) {
    SimulatedCluster cluster(five());
    fill(cluster, 24);
    cluster.run_for(20);
    ShardId shard = busy_share(cluster, 0);
    ASSERT_TRUE(cluster.migrate_shard(0, shard, 3));
    cluster.run_for(8);
    ASSERT_EQ(holder(cluster, shard), 3);
    std::size_t on = 0;
    JobSpec spec = cluster.job("req-2", 60, 2);
    spec.team = "blue";
    cluster.submit(0, spec);
    cluster.run_for(60);
    for (const auto& machine : cluster.machines_up()) {
        if (shard_of_machine(cluster.cluster_settings(0), machine, cluster.zone_of(machine)) ==
            shard) {
            for (std::uint32_t i = 0; i < 60; ++i) {
                on += cluster.machines_of({"req-2", i}).contains(machine);
            }
        }
    }
    cluster.run_for(200);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_TRUE(cluster.all_done("req-2"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_EQ(cluster.log_count("event=shard_migrated"), 1u);
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
        SimulatedCluster cluster(five(7));
        fill(cluster, 20);
        cluster.run_for(20);
        const int from = 0;
        const int to = 3;
        ShardId shard = busy_share(cluster, from);
        ASSERT_GE(shard.home_partition, 0);
        int calls = 0;
        bool moving = true;
        cluster.intercept = [&](int node, const OutboundBody&) {
            moving = moving && holder(cluster, shard) != to;
            if (node == from && (moving || calls <= n) && calls++ == n) {
                cluster.at(cluster.now(), [&cluster, from, to] {
                    if (GetParam().giver) {
                        cluster.crash(from, 15);
                    }
                    if (GetParam().taker) {
                        cluster.crash(to, 15);
                    }
                });
            }
            return false;
        };
        ASSERT_TRUE(cluster.migrate_shard(from, shard, to));
        cluster.run_for(8);
        cluster.intercept = nullptr;
        if (n == 0) {
            SimulatedCluster calm(five(7)); // how many outputs a move has
            fill(calm, 20);
            calm.run_for(20);
            outputs = 0;
            calm.intercept = [&](int node, const OutboundBody&) {
                outputs += node == from && holder(calm, shard) != to;
                return false;
            };
            ASSERT_TRUE(calm.migrate_shard(from, shard, to));
            calm.run_for(8);
            ASSERT_GT(outputs, 3);
        }
        cluster.run_for(240);
        ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front() << " after output " << n;
        ASSERT_TRUE(cluster.all_done("req-1")) << "after output " << n;
    }
}
INSTANTIATE_TEST_SUITE_P(OfGiverTakerBoth, ShareCrash,
                         testing::Values(Crash{true, false}, Crash{false, true},
                                         Crash{true, true}));

TEST(ShareMoves, AFrozenGiverOrTakerIsOutlived) {
    for (int frozen : {0, 3}) {
        SimulatedCluster cluster(five(3));
        fill(cluster, 20);
        cluster.run_for(20);
        ShardId shard = busy_share(cluster, 0);
        ASSERT_TRUE(cluster.migrate_shard(0, shard, 3));
        cluster.run_for(0.3);
        cluster.freeze(frozen, 40);
        cluster.run_for(240);
        EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
        EXPECT_TRUE(cluster.all_done("req-1"));
    }
}

TEST(ShareMoves, AStateOutageInItsMidstStopsNoTask) {
    SimulationOptions options = five(4);
    options.run_s = 120;
    for (double after : {0.0, 0.02, 0.1, 0.3}) {
        SimulatedCluster cluster(options);
        fill(cluster, 20);
        cluster.run_for(20);
        ShardId shard = busy_share(cluster, 0);
        ASSERT_TRUE(cluster.migrate_shard(0, shard, 3));
        cluster.run_for(after);
        cluster.set_store_down(true);
        cluster.run_for(40); // longer than any lease: siblings' promises
        cluster.set_store_down(false);
        cluster.run_for(300);
        EXPECT_TRUE(cluster.all_done("req-1"));
        for (std::uint32_t i = 0; i < 80; ++i) {
            EXPECT_EQ(cluster.starts({"req-1", i}), 1) << i << " after " << after;
        }
        EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    }
}

TEST(ShareMoves, GiverAndTakerCutFromEachOther) {
    SimulatedCluster cluster(five(5));
    fill(cluster, 20);
    cluster.run_for(20);
    cluster.cut_peers(0, 3, true);
    ShardId shard = busy_share(cluster, 0);
    ASSERT_TRUE(cluster.migrate_shard(0, shard, 3));
    cluster.run_for(30);
    EXPECT_EQ(holder(cluster, shard), 3);
    cluster.cut_peers(0, 3, false);
    cluster.run_for(240);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(ShareMoves, ACancelledJobsTasksAreStoppedOverAMove) {
    for (double after : {0.0, 0.05, 0.5, 1.0}) {
        SimulationOptions options = five(6);
        options.run_s = 300;
        SimulatedCluster cluster(options);
        fill(cluster, 20);
        cluster.run_for(20);
        ShardId shard = busy_share(cluster, 0);
        ASSERT_TRUE(cluster.migrate_shard(0, shard, 3));
        cluster.run_for(after);
        RequestId request_id = cluster.cancel(2, "req-1");
        cluster.run_for(20);
        EXPECT_EQ(cluster.answers.at(request_id).status, 200);
        EXPECT_EQ(cluster.used("red"), 0);
        EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    }
}

// A share moves while a gang is gathered, runs, or is stopped in good order.
TEST(ShareMoves, InTheMidstOfAGang) {
    for (double at : {10.2, 12.0, 14.0, 20.0, 26.0}) {
        SimulatedCluster cluster(five(8));
        fill(cluster, 12);
        JobSpec g = cluster.job("req-2", 10, 4);
        g.kind = JobKind::gang;
        g.team = "blue";
        g.checkpoint_interval_s = 5;
        g.save_duration_s = 1;
        g.spot = false;
        cluster.at(cluster.now() + 5, [&] { cluster.submit(1, g); });
        cluster.at(cluster.now() + 24, [&] {
            for (std::uint32_t i = 0; i < 10; ++i) {
                for (const auto& machine : cluster.machines_of({"req-2", i})) {
                    cluster.preempt_machine(machine, 8);
                    return;
                }
            }
        });
        for (int k = 0; k < 4; ++k) {
            cluster.at(cluster.now() + at + 0.3 * k, [&cluster, k] {
                for (int from = 0; from < 5; ++from) {
                    ShardId shard = busy_share(cluster, from);
                    if (shard.home_partition >= 0) {
                        cluster.migrate_shard(from, shard, (from + 1 + k) % 5);
                    }
                }
            });
        }
        cluster.run_for(300);
        EXPECT_GT(cluster.log_count("event=shard_migrated"), 3u);
        EXPECT_TRUE(cluster.all_done("req-2")) << cluster.describe("req-2");
        EXPECT_GE(cluster.gang_runs("req-2"), 1);
        EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    }
}

TEST(ShareMap, ADamagedOneLosesNothingWhileItsHoldersLive) {
    SimulatedCluster cluster(five(9));
    fill(cluster, 20);
    cluster.run_for(20);
    ShardId shard = busy_share(cluster, 0);
    ASSERT_TRUE(cluster.migrate_shard(0, shard, 3));
    cluster.run_for(8);
    ASSERT_TRUE(cluster.key_exists(PartitionMap::shards_key(shard.home_partition)));
    cluster.put(PartitionMap::shards_key(shard.home_partition), UnreadableRecord{});
    cluster.run_for(10);
    EXPECT_EQ(holder(cluster, shard), 3); // it goes on
    EXPECT_FALSE(cluster.migrate_shard(3, shard, 0));
    EXPECT_GE(cluster.log_count("event=record_unreadable"), 5u); // each node has named it
    cluster.run_for(150);
    EXPECT_TRUE(cluster.all_done("req-1"));
    // A new claim of its part holds none of them, and says so to their machines.
    cluster.submit(1, cluster.job("req-2", 10, 2));
    cluster.crash(3, 60);
    cluster.run_for(30);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(ShareMoves, BesideANodeOfTheVersionBeforeThereAreNone) {
    SimulatedCluster cluster(five(10));
    fill(cluster, 20);
    cluster.run_for(20);
    cluster.crash(2, 100);
    cluster.put(partition_key(2),
                PartitionRecord{"n2", false}); // as if an older program had claimed it
    cluster.run_for(3);
    EXPECT_FALSE(cluster.migrate_shard(0, busy_share(cluster, 0), 3));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(ShareTakeover, TheSharesOfALostControllerGoToAllWhoAreThere) {
    SimulationOptions options = five(11);
    options.run_s = 60;
    SimulatedCluster cluster(options);
    fill(cluster, 40, "blue");
    cluster.run_for(20);
    std::size_t all = all_shards(cluster.cluster_settings(0)).size();
    cluster.crash(1, 120);
    cluster.run_for(40);
    std::size_t held = 0;
    std::size_t most = 0;
    for (int partition : {0, 2, 3, 4}) {
        held += cluster.held_shards(partition).size();
        most = std::max(most, cluster.held_shards(partition).size());
    }
    EXPECT_NE(cluster.owner(1), 1); // its teams have an owner ...
    EXPECT_GE(cluster.owner(1), 0);
    EXPECT_TRUE(cluster.held_shards(1).empty()); // ... who holds no machines for it
    EXPECT_EQ(held, all);
    EXPECT_LE(static_cast<double>(most), 1.25 * static_cast<double>(all) / 4);
    cluster.run_for(400);
    EXPECT_EQ(cluster.owner(1), 1); // it has its teams back
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(ShareTakeover, AControllerThatComesBackGetsSharesByDegrees) {
    SimulationOptions options = five(12);
    options.run_s = 900;
    options.limits = 20;
    SimulatedCluster cluster(options);
    fill(cluster, 60);
    cluster.run_for(20);
    cluster.crash(1, 40);
    cluster.run_for(39);
    ASSERT_EQ(cluster.held_shards(1).size(), 0u);
    std::size_t before = 0;
    for (int k = 0; k < 100; ++k) {
        cluster.run_for(1);
        std::size_t now = cluster.held_shards(1).size();
        EXPECT_LE(now, before + 4); // at most one from each of the others
        before = now;
    }
    std::set<ShardId> held;
    for (const auto& shard : cluster.held_shards(1)) {
        held.insert(shard);
    }
    std::size_t machines = 0;
    for (const auto& machine : cluster.machines_up()) {
        machines += held.contains(
            shard_of_machine(cluster.cluster_settings(0), machine, cluster.zone_of(machine)));
    }
    EXPECT_GE(machines, 8u); // two thirds of an even part
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// A lost controller's machines find their new holders before their leases end.
TEST(ShareTakeover, NoTaskIsLostToTheLeasesOfALostControllersMachines) {
    SimulationOptions options = five(14);
    options.run_s = 120;
    SimulatedCluster cluster(options);
    fill(cluster, 40, "blue");
    cluster.run_for(20);
    cluster.crash(1, 300);
    cluster.run_for(200);
    EXPECT_EQ(cluster.log_count("event=machine_lease_expired"), 0u);
    for (std::uint32_t i = 0; i < 160; ++i) {
        EXPECT_LE(cluster.starts({"req-1", i}), 1) << i;
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// Controllers refuse each other's calls while one of them is lost: its older tasks do not wait
// until the calls go through again, since the listings come by way of the state service.
TEST(ShareTakeover, OlderTasksRunWhilePeersRefuseCalls) {
    SimulationOptions options = five(13);
    options.run_s = 25;
    options.limits = 4; // so that tasks wait when their owner is lost
    SimulatedCluster cluster(options);
    cluster.run_for(3);
    JobSpec spec = cluster.job("req-1", 150, 2);
    cluster.submit(0, spec);
    cluster.run_for(40);
    ASSERT_FALSE(cluster.all_done("req-1"));
    cut_all_peers(cluster, true);
    int partition = partition_of_team(cluster.cluster_settings(0), "red");
    auto started = [&] {
        int n = 0;
        for (std::uint32_t i = 0; i < spec.tasks; ++i) {
            n += cluster.starts({"req-1", i});
        }
        return n;
    };
    cluster.crash(cluster.owner(partition), 200);
    cluster.run_for(16); // its lease is over, and another has read what there is to read
    int before = started();
    cluster.run_for(20);
    EXPECT_GT(cluster.log_count("event=inventory_posted"), 2u);
    EXPECT_GT(started(), before);
    cluster.run_for(60);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    cut_all_peers(cluster, false);
    cluster.run_for(300);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    for (int page = 0; page < 3; ++page) { // read, and of no use any more
        EXPECT_FALSE(cluster.key_exists("account/" + std::to_string(partition) + "/0/" +
                                        std::to_string(page)));
    }
}

// Moves forced at random all the time, while jobs, gangs and replicas run and things fail. The seed
// chooses which faults: each alone, and all together.
void play(std::uint64_t seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    constexpr int kNodes = 5;
    SimulatedCluster cluster({.seed = seed,
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
        auto shards = cluster.held_shards(from);
        if (!shards.empty()) {
            ShardId shard =
                any(2) ? busy_share(cluster, from) : shards[any(static_cast<int>(shards.size()))];
            if (shard.home_partition >= 0) {
                cluster.migrate_shard(from, shard, any(kNodes));
            }
        }
    };
    std::set<std::string> services;
    int jobs = 0;
    JobSpec base = cluster.job("req-0", 160, 2); // so that there are sixty machines
    base.team = "blue";
    cluster.run_for(3);
    cluster.submit(0, base);
    for (int k = 0; k < 100; ++k) {
        cluster.run_for(1.5);
        for (int m = 0; m < 3; ++m) {
            move();
        }
        if (k < 60 && k % 2 == 0) {
            JobSpec spec = cluster.job("req-" + std::to_string(++jobs), 4 + any(40), 1 + any(3));
            spec.team = any(2) ? "red" : "blue";
            spec.spot = any(2) != 0;
            int kind = any(5);
            if (kind == 0) {
                spec.kind = JobKind::gang;
                spec.tasks = 2 + static_cast<std::uint32_t>(any(10));
                spec.one_zone = any(2) != 0;
                spec.checkpoint_interval_s = 3;
                spec.save_duration_s = any(2);
            } else if (kind == 1) {
                spec.kind = JobKind::service;
                spec.tasks = 1 + static_cast<std::uint32_t>(any(5));
                spec.spread = any(2) != 0;
                services.insert(spec.id);
            }
            cluster.submit(any(kNodes), spec);
        }
        std::string job = "req-" + std::to_string(1 + any(std::max(1, jobs)));
        int fault = only >= 0 ? only : any(8);
        bool strikes = any(4) == 0;
        auto up = cluster.machines_up();
        if (strikes && fault == 0) {
            cluster.crash(any(kNodes), 1 + any(20));
        } else if (strikes && fault == 1) {
            cluster.freeze(any(kNodes), 1 + any(30));
        } else if (strikes && fault == 2) {
            cluster.set_store_down(true);
        } else if (strikes && fault == 3) {
            cluster.cut_peers(any(kNodes), any(kNodes), true);
        } else if (strikes && fault == 4) {
            any(2) ? cluster.cut_workers(any(kNodes), true)
                   : cluster.set_store_refusing(any(kNodes), true);
        } else if (strikes && fault == 5 && !up.empty()) {
            const std::string& machine = up[any(static_cast<int>(up.size()))];
            any(2) ? cluster.preempt_machine(machine, 6)
                   : cluster.cut_machine(machine, any(2) != 0);
        } else if (strikes && fault == 6) {
            cluster.cancel(any(kNodes), job);
        } else if (strikes && fault == 7 && !up.empty()) {
            cluster.kill_machine(up[any(static_cast<int>(up.size()))]);
        } else if (any(3) == 0) {
            cluster.set_store_down(false);
            for (int n = 0; n < kNodes; ++n) {
                cluster.set_store_refusing(n, false);
                cluster.cut_workers(n, false);
            }
            cut_all_peers(cluster, false);
            cluster.poll(any(kNodes), job);
        }
        ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front() << " at " << cluster.now();
    }
    cluster.set_store_down(false);
    for (int n = 0; n < kNodes; ++n) {
        cluster.set_store_refusing(n, false);
        cluster.cut_workers(n, false);
    }
    cut_all_peers(cluster, false);
    for (const auto& machine : cluster.machines_up()) {
        cluster.cut_machine(machine, false);
    }
    cluster.run_for(30);
    for (const auto& id : services) {
        for (int n = 0; n < kNodes; ++n) {
            cluster.cancel(n, id);
            cluster.run_for(0.2);
        }
    }
    for (int k = 0; k < 70; ++k) { // to the end, with moves
        cluster.run_for(10);
        move();
    }
    ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_GT(cluster.log_count("event=shard_migrated"), 20u);
    for (const auto& [id, outcome] : cluster.outcomes()) {
        EXPECT_NE(outcome, Outcome::none) << id << cluster.describe(id);
    }
}

class ShareRandom : public testing::TestWithParam<int> {};
TEST_P(ShareRandom, RulesHoldWhileSharesMove) { play(static_cast<std::uint64_t>(GetParam())); }
INSTANTIATE_TEST_SUITE_P(Seeds, ShareRandom, testing::Range(1, 17));

TEST(ShareSeeds, AsManyAsAreAskedFor) { run_extra_seeds(17, play); }

} // namespace
} // namespace scheduler::test
