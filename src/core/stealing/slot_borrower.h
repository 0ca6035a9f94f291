// The borrower's side of work stealing between partitions. A leader whose jobs need slots requests
// them from the leaders of other partitions, the lenders; it launches tasks on the slots that were
// granted, and receives the state of these tasks with the lenders' inventories (see slot_lender.h).
// See "Stolen slots" in docs/design.md.
#pragma once

#include "core/autoscaling/demand_tracker.h"
#include "core/scheduling/gang_tracker.h"
#include "core/scheduling/pending_queue.h"
#include "core/sharding/owned_shards.h"

namespace scheduler {

// Called only from the controller's event loop. A peer sync that fails is followed by the next
// regular one, which repeats everything that was not acknowledged.
class SlotBorrower {
  public:
    // Implemented by the partition leader.
    struct Delegate {
        virtual ~Delegate() = default;
        virtual bool has_schedulable_tasks(Time now, const Job& job) const = 0;
        // Returns whether all tasks that earlier leaders launched are reconciled.
        virtual bool reconciled() const = 0;
        // Returns whether the exit of this partition's task is durable, so that the worker may
        // forget the task.
        virtual bool is_exit_durable(const TaskStatus& task) = 0;
        // A remote task is no longer on any machine.
        virtual void on_remote_exit(Time now, const TaskId& task, ExitReason reason,
                                    const std::string& zone) = 0;
        // A remote task that an earlier leader launched has completed.
        virtual void on_completion_discovered(Time now, Job& job, std::uint32_t task) = 0;
        // Completes a slot request for a gang to one peer. With `remainder` it requests only the
        // slots that a reservation still lacks. Returns false if no slots are needed.
        virtual bool request_gang_slots(const Job& job, bool remainder, SlotRequest& request) = 0;
        virtual void on_gang_grants(Time now, int partition,
                                    const std::vector<SlotGrant>& grants) = 0;
        // Ends the attempt of a gang. With `may_save` its tasks may save their state first.
        virtual void end_attempt(Time now, const std::string& job, bool may_save) = 0;
        // Further shards have a complete inventory, so the partition may now be reconciled.
        virtual void try_reconcile(Time now) = 0;
        // A peer has responded: slots may have become free, or may be needed from other peers.
        virtual void on_peer_response(Time now) = 0;
    };
    // A task of this partition on a machine of another one.
    struct RemoteTask {
        std::uint64_t attempt = 0;
        int partition = 0;
        std::string machine;
        std::string zone;
        ShardId shard;
        // The shard's term when the slot was granted or the task was last reported.
        std::uint64_t term = 0;
        // From the grant. The endpoint is empty if the slot was granted to an earlier leader, or if
        // the task's shard has migrated out.
        std::string endpoint;
        std::uint64_t agent_epoch = 0;
        std::uint64_t fencing_token = 0;
    };
    SlotBorrower(Leadership& leadership, const ClusterSettings& settings,
                 const SchedulingPolicy& policy, const PartitionMap& partition_map,
                 const OwnedShards& owned_shards, JobStore& jobs, QuotaLedger& quotas,
                 GangTracker& gangs, PendingQueue& queue, DemandTracker& demand,
                 OutboundRequests& requests, Delegate& delegate);

