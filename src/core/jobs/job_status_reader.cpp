#include "core/jobs/job_status_reader.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/model/partition_assignment.h"

namespace scheduler {

namespace {
constexpr int kConditionTimes = 4; // conditions that a transaction may have for each change
constexpr double kShare = 0.25;    // of a node's even share of requests, when polls come one by one
constexpr double kLongestWait = 1.0 / 6; // of a report time: users wait for about two thirds of one
} // namespace

JobStatusReader::JobStatusReader(const ClusterSettings& settings, OutboundRequests& requests,
                                 JobRecordCache& job_cache, TaskCounts counts)
    : requests_(requests), job_cache_(job_cache), task_counts_(std::move(counts)),
      max_keys_(static_cast<std::size_t>(
          std::max(1, kConditionTimes * settings.store_transaction_limit))),
      gather_s_(static_cast<double>(settings.partitions.size()) /
                (kShare * std::max(1.0, settings.store_requests_per_s))),
      longest_wait_s_(kLongestWait * settings.heartbeat_interval_s) {
    gather_s_ = std::min(gather_s_, longest_wait_s_ / 2);
}

void JobStatusReader::poll(Time now, RequestId request_id, const std::string& job) {
    if (respond_if_final(requests_, job_cache_, request_id, job)) {
        return;
    }
    if (job_cache_.version(job)) {
        waiting_.push_back({request_id, job, now});
    } else if (auto under_way = reads_.find(job); under_way != reads_.end()) {
        under_way->second.later.push_back(request_id);
    } else {
        read(now, job, {request_id});
    }
}

void JobStatusReader::flush(Time now) {
    while (!waiting_.empty() && now - waiting_.front().since > longest_wait_s_) {
        respond_unavailable(requests_, waiting_.front().request);
        waiting_.pop_front();
    }
    while (!waiting_.empty() && now >= blocked_until_ &&
           (now >= next_ || waiting_.size() >= max_keys_)) {
        std::size_t before = waiting_.size();
        confirm(now);
        if (waiting_.size() == before) {
            blocked_until_ = now + gather_s_ / 4;
        }
    }
}

// One transaction for the jobs that have waited longest, and all polls of each of them.
void JobStatusReader::confirm(Time now) {
    StoreTransaction transaction;
    std::set<std::string> jobs;
    std::vector<Waiting> asked;
    std::deque<Waiting> left;
    std::vector<Waiting> unknown; // forgotten or over since they came
    for (auto& w : waiting_) {
        auto version = job_cache_.version(w.job);
        if (!version) {
            unknown.push_back(w);
        } else if (jobs.contains(w.job)) {
            asked.push_back(w);
        } else if (transaction.conditions.size() < max_keys_) {
            transaction.conditions.push_back({kJobPrefix + w.job, *version});
            jobs.insert(w.job);
            asked.push_back(w);
        } else {
            left.push_back(w);
        }
    }
    if (!asked.empty() &&
        !requests_.send_to_store(now, StoreRateLimiter::Use::poll, std::move(transaction),
                                 [this, asked](Time at, OutboundResponse& response) {
                                     on_confirmed(at, asked, response);
                                 })) {
        return;
    }
    waiting_ = std::move(left);
    next_ = now + gather_s_;
    for (const auto& w : unknown) {
        poll(now, w.request, w.job);
    }
}

void JobStatusReader::on_confirmed(Time now, const std::vector<Waiting>& asked,
                                   const OutboundResponse& response) {
    // Those that are named have changed. The others are asked about again rather than believed: the
    // protocol does not say that all of the changed ones are named.
    for (const auto& key : response.failed_keys) {
        if (key.starts_with(kJobPrefix)) {
            job_cache_.invalidate(key.substr(sizeof(kJobPrefix) - 1));
        }
    }
    bool named = !response.failed_keys.empty();
    for (const auto& w : asked) {
        if (respond_if_final(requests_, job_cache_, w.request, w.job)) {
            continue;
        }
        if (response.status == 200) {
            respond_open(requests_, task_counts_, w.request, w.job);
        } else if (response.status == 409 && named && job_cache_.version(w.job)) {
            waiting_.push_front(w);
        } else if (response.status == 409 && named) {
            poll(now, w.request, w.job);
        } else {
            respond_unavailable(requests_, w.request);
        }
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

void JobStatusReader::on_read(Time now, const std::string& job, const OutboundResponse& response) {
    Read done = std::move(reads_.at(job));
    reads_.erase(job);
    bool found = response.status == 200 && !response.entries.empty();
    if (found) {
        const KeyedRecord& item = response.entries[0];
        job_cache_.observe(now, job, item.version, item.record);
        if (!std::holds_alternative<JobRecord>(item.record)) {
            requests_.log(LogLevel::error, "event=record_unreadable key=" + item.key);
            found = false;
        }
    }
    for (RequestId request_id : done.requests) {
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
    std::vector<RequestId> again;
    for (RequestId request_id : done.later) {
        if (job_cache_.outcome(job) || job_cache_.version(job)) {
            poll(now, request_id, job);
        } else {
            again.push_back(request_id);
        }
    }
    if (!again.empty()) {
        read(now, job, std::move(again));
    }
}

} // namespace scheduler
