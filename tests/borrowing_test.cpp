// What the owner of jobs may conclude from whose listing: the steps 3 and 4 of the argument in
// docs/sharding.md, with scripted holders of shares.
#include <gtest/gtest.h>

#include "core/model/partition_assignment.h"
#include "core/stealing/slot_borrower.h"
#include "core/stealing/slot_lender.h"
#include "policy/default_policy.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

// The owner of part 0 with a job of ten tasks; parts 1 and 2 hold the share of the machine `there`.
struct Owner : SlotBorrower::Delegate {
    ClusterSettings cluster_settings = SimulatedCluster({.nodes = 3}).cluster_settings(0);
    SchedulingPolicy policy = policy::defaults(cluster_settings);
    StoreRateLimiter budget{1000, 1000, 1};
    OutboundRequests calls{budget, 1};
    LeadershipLease authority{11};
    PartitionMap table{cluster_settings};
    JobStore jobs{1000};
    MachineTable machines{cluster_settings.worker_lease_s, 1};
    QuotaLedger teams{cluster_settings.teams};
    GangTracker gangs{30};
    InstanceTypeCatalog types{{{"m8", 8, 0, 32, 20, 1, 1, 0.4, 10, {"a", "b"}}}};
    std::unique_ptr<Leadership> claim;
    std::unique_ptr<OwnedShards> holdings;
    std::unique_ptr<CapacityPlanner> fleet;
    std::unique_ptr<PendingQueue> order;
    std::unique_ptr<DemandTracker> demand;
    std::unique_ptr<SlotBorrower> borrowing;
    std::vector<TaskId> ended;
    std::string there;
    ShardId share;

    Owner() {
        authority.on_granted(1, 0);
        authority.on_elected(0, 5);
        OutboundResponse read;
        read.revision = 20;
        for (int p = 0; p < 3; ++p) {
            read.entries.push_back({partition_key(p),
                                    PartitionRecord{"n" + std::to_string(p), true},
                                    static_cast<std::uint64_t>(5 + p)});
        }
        EXPECT_TRUE(table.load(read, calls));
        claim = std::make_unique<Leadership>(0, 0, authority);
        holdings = std::make_unique<OwnedShards>(*claim, table);
        holdings->update(0);
        fleet = std::make_unique<CapacityPlanner>(cluster_settings, policy, 5);
        order = std::make_unique<PendingQueue>(
            cluster_settings, policy, jobs, teams,
            [this](Time at, const Job& job) { return has_schedulable_tasks(at, job); },
            [] { return std::vector<PeerSlotRequests>{}; });
        demand = std::make_unique<DemandTracker>(*claim, cluster_settings, policy, types, jobs,
                                                 teams, machines, *fleet);
        borrowing =
            std::make_unique<SlotBorrower>(*claim, cluster_settings, policy, table, *holdings, jobs,
                                           teams, gangs, *order, *demand, calls, *this);
        JobSpec spec = SimulatedCluster({}).job("req-1", 10, 2);
        jobs.add(0, spec, 7);
        for (int i = 0; there.empty(); ++i) {
            std::string name = "i-" + std::to_string(i);
            share = shard_of_machine(cluster_settings, name, "b");
            there = share.home_partition == 1 ? name : "";
        }
    }
    bool has_schedulable_tasks(Time, const Job& job) const override { return !job.waiting.empty(); }
    bool reconciled() const override { return true; }
    bool is_exit_durable(const TaskStatus&) override { return false; }
    void on_remote_exit(Time, const TaskId& task, ExitReason, const std::string& zone) override {
        ended.push_back(task);
        jobs.mark_waiting(*jobs.find(task.job), task.index, zone);
    }
    void on_completion_discovered(Time, Job&, std::uint32_t) override {}
    bool request_gang_slots(const Job&, bool, SlotRequest&) override { return false; }
    void on_gang_grants(Time, int, const std::vector<SlotGrant>&) override {}
    void end_attempt(Time, const std::string&, bool) override {}
    void try_reconcile(Time) override {}
    void on_peer_response(Time) override {}

