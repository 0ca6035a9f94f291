// The owner's work for its part: which jobs wait, which machines have idle slots, what goes
// where. It lives as long as the claim; losing the claim throws all of it away.
//
// It wires the classes that each do one thing: Accounts (takeover), Lending and Borrowing (slots
// between parts), Postbox (listings by another road), ShareDesk (shares that come and go),
// DemandBook and Renting (machines and money). What is left here is what needs all of them:
// reports, placing, gangs, durable writes.
#pragma once

#include "core/autoscaling/autoscaler.h"
#include "core/jobs/job_persistence.h"
#include "core/leadership/staleness_bound.h"
#include "core/partition_tables.h"
#include "core/quotas/quota_config.h"
#include "core/recovery/failover.h"
#include "core/recovery/inventory_relay.h"
#include "core/scheduling/gang_scheduler.h"
#include "core/scheduling/preemptor.h"
#include "core/scheduling/quota_evictor.h"
#include "core/scheduling/slot_finder.h"
#include "core/sharding/shard_manager.h"

namespace scheduler {

class PartitionLeader : PartitionTables,
                        Autoscaler::Delegate,
                        Reconciliation::Delegate,
                        SlotLender::Delegate,
                        SlotBorrower::Delegate,
                        GangScheduler::Delegate,
                        ShardManager::Delegate,
                        InventoryRelay::Delegate,
                        JobPersistence::Delegate,
                        QuotaEvictor::Delegate,
                        Failover::Delegate {
  public:
    PartitionLeader(Time now, int partition, const ClusterSettings& settings,
                    const SchedulingPolicy& policy, const LeadershipLease& lease,
                    PartitionMap& partition_map, StoreRateLimiter& rate_limiter,
                    JobRecordCache& job_cache, const std::vector<InstanceType>& types,
                    const QuotaConfig& config);

    void handle_heartbeat(Time now, RequestId request_id, const Heartbeat& heartbeat);
    // `capacity`: of the node's processor. `may_move`: the state service answers.
    void tick(Time now, double capacity, bool may_move);
    // The node has read the map of shares.
    void on_map_updated(Time now) { shard_manager_.on_map_updated(now); }
    // Gives the share to another part, if it is this one's to give.
    bool migrate_shard(Time now, const ShardId& shard, int to) {
        return shard_manager_.migrate(now, shard, to);
    }
    bool owns_shard(const ShardId& shard) const { return owned_shards_.find(shard) != nullptr; }
    const std::map<ShardId, OwnedShards::Shard>& shards() const { return owned_shards_.all(); }
    bool handle_response(Time now, OutboundResponse& response) {
        return requests_.handle_response(now, response);
    }
    void drain_into(Outputs& out) { requests_.drain_into(out); }
    std::size_t reporting_count() const { return machines_.reporting_count(); }
    // See Calls::unanswered.
    int unresponsive_workers() const { return requests_.unresponsive_workers(); }
    // A worker has reported to this node.
    void worker_responded() { requests_.worker_responded(); }
    // Machines and jobs looked at so far: what grows with the fleet must not grow with each report.
    std::uint64_t effort() const {
        return effort_ + slot_finder_.effort() + preemptor_.effort() + lender_.effort() +
               demand_.effort() + quota_evictor_.effort();
    }
    // The owner of another part asks for slots for its tasks, as the owner of their jobs.
    void handle_peer_sync(Time now, RequestId request_id, const PeerSyncRequest& request);
    // Tasks done and running of an open job, for display.
    bool task_counts(const std::string& job, std::uint32_t& done, std::uint32_t& running);
    bool deposed() const { return leadership_.deposed(); }
    const StalenessBound& staleness() const { return staleness_; }
    // Every cancellation that any node had seen by then is known here: all siblings have said so.
    void cancellations_known_until(Time to) { staleness_.advance(to); }
    // The team's guarantee and limit from now on.
    void apply_quota(Time now, const TeamQuota& quota);
    // A sibling has seen the job cancelled.
    void cancel_job(Time now, const std::string& id) override;

  private:
    // Failover: what the partition does as it is loaded and reconciled.
    void load_registries(Time now) override { failover_.load_registries(now); }
    void try_reconcile(Time now) override { failover_.try_reconcile(now); }
    void on_partition_loaded(Time now) override;
    void on_reconciled(Time now) override;
    void on_jobs_changed(Time now) override;

    // Machines and what is placed on them.
    Machine* admit_heartbeat(Time now, RequestId request_id, const Heartbeat& heartbeat);
    void update_machine(Time now, Machine& machine, const Heartbeat& heartbeat);
    HeartbeatBody heartbeat_response(Machine& machine, const Heartbeat& heartbeat, bool current);
    void apply_heartbeat(Time now, Machine& machine, const Heartbeat& heartbeat,
                         OutboundRequestId orders) override;
    void on_task_removed(Time now, const std::string& machine,
                         const HeartbeatResult::RemovedTask& removed) override;
    bool on_task_gone(Time now, const TaskId& task, ExitReason why, const std::string& zone);
    void adopt_reported(Time now, Machine& machine);
    void adopt_own(Time now, Machine& machine, const TaskStatus& task);
    void stop_cancelled(const Heartbeat& heartbeat, std::vector<WorkerCommand>& out) const;
    void add_corrective_commands(Machine& machine, std::vector<WorkerCommand>& out);
    void add_clears(const Machine& machine, std::vector<WorkerCommand>& out);
    std::optional<double> stop_grace_s(const Machine& machine, const TaskId& task,
                                       const Placement& placement);
    void send_commands(Time now) override;
    void expire_leases(Time now);
    void log_stats(Time now);

    // Placing (placing.cpp): idle slots to what waits.
    void update_slot_lists(Machine& machine) override;
    void schedule(Time now);
    void fill_slots(Time now, bool spot, bool spot_jobs);
    bool fits_machine(Time now, const Machine& machine, const PendingJob& candidate) const;
    void schedule_on(Time now, Machine& machine);
    // Has the job tasks to be placed now?
    bool has_schedulable_tasks(Time now, const Job& job) const override;
    bool schedule_task(Time now, bool spot, Job& job, std::uint32_t task);
    void launch_on(Time now, Machine& machine, Job& job, std::uint32_t task,
                   std::uint64_t attempt) override;
    void lend_slots(Time now, bool spot, int borrower, SlotRequest& request);

    // Gangs: see GangScheduler.
    bool request_gang_slots(const Job& job, bool rest, SlotRequest& request) override {
        return gang_scheduler_.request_slots(job, rest, request);
    }
    void on_gang_grants(Time now, int partition, const std::vector<SlotGrant>& grants) override {
        gang_scheduler_.on_grants(now, partition, grants);
    }
    void end_attempt(Time now, const std::string& job, bool saves) override {
        gang_scheduler_.end_attempt(now, job, saves);
    }
    void on_gang_complete(Time now, Job& job) override {
        job_persistence_.finish_job(now, job);
    }

    // Preempts for what waits, and sends the stops.
    void retry_preemption(Time now);

    void refresh_quota_config(Time now);

    // Jobs and machines whose record has become durable or has changed.
    void on_machines_registered(Time now, const OutboundResponse& response,
                                const std::vector<std::string>& names);
    void on_completion_durable(const std::string& id) override;
    void on_outcome_found(Time now, const std::string& id, Outcome outcome) override;
    void stop_at_once(Machine& machine, const std::string& job);
    void forget_if_over(const std::string& id);
    void drop_job(const std::string& id);

    // What the classes that it wires ask of it.
    bool end_is_durable(const TaskStatus& task) override;
    void on_remote_exit(Time now, const TaskId& task, ExitReason why,
                        const std::string& zone) override;
    void on_found_done(Time now, Job& job, std::uint32_t task) override;
    bool reconciled() const override { return failover_.reconciled(); }
    void on_peer_response(Time now) override;
    void on_slot_requests(Time now) override;
    void request_inventory(const std::string& machine) override {
        reconciliation_.probe_due(machine);
    }
    void expect_machine(Time now, const ProvisionedMachine& machine) override {
        autoscaler_.expect_machine(now, machine);
    }
    void accept_transfer(Time now, const ShardTransfer& transfer) override {
        shard_manager_.accept_transfer(now, transfer);
    }
    bool awaits_inventories() const override {
        return failover_.loaded() && !failover_.reconciled();
    }
    void on_machine_released(Time now, const std::string& machine) override;
    void resume_scheduling(Time now) override;
    bool has_unacked_exits(Time now, const Machine& machine) const override;
    bool heard_from_all_peers() const override { return lender_.heard_from_all(); }
    void release_machines(Time now, std::vector<std::string> machines) override;

    const QuotaConfig& quota_config_; // the node's
    std::set<std::string> own_teams_;
    JobRecordCache& job_cache_; // the node's, told of each job record that this owner sees
    MachineRegistry registry_;
    SlotFinder slot_finder_;
    PendingQueue queue_;
    Preemptor preemptor_;
    DemandTracker demand_;
    Autoscaler autoscaler_;
    Reconciliation reconciliation_;
    SlotLender lender_;
    SlotBorrower borrower_;
    GangScheduler gang_scheduler_;
    InventoryRelay inventory_relay_;
    ShardManager shard_manager_;
    JobPersistence job_persistence_;
    QuotaEvictor quota_evictor_;
    int commands_in_flight_ = 0; // direct commands under way
    mutable std::uint64_t effort_ = 0;
    StalenessBound staleness_;
    Failover failover_;
    bool was_fresh_ = true;           // at the last tick
    bool quota_config_known_ = false; // as well
    Time next_stats_ = 0;
};

} // namespace scheduler
