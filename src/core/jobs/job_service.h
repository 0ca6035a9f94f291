// Accepts jobs and cancellations from users at every controller, whether it leads the job's
// partition or not, through the key-value store. Polls are for the job status reader.
#pragma once

#include "core/jobs/cancellation_broadcast.h"
#include "core/jobs/job_responses.h"
#include "core/quotas/quota_config.h"

namespace scheduler {

// Responds to each request once, when its outcome is durable or it failed: 503 if the store cannot
// be used now, 422 if the job is rejected, 404 if there is no such job. Called only from the
// controller's event loop.
class JobService {
  public:
    // Tells the partition leaders of this controller that a job was cancelled.
    using OnCancelled = std::function<void(Time, const std::string&)>;
    JobService(const ClusterSettings& settings, OutboundRequests& requests,
               JobRecordCache& job_cache, QuotaConfig& quotas, TaskCounts task_counts,
               OnCancelled on_cancelled)
        : requests_(requests), job_cache_(job_cache), quotas_(quotas),
          task_counts_(std::move(task_counts)), on_cancelled_(std::move(on_cancelled)),
          broadcast_(settings, requests) {}

    // `types`: the controller's instance types, which must outlive the service. `types_current`:
    // they were read from the cloud provider since the start, and not only from the store.
    void submit(Time now, const SubmitJob& submit, const std::vector<InstanceType>& types,
                bool types_current);
    // `tries_left`: retries of a cancellation that collides with another write of the job's key.
    void cancel(Time now, const CancelJob& cancel, int tries_left = kCancelRetries);
    // Ends the waits for peers. To be called after every input.
    void flush(Time now) { broadcast_.flush(now); }

  private:
    static constexpr int kCancelRetries = 3;

    // Why a job is to be rejected; an empty reason means that it is not.
    struct Rejection {
        std::string reason;
        bool by_quota = false;  // by the team's quota, otherwise by the instance types
        bool uncertain = false; // the instance types may have changed
    };
    static std::string rejection_reason(const JobSpec& spec, const TeamQuota* quota);
    Rejection check(const JobSpec& spec, const std::vector<InstanceType>& types,
                    bool types_current) const;
    void reject(RequestId request_id, const std::string& reason, bool uncertain);
    void reject_after_refresh(Time now, RequestId request_id, const JobSpec& spec,
                              const std::vector<InstanceType>& types, bool types_current);
    void write_cancellation(Time now, const CancelJob& cancel, const KeyedRecord& entry,
                            int tries_left);
    void confirm(Time now, const CancelJob& cancel);
    void create(Time now, RequestId request_id, const JobSpec& spec);
    void on_created(Time now, RequestId request_id, const std::string& id,
                    const OutboundResponse& response);
    // Reads the job and responds, except where only the caller knows how: `on_open` is called if
    // the job is open, `on_missing` if there is none.
    using OnOpen = std::function<void(Time, const KeyedRecord&)>;
    using OnMissing = std::function<void(Time)>;
    void read(Time now, RequestId request_id, const std::string& id, const OnOpen& on_open,
              const OnMissing& on_missing);
    void on_read(Time now, RequestId request_id, const std::string& id,
                 const OutboundResponse& response, const OnOpen& on_open);

    OutboundRequests& requests_;
    // Final outcomes never change, so they alone may be answered without a read.
    JobRecordCache& job_cache_;
    QuotaConfig& quotas_;
    TaskCounts task_counts_;
    OnCancelled on_cancelled_;
    CancellationBroadcast broadcast_;
};

} // namespace scheduler