    // The next calls; the reply of one part to its own.
    std::vector<OutboundRequest> sent() {
        Outputs out;
        calls.drain_into(out);
        return out.requests;
    }
    const PeerSyncRequest* call_to(int partition, std::vector<OutboundRequest>& all, Time now) {
        borrowing->sync_soon();
        borrowing->sync_due_peers(now);
        all = sent();
        for (const auto& c : all) {
            const auto* peer = std::get_if<PeerSyncCall>(&c.body);
            if (peer && peer->sync.to_partition == partition) {
                return &peer->sync;
            }
        }
        return nullptr;
    }
    void reply(Time now, int partition, const std::vector<OutboundRequest>& all,
               PeerSyncResponse body) {
        for (const auto& c : all) {
            const auto* peer = std::get_if<PeerSyncCall>(&c.body);
            if (!peer) {
                continue;
            }
            OutboundResponse r;
            r.request_id = c.id;
            if (peer->sync.to_partition == partition) {
                r.status = 200;
                r.peer_sync = body;
            }
            calls.handle_response(now, r); // the others have no answer
        }
    }
    // A reply of the part's owner that covers the share under the term.
    PeerSyncResponse listing(std::uint64_t term, bool accounted, bool whole) const {
        PeerSyncResponse response;
        response.term = term < 30 ? 6 : 7; // of its claim
        response.no_stale_grants = true;
        response.version = 3;
        response.shards = {{{share, term, accounted, whole}}};
        return response;
    }
    SlotGrant grant(std::uint64_t term, std::uint64_t attempt) const {
        return {{attempt, 0},
                "req-1",
                there,
                there + ":1",
                1,
                make_fencing_token(term, 0),
                "m8",
                "b",
                true,
                2,
                0,
                2};
    }
    RemoteTaskStatus held(std::uint64_t attempt, std::uint32_t index) const {
        return {{{"req-1", index}, attempt, TaskStage::running, ExitReason::none}, there, "b"};
    }
    std::uint64_t placed() { return jobs.find("req-1")->placed; }
    // A task on a slot that part 1 gave under term 25.
    void borrow() {
        std::vector<OutboundRequest> all;
        call_to(1, all, 1);
        PeerSyncResponse response = listing(25, true, true);
        response.grants = {grant(25, 100)};
        reply(1, 1, all, response);
        ASSERT_EQ(placed(), 1u);
        sent();
    }
};

// A gang's slots are kept while the rest is gathered. Their machine was released meanwhile, which
// was listed once, before the tasks were started there: they counted as placed for ever, and the
// gang was never done (seed 1173 of the random moves of shares).
TEST(ShareListings, AreWholeOnceAfterSlotsThatWereKeptAreUsed) {
    Owner o;
    std::vector<OutboundRequest> all;
    ASSERT_TRUE(o.call_to(1, all, 1));
    o.reply(1, 1, all, o.listing(25, true, true));
    const PeerSyncRequest* changes = o.call_to(1, all, 2);
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->acked_version, 3u);
    o.borrowing->request_full_resync(1); // while a call is on its way that asks for changes only
    o.reply(2, 1, all, o.listing(25, true, false));
    const PeerSyncRequest* whole = o.call_to(1, all, 3);
    ASSERT_TRUE(whole);
    EXPECT_EQ(whole->acked_version, 0u);
    o.reply(3, 2, all, o.listing(25, true, false)); // to part 1 it was lost
    const PeerSyncRequest* again = o.call_to(1, all, 4);
    ASSERT_TRUE(again);
    EXPECT_EQ(again->acked_version, 0u);
    o.reply(4, 1, all, o.listing(25, true, true));
    const PeerSyncRequest* after = o.call_to(1, all, 5);
    ASSERT_TRUE(after);
    EXPECT_EQ(after->acked_version, 3u);
}

