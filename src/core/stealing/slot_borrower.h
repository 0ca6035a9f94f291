// The owner of jobs and the machines of other parts: slots wanted from their owners, the starts
// sent to slots that were handed over, and what the owners' listings say became of the tasks there.
// See "Stolen slots" in docs/design.md; the listings are Lending's.
#pragma once

#include "core/autoscaling/demand_tracker.h"
#include "core/scheduling/gang_tracker.h"
#include "core/scheduling/pending_queue.h"
#include "core/sharding/owned_shards.h"

namespace scheduler {

class SlotBorrower {
  public:
    struct Delegate { // what it needs of the part it works for
        virtual ~Delegate() = default;
        virtual bool has_schedulable_tasks(Time now, const Job& job) const = 0;
        // All tasks of older jobs are accounted for.
        virtual bool reconciled() const = 0;
        // May the worker forget this exited task of ours?
        virtual bool end_is_durable(const TaskStatus& task) = 0;
        // A task on a machine of another part is on none any more.
        virtual void on_remote_exit(Time now, const TaskId& task, ExitReason why,
                                    const std::string& zone) = 0;
        // A task that an owner before us had started there was done.
        virtual void on_found_done(Time now, Job& job, std::uint32_t task) = 0;
        // What is wanted for a gang from one peer; false: nothing now. `rest`: see
        // gang_placing.cpp.
        virtual bool request_gang_slots(const Job& job, bool rest, SlotRequest& request) = 0;
        virtual void on_gang_grants(Time now, int partition,
                                    const std::vector<SlotGrant>& grants) = 0;
        virtual void end_attempt(Time now, const std::string& job, bool saves) = 0;
        // Another part has accounted for our tasks on the machines of some more shares.
        virtual void try_reconcile(Time now) = 0;
        // A peer has answered: slots may have become free, or wants may have to be asked anew.
        virtual void on_peer_response(Time now) = 0;
    };
    struct RemoteTask { // a task of ours on a machine of another part
        std::uint64_t attempt = 0;
        int partition = 0;
        std::string machine;
        std::string zone;
        ShardId shard;
        std::uint64_t term = 0; // of the share, when the slot was given or the task last listed
        // As the slot was given to this owner; no endpoint: by one before, or it moved.
        std::string endpoint;
        std::uint64_t agent_epoch = 0;
        std::uint64_t fencing_token = 0;
    };
    SlotBorrower(Leadership& leadership, const ClusterSettings& settings,
                 const SchedulingPolicy& policy, const PartitionMap& partition_map,
                 const OwnedShards& owned_shards, JobStore& jobs, QuotaLedger& quotas,
                 GangTracker& gangs, PendingQueue& queue, DemandTracker& demand,
                 OutboundRequests& requests, Delegate& delegate);

