// Which conclusions a borrower may draw from the inventory of which peer (steps 3 and 4 of the
// argument in docs/sharding.md), and what a lender does with late or repeated requests. The peers
// are scripted.
#include <gtest/gtest.h>

#include "core/model/partition_assignment.h"
#include "core/stealing/slot_borrower.h"
#include "core/stealing/slot_lender.h"
#include "policy/default_policy.h"
#include "simulated_cluster.h"

namespace scheduler::test {
namespace {

// The leader of partition 0 with a job of ten tasks. Partitions 1 and 2 hold the shard of
// `machine`, one after the other.
struct Borrower : SlotBorrower::Delegate {
    ClusterSettings settings = SimulatedCluster({.nodes = 3}).cluster_settings(0);
    SchedulingPolicy policy = policy::defaults(settings);
    StoreRateLimiter rate_limiter{1000, 1000, 1};
    OutboundRequests requests{rate_limiter, 1};
    LeadershipLease lease{11};
    PartitionMap partition_map{settings};
    JobStore jobs{1000};
    MachineTable machines{settings.worker_lease_s, 1};
    QuotaLedger quotas{settings.teams};
    GangTracker gangs{30};
    InstanceTypeCatalog instance_types{{{"m8", 8, 0, 32, 20, 1, 1, 0.4, 10, {"a", "b"}}}};
    std::unique_ptr<Leadership> leadership;
    std::unique_ptr<OwnedShards> owned_shards;
    std::unique_ptr<CapacityPlanner> capacity_planner;
    std::unique_ptr<PendingQueue> pending_queue;
    std::unique_ptr<DemandTracker> demand_tracker;
    std::unique_ptr<SlotBorrower> slot_borrower;
    std::vector<TaskId> exited;
    std::string machine;
    ShardId shard;

    Borrower() {
        lease.on_granted(1, 0);
        lease.on_elected(0, 5);
        OutboundResponse read;
        read.revision = 20;
        for (int p = 0; p < 3; ++p) {
            read.entries.push_back({partition_key(p),
                                    PartitionRecord{"n" + std::to_string(p), true},
                                    static_cast<std::uint64_t>(5 + p)});
        }
        EXPECT_TRUE(partition_map.load(read, requests));
        leadership = std::make_unique<Leadership>(0, 0, lease);
        owned_shards = std::make_unique<OwnedShards>(*leadership, partition_map);
        owned_shards->update(0);
        capacity_planner = std::make_unique<CapacityPlanner>(settings, policy, 5);
        pending_queue = std::make_unique<PendingQueue>(
            settings, policy, jobs, quotas,
            [this](Time at, const Job& job) { return has_schedulable_tasks(at, job); },
            [] { return std::vector<PeerSlotRequests>{}; });
        demand_tracker =
            std::make_unique<DemandTracker>(*leadership, settings, policy, instance_types, jobs,
                                            quotas, machines, *capacity_planner);
        slot_borrower = std::make_unique<SlotBorrower>(
            *leadership, settings, policy, partition_map, *owned_shards, jobs, quotas, gangs,
            *pending_queue, *demand_tracker, requests, *this);
        JobSpec spec = SimulatedCluster({}).job("req-1", 10, 2);
        jobs.add(0, spec, 7);
        for (int i = 0; machine.empty(); ++i) {
            std::string name = "i-" + std::to_string(i);
            shard = shard_of_machine(settings, name, "b");
            machine = shard.home_partition == 1 ? name : "";
        }
    }
    bool has_schedulable_tasks(Time, const Job& job) const override { return !job.waiting.empty(); }
    bool reconciled() const override { return true; }
    bool is_exit_durable(const TaskStatus&) override { return false; }
    void on_remote_exit(Time, const TaskId& task, ExitReason, const std::string& zone) override {
        exited.push_back(task);
        jobs.mark_waiting(*jobs.find(task.job), task.index, zone);
    }
    void on_completion_discovered(Time, Job&, std::uint32_t) override {}
    bool request_gang_slots(const Job&, bool, SlotRequest&) override { return false; }
    void on_gang_grants(Time, int, const std::vector<SlotGrant>&) override {}
    void end_attempt(Time, const std::string&, bool) override {}
    void try_reconcile(Time) override {}
    void on_peer_response(Time) override {}

