// Takes jobs and cancellations at every node, owner or not, through the state service. Polls are
// the poll desk's.
#pragma once

#include "core/jobs/cancellation_broadcast.h"
#include "core/jobs/job_responses.h"
#include "core/quotas/quota_config.h"

namespace scheduler {

class JobService {
  public:
    // Takes a job that this node has seen cancelled to the owners of its parts.
    using OnCancelled = std::function<void(Time, const std::string&)>;
    JobService(const ClusterSettings& settings, OutboundRequests& requests,
               JobRecordCache& job_cache, QuotaConfig& config, TaskCounts counts,
               OnCancelled cancelled)
        : requests_(requests), job_cache_(job_cache), quotas_(config),
          task_counts_(std::move(counts)), on_cancelled_(std::move(cancelled)),
          broadcast_(settings, requests) {}

    // `types`: the node's, which outlive the call. `current`: they are the cloud's own, not what
    // was heard of them at an earlier start.
    void submit(Time now, const SubmitJob& submit, const std::vector<InstanceType>& types,
                bool current);
    void cancel(Time now, const CancelJob& cancel, int tries_left = 3);
    // To be called after every input.
    void flush(Time now) { broadcast_.flush(now); }

  private:
    static std::string rejection_reason(const JobSpec& spec, const TeamQuota* quota);
    void reject(RequestId request_id, const std::string& why, bool unsure);
    void reject_after_refresh(Time now, RequestId request_id, const JobSpec& spec,
                              const std::vector<InstanceType>& types, bool current);
    void confirm(Time now, const CancelJob& cancel);
    void create(Time now, RequestId request_id, const JobSpec& spec);
    // Reads the job and answers, but for what only the caller can say: that it is open, or that
    // there is none.
    using OnOpen = std::function<void(Time, const KeyedRecord&)>;
    using OnMissing = std::function<void(Time)>;
    void read(Time now, RequestId request_id, const std::string& id, OnOpen open,
              OnMissing missing);

    OutboundRequests& requests_;
    JobRecordCache&
        job_cache_; // final outcomes never change, so they alone may be answered without a read
    QuotaConfig& quotas_;
    TaskCounts task_counts_;
    OnCancelled on_cancelled_;
    CancellationBroadcast broadcast_;
};

} // namespace scheduler
