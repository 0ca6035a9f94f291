#include "core/jobs/job_status_reader.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/model/partition_assignment.h"

namespace scheduler {

namespace {
// The store's limit of conditions per transaction, as a multiple of its limit of writes.
constexpr int kConditionsPerWrite = 4;
// Fraction of a controller's even share of store requests that batches which are not full may use.
constexpr double kMaxRequestFraction = 0.25;
// Longest wait of a poll for the rate limiter, in heartbeat intervals. Users time out after about
// two thirds of an interval.
constexpr double kMaxWaitHeartbeats = 1.0 / 6;
// Retries per gather time of a transaction that the rate limiter does not admit.
constexpr double kRetriesPerGatherTime = 4;
} // namespace

JobStatusReader::JobStatusReader(const ClusterSettings& settings, OutboundRequests& requests,
                                 JobRecordCache& job_cache, TaskCounts task_counts)
    : requests_(requests), job_cache_(job_cache), task_counts_(std::move(task_counts)),
      max_keys_(static_cast<std::size_t>(
          std::max(1, kConditionsPerWrite * settings.store_transaction_limit))),
      gather_s_(static_cast<double>(settings.partitions.size()) /
                (kMaxRequestFraction * std::max(1.0, settings.store_requests_per_s))),
      max_wait_s_(kMaxWaitHeartbeats * settings.heartbeat_interval_s) {
    gather_s_ = std::min(gather_s_, max_wait_s_ / 2);
}

void JobStatusReader::poll(Time now, RequestId request_id, const std::string& job) {
    if (respond_if_final(requests_, job_cache_, request_id, job)) {
        return;
    }
    if (job_cache_.version(job)) {
        waiting_.push_back({request_id, job, now});
    } else if (auto read_in_flight = reads_.find(job); read_in_flight != reads_.end()) {
        read_in_flight->second.later.push_back(request_id);
    } else {
        read(now, job, {request_id});
    }
}

void JobStatusReader::flush(Time now) {
    while (!waiting_.empty() && now - waiting_.front().since > max_wait_s_) {
        respond_unavailable(requests_, waiting_.front().request);
        waiting_.pop_front();
    }
    while (!waiting_.empty() && now >= blocked_until_ &&
           (now >= next_batch_at_ || waiting_.size() >= max_keys_)) {
        std::size_t before = waiting_.size();
        confirm(now);
        if (waiting_.size() == before) {
            blocked_until_ = now + gather_s_ / kRetriesPerGatherTime;
        }
    }
}

// Returns a batch with the jobs whose polls have waited longest, and all polls of each of them.
JobStatusReader::Batch JobStatusReader::next_batch() const {
    Batch batch;
    std::set<std::string> jobs;
    for (const auto& waiting : waiting_) {
        auto version = job_cache_.version(waiting.job);
        if (!version) {
            batch.unknown.push_back(waiting);
        } else if (jobs.contains(waiting.job)) {
            batch.included.push_back(waiting);
        } else if (batch.transaction.conditions.size() < max_keys_) {
            batch.transaction.conditions.push_back({kJobPrefix + waiting.job, *version});
            jobs.insert(waiting.job);
            batch.included.push_back(waiting);
        } else {
            batch.remaining.push_back(waiting);
        }
    }
    return batch;
}

void JobStatusReader::confirm(Time now) {
    Batch batch = next_batch();
    if (!batch.included.empty() &&
        !requests_.send_to_store(
            now, StoreRateLimiter::Use::poll, std::move(batch.transaction),
            [this, polls = batch.included](Time at, OutboundResponse& response) {
                on_confirmed(at, polls, response);
            })) {
        return;
    }
    waiting_ = std::move(batch.remaining);
    next_batch_at_ = now + gather_s_;
    for (const auto& waiting : batch.unknown) {
        poll(now, waiting.request, waiting.job);
    }
}

void JobStatusReader::on_confirmed(Time now, const std::vector<WaitingPoll>& polls,
                                   const OutboundResponse& response) {
    // The reported keys have changed. The others are compared again rather than considered
    // unchanged, because the protocol does not guarantee that all changed keys are reported.
    for (const auto& key : response.failed_keys) {
        if (key.starts_with(kJobPrefix)) {
            job_cache_.invalidate(key.substr(sizeof(kJobPrefix) - 1));
        }
    }
    for (const auto& waiting : polls) {
        on_confirmed(now, waiting, response);
    }
}

void JobStatusReader::on_confirmed(Time now, const WaitingPoll& waiting,
                                   const OutboundResponse& response) {
    if (respond_if_final(requests_, job_cache_, waiting.request, waiting.job)) {
        return;
    }
    bool conflict = response.status == 409 && !response.failed_keys.empty();
    if (response.status == 200) {
        respond_open(requests_, task_counts_, waiting.request, waiting.job);
    } else if (conflict && job_cache_.version(waiting.job)) {
        waiting_.push_front(waiting);
    } else if (conflict) {
        poll(now, waiting.request, waiting.job);
    } else {
        respond_unavailable(requests_, waiting.request);
    }
}

void JobStatusReader::read(Time now, const std::string& job, std::vector<RequestId> requests) {
    bool sent = requests_.send_to_store(
        now, StoreRateLimiter::Use::poll, StoreGet{kJobPrefix + job},
        [this, job](Time at, OutboundResponse& response) { on_read(at, job, response); });
    if (sent) {
        reads_[job].requests = std::move(requests);
        return;
    }
    for (RequestId request_id : requests) {
        respond_unavailable(requests_, request_id);
    }
}

// Updates the cache with the job that was read. Returns false if the response has no readable job.
bool JobStatusReader::observe_job(Time now, const std::string& job,
                                  const OutboundResponse& response) {
    if (response.status != 200 || response.entries.empty()) {
        return false;
    }
    const KeyedRecord& entry = response.entries[0];
    job_cache_.observe(now, job, entry.version, entry.record);
    if (!std::holds_alternative<JobRecord>(entry.record)) {
        requests_.log(LogLevel::error, "event=record_unreadable key=" + entry.key);
        return false;
    }
    return true;
}

void JobStatusReader::on_read(Time now, const std::string& job, const OutboundResponse& response) {
    Read completed = std::move(reads_.at(job));
    reads_.erase(job);
    bool found = observe_job(now, job, response);
    for (RequestId request_id : completed.requests) {
        if (respond_if_final(requests_, job_cache_, request_id, job)) {
            continue;
        }
        if (found) {
            respond_open(requests_, task_counts_, request_id, job);
        } else if (response.status == 404) {
            requests_.respond(request_id, 404, TextBody{"no such job"});
        } else {
            respond_unavailable(requests_, request_id);
        }
    }
    poll_again(now, job, completed.later);
}

// Handles polls that arrived after a read was sent. Those that need a read share the next one.
void JobStatusReader::poll_again(Time now, const std::string& job,
                                 const std::vector<RequestId>& requests) {
    std::vector<RequestId> needing_read;
    for (RequestId request_id : requests) {
        if (job_cache_.outcome(job) || job_cache_.version(job)) {
            poll(now, request_id, job);
        } else {
            needing_read.push_back(request_id);
        }
    }
    if (!needing_read.empty()) {
        read(now, job, std::move(needing_read));
    }
}

} // namespace scheduler