TEST(ShareListings, ATaskIsGoneOnlyByAnAccountedListingOfItsShare) {
    Owner o;
    o.borrow();
    std::vector<OutboundRequest> all;
    o.call_to(1, all, 2);
    PeerSyncResponse other = o.listing(25, true, true);
    (*other.shards)[0].shard.number = (o.share.number + 1) % 10; // of another share
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
    std::vector<OutboundRequest> all;
    o.call_to(2, all, 2);
    PeerSyncResponse now = o.listing(40, true, true);
    now.tasks = {o.held(100, 0)};
    o.reply(2, 2, all, now); // it has moved, and runs
    o.call_to(1, all, 3);
    o.reply(3, 1, all, o.listing(25, true, true)); // without it
    EXPECT_TRUE(o.ended.empty());
    o.call_to(1, all, 4);
    PeerSyncResponse late = o.listing(25, true, true);
    late.tasks = {o.held(77, 3)}; // nor is a task believed to run that it lists
    o.reply(4, 1, all, late);
    EXPECT_EQ(o.placed(), 1u);
}

TEST(ShareListings, ASlotGivenUnderAnEarlierTermIsNotUsedAnyMore) {
    Owner o;
    std::vector<OutboundRequest> all;
    o.call_to(2, all, 1);
    o.reply(1, 2, all, o.listing(40, true, true));
    o.sent();
    o.call_to(1, all, 2);
    PeerSyncResponse late = o.listing(25, true, true);
    late.grants = {o.grant(25, 100)};
    o.reply(2, 1, all, late);
    EXPECT_EQ(o.placed(), 0u);
    for (const auto& c : o.sent()) {
        EXPECT_FALSE(std::holds_alternative<WorkerCommands>(c.body));
    }
    const PeerSyncRequest* next = o.call_to(1, all, 3);
    ASSERT_TRUE(next);
    ASSERT_EQ(next->commands.size(), 1u);
    EXPECT_EQ(next->commands[0].type, RemoteTaskCommand::Type::return_slot);
}

TEST(ShareListings, WordsAboutATaskFollowItsShare) {
    Owner o;
    o.borrow();
    o.borrowing->stop_job("req-1", 4);
    std::vector<OutboundRequest> all;
    o.call_to(2, all, 2); // part 1 does not answer
    PeerSyncResponse now = o.listing(40, true, true);
    now.tasks = {o.held(100, 0)};
    o.reply(2, 2, all, now);
    const PeerSyncRequest* next = o.call_to(2, all, 3);
    ASSERT_TRUE(next);
    ASSERT_EQ(next->commands.size(), 1u);
    EXPECT_EQ(next->commands[0].type, RemoteTaskCommand::Type::stop);
}

TEST(ShareListings, AShareThatWeGaveAwayUnknowinglyIsListedAgain) {
    Owner o; // holds what is at home in part 0, under term 20
    std::vector<OutboundRequest> all;
    const PeerSyncRequest* first = o.call_to(2, all, 1);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->acked_version, 0u);
    PeerSyncResponse response = o.listing(40, true, true);
    response.shards->push_back({{0, 0}, 40, true, true}); // ours, as far as we know
    o.reply(1, 2, all, response);
    const PeerSyncRequest* second = o.call_to(2, all, 2);
    EXPECT_EQ(second->acked_version, 0u); // so nothing has been taken in for good
    o.holdings->on_migrated_out({0, 0}, 39);
    o.reply(2, 2, all, response);
    EXPECT_EQ(o.call_to(2, all, 3)->acked_version, 3u);
    EXPECT_TRUE(o.borrowing->has_complete_inventory({0, 0}));
}

TEST(ShareListings, ANodeOfTheVersionBeforeListsWhatIsAtHome) {
    Owner o;
    o.borrow();
    std::vector<OutboundRequest> all;
    o.call_to(1, all, 2);
    PeerSyncResponse response = o.listing(25, true, true);
    response.shards.reset();
    response.term = 30;
    response.reconciled = response.complete = true;
    o.reply(2, 1, all, response);
    EXPECT_EQ(o.ended.size(), 1u);
    for (int number = 0; number < shards_per_home(o.cluster_settings, 1); ++number) {
        EXPECT_TRUE(o.borrowing->has_complete_inventory({1, number}));
    }
    EXPECT_FALSE(o.borrowing->has_complete_inventory({2, 0}));
}