    // Sends a peer sync to each peer that is due.
    void sync_due_peers(Time now);
    // Makes all peers due at once, as any of them may have idle slots.
    void sync_soon();
    // Applies an inventory that another partition's leader posted in the store. The inventory is
    // ignored once that leader has answered a peer sync under the same term, because it may be
    // older than the slots granted in that response.
    void apply_posted_inventory(Time now, int partition, const PeerSyncResponse& response);
    // Returns whether the shard's owner has sent a complete inventory of this partition's tasks in
    // the shard.
    bool has_complete_inventory(const ShardId& shard) const {
        return inventoried_shards_.contains(shard);
    }
    // Returns whether a task of the job may run on the granted slot.
    bool fits_grant(const Job& job, const SlotGrant& grant) const;
    // Launches a task on a slot that another partition's leader granted.
    void launch(int partition, const SlotGrant& grant, Job& job, std::uint32_t index);
    // Requests a full inventory from the partition. Needed when a held grant is used: the lender
    // may have reported the machine as gone in the meantime and does not report that again.
    void request_full_resync(int partition) { ++peers_.at(partition).resyncs_requested; }
    // Returns the slot to the lender, unless a task was launched on it.
    void return_grant(int partition, const SlotGrant& grant);
    // Sends the lenders a command to stop the job's remote tasks, or one remote task.
    void stop_job(const std::string& job, double grace_s);
    void stop_task(const TaskId& task, double grace_s);
    // Sends the command to stop the task directly to the worker if the lender has not acknowledged
    // it yet. A worker that was fenced since the grant rejects it. Returns false if the command was
    // acknowledged or the worker's endpoint is unknown.
    bool stop_directly(const TaskId& task, double grace_s);
    // This partition's tasks on machines of other partitions.
    const std::map<TaskId, RemoteTask>& remote_tasks() const { return remote_tasks_; }
    // ---- Migrations of shards ----
    // Informs the partition's leader that a shard was transferred to it, with each peer sync until
    // it responds.
    void announce_transfer(int partition, const ShardTransfer& transfer);
    // A placed task of this partition becomes remote because its machine's shard migrated out.
    void on_task_migrated_out(const TaskId& task, RemoteTask remote);
    // This partition owns the shard from now on. Inventories of earlier owners are ignored.
    void on_shard_migrated_in(const ShardId& shard, std::uint64_t term);
    // Removes a remote task that runs on a machine which this partition now owns. Returns false if
    // it was not remote, or if it is a different launch of the task.
    bool adopt_local(const TaskId& task, std::uint64_t attempt, const std::string& machine);
    // Handles as gone all tasks that are still remote on an owned machine which does not report
    // them, or in a reconciled shard.
    void on_inventory_complete(Time now, const std::string& machine);
    void on_inventory_complete(Time now, const ShardId& shard);