    // Returns the requests sent since the last call.
    std::vector<OutboundRequest> take_requests() {
        Outputs out;
        requests.drain_into(out);
        return out.requests;
    }
    // Sends the due requests, which are left in `sent`. Returns the one to the partition; null:
    // there is none.
    const PeerSyncRequest* sync_with(int partition, std::vector<OutboundRequest>& sent, Time now) {
        slot_borrower->sync_soon();
        slot_borrower->sync_due_peers(now);
        sent = take_requests();
        for (const auto& request : sent) {
            const auto* peer = std::get_if<PeerSyncCall>(&request.body);
            if (peer && peer->sync.to_partition == partition) {
                return &peer->sync;
            }
        }
        return nullptr;
    }
    // Answers the request to the partition with `body`; those to other partitions fail.
    void respond(Time now, int partition, const std::vector<OutboundRequest>& sent,
                 PeerSyncResponse body) {
        for (const auto& request : sent) {
            const auto* peer = std::get_if<PeerSyncCall>(&request.body);
            if (!peer) {
                continue;
            }
            OutboundResponse response;
            response.request_id = request.id;
            if (peer->sync.to_partition == partition) {
                response.status = 200;
                response.peer_sync = body;
            }
            requests.handle_response(now, response); // without a status: no response came
        }
    }
    // Returns a response whose inventory covers the shard under the term.
    PeerSyncResponse inventory(std::uint64_t term, bool reconciled_shard, bool complete) const {
        PeerSyncResponse response;
        response.term = term < 30 ? 6 : 7; // of the sender's leadership
        response.no_stale_grants = true;
        response.version = 3;
        response.shards = {{{shard, term, reconciled_shard, complete}}};
        return response;
    }
    SlotGrant grant(std::uint64_t term, std::uint64_t attempt) const {
        return {{attempt, 0},
                "req-1",
                machine,
                machine + ":1",
                1,
                make_fencing_token(term, 0),
                "m8",
                "b",
                true,
                2,
                0,
                2};
    }
    RemoteTaskStatus running_task(std::uint64_t attempt, std::uint32_t index) const {
        return {{{"req-1", index}, attempt, TaskStage::running, ExitReason::none}, machine, "b"};
    }
    std::uint64_t placed_tasks() { return jobs.find("req-1")->placed; }
    // Starts a task on a slot that partition 1 granted under term 25.
    void borrow_slot() {
        std::vector<OutboundRequest> sent;
        sync_with(1, sent, 1);
        PeerSyncResponse response = inventory(25, true, true);
        response.grants = {grant(25, 100)};
        respond(1, 1, sent, response);
        ASSERT_EQ(placed_tasks(), 1u);
        take_requests();
    }
};

// The borrower keeps the slots of a gang while it gathers the rest. If their machine is released
// meanwhile, the lender reports that once, before the tasks are started there. The tasks then
// counted as placed forever and the gang never completed (seed 1173 of the random shard
// migrations), so the borrower asks for the complete inventory again.
TEST(ShardInventory, FullResyncRequestIsRepeatedUntilACompleteInventoryArrives) {
    Borrower borrower;
    std::vector<OutboundRequest> sent;
    ASSERT_TRUE(borrower.sync_with(1, sent, 1));
    borrower.respond(1, 1, sent, borrower.inventory(25, true, true));
    const PeerSyncRequest* changes = borrower.sync_with(1, sent, 2);
    ASSERT_TRUE(changes);
    EXPECT_EQ(changes->acked_version, 3u);
    borrower.slot_borrower->request_full_resync(1); // while a request for changes only is in flight
    borrower.respond(2, 1, sent, borrower.inventory(25, true, false));
    const PeerSyncRequest* full = borrower.sync_with(1, sent, 3);
    ASSERT_TRUE(full);
    EXPECT_EQ(full->acked_version, 0u);
    // The request to partition 1 was lost.
    borrower.respond(3, 2, sent, borrower.inventory(25, true, false));
    const PeerSyncRequest* repeated = borrower.sync_with(1, sent, 4);
    ASSERT_TRUE(repeated);
    EXPECT_EQ(repeated->acked_version, 0u);
    borrower.respond(4, 1, sent, borrower.inventory(25, true, true));
    const PeerSyncRequest* after = borrower.sync_with(1, sent, 5);
    ASSERT_TRUE(after);
    EXPECT_EQ(after->acked_version, 3u);
}

TEST(ShardInventory, TaskIsGoneOnlyByACompleteReconciledInventoryOfItsShard) {
    Borrower borrower;
    borrower.borrow_slot();
    std::vector<OutboundRequest> sent;
    borrower.sync_with(1, sent, 2);
    PeerSyncResponse other = borrower.inventory(25, true, true);
    (*other.shards)[0].shard.number = (borrower.shard.number + 1) % 10; // of another shard
    borrower.respond(2, 1, sent, other);
    borrower.sync_with(2, sent, 3);
    // Complete, but not reconciled.
    borrower.respond(3, 2, sent, borrower.inventory(40, false, true));
    EXPECT_TRUE(borrower.exited.empty());
    borrower.sync_with(2, sent, 4);
    // Reconciled, but with changed machines only, and this one is not among them.
    borrower.respond(4, 2, sent, borrower.inventory(40, true, false));
    EXPECT_TRUE(borrower.exited.empty());
    borrower.sync_with(2, sent, 5);
    borrower.respond(5, 2, sent, borrower.inventory(40, true, true));
    EXPECT_EQ(borrower.exited.size(), 1u);
}

TEST(ShardInventory, LateInventoryOfThePreviousHolderIsIgnored) {
    Borrower borrower;
    borrower.borrow_slot();
    std::vector<OutboundRequest> sent;
    borrower.sync_with(2, sent, 2);
    PeerSyncResponse current = borrower.inventory(40, true, true);
    current.tasks = {borrower.running_task(100, 0)};
    borrower.respond(2, 2, sent, current); // the shard has migrated, and the task runs
    borrower.sync_with(1, sent, 3);
    borrower.respond(3, 1, sent, borrower.inventory(25, true, true)); // without the task
    EXPECT_TRUE(borrower.exited.empty());
    borrower.sync_with(1, sent, 4);
    PeerSyncResponse late = borrower.inventory(25, true, true);
    late.tasks = {borrower.running_task(77, 3)}; // nor does a task that it lists count as running
    borrower.respond(4, 1, sent, late);
    EXPECT_EQ(borrower.placed_tasks(), 1u);
}

TEST(ShardInventory, SlotGrantedUnderAnEarlierTermIsReturnedUnused) {
    Borrower borrower;
    std::vector<OutboundRequest> sent;
    borrower.sync_with(2, sent, 1);
    borrower.respond(1, 2, sent, borrower.inventory(40, true, true));
    borrower.take_requests();
    borrower.sync_with(1, sent, 2);
    PeerSyncResponse late = borrower.inventory(25, true, true);
    late.grants = {borrower.grant(25, 100)};
    borrower.respond(2, 1, sent, late);
    EXPECT_EQ(borrower.placed_tasks(), 0u);
    for (const auto& request : borrower.take_requests()) {
        EXPECT_FALSE(std::holds_alternative<WorkerCommands>(request.body));
    }
    const PeerSyncRequest* next = borrower.sync_with(1, sent, 3);
    ASSERT_TRUE(next);
    ASSERT_EQ(next->commands.size(), 1u);
    EXPECT_EQ(next->commands[0].type, RemoteTaskCommand::Type::return_slot);
}

TEST(ShardInventory, CommandsForATaskGoToTheNewHolderOfItsShard) {
    Borrower borrower;
    borrower.borrow_slot();
    borrower.slot_borrower->stop_job("req-1", 4);
    std::vector<OutboundRequest> sent;
    borrower.sync_with(2, sent, 2); // partition 1 does not respond
    PeerSyncResponse current = borrower.inventory(40, true, true);
    current.tasks = {borrower.running_task(100, 0)};
    borrower.respond(2, 2, sent, current);
    const PeerSyncRequest* next = borrower.sync_with(2, sent, 3);
    ASSERT_TRUE(next);
    ASSERT_EQ(next->commands.size(), 1u);
    EXPECT_EQ(next->commands[0].type, RemoteTaskCommand::Type::stop);
}

TEST(ShardInventory, InventoryOfAShardMigratedAwayIsRequestedAgain) {
    Borrower borrower; // holds the shards whose home is partition 0, under term 20
    std::vector<OutboundRequest> sent;
    const PeerSyncRequest* first = borrower.sync_with(2, sent, 1);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->acked_version, 0u);
    PeerSyncResponse response = borrower.inventory(40, true, true);
    response.shards->push_back(
        {{0, 0}, 40, true, true}); // held here, as far as this controller knows
    borrower.respond(1, 2, sent, response);
    const PeerSyncRequest* second = borrower.sync_with(2, sent, 2);
    EXPECT_EQ(second->acked_version, 0u); // so the inventory has not been acknowledged
    borrower.owned_shards->on_migrated_out({0, 0}, 39);
    borrower.respond(2, 2, sent, response);
    EXPECT_EQ(borrower.sync_with(2, sent, 3)->acked_version, 3u);
    EXPECT_TRUE(borrower.slot_borrower->has_complete_inventory({0, 0}));
}

TEST(ShardInventory, PreviousVersionWithoutShardListCoversItsHomeShards) {
    Borrower borrower;
    borrower.borrow_slot();
    std::vector<OutboundRequest> sent;
    borrower.sync_with(1, sent, 2);
    PeerSyncResponse response = borrower.inventory(25, true, true);
    response.shards.reset();
    response.term = 30;
    response.reconciled = response.complete = true;
    borrower.respond(2, 1, sent, response);
    EXPECT_EQ(borrower.exited.size(), 1u);
    for (int number = 0; number < shards_per_home(borrower.settings, 1); ++number) {
        EXPECT_TRUE(borrower.slot_borrower->has_complete_inventory({1, number}));
    }
    EXPECT_FALSE(borrower.slot_borrower->has_complete_inventory({2, 0}));
}

// The leader of partition 1 with one machine, of which a gang of partition 0 requests a slot.
struct Lender : SlotLender::Delegate {
    ClusterSettings settings = SimulatedCluster({.nodes = 3}).cluster_settings(1);
    SchedulingPolicy policy = policy::defaults(settings);
    StoreRateLimiter rate_limiter{1000, 1000, 1};
    OutboundRequests requests{rate_limiter, 1};
    LeadershipLease lease{11};
    PartitionMap partition_map{settings};
    JobStore jobs{1000};
    MachineTable machines{settings.worker_lease_s, 1};
    QuotaLedger quotas{settings.teams};
    InstanceTypeCatalog instance_types{{{"m8", 8, 0, 32, 20, 1, 1, 0.4, 10, {"a", "b"}}}};
    std::unique_ptr<Leadership> leadership;
    std::unique_ptr<OwnedShards> owned_shards;
    CapacityPlanner capacity_planner{settings, policy, 5};
    PendingQueue pending_queue{settings,
                               policy,
                               jobs,
                               quotas,
                               [](Time, const Job&) { return false; },
                               [] { return std::vector<PeerSlotRequests>{}; }};
    std::unique_ptr<DemandTracker> demand_tracker;
    std::unique_ptr<SlotLender> slot_lender;
    Machine* machine = nullptr;
    SlotRequest slot_request;
    std::uint64_t attempt = make_attempt(5, 1, 0, true);

