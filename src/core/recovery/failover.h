// Takes over a partition after a change of leadership: reads its jobs, completed-task bits and
// machine registries from the store, follows later changes of jobs by a watch, and decides when
// everything that earlier leaders may have started is reconciled. See "Failover" in docs/design.md.
// Times in seconds of this controller's steady clock.
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

// The tables of a partition that the records read from the store go into.
struct FailoverState {
    JobRecordCache& job_cache; // the controller's, told of each job record that is read
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
    struct Delegate { // what it needs of the partition that it works for
        virtual ~Delegate() = default;
        virtual void update_slot_lists(Machine& machine) = 0;
        virtual void cancel_job(Time now, const std::string& id) = 0;
        // Everything durable has been read. Machines that reported meanwhile listed tasks of jobs
        // that were not known then.
        virtual void on_partition_loaded(Time now) = 0;
        // Every task that an earlier leader may have started is accounted for.
        virtual void on_reconciled(Time now) = 0;
        // The watch has answered: what it told of may be placed, stopped or asked for elsewhere.
        virtual void on_jobs_changed(Time now) = 0;
    };
    // What the partition is: fixed, or changed only by others.
    struct PartitionContext {
        const Leadership& leadership;
        const ClusterSettings& settings;
        const std::vector<ShardId>& all_shards; // of all partitions
        const std::set<std::string>& own_teams; // whose jobs this partition runs
        const OwnedShards& owned_shards;
        const InstanceTypeCatalog& instance_types;
    };
    Failover(const PartitionContext& partition, const FailoverState& state,
             OutboundRequests& requests, Delegate& delegate);

    // Begins to read the partition's records.
    void start(Time now);
    // Sends the reads again that failed or could not be sent.
    void retry_failed_loads(Time now);
    // Reads the machine registries of the home partitions of all owned shards not read yet.
    void load_registries(Time now);
    // Follows the changes of jobs, unless a watch is under way already.
    void watch_jobs(Time now);
    // Notes what has been reconciled since the last call and acts on it.
    void try_reconcile(Time now);
    // Counts for the quotas the tasks of older jobs that no inventory has shown yet: they may be
    // running all the same.
    void count_unreconciled_usage();

    // All that is durable has been read.
    bool loaded() const { return phase_ >= Phase::reconciling; }
    bool reconciled() const { return phase_ == Phase::serving; }

  private:
    // Passed through in this order, each once per term of leadership.
    enum class Phase {
        loading_jobs,       // and the bits of their completed tasks
        loading_registries, // of the machines of the shards owned so far
        reconciling,        // tasks of jobs older than this term may be on unheard-of machines
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
    std::vector<StoreRange> failed_loads_; // sent again at the next tick
    // Reads under way, by key prefix: for which shards, owned under which terms.
    std::map<std::string, std::map<ShardId, std::uint64_t>> registry_reads_;
    Time load_sent_at_ = 0;            // when the last read of all jobs was sent
    std::uint64_t watch_revision_ = 0; // revision from which on changes of jobs are watched
    bool watching_ = false;
    Time next_watch_ = 0;
};

} // namespace scheduler
