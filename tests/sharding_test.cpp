// Tests of sharding: assignment and balancing of shards, the steps of a migration, and migrations
// in a simulated cluster with faults. See docs/sharding.md.
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

ClusterSettings five_controller_settings() {
    return SimulatedCluster({.nodes = 5}).cluster_settings(0);
}

TEST(ShardAssignment, SpreadsMachinesEvenlyAndKeepsTheirHomePartition) {
    for (const auto& zones :
         {std::vector<std::string>(5, "a"), std::vector<std::string>{"a", "b", "a", "b", "c"},
          std::vector<std::string>{"a", "b", "c"}}) {
        ClusterSettings settings;
        for (std::size_t n = 0; n < zones.size(); ++n) {
            settings.partitions.push_back({"n" + std::to_string(n), zones[n]});
        }
        std::map<ShardId, int> count;
        int machines = 0;
        for (const auto& zone : {"a", "b", "c", "d"}) { // no partition's home is in d
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

TEST(ShardAssignment, ReassignsShardsOfALostPartitionEvenly) {
    ClusterSettings settings = five_controller_settings();
    ShardHolders assignment;
    for (const auto& shard : all_shards(settings)) {
        assignment[shard.home_partition].push_back(shard.home_partition);
    }
    ShardHolders reassigned = reassign_shards(assignment, 1, {0, 2, 3, 4}, 10);
    ASSERT_EQ(reassigned.size(), 1u);
    for (const auto& [home, holders] : reassigned) {
        assignment[home] = holders;
    }
    std::map<int, int> held;
    for (const auto& [home, holders] : assignment) {
        for (int holder : holders) {
            ++held[holder];
        }
    }
    EXPECT_EQ(held.count(1), 0u);
    int most = std::max({held[0], held[2], held[3], held[4]});
    EXPECT_LE(most, 1.25 * static_cast<double>(all_shards(settings).size()) / 4);
    EXPECT_TRUE(reassign_shards(assignment, 1, {0, 2}, 10).empty()); // 1 holds none any more
    EXPECT_TRUE(reassign_shards(assignment, 0, {}, 10).empty());     // no live partition
}

// ---- When to migrate ----

TEST(ShardBalancer, MovesToTheLeastLoadedUntilLoadsAreSimilar) {
    ClusterSettings settings = five_controller_settings();
    ShardBalancer balancer(settings);
    auto choose_move = [&](Time now, double own_slots, double peer_slots, double headroom = 1) {
        std::vector<ShardLoad> shards;
        for (int n = 0; n < 10; ++n) {
            shards.push_back({{0, n}, own_slots / 10, true});
        }
        return balancer.choose_move(now, 0,
                                    {{0, own_slots, headroom, false},
                                     {1, peer_slots, 1, true},
                                     {2, peer_slots * 2, 1, true},
                                     {3, 0, 1, false}}, // no recent load report
                                    shards, 8);
    };
    EXPECT_FALSE(choose_move(100, 1000, 900)); // similar loads
    auto move = choose_move(100, 1000, 500);
    ASSERT_TRUE(move);
    EXPECT_EQ(move->to_partition, 1);
    balancer.on_migration_started(100);
    EXPECT_FALSE(choose_move(100.1, 1000, 500));   // too soon after the last move
    EXPECT_TRUE(choose_move(104, 1000, 800));      // continues below the ratio that began it
    EXPECT_FALSE(choose_move(108, 1000, 900));     // until the loads are similar
    EXPECT_FALSE(choose_move(112, 1000, 800));     // and does not begin again at this ratio
    EXPECT_TRUE(choose_move(116, 1000, 950, 0.5)); // half the headroom doubles the load
    EXPECT_FALSE(choose_move(120, 40, 10));        // too few slots to be worth a move
}

TEST(ShardBalancer, LimitsTheMovesPerHour) {
    ClusterSettings settings = five_controller_settings();
    ShardBalancer balancer(settings);
    int moves = 0;
    for (Time now = 0; now < 3600; now += 1) {
        std::vector<ShardLoad> shards{{{0, 1}, 10, true}};
        if (balancer.choose_move(now, 0, {{0, 1000, 1, false}, {1, 10, 1, true}}, shards, 8)) {
            balancer.on_migration_started(now);
            ++moves;
        }
    }
    EXPECT_GE(moves, shards_per_home(settings, 0));
    EXPECT_LE(moves, 5 * shards_per_home(settings, 0) + 1);
}

TEST(ShardBalancer, CpuHeadroomDropsWhileTicksAreLateAndRecoversGradually) {
    ClusterSettings settings = five_controller_settings();
    double tick = Controller::tick_s(settings);
    CpuHeadroom headroom(settings, tick);
    Time now = 0;
    auto run = [&](double seconds, double gap) {
        for (Time end = now + seconds; now < end; now += gap) {
            headroom.tick(now);
        }
    };
    run(60, tick * 1.1);
    EXPECT_EQ(headroom.value(), 1);
    run(2 * settings.heartbeat_interval_s + 1, 1); // four times the tick period
    EXPECT_LT(headroom.value(), 1);
    run(120, 1);
    EXPECT_NEAR(headroom.value(), 0.1, 0.01);
    run(2 * settings.worker_lease_s + 2, tick);
    EXPECT_GT(headroom.value(), 0.15);
    EXPECT_LT(headroom.value(), 0.5);
    run(20 * settings.worker_lease_s, tick);
    EXPECT_EQ(headroom.value(), 1);
}

// ---- The partition map and the owned shards ----

// A partition map with responses of the key-value store to load into it.

struct PartitionMapFixture {
    ClusterSettings settings = five_controller_settings();
    StoreRateLimiter rate_limiter{1000, 1000, 1};
    OutboundRequests requests{rate_limiter, 1};
    LeadershipLease lease{11};
    PartitionMap partition_map{settings};
    std::uint64_t revision = 10;

    OutboundResponse partition_response(std::vector<KeyedRecord> more = {}) {
        OutboundResponse response;
        response.status = 200;
        response.revision = revision;
        for (int p = 0; p < 5; ++p) {
            response.entries.push_back({partition_key(p),
                                        PartitionRecord{"n" + std::to_string(p), true},
                                        static_cast<std::uint64_t>(2 + p)});
        }
        response.entries.insert(response.entries.end(), more.begin(), more.end());
        return response;
    }
    KeyedRecord holders_record(int home, std::vector<int> holders, std::uint64_t version) {
        return {PartitionMap::shards_key(home), ShardHoldersRecord{std::move(holders)}, version};
    }
    std::vector<int> all_at_home(int home) {
        return std::vector<int>(static_cast<std::size_t>(shards_per_home(settings, home)), home);
    }
    std::size_t take_error_count() {
        Outputs out;
        requests.drain_into(out);
        return static_cast<std::size_t>(
            std::count_if(out.log.begin(), out.log.end(), [](const LogLine& line) {
                return line.text.starts_with("event=record_unreadable");
            }));
    }
};

TEST(ShardMap, WithoutRecordsEveryShardIsHeldByItsHomePartition) {
    PartitionMapFixture fixture;
    EXPECT_EQ(fixture.partition_map.revision(), 0u);
    EXPECT_FALSE(fixture.partition_map.can_reassign(12));
    ASSERT_TRUE(fixture.partition_map.load(fixture.partition_response(), fixture.requests));
    for (const auto& shard : all_shards(fixture.settings)) {
        EXPECT_EQ(fixture.partition_map.holder(shard), shard.home_partition);
    }
    EXPECT_TRUE(fixture.partition_map.can_reassign(12));
    // The conditions would exceed a transaction limit of one write.
    EXPECT_FALSE(fixture.partition_map.can_reassign(1));
}

TEST(ShardMap, ControllerWithoutShardingSupportPreventsReassignment) {
    PartitionMapFixture fixture;
    OutboundResponse response = fixture.partition_response();
    std::get<PartitionRecord>(response.entries[3].record).supports_sharding = false;
    ASSERT_TRUE(fixture.partition_map.load(response, fixture.requests));
    EXPECT_FALSE(fixture.partition_map.can_reassign(12));
}

TEST(ShardMap, UnreadableRecordIsLoggedOnceAndKeepsTheKnownHolders) {
    PartitionMapFixture fixture;
    auto moved = fixture.all_at_home(2);
    moved[0] = 4;
    ASSERT_TRUE(fixture.partition_map.load(
        fixture.partition_response({fixture.holders_record(2, moved, 7)}), fixture.requests));
    EXPECT_EQ(fixture.partition_map.holder({2, 0}), 4);
    EXPECT_EQ(fixture.take_error_count(), 0u);
    auto too_short = fixture.all_at_home(2);
    too_short.pop_back();
    auto unknown_holder = fixture.all_at_home(2);
    unknown_holder[1] = 5;
    std::uint64_t version = 8;
    for (const KeyedRecord& bad :
         {KeyedRecord{PartitionMap::shards_key(2), UnreadableRecord{}, version++},
          fixture.holders_record(2, too_short, version++),
          fixture.holders_record(2, unknown_holder, version++)}) {
        ++fixture.revision;
        // The read is accepted, since the records of the partitions are readable.
        ASSERT_TRUE(
            fixture.partition_map.load(fixture.partition_response({bad}), fixture.requests));
        EXPECT_EQ(fixture.take_error_count(), 1u);
        ++fixture.revision;
        ASSERT_TRUE(
            fixture.partition_map.load(fixture.partition_response({bad}), fixture.requests));
        EXPECT_EQ(fixture.take_error_count(), 0u); // logged once per version
        EXPECT_EQ(fixture.partition_map.holder({2, 0}), 4);
        EXPECT_FALSE(fixture.partition_map.is_readable(2));
        EXPECT_TRUE(fixture.partition_map.is_readable(1));
    }
    // A new leadership does not acquire these shards from the last readable record: it may be older
    // than the last reassignment.
    fixture.lease.on_granted(1, 0);
    fixture.lease.on_elected(4, fixture.revision);
    Leadership leadership(0, 4, fixture.lease);
    OwnedShards owned_shards(leadership, fixture.partition_map);
    for (const auto& shard : owned_shards.update(0).gained) {
        EXPECT_NE(shard.home_partition, 2);
    }
    EXPECT_FALSE(owned_shards.may_serve({2, 0}));
    // A controller that has never read a readable record knows no holder.
    PartitionMapFixture fresh;
    ASSERT_TRUE(fresh.partition_map.load(
        fresh.partition_response({fixture.holders_record(2, too_short, 9)}), fresh.requests));
    EXPECT_EQ(fresh.partition_map.holder({2, 0}), -1);
    EXPECT_EQ(fresh.partition_map.holder({1, 0}), 1);
}

TEST(ShardMap, UnreadablePartitionRecordRejectsTheWholeRead) {
    PartitionMapFixture fixture;
    OutboundResponse response = fixture.partition_response();
    response.entries[0].record = UnreadableRecord{};
    EXPECT_FALSE(fixture.partition_map.load(response, fixture.requests));
    EXPECT_EQ(fixture.partition_map.revision(), 0u);
}

// The leadership of partition 2, elected at `term`, and the shards that it owns.
struct OwnedShardsFixture : PartitionMapFixture {
    std::unique_ptr<Leadership> leadership;
    std::unique_ptr<OwnedShards> owned_shards;

    explicit OwnedShardsFixture(std::uint64_t term) {
        lease.on_granted(1, 0);
        lease.on_elected(2, term);
        leadership = std::make_unique<Leadership>(0, 2, lease);
        owned_shards = std::make_unique<OwnedShards>(*leadership, partition_map);
    }
    OwnedShards::Changes load_map(std::uint64_t at, std::vector<int> holders,
                                  std::uint64_t version) {
        revision = at;
        EXPECT_TRUE(partition_map.load(
            partition_response({holders_record(2, std::move(holders), version)}), requests));
        return owned_shards->update(0);
    }
};

TEST(ShardOwnership, StartsWithAMapReadAfterTheElectionAndRaisesTheTermOnEachGain) {
    OwnedShardsFixture fixture(20);
    // A map read before the election is ignored.
    EXPECT_TRUE(fixture.load_map(19, fixture.all_at_home(2), 7).gained.empty());
    EXPECT_FALSE(fixture.owned_shards->has_map());
    EXPECT_EQ(fixture.load_map(25, fixture.all_at_home(2), 7).gained.size(),
              fixture.all_at_home(2).size());
    EXPECT_EQ(fixture.owned_shards->term({2, 0}), 25u);
    auto reassigned = fixture.all_at_home(2);
    reassigned[0] = 3;
    auto changes = fixture.load_map(30, reassigned, 29);
    ASSERT_EQ(changes.lost.size(), 1u);
    EXPECT_EQ(changes.lost[0], (OwnedShards::LostShard{ShardId{2, 0}, 3}));
    EXPECT_FALSE(fixture.owned_shards->may_serve({2, 0}));
    EXPECT_TRUE(fixture.load_map(28, fixture.all_at_home(2), 7).gained.empty()); // an outdated read
    EXPECT_EQ(fixture.load_map(35, fixture.all_at_home(2), 33).gained.size(), 1u);
    EXPECT_EQ(fixture.owned_shards->term({2, 0}), 35u);
    EXPECT_EQ(fixture.owned_shards->term({2, 1}), 25u); // owned without interruption
}

TEST(ShardOwnership, TransferCountsAsAMapReadAtItsRevision) {
    OwnedShardsFixture fixture(20);
    auto others = fixture.all_at_home(2);
    others[0] = 3;
    // Rejected: no map has been read yet.
    EXPECT_FALSE(fixture.owned_shards->accept_transfer(0, {{2, 0}, 26, 20}));
    fixture.load_map(25, others, 7);
    // Rejected: addressed to an earlier leadership.
    EXPECT_FALSE(fixture.owned_shards->accept_transfer(0, {{2, 0}, 26, 19}));
    // Rejected: a later map has been read.
    EXPECT_FALSE(fixture.owned_shards->accept_transfer(0, {{2, 0}, 24, 20}));
    ASSERT_TRUE(fixture.owned_shards->accept_transfer(0, {{2, 0}, 30, 20}));
    EXPECT_EQ(fixture.owned_shards->term({2, 0}), 30u);
    EXPECT_TRUE(fixture.load_map(28, others, 7).lost.empty()); // read before the transfer
    EXPECT_TRUE(fixture.load_map(31, fixture.all_at_home(2), 30).gained.empty());
    EXPECT_EQ(fixture.owned_shards->term({2, 0}), 30u);
    fixture.owned_shards->on_migrated_out({2, 0}, 40);
    EXPECT_FALSE(fixture.owned_shards->accept_transfer(0, {{2, 0}, 30, 20})); // a late duplicate
    EXPECT_EQ(fixture.owned_shards->find({2, 0}), nullptr);
}

// ---- The steps of a migration ----

// A migration with a recording delegate, whose store requests the test answers.
struct ShardMigrationFixture : OwnedShardsFixture, ShardMigration::Delegate {
    std::unique_ptr<ShardMigration> migration;
    bool quiescent = true;
    std::vector<int> migrated_to;
    std::vector<std::pair<int, std::uint64_t>> announced_transfers;
    int republished_inventories = 0;

    ShardMigrationFixture() : OwnedShardsFixture(4) { // the version of part/2 in partition_response
        load_map(25, all_at_home(2), 7);
        migration = std::make_unique<ShardMigration>(*leadership, settings, partition_map,
                                                     *owned_shards, requests, *this);
    }
    bool is_quiescent(const ShardId&) const override { return quiescent; }
    void update_slot_lists(const ShardId&) override {}
    void republish_inventory(const ShardId&) override { ++republished_inventories; }
    void on_migrated(Time, const ShardId&, int to) override { migrated_to.push_back(to); }
    void announce_transfer(int to, const ShardTransfer& transfer) override {
        announced_transfers.emplace_back(to, transfer.term);
    }
    std::vector<OutboundRequest> take_requests() {
        Outputs out;
        requests.drain_into(out);
        return out.requests;
    }
    void respond(Time now, const OutboundRequest& request, int status, std::uint64_t at = 0) {
        OutboundResponse response;
        response.request_id = request.id;
        response.status = status;
        response.revision = at;
        requests.handle_response(now, response);
    }
    OwnedShards::State state() const { return owned_shards->find({2, 0})->state; }
};

TEST(ShardMigration, LendsNoSlotAfterTheStartAndServesNothingAfterTheTransaction) {
    ShardMigrationFixture fixture;
    fixture.quiescent = false;
    ASSERT_TRUE(fixture.migration->start(100, {2, 0}, 3));
    EXPECT_FALSE(fixture.migration->start(100, {2, 1}, 3)); // one migration at a time
    EXPECT_FALSE(fixture.owned_shards->may_lend({2, 0}));
    EXPECT_TRUE(fixture.owned_shards->may_serve({2, 0}));
    fixture.migration->tick(100.1);
    EXPECT_TRUE(fixture.take_requests().empty()); // commands are in flight
    fixture.quiescent = true;
    fixture.migration->tick(100.2);
    auto requests = fixture.take_requests();
    ASSERT_EQ(requests.size(), 1u);
    const StoreTransaction& transaction = std::get<StoreTransaction>(requests[0].body);
    EXPECT_EQ(transaction.conditions.size(), 6u); // every partition, and the record of the holders
    ASSERT_EQ(transaction.writes.size(), 1u);
    EXPECT_EQ(transaction.writes[0].key, "part/2/shares");
    EXPECT_FALSE(fixture.owned_shards->may_serve({2, 0}));
    fixture.respond(100.3, requests[0], 200, 31);
    EXPECT_EQ(fixture.migrated_to, (std::vector<int>{3}));
    // The announcement contains the term of the target's leadership.
    EXPECT_EQ(fixture.announced_transfers, (std::vector<std::pair<int, std::uint64_t>>{{3, 5}}));
    EXPECT_EQ(fixture.owned_shards->find({2, 0}), nullptr);
    // A map read before the migration took effect is ignored.
    EXPECT_TRUE(fixture.load_map(30, fixture.all_at_home(2), 7).gained.empty());
}

TEST(ShardMigration, ProceedsWithoutQuiescenceAfterTwoHeartbeatIntervals) {
    ShardMigrationFixture fixture;
    fixture.quiescent = false;
    ASSERT_TRUE(fixture.migration->start(100, {2, 0}, 3));
    fixture.migration->tick(100 + 2 * fixture.settings.heartbeat_interval_s);
    EXPECT_TRUE(fixture.take_requests().empty());
    fixture.migration->tick(100.1 + 2 * fixture.settings.heartbeat_interval_s);
    EXPECT_EQ(fixture.take_requests().size(), 1u);
}

TEST(ShardMigration, KeepsTheShardWhenTheTransactionIsNotExecuted) {
    for (int status : {409, 429, 503}) {
        ShardMigrationFixture fixture;
        ASSERT_TRUE(fixture.migration->start(100, {2, 0}, 3));
        fixture.migration->tick(100);
        fixture.respond(100.1, fixture.take_requests().at(0), status, 30);
        EXPECT_FALSE(fixture.migration->in_progress());
        EXPECT_TRUE(fixture.owned_shards->may_lend({2, 0}));
        EXPECT_EQ(fixture.republished_inventories, 1); // inventories omitted it meanwhile
    }
}

TEST(ShardMigration, RetriesAnUnansweredTransactionAndLetsTheMapDecide) {
    for (bool took_effect : {false, true}) {
        ShardMigrationFixture fixture;
        ASSERT_TRUE(fixture.migration->start(100, {2, 0}, 3));
        fixture.migration->tick(100);
        auto first = fixture.take_requests().at(0);
        fixture.respond(101, first, 0);
        fixture.migration->tick(101.1);
        EXPECT_TRUE(fixture.take_requests().empty()); // not retried immediately
        fixture.migration->tick(102);
        auto second = fixture.take_requests().at(0);
        EXPECT_EQ(std::get<StoreTransaction>(second.body).conditions.back().version,
                  std::get<StoreTransaction>(first.body).conditions.back().version);
        fixture.respond(102.1, second, 503); // not executed, but the first may still be
        EXPECT_EQ(fixture.state(), OwnedShards::State::transfer_pending);
        fixture.migration->tick(103);
        fixture.respond(103.1, fixture.take_requests().at(0), 409, 40);
        // The last map predates the attempts and does not show their outcome.
        EXPECT_EQ(fixture.state(), OwnedShards::State::transfer_pending);
        fixture.migration->tick(104);
        EXPECT_TRUE(fixture.take_requests().empty());
        auto holders = fixture.all_at_home(2);
        holders[took_effect ? 0 : 1] = 3; // otherwise another write caused the 409
        auto changes = fixture.load_map(41, holders, 33);
        for (const auto& [shard, to] : changes.lost) {
            fixture.migration->on_shard_lost(shard);
        }
        fixture.migration->tick(105);
        EXPECT_FALSE(fixture.migration->in_progress());
        EXPECT_EQ(fixture.owned_shards->find({2, 0}) == nullptr, took_effect);
        EXPECT_EQ(fixture.republished_inventories, took_effect ? 0 : 1);
    }
}

TEST(ShardMigration, RefusesShardsOfOthersMissingTargetsAndUnreadableRecords) {
    ShardMigrationFixture fixture;
    EXPECT_FALSE(fixture.migration->start(100, {1, 0}, 3)); // not owned
    EXPECT_FALSE(fixture.migration->start(100, {2, 0}, 2)); // to the owner itself
    OutboundResponse response = fixture.partition_response();
    std::erase_if(response.entries, [](const auto& i) { return i.key == "part/3"; });
    response.revision = 50;
    ASSERT_TRUE(fixture.partition_map.load(response, fixture.requests));
    EXPECT_FALSE(fixture.migration->start(100, {2, 0}, 3)); // the target has no leader
    response = fixture.partition_response({{PartitionMap::shards_key(2), UnreadableRecord{}, 51}});
    response.revision = 51;
    ASSERT_TRUE(fixture.partition_map.load(response, fixture.requests));
    EXPECT_FALSE(fixture.migration->start(100, {2, 0}, 3));
}

// ---- Migrations in a simulated cluster ----

SimulationOptions five_controllers(std::uint64_t seed = 1) {
    return {.seed = seed, .nodes = 5, .run_s = 30, .limits = 10, .capacity = 70};
}

// Submits a large job and waits until at least `machines` machines run its tasks.
void run_large_job(SimulatedCluster& cluster, std::size_t machines,
                   const std::string& team = "red") {
    cluster.run_for(3);
    JobSpec spec = cluster.job("req-1", static_cast<std::uint32_t>(machines * 4), 2);
    spec.team = team;
    cluster.submit(0, spec);
    cluster.run_for(30);
    ASSERT_GE(cluster.machines_up().size(), machines);
}

// Returns the shard with the most machines among those that the partition holds; {-1, -1} if none
// of them has machines.
ShardId busiest_shard(const SimulatedCluster& cluster, int partition) {
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

// Returns the partition that holds the shard; -1 if none does now.
int current_holder(const SimulatedCluster& cluster, const ShardId& shard) {
    for (int partition = 0; partition < 5; ++partition) {
        for (const auto& held : cluster.held_shards(partition)) {
            if (held == shard) {
                return partition;
            }
        }
    }
    return -1;
}

TEST(ShardMigrationInCluster, HundredMovesOfOneShardStopNoTask) {
    SimulationOptions options = five_controllers();
    options.run_s = 420;
    SimulatedCluster cluster(options);
    run_large_job(cluster, 24);
    cluster.run_for(20); // until failover has finished in all partitions
    int from = 0;
    ShardId shard = busiest_shard(cluster, from);
    ASSERT_GE(shard.home_partition, 0);
    std::map<TaskId, std::uint64_t> before;
    for (std::uint32_t i = 0; i < 96; ++i) {
        before[{"req-1", i}] = cluster.attempt_of({"req-1", i});
    }
    int moves = 0;
    for (; moves < 100; ++moves) {
        int to = (from + 1 + moves % 4) % 5;
        ASSERT_TRUE(cluster.migrate_shard(from, shard, to)) << moves;
        for (int k = 0; k < 100 && current_holder(cluster, shard) != to; ++k) {
            cluster.run_for(0.1);
        }
        ASSERT_EQ(current_holder(cluster, shard), to) << moves;
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

TEST(ShardMigrationInCluster, JobsOfBothTeamsFinishAfterAMove) {
    SimulatedCluster cluster(five_controllers());
    run_large_job(cluster, 24);
    cluster.run_for(20);
    ShardId shard = busiest_shard(cluster, 0);
    ASSERT_TRUE(cluster.migrate_shard(0, shard, 3));
    cluster.run_for(8);
    ASSERT_EQ(current_holder(cluster, shard), 3);
    std::size_t tasks_on_shard = 0;
    JobSpec spec = cluster.job("req-2", 60, 2);
    spec.team = "blue";
    cluster.submit(0, spec);
    cluster.run_for(60);
    for (const auto& machine : cluster.machines_up()) {
        if (shard_of_machine(cluster.cluster_settings(0), machine, cluster.zone_of(machine)) ==
            shard) {
            for (std::uint32_t i = 0; i < 60; ++i) {
                tasks_on_shard += cluster.machines_of({"req-2", i}).contains(machine);
            }
        }
    }
    cluster.run_for(200);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_TRUE(cluster.all_done("req-2"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_EQ(cluster.log_count("event=shard_migrated"), 1u);
}

// Crashes the source, the target or both right after the n-th request that the source sends during
// a migration, for each n in a run of its own: no task may be lost at any step.
struct CrashCase {
    bool source = false;
    bool target = false;
};
class ShardMigrationCrash : public testing::TestWithParam<CrashCase> {};

TEST_P(ShardMigrationCrash, CrashAfterAnyRequestLosesNoTask) {
    int request_count = 1;
    for (int n = 0; n < request_count; ++n) {
        SimulatedCluster cluster(five_controllers(7));
        run_large_job(cluster, 20);
        cluster.run_for(20);
        const int from = 0;
        const int to = 3;
        ShardId shard = busiest_shard(cluster, from);
        ASSERT_GE(shard.home_partition, 0);
        int requests = 0;
        bool moving = true;
        cluster.intercept = [&](int controller, const OutboundBody&) {
            moving = moving && current_holder(cluster, shard) != to;
            if (controller == from && (moving || requests <= n) && requests++ == n) {
                cluster.at(cluster.now(), [&cluster, from, to] {
                    if (GetParam().source) {
                        cluster.crash(from, 15);
                    }
                    if (GetParam().target) {
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
            // A migration without a crash shows how many requests the source sends.
            SimulatedCluster baseline(five_controllers(7));
            run_large_job(baseline, 20);
            baseline.run_for(20);
            request_count = 0;
            baseline.intercept = [&](int controller, const OutboundBody&) {
                request_count += controller == from && current_holder(baseline, shard) != to;
                return false;
            };
            ASSERT_TRUE(baseline.migrate_shard(from, shard, to));
            baseline.run_for(8);
            ASSERT_GT(request_count, 3);
        }
        cluster.run_for(240);
        ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front() << " after request " << n;
        ASSERT_TRUE(cluster.all_done("req-1")) << "after request " << n;
    }
}
INSTANTIATE_TEST_SUITE_P(SourceTargetBoth, ShardMigrationCrash,
                         testing::Values(CrashCase{true, false}, CrashCase{false, true},
                                         CrashCase{true, true}));

TEST(ShardMigrationInCluster, JobFinishesWhenTheSourceOrTargetFreezes) {
    for (int frozen : {0, 3}) {
        SimulatedCluster cluster(five_controllers(3));
        run_large_job(cluster, 20);
        cluster.run_for(20);
        ShardId shard = busiest_shard(cluster, 0);
        ASSERT_TRUE(cluster.migrate_shard(0, shard, 3));
        cluster.run_for(0.3);
        cluster.freeze(frozen, 40);
        cluster.run_for(240);
        EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
        EXPECT_TRUE(cluster.all_done("req-1"));
    }
}

TEST(ShardMigrationInCluster, StoreOutageDuringAMoveStopsNoTask) {
    SimulationOptions options = five_controllers(4);
    options.run_s = 120;
    for (double after : {0.0, 0.02, 0.1, 0.3}) {
        SimulatedCluster cluster(options);
        run_large_job(cluster, 20);
        cluster.run_for(20);
        ShardId shard = busiest_shard(cluster, 0);
        ASSERT_TRUE(cluster.migrate_shard(0, shard, 3));
        cluster.run_for(after);
        cluster.set_store_down(true);
        cluster.run_for(40); // longer than any lease: peers extend the leaders' leases
        cluster.set_store_down(false);
        cluster.run_for(300);
        EXPECT_TRUE(cluster.all_done("req-1"));
        for (std::uint32_t i = 0; i < 80; ++i) {
            EXPECT_EQ(cluster.starts({"req-1", i}), 1) << i << " after " << after;
        }
        EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    }
}

TEST(ShardMigrationInCluster, CompletesWhileSourceAndTargetAreDisconnected) {
    SimulatedCluster cluster(five_controllers(5));
    run_large_job(cluster, 20);
    cluster.run_for(20);
    cluster.cut_peers(0, 3, true);
    ShardId shard = busiest_shard(cluster, 0);
    ASSERT_TRUE(cluster.migrate_shard(0, shard, 3));
    cluster.run_for(30);
    EXPECT_EQ(current_holder(cluster, shard), 3);
    cluster.cut_peers(0, 3, false);
    cluster.run_for(240);
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(ShardMigrationInCluster, TasksOfAJobCancelledDuringAMoveAreStopped) {
    for (double after : {0.0, 0.05, 0.5, 1.0}) {
        SimulationOptions options = five_controllers(6);
        options.run_s = 300;
        SimulatedCluster cluster(options);
        run_large_job(cluster, 20);
        cluster.run_for(20);
        ShardId shard = busiest_shard(cluster, 0);
        ASSERT_TRUE(cluster.migrate_shard(0, shard, 3));
        cluster.run_for(after);
        RequestId request_id = cluster.cancel(2, "req-1");
        cluster.run_for(20);
        EXPECT_EQ(cluster.answers.at(request_id).status, 200);
        EXPECT_EQ(cluster.used("red"), 0);
        EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    }
}

// Shards move while a gang acquires its slots, runs, or saves and stops after a preemption notice.
TEST(ShardMigrationInCluster, GangFinishesWhenShardsMoveDuringItsLifetime) {
    for (double at : {10.2, 12.0, 14.0, 20.0, 26.0}) {
        SimulatedCluster cluster(five_controllers(8));
        run_large_job(cluster, 12);
        JobSpec gang = cluster.job("req-2", 10, 4);
        gang.kind = JobKind::gang;
        gang.team = "blue";
        gang.checkpoint_interval_s = 5;
        gang.save_duration_s = 1;
        gang.spot = false;
        cluster.at(cluster.now() + 5, [&] { cluster.submit(1, gang); });
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
                    ShardId shard = busiest_shard(cluster, from);
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

TEST(ShardMap, UnreadableRecordLosesNoTaskWhileItsHoldersLive) {
    SimulatedCluster cluster(five_controllers(9));
    run_large_job(cluster, 20);
    cluster.run_for(20);
    ShardId shard = busiest_shard(cluster, 0);
    ASSERT_TRUE(cluster.migrate_shard(0, shard, 3));
    cluster.run_for(8);
    ASSERT_TRUE(cluster.key_exists(PartitionMap::shards_key(shard.home_partition)));
    cluster.put(PartitionMap::shards_key(shard.home_partition), UnreadableRecord{});
    cluster.run_for(10);
    EXPECT_EQ(current_holder(cluster, shard), 3); // the holder is unchanged
    EXPECT_FALSE(cluster.migrate_shard(3, shard, 0));
    EXPECT_GE(cluster.log_count("event=record_unreadable"), 5u); // each controller has logged it
    cluster.run_for(150);
    EXPECT_TRUE(cluster.all_done("req-1"));
    // A new leader of the partition owns none of these shards and rejects their machines.
    cluster.submit(1, cluster.job("req-2", 10, 2));
    cluster.crash(3, 60);
    cluster.run_for(30);
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(ShardMigrationInCluster, RefusedWhileAControllerLacksShardingSupport) {
    SimulatedCluster cluster(five_controllers(10));
    run_large_job(cluster, 20);
    cluster.run_for(20);
    cluster.crash(2, 100);
    // The record that an older version would write when it leads the partition.
    cluster.put(partition_key(2), PartitionRecord{"n2", false});
    cluster.run_for(3);
    EXPECT_FALSE(cluster.migrate_shard(0, busiest_shard(cluster, 0), 3));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(ShardFailover, ShardsOfALostControllerGoToAllLiveControllers) {
    SimulationOptions options = five_controllers(11);
    options.run_s = 60;
    SimulatedCluster cluster(options);
    run_large_job(cluster, 40, "blue");
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
    EXPECT_NE(cluster.owner(1), 1); // its teams have a new leader ...
    EXPECT_GE(cluster.owner(1), 0);
    EXPECT_TRUE(cluster.held_shards(1).empty()); // ... that holds none of its shards
    EXPECT_EQ(held, all);
    EXPECT_LE(static_cast<double>(most), 1.25 * static_cast<double>(all) / 4);
    cluster.run_for(400);
    EXPECT_EQ(cluster.owner(1), 1); // it leads its home partition again
    EXPECT_TRUE(cluster.all_done("req-1"));
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

TEST(ShardFailover, ReturningControllerRegainsShardsGradually) {
    SimulationOptions options = five_controllers(12);
    options.run_s = 900;
    options.limits = 20;
    SimulatedCluster cluster(options);
    run_large_job(cluster, 60);
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
    EXPECT_GE(machines, 8u); // two thirds of an equal split
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// The machines of a lost controller must reach their new holders before their leases end, or their
// tasks would be lost.
TEST(ShardFailover, MachinesFindNewHoldersBeforeTheirLeasesEnd) {
    SimulationOptions options = five_controllers(14);
    options.run_s = 120;
    SimulatedCluster cluster(options);
    run_large_job(cluster, 40, "blue");
    cluster.run_for(20);
    cluster.crash(1, 300);
    cluster.run_for(200);
    EXPECT_EQ(cluster.log_count("event=machine_lease_expired"), 0u);
    for (std::uint32_t i = 0; i < 160; ++i) {
        EXPECT_LE(cluster.starts({"req-1", i}), 1) << i;
    }
    EXPECT_TRUE(cluster.broken.empty()) << cluster.broken.front();
}

// A controller is lost while the others refuse each other's requests. Tasks that were submitted
// before still start during this time, because the inventories are exchanged through the key-value
// store.
TEST(ShardFailover, OlderTasksStartWhilePeersRefuseRequests) {
    SimulationOptions options = five_controllers(13);
    options.run_s = 25;
    options.limits = 4; // so that tasks are pending when their leader is lost
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
    cluster.run_for(16); // its lease has ended, and its successor has loaded the partition
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
    for (int page = 0; page < 3; ++page) { // deleted once they have been read
        EXPECT_FALSE(cluster.key_exists("account/" + std::to_string(partition) + "/0/" +
                                        std::to_string(page)));
    }
}

// Forces random migrations throughout while jobs, gangs and services run under random faults. The
// seed selects one kind of fault or all kinds together.
void run_random_scenario(std::uint64_t seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    constexpr int kControllers = 5;
    SimulatedCluster cluster({.seed = seed,
                              .nodes = kControllers,
                              .drop = seed % 3 == 0 ? 0.03 : 0,
                              .late = seed % 3 == 0 ? 0.03 : 0,
                              .run_s = 12,
                              .error = 0.01,
                              .limits = 10,
                              .capacity = 64});
    std::mt19937_64 random(seed);
    auto random_below = [&](int n) {
        return static_cast<int>(random() % static_cast<unsigned>(n));
    };
    int single_fault = seed % 8 == 7 ? -1 : static_cast<int>(seed % 8); // -1: all kinds of faults
    std::function<void()> move = [&] {
        int from = random_below(kControllers);
        auto shards = cluster.held_shards(from);
        if (!shards.empty()) {
            ShardId shard = random_below(2) ? busiest_shard(cluster, from)
                                            : shards[random_below(static_cast<int>(shards.size()))];
            if (shard.home_partition >= 0) {
                cluster.migrate_shard(from, shard, random_below(kControllers));
            }
        }
    };
    std::set<std::string> services;
    int jobs = 0;
    JobSpec base = cluster.job("req-0", 160, 2); // keeps about sixty machines running
    base.team = "blue";
    cluster.run_for(3);
    cluster.submit(0, base);
    for (int k = 0; k < 100; ++k) {
        cluster.run_for(1.5);
        for (int m = 0; m < 3; ++m) {
            move();
        }
        if (k < 60 && k % 2 == 0) {
            JobSpec spec = cluster.job("req-" + std::to_string(++jobs), 4 + random_below(40),
                                       1 + random_below(3));
            spec.team = random_below(2) ? "red" : "blue";
            spec.spot = random_below(2) != 0;
            int kind = random_below(5);
            if (kind == 0) {
                spec.kind = JobKind::gang;
                spec.tasks = 2 + static_cast<std::uint32_t>(random_below(10));
                spec.one_zone = random_below(2) != 0;
                spec.checkpoint_interval_s = 3;
                spec.save_duration_s = random_below(2);
            } else if (kind == 1) {
                spec.kind = JobKind::service;
                spec.tasks = 1 + static_cast<std::uint32_t>(random_below(5));
                spec.spread = random_below(2) != 0;
                services.insert(spec.id);
            }
            cluster.submit(random_below(kControllers), spec);
        }
        std::string job = "req-" + std::to_string(1 + random_below(std::max(1, jobs)));
        int fault = single_fault >= 0 ? single_fault : random_below(8);
        bool inject = random_below(4) == 0;
        auto up = cluster.machines_up();
        if (inject && fault == 0) {
            cluster.crash(random_below(kControllers), 1 + random_below(20));
        } else if (inject && fault == 1) {
            cluster.freeze(random_below(kControllers), 1 + random_below(30));
        } else if (inject && fault == 2) {
            cluster.set_store_down(true);
        } else if (inject && fault == 3) {
            cluster.cut_peers(random_below(kControllers), random_below(kControllers), true);
        } else if (inject && fault == 4) {
            random_below(2) ? cluster.cut_workers(random_below(kControllers), true)
                            : cluster.set_store_refusing(random_below(kControllers), true);
        } else if (inject && fault == 5 && !up.empty()) {
            const std::string& machine = up[random_below(static_cast<int>(up.size()))];
            random_below(2) ? cluster.preempt_machine(machine, 6)
                            : cluster.cut_machine(machine, random_below(2) != 0);
        } else if (inject && fault == 6) {
            cluster.cancel(random_below(kControllers), job);
        } else if (inject && fault == 7 && !up.empty()) {
            cluster.kill_machine(up[random_below(static_cast<int>(up.size()))]);
        } else if (random_below(3) == 0) {
            cluster.set_store_down(false);
            for (int n = 0; n < kControllers; ++n) {
                cluster.set_store_refusing(n, false);
                cluster.cut_workers(n, false);
            }
            cut_all_peers(cluster, false);
            cluster.poll(random_below(kControllers), job);
        }
        ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front() << " at " << cluster.now();
    }
    cluster.set_store_down(false);
    for (int n = 0; n < kControllers; ++n) {
        cluster.set_store_refusing(n, false);
        cluster.cut_workers(n, false);
    }
    cut_all_peers(cluster, false);
    for (const auto& machine : cluster.machines_up()) {
        cluster.cut_machine(machine, false);
    }
    cluster.run_for(30);
    for (const auto& id : services) {
        for (int n = 0; n < kControllers; ++n) {
            cluster.cancel(n, id);
            cluster.run_for(0.2);
        }
    }
    for (int k = 0; k < 70; ++k) { // until all jobs end, with further migrations
        cluster.run_for(10);
        move();
    }
    ASSERT_TRUE(cluster.broken.empty()) << cluster.broken.front();
    EXPECT_GT(cluster.log_count("event=shard_migrated"), 20u);
    for (const auto& [id, outcome] : cluster.outcomes()) {
        EXPECT_NE(outcome, Outcome::none) << id << cluster.describe(id);
    }
}

class ShardingRandom : public testing::TestWithParam<int> {};
TEST_P(ShardingRandom, InvariantsHoldWhileShardsMove) {
    run_random_scenario(static_cast<std::uint64_t>(GetParam()));
}
INSTANTIATE_TEST_SUITE_P(Seeds, ShardingRandom, testing::Range(1, 17));

TEST(ShardingSeeds, InvariantsHoldForRequestedSeeds) { run_extra_seeds(17, run_random_scenario); }

} // namespace
} // namespace scheduler::test
