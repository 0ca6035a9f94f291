// The lender's side of work stealing between partitions. A leader that owns machines lends idle
// slots to the leaders of other partitions, the borrowers; it takes their slot requests, and
// reports in an inventory what became of their tasks here. "Stolen slots" and "What owners list for
// each other" in docs/design.md say why no task runs twice. This is the paper's steal of an idle
// core from another scheduler core's list, as a call.
#pragma once

#include "core/autoscaling/demand_tracker.h"
#include "core/scheduling/pending_queue.h"
#include "core/sharding/owned_shards.h"

namespace scheduler {

// The slots that a request asks for, as a job with those requirements.
JobSpec requested_resources(const SlotRequest& request);

// Called only from the controller's event loop.
class SlotLender {
  public:
    // What the lender needs of its partition's leader.
    struct Delegate {
        virtual ~Delegate() = default;
        // The machine's idle slots have changed.
        virtual void update_slot_lists(Machine& machine) = 0;
        // The machine's inventory is awaited: it is to be probed at once.
        virtual void request_inventory(const std::string& machine) = 0;
        // Slot requests have changed: idle slots go to whoever is first in the pending queue.
        virtual void on_slot_requests(Time now) = 0;
        // The caller has provisioned a machine of this partition.
        virtual void expect_machine(Time now, const ProvisionedMachine& machine) = 0;
        // The caller has transferred a shard to this partition.
        virtual void accept_transfer(Time now, const ShardTransfer& transfer) = 0;
    };
    SlotLender(Leadership& leadership, const ClusterSettings& settings,
               const OwnedShards& owned_shards, MachineTable& machines, PendingQueue& queue,
               DemandTracker& demand, OutboundRequests& requests, Delegate& delegate);

    // Handles a peer sync of another partition's leader. Responds at once: 503 if the partition is
    // unknown, 409 if a later leader or a later call has come, else 200.
    void handle_sync(Time now, RequestId request_id, const PeerSyncRequest& request);
    // The slot requests of all borrowers, for the pending queue.
    std::vector<PeerSlotRequests> slot_requests();
    // The number of slots that the borrower still accepts before it calls again.
    std::uint32_t slots_left(int borrower) const { return borrowers_.at(borrower).slots_left; }
    // Lends slots for one task of the request on the machine, which must have them.
    void lend(Time now, Machine& machine, int borrower, SlotRequest& request,
              std::uint32_t member = 0);
    // The inventory of the machine's remote tasks may have changed.
    void on_machine_changed(Machine& machine);
    // All machines of the shard are reconciled: from now on its inventory is complete.
    void publish_shard(const ShardId& shard) { published_shards_[shard] = ++version_; }
    // The shard is another partition's, or about to be.
    void unpublish_shard(const ShardId& shard) { published_shards_.erase(shard); }
    // The machine migrates with its shard, whose new owner reports it.
    void on_machine_migrated_out(const Machine& machine) {
        change_log_.erase(machine.remote_tasks_version);
    }
    // The machine is about to be removed from the table. A borrower may not know yet that its tasks
    // there are gone, so the change stays in the log.
    void on_machine_removed(const Machine& machine);
    // Raises the fencing token of machines with lent slots whose launch does not show.
    void fence_lent_slots(Time now);
    // Did a task complete on the machine without its job's leader knowing of it yet?
    bool has_unacked_exits(const Machine& machine) const;
    // Have the leaders of all other partitions called?
    bool all_borrowers_synced() const;
    // The term under which the partition's leader last called; 0: it has not.
    std::uint64_t last_synced_term(int partition) const {
        return borrowers_.at(partition).synced_term;
    }
    // The full inventory for the partition's leader under that term, as if it had called; none
    // while the inventory would not be complete. From then on calls of earlier leaders are refused.
    std::optional<PeerSyncResponse> inventory_for(Time now, int partition, std::uint64_t term);
    // Machines visited so far, as a measure of work for tests.
    std::uint64_t effort() const { return effort_; }

  private:
    struct Borrower {
        std::uint64_t term = 0;          // the latest that is known
        std::uint64_t synced_term = 0;   // ... and that it has called under
        std::uint64_t sequence = 0;      // of that call
        std::uint64_t acked_version = 0; // the version of the inventory that it has applied
        std::vector<SlotRequest> requests;
        Time requested_at = 0;
        std::uint32_t slots_left = 0;
        std::vector<SlotGrant> grants;
    };
    using ShardSet = std::set<ShardId>;
    bool reject_outdated(RequestId request_id, const PeerSyncRequest& request,
                         const Borrower& borrower);
    void apply_request(Time now, const PeerSyncRequest& request, Borrower& borrower);
    void append_grants(Borrower& borrower, PeerSyncResponse& response);
    void apply_return(Machine& machine, const RemoteTaskCommand& command, int borrower);
    void apply_stop(Machine& machine, const RemoteTaskCommand& command);
    void apply_command(Machine& machine, const RemoteTaskCommand& command, int borrower);
    void apply_resources(Machine& machine, const RemoteTaskCommand& command);
    PeerSyncResponse build_response(Time now, const PeerSyncRequest& request);
    ShardSet append_shards(const PeerSyncRequest& request, PeerSyncResponse& response) const;
    void append_machines(const PeerSyncRequest& request, const ShardSet& full_shards,
                         PeerSyncResponse& response);
    void append_changes(const PeerSyncRequest& request, const ShardSet& full_shards,
                        PeerSyncResponse& response);
    void observe_term(Time now, Borrower& borrower, std::uint64_t term);
    void log_change(const std::string& machine);
    void append_tasks(const Machine& machine, int borrower, PeerSyncResponse& response);
    std::uint64_t hash_remote_tasks(const Machine& machine) const;
    LentSlot make_lent_slot(Time now, const Machine& machine, int borrower,
                            const SlotRequest& request);
    bool must_fence(Time now, const Machine& machine) const;

    Leadership& leadership_;
    const ClusterSettings& settings_;
    const OwnedShards& owned_shards_;
    MachineTable& machines_;
    PendingQueue& queue_;
    DemandTracker& demand_;
    OutboundRequests& requests_;
    Delegate& delegate_;
    std::map<int, Borrower> borrowers_;
    // Machines by the version at which their inventory of remote tasks last changed, so that a
    // borrower is told of changes only.
    std::map<std::uint64_t, std::string> change_log_;
    std::uint64_t version_ = 1;
    std::set<std::string> machines_with_lent_slots_;    // machines that may have some
    std::map<ShardId, std::uint64_t> published_shards_; // with the version of their publication
    std::uint64_t dropped_version_ = 0; // changes up to it may have been dropped from the log
    std::uint64_t effort_ = 0;
};

} // namespace scheduler