// The owner of part 1 with one machine that a gang of part 0 has been handed a slot of.
struct Lender : SlotLender::Delegate {
    ClusterSettings cluster_settings = SimulatedCluster({.nodes = 3}).cluster_settings(1);
    SchedulingPolicy policy = policy::defaults(cluster_settings);
    StoreRateLimiter budget{1000, 1000, 1};
    OutboundRequests calls{budget, 1};
    LeadershipLease authority{11};
    PartitionMap table{cluster_settings};
    JobStore jobs{1000};
    MachineTable machines{cluster_settings.worker_lease_s, 1};
    QuotaLedger teams{cluster_settings.teams};
    InstanceTypeCatalog types{{{"m8", 8, 0, 32, 20, 1, 1, 0.4, 10, {"a", "b"}}}};
    std::unique_ptr<Leadership> claim;
    std::unique_ptr<OwnedShards> holdings;
    CapacityPlanner fleet{cluster_settings, policy, 5};
    PendingQueue order{cluster_settings,
                       policy,
                       jobs,
                       teams,
                       [](Time, const Job&) { return false; },
                       [] { return std::vector<PeerSlotRequests>{}; }};
    std::unique_ptr<DemandTracker> demand;
    std::unique_ptr<SlotLender> lending;
    Machine* m = nullptr;
    SlotRequest want;
    std::uint64_t attempt = make_attempt(5, 1, 0, true);

    Lender() {
        authority.on_granted(1, 0);
        authority.on_elected(1, 6);
        claim = std::make_unique<Leadership>(0, 1, authority);
        holdings = std::make_unique<OwnedShards>(*claim, table);
        demand = std::make_unique<DemandTracker>(*claim, cluster_settings, policy, types, jobs,
                                                 teams, machines, fleet);
        lending = std::make_unique<SlotLender>(*claim, cluster_settings, *holdings, machines, order,
                                               *demand, calls, *this);
        m = &machines.add(0, "i-1", types.all()[0], "b", true, {1, 0}, 6);
        want.job = "req-1";
        want.kind = JobKind::gang;
        want.attempt = attempt;
        want.count = 1;
        want.gang_members = {0};
        want.cpus = 2;
    }
    void update_slot_lists(Machine&) override {}
    void on_slot_requests(Time) override {}
    void request_inventory(const std::string&) override {}
    void expect_machine(Time, const ProvisionedMachine&) override {}
    void accept_transfer(Time, const ShardTransfer&) override {}
    Response call(std::uint64_t number, bool gives_back) {
        PeerSyncRequest request;
        request.from_partition = 0;
        request.term = 5;
        request.to_partition = 1;
        request.sequence = number;
        request.max_slots = 4;
        if (gives_back) {
            request.commands.push_back({RemoteTaskCommand::Type::return_slot, "i-1", {attempt, 0}});
        }
        lending->handle_sync(1, 9, request);
        Outputs out;
        calls.drain_into(out);
        return out.responses.at(0);
    }
};

// The tasks of a gang's attempt share its number, so a slot may come to have the name of one that
// went back: a call that comes late would give it back while its task starts.
TEST(ShareLending, ACallThatComesLateGivesNothingBack) {
    Lender l;
    EXPECT_EQ(l.call(1, false).status, 200);
    EXPECT_EQ(l.call(3, false).status, 200);
    l.lending->lend(1, *l.m, 0, l.want);
    ASSERT_EQ(l.m->lent_slots.size(), 1u);
    EXPECT_EQ(l.call(2, true).status, 409);
    EXPECT_EQ(l.call(3, true).status, 409); // nor one that comes twice
    EXPECT_EQ(l.m->lent_slots.size(), 1u);
    EXPECT_EQ(l.call(4, true).status, 200);
    EXPECT_TRUE(l.m->lent_slots.empty());
}

TEST(ShareLending, AnOpenSlotOfAGangIsNotHandedOverASecondTime) {
    Lender l;
    l.call(1, false);
    l.lending->lend(1, *l.m, 0, l.want);
    l.want.count = 1;
    l.lending->lend(1, *l.m, 0, l.want);
    EXPECT_EQ(l.want.count, 0u); // asked and answered
    Response a = l.call(2, false);
    EXPECT_EQ(std::get<PeerSyncResponse>(a.body).grants.size(), 1u);
}

} // namespace
} // namespace scheduler::test