    // Calls to the peers that are due.
    void sync_due_peers(Time now);
    // All peers are to be called at once: one may have slots where we have none.
    void sync_soon();
    // A listing of another part's owner that came by another way than a call. It counts only until
    // a call of ours was answered: it may be older than the slots that came with the answer.
    void apply_posted_inventory(Time now, int partition, const PeerSyncResponse& response);
    // Its holder has accounted for our tasks on the machines of the share.
    bool is_inventoried(const ShardId& shard) const { return inventoried_.contains(shard); }
    bool grant_suits(const Job& job, const SlotGrant& grant) const;
    // Sends the start of a task of ours to slots that another owner has handed over.
    void launch(int partition, const SlotGrant& grant, Job& job, std::uint32_t index);
    // A slot of the part that was kept for a while is used now. Its owner may have listed its
    // machine as gone meanwhile and will not do so again, so it is asked to list everything once.
    void request_full_resync(int partition) { ++peers_.at(partition).resyncs_requested; }
    void return_grant(int partition, const SlotGrant& grant);
    // The job's tasks on other parts' machines are stopped by the owners of these.
    void stop_job(const std::string& job, double grace_s);
    void stop_task(const TaskId& task, double grace_s);
    // The machine's owner has not taken the word to stop the task: the worker is told as it was
    // told of the start. An owner that has fenced the machine since is the only one that it hears.
    // False: there is no need, or no way.
    bool stop_directly(const TaskId& task, double grace_s);
    // Tasks of ours on other parts' machines.
    const std::map<TaskId, RemoteTask>& remote_tasks() const { return remote_tasks_; }
    // ---- Moves of shares ----
    // Tells the owner of the part that we gave it a share, until it has heard.
    void announce_transfer(int partition, const ShardTransfer& transfer);
    // A placed task of ours goes to another part with its machine's share.
    void migrated_out(const TaskId& task, RemoteTask remote);
    // The share is ours now: no listing of an earlier holder counts any more.
    void migrated_in(const ShardId& shard, std::uint64_t term);
    // The task runs on a machine that is ours now: it is borrowed no more. False: it was not, or is
    // another start.
    bool adopt_local(const TaskId& task, std::uint64_t attempt, const std::string& machine);
    // Tasks that are borrowed still on a machine of ours that does not list them, or of a share
    // that is accounted for, are gone.
    void on_inventory_complete(Time now, const std::string& machine);
    void on_inventory_complete(Time now, const ShardId& shard);

  private:
    struct Peer {
        bool in_flight = false;
        Time next = 0;
        std::uint64_t heard_term = 0;
        std::uint64_t answered_term = 0; // its owner has answered a call under it
        std::size_t tasks = 0;           // of ours, there
        double batch = 0;
        std::uint64_t calls = 0;
        Time request_again_at =
            0; // slots that it gave us went back: nothing is asked for until then
        using RemoteLaunch = std::pair<LaunchId, std::string>; // a start and its machine
        std::map<RemoteLaunch, RemoteTaskCommand> commands;    // until a call is answered
        std::vector<ShardTransfer> transfers;                  // as well
        std::map<RemoteLaunch, RemoteTaskStatus> exited;       // exited there, not durable here yet
        std::uint64_t acked_term = 0;                          // of the listing taken in
        std::uint64_t acked_version = 0;
        std::uint64_t resyncs_requested =
            0; // times that a whole listing was wanted, and of these answered
        std::uint64_t resyncs_answered = 0;
    };
    void sync_peer(Time now, int partition, Peer& peer);
    void on_response(Time now, int partition, std::uint32_t asked,
                     const PeerSyncResponse& response);
    std::vector<SlotRequest> slot_requests_for(Time now, int partition, const Peer& peer);
    void apply_response(Time now, int partition, Peer& peer, const PeerSyncResponse& response);
    // The shares of a reply whose listing counts now.
    using ShardInventories = std::map<ShardId, ShardInventory>;
    ShardInventories current_inventories(int partition, const PeerSyncResponse& response,
                                         bool& complete);
    void reconcile(Time now, int partition, Peer& peer, const PeerSyncResponse& response);
    void apply_task_status(Time now, int partition, Peer& peer, const RemoteTaskStatus& remote_task,
                           std::uint64_t term);
    void apply_absent(Time now, const PeerSyncResponse& response, const ShardInventories& listings);
    void update_location(RemoteTask& remote, const LaunchId& id, int partition, std::uint64_t term);
    void use_grant(Time now, int partition, Peer& peer, const SlotGrant& grant);
    void queue_command(Peer& peer, RemoteTaskCommand command);
    void queue_clears(Peer& peer);
    void on_placed(const TaskId& task, RemoteTask remote);
    RemoteTask remove(const TaskId& task);
    void on_task_gone(Time now, const TaskId& task, ExitReason why);

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
    std::map<std::string, std::set<TaskId>> tasks_by_machine_; // by machine
    std::map<ShardId, std::uint64_t> shard_terms_; // the latest term listed, or held by us
    std::set<ShardId> inventoried_;
};

} // namespace scheduler
