#include "core/recovery/failover.h"

#include <algorithm>
#include <utility>

#include "core/model/partition_assignment.h"

namespace scheduler {

namespace {
// After the store discarded the revision that the watch started from: all jobs are read again.
constexpr double kRewatchAfterReloadS = 1;
constexpr double kRewatchAfterErrorS = 0.5;
} // namespace

Failover::Failover(const PartitionContext& partition, const FailoverState& state,
                   OutboundRequests& requests, Delegate& delegate)
    : partition_(partition), state_(state), requests_(requests), delegate_(delegate) {}

void Failover::start(Time now) { load_records(now, {kJobPrefix, ""}); }

void Failover::advance_to(Phase next) {
    phase_ = std::max(phase_, next); // a phase is never left for an earlier one
}

// ---- Reading the records ----

void Failover::retry_failed_loads(Time now) {
    for (const auto& range : std::exchange(failed_loads_, {})) {
        load_records(now, range);
    }
}

void Failover::load_records(Time now, const StoreRange& range) {
    if (range.prefix == kJobPrefix && range.after.empty()) {
        load_sent_at_ = now;
    }
    bool sent = requests_.send_to_store(
        now, StoreRateLimiter::Use::user, range,
        [this, range](Time at, OutboundResponse& response) { on_page(at, range, response); });
    if (!sent) {
        failed_loads_.push_back(range);
    }
}

void Failover::on_page(Time now, const StoreRange& range, const OutboundResponse& response) {
    if (response.status != 200) {
        failed_loads_.push_back(range);
        return;
    }
    if (range.prefix == kJobPrefix && range.after.empty()) {
        watch_revision_ = response.revision; // of the first page; the watch reports later changes
    }
    for (const auto& item : response.entries) {
        apply_record(now, item);
    }
    if (response.more && !response.entries.empty()) {
        load_records(now, {range.prefix, response.entries.back().key});
    } else {
        on_records_loaded(now, range.prefix);
    }
}

void Failover::on_records_loaded(Time now, const std::string& prefix) {
    if (prefix == kJobPrefix) {
        on_jobs_loaded(now);
    } else if (prefix == kProgressPrefix) {
        advance_to(Phase::loading_registries);
        load_registries(now);
    } else {
        on_registry_loaded(now, prefix);
    }
}

void Failover::on_jobs_loaded(Time now) {
    // Changes made after the first page was requested are reported by the watch.
    state_.staleness.advance(load_sent_at_);
    if (loaded()) {
        return; // a repeated read, after the watch had fallen behind
    }
    load_records(now, {kProgressPrefix, ""});
}

void Failover::on_registry_loaded(Time now, const std::string& prefix) {
    auto read = registry_reads_.extract(prefix);
    for (const auto& [shard, term] : read.mapped()) {
        const OwnedShards::Shard* own = partition_.owned_shards.find(shard);
        if (own && own->term == term) {
            state_.reconciliation.on_registry_read(shard);
        }
    }
    finish_loading(now);
    try_reconcile(now);
    load_registries(now); // of shards gained during the read
}

void Failover::load_registries(Time now) {
    if (phase_ == Phase::loading_jobs || !partition_.owned_shards.has_map()) {
        return;
    }
    std::map<std::string, std::map<ShardId, std::uint64_t>> reads;
    for (const auto& [id, shard] : partition_.owned_shards.all()) {
        if (!state_.reconciliation.is_registry_read(id)) {
            reads[MachineRegistry::prefix(id.home_partition)][id] = shard.term;
        }
    }
    for (auto& [prefix, shards] : reads) {
        if (registry_reads_.emplace(prefix, std::move(shards)).second) {
            load_records(now, {prefix, ""});
        }
    }
    finish_loading(now); // the partition may own no shards
}

void Failover::finish_loading(Time now) {
    if (loaded() || !registry_reads_.empty()) {
        return;
    }
    advance_to(Phase::reconciling);
    const Leadership& leadership = partition_.leadership;
    requests_.log(LogLevel::info,
                  "event=partition_loaded partition=" + std::to_string(leadership.partition()) +
                      " term=" + std::to_string(leadership.term()) +
                      " jobs=" + std::to_string(state_.jobs.all().size()) +
                      " shares=" + std::to_string(partition_.owned_shards.all().size()) +
                      " machines=" + std::to_string(state_.machines.all().size()));
    delegate_.on_partition_loaded(now);
    count_unreconciled_usage();
    try_reconcile(now);
}

// ---- Records ----

void Failover::apply_record(Time now, const KeyedRecord& item) {
    if (item.key.starts_with(kJobPrefix)) {
        apply_job(now, item);
    } else if (item.key.starts_with(MachineRegistry::kPrefix)) {
        apply_machine(now, item);
    } else if (item.key.starts_with(kProgressPrefix)) {
        apply_progress(item);
    }
}

void Failover::apply_progress(const KeyedRecord& item) {
    std::string path = item.key.substr(sizeof(kProgressPrefix) - 1);
    auto slash = path.find('/');
    const auto* record = std::get_if<ProgressRecord>(&item.record);
    if (!record || slash == std::string::npos) {
        report_unreadable(item);
        return;
    }
    state_.jobs.load_progress(path.substr(0, slash),
                              static_cast<std::uint32_t>(std::atoi(path.c_str() + slash + 1)),
                              record->done, item.version);
}

void Failover::apply_job(Time now, const KeyedRecord& item) {
    const auto* record = std::get_if<JobRecord>(&item.record);
    std::string id = item.key.substr(sizeof(kJobPrefix) - 1);
    state_.job_cache.observe(now, id, item.version, item.record);
    if (!record || (record->outcome != Outcome::done && !record->spec)) {
        report_unreadable(item);
        return;
    }
    // The cache may know a later version than this read. A recorded outcome never changes.
    Outcome outcome = state_.job_cache.outcome(id).value_or(record->outcome);
    if (record->spec && !partition_.own_teams.contains(record->spec->team)) {
        if (outcome == Outcome::cancelled) {
            // A job of another partition: its tasks on slots lent to that partition must stop.
            state_.jobs.record_outcome(id, Outcome::cancelled);
        }
        return; // a job of another partition
    }
    if (outcome == Outcome::none) {
        apply_open_job(now, item, *record->spec);
    } else if (outcome == Outcome::cancelled) {
        // Its tasks may still be running, and count towards their team's quota until they have
        // exited.
        if (!loaded() && record->spec) {
            state_.jobs.add(now, *record->spec, item.version);
        }
        delegate_.cancel_job(now, id);
    } else {
        state_.jobs.record_outcome(id, Outcome::done);
    }
}

void Failover::apply_open_job(Time now, const KeyedRecord& item, const JobSpec& spec) {
    Job* added = state_.jobs.add(now, spec, item.version);
    if (added && !loaded()) {
        added->unreconciled = true;
    } else if (added) {
        state_.demand.on_job_arrived(now, spec);
        state_.borrower.sync_soon(); // peers may have idle slots that this partition lacks
    }
    if (added) {
        state_.queue.on_job_arrived(added->spec);
    }
    state_.queue.invalidate();
}

void Failover::apply_machine(Time now, const KeyedRecord& item) {
    std::string path = item.key.substr(sizeof(MachineRegistry::kPrefix) - 1);
    std::string name = path.substr(path.find('/') + 1);
    ShardId shard = shard_at_home(partition_.settings, std::atoi(path.c_str()), name);
    const OwnedShards::Shard* own = partition_.owned_shards.find(shard);
    if (!own || state_.reconciliation.is_registry_read(shard)) {
        return; // of a shard not owned, or whose registry has been read before
    }
    state_.registry.on_loaded(name, item.version);
    if (Machine* machine = state_.machines.find(name)) { // its heartbeat arrived during the read
        machine->registered = true;
        if (!machine->fenced) {
            state_.reconciliation.expect_inventory(*machine);
        }
        delegate_.update_slot_lists(*machine);
        return;
    }
    add_machine(now, name, shard, own->term, item);
}

void Failover::add_machine(Time now, const std::string& name, const ShardId& shard,
                           std::uint64_t term, const KeyedRecord& item) {
    const auto* record = std::get_if<MachineRecord>(&item.record);
    const InstanceType* type = record ? partition_.instance_types.find(record->type) : nullptr;
    if (!type) {
        report_unreadable(item);
        // Stays unreconciled, since it cannot be probed without a readable record: its shard is
        // reconciled once every earlier worker lease has expired, or once the machine sends its
        // inventory.
        state_.reconciliation.expect_inventory(shard, name);
        return;
    }
    Machine& machine =
        state_.machines.add(now, name, *type, record->zone, record->spot, shard, term);
    machine.endpoint = record->endpoint;
    machine.registered = true;
    machine.last_heartbeat = now;
    state_.reconciliation.expect_inventory(machine);
}

void Failover::report_unreadable(const KeyedRecord& item) {
    requests_.log(LogLevel::error, "event=record_unreadable key=" + item.key);
}

// ---- Watching for changes to jobs ----

void Failover::watch_jobs(Time now) {
    if (watching_ || !loaded() || now < next_watch_) {
        return;
    }
    watching_ = requests_.send_to_store(
        now, StoreRateLimiter::Use::user,
        StoreWatch{kJobPrefix, watch_revision_, StalenessBound::max_watch_s(partition_.settings)},
        [this, sent = now](Time at, OutboundResponse& response) {
            watching_ = false;
            on_watch_response(at, sent, response);
        });
}

void Failover::on_watch_response(Time now, Time sent, const OutboundResponse& response) {
    if (response.status == 200) {
        // The sending time counts, not the arrival: the request may have been refused and retried
        // in between, and changes during that time are not covered.
        state_.staleness.advance(sent);
        watch_revision_ = std::max(watch_revision_, response.revision);
        for (const auto& item : response.entries) {
            apply_record(now, item);
        }
        delegate_.on_jobs_changed(now);
        watch_jobs(now);
    } else if (response.status == 410) {
        load_records(now, {kJobPrefix, ""});
        next_watch_ = now + kRewatchAfterReloadS;
    } else {
        next_watch_ = now + kRewatchAfterErrorS;
    }
}

// ---- Reconciliation ----

// No task of a job older than this leadership term is placed until every machine that may run a
// task started by an earlier leader is reconciled: it is fenced and its own heartbeat has listed
// its tasks, it has been released, or its worker lease has expired by the clock. For shards of
// other partitions, their leaders must have reconciled the tasks of this partition in the same way.
void Failover::try_reconcile(Time now) {
    if (!loaded()) {
        return;
    }
    for (const auto& shard : state_.reconciliation.newly_reconciled(now)) {
        on_shard_reconciled(now, shard);
    }
    if (reconciled() || !all_shards_reconciled()) {
        return;
    }
    advance_to(Phase::serving);
    for (const auto& [id, job] : state_.jobs.all()) {
        job->unreconciled = false;
    }
    count_unreconciled_usage();
    const Leadership& leadership = partition_.leadership;
    requests_.log(LogLevel::info,
                  "event=partition_reconciled partition=" + std::to_string(leadership.partition()) +
                      " term=" + std::to_string(leadership.term()));
    delegate_.on_reconciled(now);
}

void Failover::on_shard_reconciled(Time now, const ShardId& shard) {
    state_.lender.publish_shard(shard);
    state_.borrower.on_inventory_complete(now, shard);
    Time gained_at = partition_.owned_shards.find(shard)->since;
    if (gained_at > partition_.leadership.since()) {
        requests_.log(LogLevel::info,
                      "event=shard_reconciled shard=" + to_string(shard) +
                          " partition=" + std::to_string(partition_.leadership.partition()) +
                          " took_s=" + std::to_string(now - gained_at));
    }
}

bool Failover::all_shards_reconciled() const {
    return std::all_of(partition_.all_shards.begin(), partition_.all_shards.end(),
                       [&](const ShardId& shard) {
                           return state_.reconciliation.is_reconciled(shard) ||
                                  state_.borrower.has_complete_inventory(shard);
                       });
}

void Failover::count_unreconciled_usage() {
    std::map<std::string, QuotaLedger::UnreconciledUsage> usage_by_team;
    if (!reconciled()) {
        for (const auto& [id, job] : state_.jobs.all()) {
            if (job->unreconciled) {
                auto tasks = static_cast<double>(job->waiting.size());
                QuotaLedger::UnreconciledUsage& usage = usage_by_team[job->spec.team];
                usage.cpus += tasks * job->spec.cpus;
                usage.gpus += tasks * job->spec.gpus;
            }
        }
    }
    state_.quotas.set_unreconciled_usage(usage_by_team);
}

} // namespace scheduler
