// Takes over a partition after a change of leadership: reads its jobs, completed-task bits and
// machine registries from the store, watches the store for later changes to jobs, and decides when
// every task that earlier leaders may have started is reconciled. See "Failover" in docs/design.md.
// Times are seconds on this controller's steady clock.
#pragma once

#include "core/jobs/job_record_cache.h"
#include "core/jobs/job_store.h"
#include "core/leadership/staleness_bound.h"
#include "core/machines/machine_registry.h"
#include "core/model/instance_type_catalog.h"
#include "core/quotas/quota_ledger.h"
#include "core/recovery/reconciliation.h"
#include "core/sharding/owned_shards.h"
#include "core/stealing/slot_borrower.h"
#include "core/stealing/slot_lender.h"

namespace scheduler {

// The partition's tables that are filled from the records in the store.
struct FailoverState {
    JobRecordCache& job_cache; // shared by the whole controller; observes every job record read
    JobStore& jobs;
    MachineTable& machines;
    QuotaLedger& quotas;
    MachineRegistry& registry;
    PendingQueue& queue;
    DemandTracker& demand;
    Reconciliation& reconciliation;
    SlotLender& lender;
    SlotBorrower& borrower;
    StalenessBound& staleness;
};

class Failover {
  public:
    // What the failover needs of its partition's leader.
    struct Delegate {
        virtual ~Delegate() = default;
        virtual void update_slot_lists(Machine& machine) = 0;
        virtual void cancel_job(Time now, const std::string& id) = 0;
        // All records have been read. Heartbeats that arrived during the read may have listed tasks
        // of jobs that were not known at the time.
        virtual void on_partition_loaded(Time now) = 0;
        // Every task that an earlier leader may have started is reconciled.
        virtual void on_reconciled(Time now) = 0;
        // The watch has responded and its changes are applied: tasks may have to be scheduled or
        // stopped, or slots requested from peers.
        virtual void on_jobs_changed(Time now) = 0;
    };
    // The state of the partition that the failover reads and never changes.
    struct PartitionContext {
        const Leadership& leadership;
        const ClusterSettings& settings;
        const std::vector<ShardId>& all_shards; // the shards of all partitions
        const std::set<std::string>& own_teams; // teams whose jobs this partition runs
        const OwnedShards& owned_shards;
        const InstanceTypeCatalog& instance_types;
    };
    Failover(const PartitionContext& partition, const FailoverState& state,
             OutboundRequests& requests, Delegate& delegate);

    // Starts to read the partition's records.
    void start(Time now);
    // Retries the reads that failed or could not be sent.
    void retry_failed_loads(Time now);
    // Reads the machine registries that list the machines of owned shards and are not read yet.
    // Such a registry belongs to the home partition of the shard.
    void load_registries(Time now);
    // Starts a watch for changes to jobs, unless one is already in flight.
    void watch_jobs(Time now);
    // Processes the shards that have been reconciled since the last call. Once all shards of all
    // partitions are reconciled, starts to serve and calls on_reconciled.
    void try_reconcile(Time now);
    // Counts the tasks of older jobs that no inventory has listed yet towards their team's quota,
    // since they may be running.
    void count_unreconciled_usage();

    // Whether all records have been read.
    bool loaded() const { return phase_ >= Phase::reconciling; }
    // Whether every task that an earlier leader may have started is reconciled.
    bool reconciled() const { return phase_ == Phase::serving; }

  private:
    // The phases of one leadership term, in this order. None is repeated.
    enum class Phase {
        loading_jobs,       // and their completed-task bits
        loading_registries, // of the machines of the shards owned so far
        reconciling,        // tasks of older jobs may run on machines that are not reconciled
        serving,
    };

    void advance_to(Phase next);
    void load_records(Time now, const StoreRange& range);
    void on_page(Time now, const StoreRange& range, const OutboundResponse& response);
    void on_records_loaded(Time now, const std::string& prefix);
    void on_jobs_loaded(Time now);
    void on_registry_loaded(Time now, const std::string& prefix);
    void finish_loading(Time now);

    void apply_record(Time now, const KeyedRecord& item);
    void apply_progress(const KeyedRecord& item);
    void apply_job(Time now, const KeyedRecord& item);
    void apply_open_job(Time now, const KeyedRecord& item, const JobSpec& spec);
    void apply_machine(Time now, const KeyedRecord& item);
    void add_machine(Time now, const std::string& name, const ShardId& shard, std::uint64_t term,
                     const KeyedRecord& item);
    void report_unreadable(const KeyedRecord& item);

    void on_watch_response(Time now, Time sent, const OutboundResponse& response);
    void on_shard_reconciled(Time now, const ShardId& shard);
    bool all_shards_reconciled() const;

    const PartitionContext partition_;
    const FailoverState state_;
    OutboundRequests& requests_;
    Delegate& delegate_;
    Phase phase_ = Phase::loading_jobs;
    std::vector<StoreRange> failed_loads_; // retried at the next tick
    // Registry reads in flight, by key prefix: the shards each is for, with their terms.
    std::map<std::string, std::map<ShardId, std::uint64_t>> registry_reads_;
    Time load_sent_at_ = 0;            // when the last read of all jobs was sent
    std::uint64_t watch_revision_ = 0; // revision after which changes to jobs are watched
    bool watching_ = false;
    Time next_watch_ = 0;
};

} // namespace scheduler
