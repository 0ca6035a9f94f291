/// See job_persistence.h.
#include "core/jobs/job_persistence.h"

#include <algorithm>
#include <utility>

#include "core/model/partition_assignment.h"

namespace scheduler {

namespace {

// Of the writes that the store takes from all controllers. The rest is for new jobs, outcomes and
// the machine registry.
constexpr double kProgressShare = 0.3;
// What the chunks of one transaction may take of the 64 KiB that a transaction may have.
constexpr std::size_t kProgressBytes = std::size_t{48} * 1024;
constexpr std::size_t kChunkOverheadBytes = 128; // key, version and framing of one chunk
constexpr std::size_t kTasksPerHexDigit = 4;     // in the stored form of the bits, a byte a digit

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
    // No more than the rate limiter can ever allow at once, or nothing would be saved while much
    // changes.
    int most = std::min(settings_.store_transaction_limit,
                        requests_.max_writes(StoreRateLimiter::Use::progress));
    auto chunks = jobs_.next_dirty_chunks(static_cast<std::size_t>(most));
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

// Cuts `chunks` down to those that the transaction has space for.
//
// A transaction without a response may be applied after newer ones of this term, so each chunk is
// written over the version that it has now, and only while its job is open: an older set of bits
// never replaces a newer one whose tasks have been cleared, and none comes back after the job's
// end.
StoreTransaction JobPersistence::progress_transaction(std::vector<DirtyChunk>& chunks) const {
    StoreTransaction transaction = leadership_.guarded_transaction();
    std::size_t bytes_left = kProgressBytes;
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
    // All partitions together leave most of the writes to new jobs, outcomes and the machine
    // registry.
    double partitions = static_cast<double>(settings_.partitions.size());
    double changes = static_cast<double>(chunks.size());
    double changes_per_s = kProgressShare * settings_.store_writes_per_s;
    next_progress_at_ =
        now + std::max(settings_.heartbeat_interval_s / 3, changes * partitions / changes_per_s);
    if (leadership_.committed(requests_, response, "progress")) {
        for (const auto& chunk : chunks) {
            jobs_.on_chunk_saved(chunk, response.revision);
        }
    } else if (response.status == 409 && !leadership_.deposed()) {
        reread_refused(now, chunks, response);
    }
}

// The store names some of the keys whose versions differ; the next attempt will find the others.
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

// The job's outcome and the deletion of its progress keys are one write; only then is it done.
StoreTransaction JobPersistence::completion_transaction(const Job& job) const {
    StoreTransaction transaction = leadership_.guarded_transaction();
    const std::string& id = job.spec.id;
    transaction.conditions.push_back({job_key(id), job.version});
    transaction.writes.push_back({job_key(id), JobRecord{Outcome::done, {}}, {}});
    int most = std::min(settings_.store_transaction_limit,
                        requests_.max_writes(StoreRateLimiter::Use::user));
    for (std::uint32_t chunk = 0; chunk < jobs_.chunks(job); ++chunk) {
        if (job.chunk_versions[chunk] > 0 && static_cast<int>(transaction.writes.size()) < most) {
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
    if (leadership_.committed(requests_, response, "outcome")) {
        requests_.log(LogLevel::info, "event=job_completed job=" + id);
        job_cache_.observe_outcome(now, id, Outcome::done);
        delegate_.on_completion_durable(id);
    } else if (response.status == 409 && !leadership_.deposed()) {
        reread_job(now, id);
    }
}

// Its key has changed under us: a cancellation came first, or our own write was applied although
// its response was lost.
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
                                    const KeyedRecord& item = response.entries[0];
                                    const auto* record = std::get_if<ProgressRecord>(&item.record);
                                    jobs_.load_progress(id, chunk,
                                                        record ? record->done : std::vector<bool>{},
                                                        item.version);
                                }
                            });
}

} // namespace scheduler
