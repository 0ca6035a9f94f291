#include "core/jobs/job_persistence.h"

#include <algorithm>
#include <utility>

#include "core/model/partition_assignment.h"

namespace scheduler {

namespace {

// Fraction of the store's write limit that the progress of all partitions may use. The rest is for
// new jobs, outcomes and the machine registry.
constexpr double kProgressWriteFraction = 0.3;
// Size limit of the chunks of one transaction; the store accepts transactions up to 64 KiB.
constexpr std::size_t kMaxProgressBytes = std::size_t{48} * 1024;
constexpr std::size_t kChunkOverheadBytes = 128; // key, version and framing of one chunk
constexpr std::size_t kTasksPerHexDigit = 4;     // bits are stored as hex digits of one byte each

std::string job_key(const std::string& job) { return kJobPrefix + job; }

std::string progress_key(const std::string& job, std::uint32_t chunk) {
    return kProgressPrefix + job + "/" + std::to_string(chunk);
}

} // namespace

JobPersistence::JobPersistence(Leadership& leadership, const ClusterSettings& settings,
                               JobStore& jobs, JobRecordCache& job_cache,
                               OutboundRequests& requests, Delegate& delegate)
    : leadership_(leadership), settings_(settings), jobs_(jobs), job_cache_(job_cache),
      requests_(requests), delegate_(delegate) {}

void JobPersistence::persist_completed_tasks(Time now) {
    if (now < next_progress_at_ || in_flight_) {
        return;
    }
    // A transaction larger than the rate limiter can admit would never be sent.
    int max_chunks = std::min(settings_.store_transaction_limit,
                              requests_.max_writes(StoreRateLimiter::Use::progress));
    auto chunks = jobs_.next_dirty_chunks(static_cast<std::size_t>(max_chunks));
    if (chunks.empty()) {
        return;
    }
    StoreTransaction transaction = progress_transaction(chunks);
    in_flight_ =
        requests_.send_to_store(now, StoreRateLimiter::Use::progress, std::move(transaction),
                                [this, chunks](Time at, OutboundResponse& response) {
                                    on_progress_response(at, chunks, response);
                                });
}

// Returns the transaction that saves `chunks`, and truncates `chunks` to those that fit into it.
//
// A transaction without a response may be applied after newer ones of this term. Each write is
// therefore conditional on the current version of the chunk and on the job being open: an older set
// of bits cannot replace a newer one whose tasks have been cleared, and no chunk is written again
// after the job has ended.
StoreTransaction JobPersistence::progress_transaction(std::vector<DirtyChunk>& chunks) const {
    StoreTransaction transaction = leadership_.guarded_transaction();
    std::size_t bytes_left = kMaxProgressBytes;
    std::size_t count = 0;
    for (; count < chunks.size(); ++count) {
        const DirtyChunk& chunk = chunks[count];
        const Job& job = *jobs_.find(chunk.job);
        auto bits = jobs_.chunk_bits(job, chunk.chunk);
        std::size_t bytes = bits.size() / kTasksPerHexDigit + kChunkOverheadBytes;
        if (bytes > bytes_left) {
            break;
        }
        bytes_left -= bytes;
        std::string key = progress_key(chunk.job, chunk.chunk);
        transaction.conditions.push_back({key, job.chunk_versions[chunk.chunk]});
        if (count == 0 || chunk.job != chunks[count - 1].job) {
            transaction.conditions.push_back({job_key(chunk.job), job.version});
        }
        transaction.writes.push_back({std::move(key), ProgressRecord{std::move(bits)}, {}});
    }
    chunks.resize(count);
    return transaction;
}

void JobPersistence::on_progress_response(Time now, const std::vector<DirtyChunk>& chunks,
                                          const OutboundResponse& response) {
    in_flight_ = false;
    // Each partition limits its rate so that all of them together stay within the fraction.
    double partitions = static_cast<double>(settings_.partitions.size());
    double changes = static_cast<double>(chunks.size());
    double changes_per_s = kProgressWriteFraction * settings_.store_writes_per_s;
    next_progress_at_ =
        now + std::max(settings_.heartbeat_interval_s / 3, changes * partitions / changes_per_s);
    if (leadership_.check_committed(requests_, response, "progress")) {
        for (const auto& chunk : chunks) {
            jobs_.on_chunk_saved(chunk, response.revision);
        }
    } else if (response.status == 409 && !leadership_.deposed()) {
        reread_refused(now, chunks, response);
    }
}

// Rereads the keys whose conditions failed. The store reports only some of them; the next attempt
// finds the others.
void JobPersistence::reread_refused(Time now, const std::vector<DirtyChunk>& chunks,
                                    const OutboundResponse& response) {
    for (const auto& chunk : chunks) {
        if (response.failed_on(job_key(chunk.job))) {
            reread_job(now, chunk.job);
        }
        if (response.failed_on(progress_key(chunk.job, chunk.chunk))) {
            reread_chunk(now, chunk.job, chunk.chunk);
        }
    }
}

void JobPersistence::finish_job(Time now, Job& job) {
    if (job.outcome_write_in_flight || now < job.outcome_retry_at) {
        return;
    }
    StoreTransaction transaction = completion_transaction(job);
    job.outcome_write_in_flight =
        requests_.send_to_store(now, StoreRateLimiter::Use::user, std::move(transaction),
                                [this, id = job.spec.id](Time at, OutboundResponse& response) {
                                    on_completion_response(at, id, response);
                                });
}

// Returns the transaction that writes the outcome and deletes the progress keys atomically. The job
// is done only after this write.
StoreTransaction JobPersistence::completion_transaction(const Job& job) const {
    StoreTransaction transaction = leadership_.guarded_transaction();
    const std::string& id = job.spec.id;
    transaction.conditions.push_back({job_key(id), job.version});
    transaction.writes.push_back({job_key(id), JobRecord{Outcome::done, {}}, {}});
    int max_writes = std::min(settings_.store_transaction_limit,
                              requests_.max_writes(StoreRateLimiter::Use::user));
    for (std::uint32_t chunk = 0; chunk < jobs_.chunks(job); ++chunk) {
        if (job.chunk_versions[chunk] > 0 &&
            static_cast<int>(transaction.writes.size()) < max_writes) {
            transaction.writes.push_back({progress_key(id, chunk), {}, {}});
        }
    }
    return transaction;
}

void JobPersistence::on_completion_response(Time now, const std::string& id,
                                            const OutboundResponse& response) {
    if (Job* job = jobs_.find(id)) {
        job->outcome_write_in_flight = false;
        job->outcome_retry_at = now + settings_.heartbeat_interval_s / 6;
    }
    if (leadership_.check_committed(requests_, response, "outcome")) {
        requests_.log(LogLevel::info, "event=job_completed job=" + id);
        job_cache_.observe_outcome(now, id, Outcome::done);
        delegate_.on_completion_durable(id);
    } else if (response.status == 409 && !leadership_.deposed()) {
        reread_job(now, id);
    }
}

// Reads the job whose key has changed: it was cancelled, or an earlier write of this leader was
// applied although its response was lost.
void JobPersistence::reread_job(Time now, const std::string& id) {
    requests_.send_to_store(now, StoreRateLimiter::Use::user, StoreGet{job_key(id)},
                            [this, id](Time at, OutboundResponse& response) {
                                if (response.status != 200 || response.entries.empty()) {
                                    return;
                                }
                                const auto* record =
                                    std::get_if<JobRecord>(&response.entries[0].record);
                                if (record && record->outcome != Outcome::none) {
                                    delegate_.on_outcome_found(at, id, record->outcome);
                                }
                            });
}

void JobPersistence::reread_chunk(Time now, const std::string& id, std::uint32_t chunk) {
    requests_.send_to_store(now, StoreRateLimiter::Use::progress, StoreGet{progress_key(id, chunk)},
                            [this, id, chunk](Time, OutboundResponse& response) {
                                if (response.status == 404) {
                                    jobs_.load_progress(id, chunk, {}, 0);
                                } else if (response.status == 200 && !response.entries.empty()) {
                                    const KeyedRecord& entry = response.entries[0];
                                    const auto* record = std::get_if<ProgressRecord>(&entry.record);
                                    jobs_.load_progress(id, chunk,
                                                        record ? record->done : std::vector<bool>{},
                                                        entry.version);
                                }
                            });
}

} // namespace scheduler
