// A new owner of a part: what it reads, and how it accounts for what owners before it started. See
// docs/design.md, "Takeover".
#include <algorithm>
#include <utility>

#include "core/model/partition_assignment.h"
#include "core/partition_leader.h"

namespace scheduler {

void PartitionLeader::load_records(Time now, std::string prefix, std::string after) {
    if (prefix == kJobPrefix && after.empty()) {
        loading_since_ = now;
    }
    bool sent = requests_.send_to_store(
        now, StoreRateLimiter::Use::user, StoreRange{prefix, after},
        [this, prefix, after](Time at, OutboundResponse& response) {
            if (response.status != 200) {
                failed_loads_.push_back({prefix, after}); // at the next tick
                return;
            }
            if (prefix == kJobPrefix && after.empty()) {
                watch_from_ = response.revision; // of the first page: later changes come by watch
            }
            for (const auto& item : response.entries) {
                apply_record(at, item);
            }
            if (response.more && !response.entries.empty()) {
                load_records(at, prefix, response.entries.back().key);
            } else {
                on_records_loaded(at, prefix);
            }
        });
    if (!sent) {
        failed_loads_.push_back({prefix, after});
    }
}

void PartitionLeader::on_records_loaded(Time now, const std::string& prefix) {
    if (prefix == kJobPrefix) {
        staleness_.advance(
            loading_since_); // what changed since the first page was asked for is watched
        if (loaded_) {
            return; // read again because the watch had fallen behind
        }
        load_records(now, kProgressPrefix, "");
    } else if (prefix == kProgressPrefix) {
        jobs_loaded_ = true;
        load_registries(now);
    } else {
        auto read = registry_reads_.extract(prefix);
        for (const auto& [shard, term] : read.mapped()) {
            const OwnedShards::Shard* own = owned_shards_.find(shard);
            if (own && own->term == term) {
                reconciliation_.on_registry_read(shard);
            }
        }
        begin_leading(now);
        try_reconcile(now);
        load_registries(now); // of shares that came meanwhile
    }
}

// The rosters of the homes of all shares that are ours and not read yet.
void PartitionLeader::load_registries(Time now) {
    if (!jobs_loaded_ || !owned_shards_.has_map()) {
        return;
    }
    std::map<std::string, std::map<ShardId, std::uint64_t>> reads;
    for (const auto& [id, shard] : owned_shards_.all()) {
        if (!reconciliation_.is_registry_read(id)) {
            reads[MachineRegistry::prefix(id.home_partition)][id] = shard.term;
        }
    }
    for (auto& [prefix, shards] : reads) {
        if (registry_reads_.emplace(prefix, std::move(shards)).second) {
            load_records(now, prefix, "");
        }
    }
    begin_leading(now); // it may hold none at all
}

void PartitionLeader::begin_leading(Time now) {
    if (loaded_ || !registry_reads_.empty()) {
        return;
    }
    loaded_ = true;
    requests_.log(LogLevel::info,
                  "event=partition_loaded partition=" + std::to_string(leadership_.partition()) +
                      " term=" + std::to_string(leadership_.term()) +
                      " jobs=" + std::to_string(jobs_.all().size()) +
                      " shares=" + std::to_string(owned_shards_.all().size()) +
                      " machines=" + std::to_string(machines_.all().size()));
    // Machines that reported while we were reading listed tasks of jobs not known then.
    for (auto& [name, m] : machines_.all()) {
        adopt_reported(now, m);
        update_slot_lists(m);
    }
    count_doubtful_usage();
    refresh_quota_config(now);
    try_reconcile(now);
}

void PartitionLeader::apply_record(Time now, const KeyedRecord& item) {
    if (item.key.starts_with(kJobPrefix)) {
        load_job(now, item);
    } else if (item.key.starts_with(MachineRegistry::kPrefix)) {
        load_machine(now, item);
    } else if (item.key.starts_with(kProgressPrefix)) {
        std::string rest = item.key.substr(sizeof(kProgressPrefix) - 1);
        auto slash = rest.find('/');
        const auto* record = std::get_if<ProgressRecord>(&item.record);
        if (!record || slash == std::string::npos) {
            requests_.log(LogLevel::error, "event=record_unreadable key=" + item.key);
            return;
        }
        jobs_.load_progress(rest.substr(0, slash),
                            static_cast<std::uint32_t>(std::atoi(rest.c_str() + slash + 1)),
                            record->done, item.version);
    }
}

void PartitionLeader::load_job(Time now, const KeyedRecord& item) {
    const auto* record = std::get_if<JobRecord>(&item.record);
    std::string id = item.key.substr(sizeof(kJobPrefix) - 1);
    job_cache_.observe(now, id, item.version, item.record);
    if (!record || (record->outcome != Outcome::done && !record->spec)) {
        requests_.log(LogLevel::error, "event=record_unreadable key=" + item.key);
        return;
    }
    // The read may be older than what this node has been told: an outcome never changes.
    Outcome outcome = job_cache_.outcome(id).value_or(record->outcome);
    if (record->spec && !own_teams_.contains(record->spec->team)) {
        if (outcome == Outcome::cancelled) {
            jobs_.record_outcome(id, Outcome::cancelled); // its guests here are to stop
        }
        return; // another part's
    }
    if (outcome == Outcome::none) {
        Job* added = jobs_.add(now, *record->spec, item.version);
        if (added && !loaded_) {
            added->in_doubt = true;
        } else if (added) {
            demand_.on_job_arrived(now, *record->spec);
            borrower_.sync_soon(); // others may have slots where we have none
        }
        if (added) {
            queue_.on_job_arrived(added->spec);
        }
        queue_.invalidate();
    } else if (outcome == Outcome::cancelled) {
        // Its tasks may still be on machines and count for their team until they are gone.
        if (!loaded_ && record->spec) {
            jobs_.add(now, *record->spec, item.version);
        }
        cancel_job(now, id);
    } else {
        jobs_.record_outcome(id, Outcome::done);
    }
}

void PartitionLeader::load_machine(Time now, const KeyedRecord& item) {
    const auto* record = std::get_if<MachineRecord>(&item.record);
    std::string rest = item.key.substr(sizeof(MachineRegistry::kPrefix) - 1);
    std::string name = rest.substr(rest.find('/') + 1);
    ShardId shard = shard_at_home(settings_, std::atoi(rest.c_str()), name);
    const OwnedShards::Shard* own = owned_shards_.find(shard);
    if (!own || reconciliation_.is_registry_read(shard)) {
        return; // another's, or known since it was read
    }
    registry_.on_loaded(name, item.version);
    const InstanceType* type = record ? instance_types_.find(record->type) : nullptr;
    if (Machine* machine = machines_.find(name)) { // it has reported while we were reading
        machine->registered = true;
        if (!machine->fenced) {
            reconciliation_.expect(*machine);
        }
        update_slot_lists(*machine);
        return;
    }
    if (!type) {
        requests_.log(LogLevel::error, "event=record_unreadable key=" + item.key);
        reconciliation_.expect(shard, name); // fenced off: its lease bound is waited out
        return;
    }
    Machine& machine =
        machines_.add(now, name, *type, record->zone, record->spot, shard, own->term);
    machine.endpoint = record->endpoint;
    machine.registered = true;
    machine.last_heartbeat = now;
    reconciliation_.expect(machine);
}

void PartitionLeader::watch_jobs(Time now) {
    if (watching_ || !loaded_ || now < next_watch_) {
        return;
    }
    watching_ = requests_.send_to_store(
        now, StoreRateLimiter::Use::user,
        StoreWatch{kJobPrefix, watch_from_, StalenessBound::max_watch_s(settings_)},
        [this, sent = now](Time at, OutboundResponse& response) {
            watching_ = false;
            if (response.status == 200) {
                // Not to when the answer came: it may have waited through
                // a refusal, in which it heard nothing.
                staleness_.advance(sent);
                watch_from_ = std::max(watch_from_, response.revision);
                for (const auto& item : response.entries) {
                    apply_record(at, item);
                }
                schedule(at);
                retry_preemption(at);
                send_commands(at);
                borrower_.sync_due_peers(at);
                watch_jobs(at);
            } else if (response.status == 410) {
                load_records(at, kJobPrefix, "");
                next_watch_ = at + 1;
            } else {
                next_watch_ = at + 0.5;
            }
        });
}

// No task of a job older than this owner is placed until every machine that may carry a task of an
// owner before us is accounted for: fenced and listed by its own report, gone by a release, or
// lapsed by the clock; and until the holder of every other share has accounted in the same way for
// the tasks of ours there.
void PartitionLeader::try_reconcile(Time now) {
    if (!loaded_) {
        return;
    }
    for (const auto& shard : reconciliation_.newly_reconciled(now)) {
        lender_.publish_shard(shard);
        borrower_.on_inventory_complete(now, shard);
        if (Time since = owned_shards_.find(shard)->since; since > leadership_.since()) {
            requests_.log(LogLevel::info,
                          "event=shard_reconciled shard=" + to_string(shard) +
                              " partition=" + std::to_string(leadership_.partition()) +
                              " took_s=" + std::to_string(now - since));
        }
    }
    if (reconciled_) {
        return;
    }
    if (all_shards_reconciled()) {
        reconciled_ = true;
        count_doubtful_usage();
        requests_.log(LogLevel::info, "event=partition_reconciled partition=" +
                                          std::to_string(leadership_.partition()) +
                                          " term=" + std::to_string(leadership_.term()));
        std::vector<std::string> ids;
        for (const auto& [id, job] : jobs_.all()) {
            ids.push_back(id);
        }
        for (const auto& id : ids) {
            forget_if_over(id);
        }
        // An attempt of an owner before us goes on if it is whole, and is ended if not.
        for (const auto& id : ids) {
            const Job* job = jobs_.find(id);
            if (job && job->open() && job->placed > 0 && !job->waiting.empty()) {
                end_attempt(now, id, false);
            }
        }
        schedule(now);
        send_commands(now);
    }
}

bool PartitionLeader::all_shards_reconciled() const {
    return std::all_of(all_shards_.begin(), all_shards_.end(), [&](const ShardId& shard) {
        return reconciliation_.is_reconciled(shard) || borrower_.is_inventoried(shard);
    });
}

// The tasks of older jobs that no listing has shown yet may run all the same.
void PartitionLeader::count_doubtful_usage() {
    std::map<std::string, std::pair<double, double>> doubtful;
    for (const auto& [id, job] : jobs_.all()) {
        if (!reconciled_ && job->in_doubt) {
            auto n = static_cast<double>(job->waiting.size());
            auto& [cpus, gpus] = doubtful[job->spec.team];
            cpus += n * job->spec.cpus;
            gpus += n * job->spec.gpus;
        }
    }
    quotas_.set_doubtful(doubtful);
}

} // namespace scheduler