    Lender() {
        lease.on_granted(1, 0);
        lease.on_elected(1, 6);
        leadership = std::make_unique<Leadership>(0, 1, lease);
        owned_shards = std::make_unique<OwnedShards>(*leadership, partition_map);
        demand_tracker =
            std::make_unique<DemandTracker>(*leadership, settings, policy, instance_types, jobs,
                                            quotas, machines, capacity_planner);
        slot_lender = std::make_unique<SlotLender>(*leadership, settings, *owned_shards, machines,
                                                   pending_queue, *demand_tracker, requests, *this);
        machine = &machines.add(0, "i-1", instance_types.all()[0], "b", true, {1, 0}, 6);
        slot_request.job = "req-1";
        slot_request.kind = JobKind::gang;
        slot_request.attempt = attempt;
        slot_request.count = 1;
        slot_request.gang_members = {0};
        slot_request.cpus = 2;
    }
    void update_slot_lists(Machine&) override {}
    void on_slot_requests(Time) override {}
    void request_inventory(const std::string&) override {}
    void expect_machine(Time, const ProvisionedMachine&) override {}
    void accept_transfer(Time, const ShardTransfer&) override {}
    // Handles a request with this sequence, which may return the slot.
    Response handle_sync(std::uint64_t sequence, bool returns_slot) {
        PeerSyncRequest request;
        request.from_partition = 0;
        request.term = 5;
        request.to_partition = 1;
        request.sequence = sequence;
        request.max_slots = 4;
        if (returns_slot) {
            request.commands.push_back({RemoteTaskCommand::Type::return_slot, "i-1", {attempt, 0}});
        }
        slot_lender->handle_sync(1, 9, request);
        Outputs out;
        requests.drain_into(out);
        return out.responses.at(0);
    }
};

// The next owner of the shard has higher tokens; until then the machine runs empty and is returned.
TEST(ShardLending, NothingStartsOnAMachineWhoseFencingTokensAreUsedUp) {
    Borrower borrower;
    SlotLists slots;
    SlotFinder finder(borrower.policy, *borrower.owned_shards, borrower.instance_types,
                      borrower.machines, slots);
    ShardId own_shard{0, 0};
    Machine& machine = borrower.machines.add(0, "i-1", borrower.instance_types.all()[0], "a", true,
                                             own_shard, borrower.leadership->term());
    machine.reporting = machine.fenced = machine.registered = true;
    machine.fencing_sequence = kMaxFencingSequence - 1;
    EXPECT_TRUE(finder.is_schedulable(machine));
    machine.fencing_sequence = kMaxFencingSequence;
    EXPECT_FALSE(finder.is_schedulable(machine));
}

// The tasks of a gang share the number of its attempt, so a slot may get the identity of one that
// was returned before. A late request would return the new slot while its task starts.
TEST(ShardLending, LateOrRepeatedRequestReturnsNoSlot) {
    Lender lender;
    EXPECT_EQ(lender.handle_sync(1, false).status, 200);
    EXPECT_EQ(lender.handle_sync(3, false).status, 200);
    lender.slot_lender->lend(1, *lender.machine, 0, lender.slot_request);
    ASSERT_EQ(lender.machine->lent_slots.size(), 1u);
    EXPECT_EQ(lender.handle_sync(2, true).status, 409);
    EXPECT_EQ(lender.handle_sync(3, true).status, 409); // received twice
    EXPECT_EQ(lender.machine->lent_slots.size(), 1u);
    EXPECT_EQ(lender.handle_sync(4, true).status, 200);
    EXPECT_TRUE(lender.machine->lent_slots.empty());
}

TEST(ShardLending, OpenSlotOfAGangIsNotGrantedASecondTime) {
    Lender lender;
    lender.handle_sync(1, false);
    lender.slot_lender->lend(1, *lender.machine, 0, lender.slot_request);
    lender.slot_request.count = 1;
    lender.slot_lender->lend(1, *lender.machine, 0, lender.slot_request);
    EXPECT_EQ(lender.slot_request.count, 0u); // the request is satisfied by the open slot
    Response response = lender.handle_sync(2, false);
    EXPECT_EQ(std::get<PeerSyncResponse>(response.body).grants.size(), 1u);
}

} // namespace
} // namespace scheduler::test
