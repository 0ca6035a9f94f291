// What the owner of a part writes: progress, outcomes, and what it does when a write is refused.
#include <algorithm>
#include <utility>

#include "core/model/partition_assignment.h"
#include "core/partition_leader.h"

namespace scheduler {

namespace {
constexpr double kProgressShare = 0.3; // of the changes that the state service takes

std::string progress_key(const std::string& job, std::uint32_t chunk) {
    return kProgressPrefix + job + "/" + std::to_string(chunk);
}
} // namespace

// Machines that have come onto the roster may be used.
void PartitionLeader::on_machines_registered(Time now, const OutboundResponse& response,
                                             const std::vector<std::string>& names) {
    leadership_.committed(requests_, response, "roster");
    for (const auto& name : names) {
        if (Machine* machine = machines_.find(name)) {
            machine->registered = true;
            update_slot_lists(*machine);
        }
    }
    if (!names.empty()) {
        schedule(now);
        send_commands(now);
    }
}

// A transaction without an answer may be carried out after newer ones of this claim, so each chunk
// is written over the version that it has now, and only while its job is open: an older set of bits
// never replaces a newer one whose tasks have been cleared, and none comes back after the job's
// end.
void PartitionLeader::persist_completed_tasks(Time now) {
    if (persisting_ || !failover_.loaded()) {
        return;
    }
    // No more than the budget can ever give at once, or nothing would be saved while much changes.
    int most = std::min(settings_.store_transaction_limit,
                        requests_.max_writes(StoreRateLimiter::Use::progress));
    auto dirty = jobs_.next_dirty_chunks(static_cast<std::size_t>(most));
    if (dirty.empty()) {
        return;
    }
    StoreTransaction transaction = leadership_.guarded_transaction();
    std::size_t room = 48 * 1024; // of the 64 KiB that a transaction may have
    std::size_t n = 0;
    for (; n < dirty.size(); ++n) {
        auto bits = jobs_.chunk_bits(*jobs_.find(dirty[n].job), dirty[n].chunk);
        std::size_t size = bits.size() / 4 + 128;
        if (size > room) {
            break;
        }
        room -= size;
        const Job& job = *jobs_.find(dirty[n].job);
        std::string key = progress_key(dirty[n].job, dirty[n].chunk);
        transaction.conditions.push_back({key, job.chunk_version[dirty[n].chunk]});
        if (n == 0 || dirty[n].job != dirty[n - 1].job) {
            transaction.conditions.push_back({kJobPrefix + dirty[n].job, job.version});
        }
        transaction.writes.push_back({std::move(key), ProgressRecord{std::move(bits)}, {}});
    }
    dirty.resize(n);
    persisting_ = requests_.send_to_store(
        now, StoreRateLimiter::Use::progress, std::move(transaction),
        [this, dirty](Time at, OutboundResponse& response) {
            persisting_ = false;
            // All parts together leave most of the changes to new jobs, outcomes and the roster.
            double partitions = static_cast<double>(settings_.partitions.size());
            double changes = static_cast<double>(dirty.size());
            next_persist_ = at + std::max(settings_.heartbeat_interval_s / 3,
                                          changes * partitions /
                                              (kProgressShare * settings_.store_writes_per_s));
            if (leadership_.committed(requests_, response, "progress")) {
                for (const auto& chunk : dirty) {
                    jobs_.on_chunk_saved(chunk, response.revision);
                }
            } else if (response.status == 409 && !leadership_.deposed()) {
                // What is not named, the next try will name.
                for (const auto& chunk : dirty) {
                    if (response.failed_on(kJobPrefix + chunk.job)) {
                        reread_job(at, chunk.job);
                    }
                    if (response.failed_on(progress_key(chunk.job, chunk.chunk))) {
                        reread_chunk(at, chunk.job, chunk.chunk);
                    }
                }
            }
        });
}

// The job's outcome and the end of its progress keys are one write; only then is it done.
void PartitionLeader::finish_job(Time now, Job& job) {
    if (job.finish_in_flight || now < job.finish_retry_at) {
        return;
    }
    StoreTransaction transaction = leadership_.guarded_transaction();
    std::string id = job.spec.id;
    transaction.conditions.push_back({kJobPrefix + id, job.version});
    transaction.writes.push_back({kJobPrefix + id, JobRecord{Outcome::done, {}}, {}});
    int most = std::min(settings_.store_transaction_limit,
                        requests_.max_writes(StoreRateLimiter::Use::user));
    for (std::uint32_t c = 0; c < jobs_.chunks(job); ++c) {
        if (job.chunk_version[c] > 0 && static_cast<int>(transaction.writes.size()) < most) {
            transaction.writes.push_back({progress_key(id, c), {}, {}});
        }
    }
    job.finish_in_flight = requests_.send_to_store(
        now, StoreRateLimiter::Use::user, std::move(transaction),
        [this, id](Time at, OutboundResponse& response) {
            Job* finished = jobs_.find(id);
            if (finished) {
                finished->finish_in_flight = false;
                finished->finish_retry_at = at + settings_.heartbeat_interval_s / 6;
            }
            if (leadership_.committed(requests_, response, "outcome")) {
                requests_.log(LogLevel::info, "event=job_completed job=" + id);
                job_cache_.observe_outcome(at, id, Outcome::done);
                if (finished) {
                    queue_.on_job_done(finished->spec);
                }
                jobs_.record_outcome(id, Outcome::done);
                drop_job(id);
            } else if (response.status == 409 && !leadership_.deposed()) {
                reread_job(at, id);
            }
        });
}

// Its key has changed under us: a cancel came first, or our own write took effect unseen.
void PartitionLeader::reread_job(Time now, const std::string& id) {
    requests_.send_to_store(now, StoreRateLimiter::Use::user, StoreGet{kJobPrefix + id},
                            [this, id](Time at, OutboundResponse& response) {
                                if (response.status != 200 || response.entries.empty()) {
                                    return;
                                }
                                const auto* record =
                                    std::get_if<JobRecord>(&response.entries[0].record);
                                if (record && record->outcome == Outcome::cancelled) {
                                    cancel_job(at, id);
                                } else if (record && record->outcome == Outcome::done) {
                                    jobs_.record_outcome(id, Outcome::done);
                                    drop_job(id);
                                }
                            });
}

void PartitionLeader::reread_chunk(Time now, const std::string& id, std::uint32_t chunk) {
    requests_.send_to_store(now, StoreRateLimiter::Use::progress, StoreGet{progress_key(id, chunk)},
                            [this, id, chunk](Time, OutboundResponse& response) {
                                if (response.status == 404) {
                                    jobs_.load_progress(id, chunk, {}, 0);
                                } else if (response.status == 200 && !response.entries.empty()) {
                                    const KeyedRecord& item = response.entries[0];
                                    const auto* record = std::get_if<ProgressRecord>(&item.record);
                                    jobs_.load_progress(id, chunk,
                                                        record ? record->done : std::vector<bool>{},
                                                        item.version);
                                }
                            });
}

void PartitionLeader::cancel_job(Time now, const std::string& id) {
    if (failover_.loaded() && !jobs_.find(id)) {
        jobs_.record_outcome(
            id, Outcome::cancelled); // its guests here are to stop, and it never starts
    } else if (jobs_.cancel(id)) {
        requests_.log(LogLevel::info, "event=job_cancelled job=" + id);
        borrower_.stop_job(id, 0);                // on other parts' machines, by their owners
        for (auto& [name, m] : machines_.all()) { // starts that are not out yet never go out
            for (const auto& g : machines_.cancel_queued_starts(m, &id)) {
                quotas_.remove_usage(g.placement.team, g.placement.cpus, g.placement.gpus);
                jobs_.mark_waiting(*jobs_.find(id), g.task.index, m.zone);
                update_slot_lists(m);
            }
            stop_at_once(m, id);
        }
        send_commands(now);
    }
    forget_if_over(id);
}

// A task whose image is still on its way would start before the next report brings its stop.
void PartitionLeader::stop_at_once(Machine& machine, const std::string& job) {
    for (auto it = machine.tasks.lower_bound({job, 0});
         it != machine.tasks.end() && it->first.job == job; ++it) {
        if (leadership_.is_own_attempt(it->second.attempt)) {
            machines_.queue_stop(machine, it->first, it->second.attempt, 0);
        }
    }
}

// The order may point to the job.
void PartitionLeader::drop_job(const std::string& id) {
    queue_.clear();
    gangs_.on_attempt_gone(id);
    jobs_.drop(id);
}

void PartitionLeader::forget_if_over(const std::string& id) {
    Job* job = jobs_.find(id);
    if (job && failover_.reconciled() && job->outcome == Outcome::cancelled && job->placed == 0) {
        jobs_.record_outcome(id, Outcome::cancelled);
        drop_job(id);
    }
}

} // namespace scheduler
