// The leader of a partition. It connects the classes that each implement one of its functions, and
// forwards the results of one to the others. It exists for one leadership term; all of its state is
// discarded when the leadership is lost.
//
// Failover reads the durable state, Reconciliation finds the unknown tasks that machines may be
// running, TaskScheduler, GangScheduler, Preemptor and QuotaEvictor decide what runs where,
// SlotLender and SlotBorrower lend idle slots to other partitions and borrow theirs, InventoryRelay
// passes inventories through the store, ShardManager moves shards, DemandTracker and Autoscaler
// scale the machines out and in, and JobPersistence writes progress and outcomes. This class itself
// handles heartbeats.
#pragma once

#include "core/autoscaling/autoscaler.h"
#include "core/jobs/job_persistence.h"
#include "core/leadership/staleness_bound.h"
#include "core/machines/command_trace.h"
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

    // Processes a worker's heartbeat and responds to it: with 200 and commands, or with 503 if the
    // machine is not accepted.
    void handle_heartbeat(Time now, RequestId request_id, const Heartbeat& heartbeat);
    // Runs the periodic work. `cpu_headroom` is the controller's, see CpuHeadroom. Shards are
    // migrated only if `may_migrate`, which is set while the store responds.
    void tick(Time now, double cpu_headroom, bool may_migrate);
    // To be called when the controller has read the partition map.
    void on_map_updated(Time now) { shard_manager_.on_map_updated(now); }
    // Starts to migrate the shard to partition `to`. Returns false if the shard is not owned or
    // cannot be migrated now.
    bool migrate_shard(Time now, const ShardId& shard, int to) {
        return shard_manager_.migrate(now, shard, to);
    }
    bool owns_shard(const ShardId& shard) const { return owned_shards_.find(shard) != nullptr; }
    const std::map<ShardId, OwnedShards::Shard>& shards() const { return owned_shards_.all(); }
    // Returns false if the response is not to a request of this leader.
    bool handle_response(Time now, OutboundResponse& response) {
        return requests_.handle_response(now, response);
    }
    void drain_into(Outputs& out) { requests_.drain_into(out); }
    // See MachineTable::reporting_count.
    std::size_t reporting_count() const { return machines_.reporting_count(); }
    // See OutboundRequests::unresponsive_workers.
    int unresponsive_workers() const { return requests_.unresponsive_workers(); }
    // To be called for each heartbeat that this controller receives, of any machine.
    void worker_responded() { requests_.worker_responded(); }
    // The number of machines and jobs visited so far, as a measure of work for tests: the work for
    // one heartbeat must not grow with the size of the cluster.
    std::uint64_t effort() const {
        return effort_ + slot_finder_.effort() + preemptor_.effort() + task_scheduler_.effort() +
               lender_.effort() + demand_.effort() + quota_evictor_.effort();
    }
    // Responds to a peer sync from the leader of another partition, which requests slots, sends
    // commands for its remote tasks here and receives their state.
    void handle_peer_sync(Time now, RequestId request_id, const PeerSyncRequest& request);
    // Sets the numbers of done and of placed tasks of a job, for its status. Returns false if this
    // partition does not know the job.
    bool task_counts(const std::string& id, std::uint32_t& done, std::uint32_t& running);
    // Whether this leadership has ended, or must be renewed under a later term.
    bool deposed() const { return leadership_.deposed(); }
    const StalenessBound& staleness() const { return staleness_; }
    // Every cancellation that any controller had seen by `to` is known here, as all peers have
    // confirmed.
    void cancellations_known_until(Time to) { staleness_.advance(to); }
    // Applies a change of the team's guarantee and limit.
    void apply_quota(Time now, const TeamQuota& quota);
    // Stops the job's tasks and never starts more of them. To be called when any controller has
    // seen the job cancelled.
    void cancel_job(Time now, const std::string& id) override;

  private:
    // Failover: loading and reconciling the partition.
    void load_registries(Time now) override { failover_.load_registries(now); }
    void try_reconcile(Time now) override { failover_.try_reconcile(now); }
    void on_partition_loaded(Time now) override;
    void on_reconciled(Time now) override;
    void on_jobs_changed(Time now) override;

    // Machines and what is placed on them.
    Machine* admit_heartbeat(Time now, RequestId request_id, const Heartbeat& heartbeat);
    void update_machine(Time now, Machine& machine, const Heartbeat& heartbeat);
    HeartbeatBody heartbeat_response(Time now, Machine& machine, const Heartbeat& heartbeat,
                                     bool is_newest);
    void apply_heartbeat(Time now, Machine& machine, const Heartbeat& heartbeat,
                         OutboundRequestId command_request) override;
    void on_task_removed(Time now, const std::string& name,
                         const HeartbeatResult::RemovedTask& removed) override;
    bool on_own_task_gone(Time now, const TaskId& task, ExitReason reason, const std::string& zone);
    void adopt_reported(Time now, Machine& machine);
    void adopt_own(Time now, Machine& machine, const TaskStatus& status);
    void add_cancellation_stops(const Heartbeat& heartbeat, std::vector<WorkerCommand>& out) const;
    void add_corrective_commands(Time now, Machine& machine, std::vector<WorkerCommand>& out);
    void add_clears(Time now, Machine& machine, std::vector<WorkerCommand>& out);
    std::vector<TaskStatus> clearable_exits(const Machine& machine);
    std::optional<double> stop_grace_s(const Machine& machine, const TaskId& task,
                                       const Placement& placement);
    void send_commands(Time now) override;
    void trace_commands(Time now, const Machine& machine,
                        const std::vector<WorkerCommand>& commands, bool directly);
    void log_unexpected_tasks(const Machine& machine);
    void expire_leases(Time now);
    void log_stats(Time now);

    // Scheduling of pending tasks onto idle slots: see TaskScheduler.
    void update_slot_lists(Machine& machine) override { task_launcher_.update_slot_lists(machine); }
    void schedule(Time now);
    void schedule_on(Time now, Machine& machine);
    // Returns whether the job has tasks that may be scheduled now.
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

    // Retries preemption for the pending tasks, and sends the resulting stop commands.
    void retry_preemption(Time now);

    void refresh_quota_config(Time now);

    // Changes of the durable records of jobs and machines.
    void on_machines_registered(Time now, const OutboundResponse& response,
                                const std::vector<std::string>& names);
    void on_completion_durable(const std::string& id) override;
    void on_outcome_found(Time now, const std::string& id, Outcome outcome) override;
    void queue_immediate_stops(Machine& machine, const std::string& job);
    void remove_job_if_cancelled(const std::string& id);
    void remove_job(const std::string& id);

    // Implementations of the delegate interfaces of the members below.
    bool is_exit_durable(const TaskStatus& status) override;
    void on_remote_exit(Time now, const TaskId& task, ExitReason reason,
                        const std::string& zone) override;
    void on_completion_discovered(Time now, Job& job, std::uint32_t task) override;
    bool reconciled() const override { return failover_.reconciled(); }
    void on_peer_response(Time now) override;
    void on_slot_requests(Time now) override;
    void request_inventory(const std::string& machine) override { reconciliation_.probe(machine); }
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
    bool all_peers_reported() const override { return lender_.all_borrowers_synced(); }
    void release_machines(Time now, std::vector<std::string> names) override;

    const QuotaConfig& quota_config_; // the controller's
    std::set<std::string> own_teams_; // teams whose jobs belong to this partition
    JobRecordCache& job_cache_; // the controller's; updated with each job record that this leader
                                // reads or writes
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
    int commands_in_flight_ = 0; // direct commands without a response yet
    CommandTrace command_trace_;
    std::set<LaunchId> explained_launches_; // unexpected ones that were logged
    // Since the last statistics were logged: tokens raised for clears, and direct commands that
    // workers refused.
    std::uint64_t token_raises_ = 0;
    std::uint64_t commands_refused_ = 0;
    mutable std::uint64_t effort_ = 0;
    StalenessBound staleness_;
    Failover failover_;
    bool were_cancellations_known_ = true; // staleness_.is_fresh at the last tick
    bool quota_config_known_ = false;      // quota_config_.is_known when last refreshed
    Time next_stats_at_ = 0;
};

} // namespace scheduler