  private:
    // A launch on a machine of another partition.
    struct RemoteLaunch {
        LaunchId id;
        std::string machine;
        auto operator<=>(const RemoteLaunch&) const = default;
    };
    struct Peer {
        bool in_flight = false;
        Time next_sync_at = 0;
        std::uint64_t latest_leader_term = 0; // latest known term of its leader
        std::uint64_t synced_term = 0;        // latest term of a leader that answered a sync
        std::size_t tasks = 0;                // remote tasks on its machines
        double batch = 0;                     // slots to request in a sync
        std::uint64_t last_sequence = 0;      // of the peer syncs sent
        Time requests_paused_until = 0;       // set when slots are returned
        std::map<RemoteLaunch, RemoteTaskCommand> commands;     // until a sync is answered
        std::vector<ShardTransfer> transfers;                   // until a sync is answered
        std::map<RemoteLaunch, RemoteTaskStatus> unacked_exits; // exits not durable here yet
        std::uint64_t acked_term = 0;                           // of the last applied inventory
        std::uint64_t acked_version = 0;
        std::uint64_t resyncs_requested = 0; // number of full inventories requested
        std::uint64_t resyncs_answered = 0;
    };
    // The pending data that was sent with a peer sync. It is removed from the peer when the sync is
    // answered.
    struct SentSync {
        int partition = 0;
        std::uint32_t max_slots = 0;
        std::vector<RemoteLaunch> commands;
        std::vector<std::string> provisioned; // machine names
        std::size_t transfers = 0;
        std::uint64_t resyncs_requested = 0;
    };
    // The launches of this partition that a response reports.
    struct ReportedLaunches {
        std::set<LaunchId> pending;
        std::set<RemoteLaunch> present;
    };
    void sync_peer(Time now, int partition, Peer& peer);
    PeerSyncRequest build_request(Time now, Peer& peer, SentSync& sent_sync);
    void append_commands(const Peer& peer, PeerSyncRequest& request, SentSync& sent_sync) const;
    void append_provisioned(PeerSyncRequest& request, SentSync& sent_sync) const;
    static std::uint32_t max_slots_for(const Peer& peer, const std::vector<SlotRequest>& requests);
    void on_sync_response(Time now, const SentSync& sent_sync, const OutboundResponse& response);
    void adapt_batch(Time now, Peer& peer, std::uint32_t max_slots, std::size_t granted) const;
    void on_response(Time now, int partition, std::uint32_t max_slots,
                     const PeerSyncResponse& response);
    std::vector<SlotRequest> slot_requests_for(Time now, int partition, const Peer& peer);
    bool requests_first_task_from(Time now, const Job& job, std::uint64_t peer_index) const;
    std::vector<const Job*> jobs_awaiting_slots(Time now, std::uint64_t peer_index) const;
    SlotRequest make_slot_request(Time now, const Job& job, bool first_task_only) const;
    bool request_gang(const Job& job, const Peer& peer, QuotaLedger& quota_left,
                      SlotRequest& request);
    static void set_slot_count(const Job& job, const Peer& peer, bool first_task_only,
                               QuotaLedger& quota_left, SlotRequest& request);
    void apply_response(Time now, int partition, Peer& peer, const PeerSyncResponse& response);
    // The shards of a response whose inventory is current.
    using ShardInventories = std::map<ShardId, ShardInventory>;
    ShardInventories current_inventories(int partition, const PeerSyncResponse& response,
                                         bool& complete);
    void reconcile(Time now, int partition, Peer& peer, const PeerSyncResponse& response);
    void apply_task_status(Time now, int partition, Peer& peer, const RemoteTaskStatus& remote_task,
                           std::uint64_t term);
    void apply_exit(Time now, Peer& peer, const RemoteTaskStatus& remote_task, bool is_recorded);
    bool adopt_remote(Time now, int partition, const RemoteTaskStatus& remote_task,
                      std::uint64_t term);
    bool stop_unwanted(Peer& peer, const RemoteTaskStatus& remote_task, bool is_recorded);
    void apply_absent(Time now, const PeerSyncResponse& response,
                      const ShardInventories& inventories);
    void collect_absent(const std::set<TaskId>& tasks, const ShardInventories& inventories,
                        const ReportedLaunches& reported, bool needs_complete,
                        std::set<TaskId>& absent) const;
    void update_location(RemoteTask& remote, const LaunchId& id, int partition, std::uint64_t term);
    Job* job_for_grant(Time now, const SlotGrant& grant) const;
    void use_grant(Time now, int partition, Peer& peer, const SlotGrant& grant);
    void queue_command(Peer& peer, RemoteTaskCommand command);
    void queue_clears(Peer& peer);
    void add_remote_task(const TaskId& task, RemoteTask remote);
    RemoteTask remove_remote_task(const TaskId& task);
    void on_task_gone(Time now, const TaskId& task, ExitReason reason);

    Leadership& leadership_;
    const ClusterSettings& settings_;
    const SchedulingPolicy& policy_;
    const PartitionMap& partition_map_;
    const OwnedShards& owned_shards_;
    JobStore& jobs_;
    QuotaLedger& quotas_;
    GangTracker& gangs_;
    PendingQueue& queue_;
    DemandTracker& demand_;
    OutboundRequests& requests_;
    Delegate& delegate_;
    std::map<int, Peer> peers_;
    std::map<TaskId, RemoteTask> remote_tasks_;
    std::map<std::string, std::set<TaskId>> tasks_by_machine_;
    std::map<ShardId, std::uint64_t> shard_terms_; // the latest term known of each shard
    std::set<ShardId> inventoried_shards_;         // shards with a complete inventory
};

} // namespace scheduler
