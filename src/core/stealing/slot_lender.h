// The owner of machines and those who have tasks there, the owners of other parts: slots struck
// from our lists and handed over, what each wants, and the listing by which each learns what became
// of its tasks. "Stolen slots" and "What owners list for each other" in docs/design.md say why no
// task runs twice. The paper's idle core taken from another scheduler core's list, as a call.
#pragma once

#include "core/autoscaling/demand_tracker.h"
#include "core/scheduling/pending_queue.h"
#include "core/sharding/owned_shards.h"

namespace scheduler {

// The slots that a want asks for, as a job of that shape.
JobSpec requested_resources(const SlotRequest& request);

class SlotLender {
  public:
    struct Delegate { // what it needs of the part it works for
        virtual ~Delegate() = default;
        virtual void update_slot_lists(Machine& machine) = 0;
        // A listing of the machine is waited for: it is asked for one at once.
        virtual void request_inventory(const std::string& machine) = 0;
        // The wants have come, or changed: our idle slots go to whoever is first in order.
        virtual void on_slot_requests(Time now) = 0;
        // A machine of this part was rented by the caller for all.
        virtual void expect_machine(Time now, const ProvisionedMachine& machine) = 0;
        // The caller has given us a share.
        virtual void accept_transfer(Time now, const ShardTransfer& transfer) = 0;
    };
    SlotLender(Leadership& leadership, const ClusterSettings& settings,
               const OwnedShards& owned_shards, MachineTable& machines, PendingQueue& queue,
               DemandTracker& demand, OutboundRequests& requests, Delegate& delegate);

    // The owner of another part calls as the owner of its jobs.
    void handle_sync(Time now, RequestId request_id, const PeerSyncRequest& request);
    // What they want, for the waiting order.
    std::vector<PeerSlotRequests> slot_requests();
    // Slots that the thief takes at most before it calls again.
    std::uint32_t slots_left(int borrower) const { return borrowers_.at(borrower).slots_left; }
    // Strikes slots for one task of the want on the machine, which must have them.
    void lend(Time now, Machine& machine, int borrower, SlotRequest& request,
              std::uint32_t member = 0);
    // The machine's listing may have changed.
    void on_machine_changed(Machine& machine);
    // All machines of the share are accounted for: from here on its listing says all there is.
    void publish_shard(const ShardId& shard) { published_shards_[shard] = ++version_; }
    // The share is another part's, or about to be.
    void unpublish_shard(const ShardId& shard) { published_shards_.erase(shard); }
    // It goes with its share, to be listed by who holds that.
    void forget(const Machine& machine) { changes_.erase(machine.remote_tasks_version); }
    // It is about to be taken off the table. A thief may not have seen yet that its tasks there are
    // gone, so the word stays.
    void on_machine_removed(const Machine& machine);
    // Raises the token of machines with slots whose start does not show.
    void fence_lent_slots(Time now);
    // A task that ended on the machine is not known yet to the owner of its job.
    bool has_unacked_exits(const Machine& machine) const;
    bool heard_from_all() const;
    // The term under which the owner of the part last called; 0: it has not.
    std::uint64_t last_term_of(int partition) const { return borrowers_.at(partition).called_term; }
    // The whole listing for the owner of the part under that term, as if it had called; none while
    // it would not be complete. From then on calls of earlier owners are refused.
    std::optional<PeerSyncResponse> inventory_for(Time now, int partition, std::uint64_t term);
    std::uint64_t effort() const { return effort_; }

  private:
    struct Borrower {
        std::uint64_t term = 0;          // the latest that is known of
        std::uint64_t called_term = 0;   // ... and that it has called under
        std::uint64_t sequence = 0;      // of that call
        std::uint64_t acked_version = 0; // the version of our listing that it has taken in
        std::vector<SlotRequest> requests;
        Time requested_at = 0;
        std::uint32_t slots_left = 0;
        std::vector<SlotGrant> grants;
    };
    void apply_command(Machine& machine, const RemoteTaskCommand& command, int borrower);
    void apply_resources(Machine& machine, const RemoteTaskCommand& command);
    PeerSyncResponse build_response(Time now, const PeerSyncRequest& request);
    void observe_term(Time now, Borrower& borrower, std::uint64_t term);
    void log_change(const std::string& machine);
    void append_tasks(const Machine& machine, int borrower, PeerSyncResponse& response);

    Leadership& leadership_;
    const ClusterSettings& settings_;
    const OwnedShards& owned_shards_;
    MachineTable& machines_;
    PendingQueue& queue_;
    DemandTracker& demand_;
    OutboundRequests& requests_;
    Delegate& delegate_;
    std::map<int, Borrower> borrowers_;
    // Machines by when their listing of guests last changed, so that a thief is told of changes
    // only.
    std::map<std::uint64_t, std::string> changes_;
    std::uint64_t version_ = 1;
    std::set<std::string> machines_with_lent_slots_;    // machines that may have lots
    std::map<ShardId, std::uint64_t> published_shards_; // and since which version
    std::uint64_t dropped_version_ = 0; // changes up to here may have been dropped from the log
    std::uint64_t effort_ = 0;
};

} // namespace scheduler
