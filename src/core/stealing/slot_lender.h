// The lender's side of work stealing between partitions. A leader that owns machines receives the
// slot requests of the leaders of other partitions, the borrowers, and lends them idle slots. It
// reports the state of their tasks on its machines in an inventory. "Stolen slots" and "What owners
// list for each other" in docs/design.md say why no task runs twice. This corresponds to the
// paper's steal of an idle core from another scheduler core's list, done as a request.
#pragma once

#include "core/autoscaling/demand_tracker.h"
#include "core/scheduling/pending_queue.h"
#include "core/sharding/owned_shards.h"

namespace scheduler {

// Returns a job with the resource and placement requirements of the slot request.
JobSpec requested_resources(const SlotRequest& request);

// Called only from the controller's event loop.
class SlotLender {
  public:
    // Implemented by the partition leader.
    struct Delegate {
        virtual ~Delegate() = default;
        // Updates the slot lists after the machine's idle slots have changed.
        virtual void update_slot_lists(Machine& machine) = 0;
        // Probes the machine at once for its inventory.
        virtual void request_inventory(const std::string& machine) = 0;
        // Slot requests have changed: assigns idle slots in the order of the pending queue and
        // preempts tasks where that is allowed.
        virtual void on_slot_requests(Time now) = 0;
        // A borrower has provisioned a machine of this partition.
        virtual void expect_machine(Time now, const ProvisionedMachine& machine) = 0;
        // A borrower has transferred a shard to this partition.
        virtual void accept_transfer(Time now, const ShardTransfer& transfer) = 0;
    };
    SlotLender(Leadership& leadership, const ClusterSettings& settings,
               const OwnedShards& owned_shards, MachineTable& machines, PendingQueue& queue,
               DemandTracker& demand, OutboundRequests& requests, Delegate& delegate);

    // Handles a peer sync of another partition's leader. Responds at once: 503 if the partition is
    // unknown, 409 if the request is outdated (a later leader of the partition is known, or a later
    // request was already handled), otherwise 200 with the changes of the inventory and the granted
    // slots.
    void handle_sync(Time now, RequestId request_id, const PeerSyncRequest& request);
    // Returns the latest slot requests of all borrowers, for the pending queue.
    std::vector<PeerSlotRequests> slot_requests();
    // Returns how many more slots may be lent to the borrower before its next peer sync.
    std::uint32_t slots_left(int borrower) const { return borrowers_.at(borrower).slots_left; }
    // Lends slots for one task of the request on the machine, which must have enough idle slots.
    // `member`: the task's index, if the request is for a gang.
    void lend(Time now, Machine& machine, int borrower, SlotRequest& request,
              std::uint32_t member = 0);
    // Called when the inventory of the machine's remote tasks may have changed.
    void on_machine_changed(Machine& machine);
    // Called when all machines of the shard are reconciled. From now on its inventory is complete.
    void publish_shard(const ShardId& shard) { published_shards_[shard] = ++version_; }
    // Called when the shard has been transferred to another partition, or is about to be.
    void unpublish_shard(const ShardId& shard) { published_shards_.erase(shard); }
    // Called when the machine migrates with its shard. The shard's new owner reports its tasks.
    void on_machine_migrated_out(const Machine& machine) {
        change_log_.erase(machine.remote_tasks_version);
    }
    // Called before the machine is removed from the machine table. Logs the removal as a change,
    // since a borrower may not know yet that its tasks there are gone.
    void on_machine_removed(const Machine& machine);
    // Raises the fencing token of machines with lent slots whose launch was not reported in time,
    // or which were lent to an earlier leader of the borrowing partition.
    void fence_lent_slots(Time now);
    // Returns whether a remote task completed on the machine and the leader of its job has not
    // acknowledged that yet.
    bool has_unacked_exits(const Machine& machine) const;
    // Returns whether leaders of all other partitions have synced with this one.
    bool all_borrowers_synced() const;
    // Returns the term of the latest peer sync from the partition, 0 if there was none.
    std::uint64_t last_synced_term(int partition) const {
        return borrowers_.at(partition).synced_term;
    }
    // Returns the full inventory for the partition's leader of the given term, without a peer sync
    // from it. Returns nothing if the term is outdated, or as long as the inventory is incomplete.
    // Peer syncs under earlier terms are rejected from then on.
    std::optional<PeerSyncResponse> inventory_for(Time now, int partition, std::uint64_t term);
    // Number of machines examined so far, as a measure of work for tests.
    std::uint64_t effort() const { return effort_; }

  private:
    // What is known of another partition's leader, mostly from its latest peer sync.
    struct Borrower {
        std::uint64_t term = 0;          // latest known term of the partition
        std::uint64_t synced_term = 0;   // term of the latest peer sync; 0: none yet
        std::uint64_t sequence = 0;      // sequence of the latest peer sync
        std::uint64_t acked_version = 0; // version of this lender's inventory that it has applied
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
    // The machine whose inventory of remote tasks last changed at each version. With it, a response
    // reports only what has changed since the version that the borrower acknowledged.
    std::map<std::uint64_t, std::string> change_log_;
    std::uint64_t version_ = 1;
    std::set<std::string> machines_with_lent_slots_;    // may include machines without any
    std::map<ShardId, std::uint64_t> published_shards_; // with the version of publication
    std::uint64_t dropped_version_ = 0; // changes up to this version may be missing from the log
    std::uint64_t effort_ = 0;
};

} // namespace scheduler
