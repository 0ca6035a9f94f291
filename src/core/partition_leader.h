// The leader of a partition: wires the classes that each do one thing for it, and decides what
// follows for the others from what one of them reports. It lives as long as the leadership term;
// losing the leadership discards all of it.
//
// Failover reads what is durable, Reconciliation accounts for machines that may run unknown tasks,
// TaskScheduler, GangScheduler, Preemptor and QuotaEvictor decide what runs where, SlotLender and
// SlotBorrower trade idle slots with other partitions, InventoryRelay passes inventories through
// the store, ShardManager moves shards, DemandTracker and Autoscaler scale the machines out and in,
// JobPersistence writes progress and outcomes. The heartbeat path is in this class itself.
#pragma once

#include "core/autoscaling/autoscaler.h"
#include "core/jobs/job_persistence.h"
#include "core/leadership/staleness_bound.h"
#include "core/partition_tables.h"
#include "core/quotas/quota_config.h"
#include "core/recovery/failover.h"
#include "core/recovery/inventory_relay.h"
#include "core/scheduling/preemptor.h"
#include "core/scheduling/quota_evictor.h"
#include "core/scheduling/task_scheduler.h"
#include "core/sharding/shard_manager.h"

namespace scheduler {

class PartitionLeader : PartitionTables,
                        Autoscaler::Delegate,
                        Reconciliation::Delegate,
                        SlotLender::Delegate,
                        SlotBorrower::Delegate,
                        GangScheduler::Delegate,
                        TaskScheduler::Delegate,
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
    // `capacity`: the controller's CPU headroom, see CpuHeadroom. `may_move`: the store responds,
    // so shards may be migrated.
    void tick(Time now, double capacity, bool may_move);
    // The controller has read the partition map.
    void on_map_updated(Time now) { shard_manager_.on_map_updated(now); }
    // Begins to migrate the shard to another partition. False: it is not owned, or not now.
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
    // See OutboundRequests::unresponsive_workers.
    int unresponsive_workers() const { return requests_.unresponsive_workers(); }
    // A worker has sent a heartbeat to this controller.
    void worker_responded() { requests_.worker_responded(); }
    // Machines and jobs looked at so far: what grows with the cluster must not grow with each
    // heartbeat.
    std::uint64_t effort() const {
        return effort_ + slot_finder_.effort() + preemptor_.effort() + task_scheduler_.effort() +
               lender_.effort() + demand_.effort() + quota_evictor_.effort();
    }
    // The leader of another partition synchronises: it asks for slots, commands its tasks here, and
    // is sent their state.
    void handle_peer_sync(Time now, RequestId request_id, const PeerSyncRequest& request);
    // Tasks done and running of an open job, for display.
    bool task_counts(const std::string& id, std::uint32_t& done, std::uint32_t& running);
    bool deposed() const { return leadership_.deposed(); }
    const StalenessBound& staleness() const { return staleness_; }
    // Every cancellation that any controller had seen by then is known here: all peers said so.
    void cancellations_known_until(Time to) { staleness_.advance(to); }
    // The team's guarantee and limit have changed.
    void apply_quota(Time now, const TeamQuota& quota);
    // Any controller has seen the job cancelled.
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
    void on_task_removed(Time now, const std::string& name,
                         const HeartbeatResult::RemovedTask& removed) override;
    bool on_task_gone(Time now, const TaskId& task, ExitReason why, const std::string& zone);
    void adopt_reported(Time now, Machine& machine);
    void adopt_own(Time now, Machine& machine, const TaskStatus& status);
    void stop_cancelled(const Heartbeat& heartbeat, std::vector<WorkerCommand>& out) const;
    void add_corrective_commands(Machine& machine, std::vector<WorkerCommand>& out);
    void add_clears(const Machine& machine, std::vector<WorkerCommand>& out);
    std::optional<double> stop_grace_s(const Machine& machine, const TaskId& task,
                                       const Placement& placement);
    void send_commands(Time now) override;
    void expire_leases(Time now);
    void log_stats(Time now);

    // Scheduling of pending tasks onto idle slots: see TaskScheduler.
    void update_slot_lists(Machine& machine) override { task_launcher_.update_slot_lists(machine); }
    void schedule(Time now);
    void schedule_on(Time now, Machine& machine);
    // Does the job have tasks that may be scheduled now?
    bool has_schedulable_tasks(Time now, const Job& job) const override;

    // Gangs: see GangScheduler.
    bool request_gang_slots(const Job& job, bool rest, SlotRequest& request) override {
        return gang_scheduler_.request_slots(job, rest, request);
    }
    void on_gang_grants(Time now, int partition, const std::vector<SlotGrant>& grants) override {
        gang_scheduler_.on_grants(now, partition, grants);
    }
    void end_attempt(Time now, const std::string& job, bool may_save) override {
        gang_scheduler_.end_attempt(now, job, may_save);
    }
    void on_gang_complete(Time now, Job& job) override { job_persistence_.finish_job(now, job); }

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

    // Delegates of the classes that it wires.
    bool is_exit_durable(const TaskStatus& status) override;
    void on_remote_exit(Time now, const TaskId& task, ExitReason why,
                        const std::string& zone) override;
    void on_completion_discovered(Time now, Job& job, std::uint32_t task) override;
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
    void on_machine_released(Time now, const std::string& name) override;
    void resume_scheduling(Time now) override;
    bool has_unacked_exits(Time now, const Machine& machine) const override;
    bool heard_from_all_peers() const override { return lender_.all_borrowers_synced(); }
    void release_machines(Time now, std::vector<std::string> names) override;

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
    TaskLauncher task_launcher_;
    GangScheduler gang_scheduler_;
    TaskScheduler task_scheduler_;
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
