// Handles submissions and cancellations of users through the key-value store, on every controller,
// whether or not it leads the job's partition. The job status reader handles polls.
#pragma once

#include "core/jobs/cancellation_broadcast.h"
#include "core/jobs/job_responses.h"
#include "core/quotas/quota_config.h"

namespace scheduler {

// Responds to each request once, when its outcome is durable or it has failed: with 503 if the
// store cannot be used now, 422 if the job is rejected, 404 if there is no such job. Called only
// from the controller's event loop.
class JobService {
  public:
    // Notifies the partition leaders of this controller that a job was cancelled.
    using OnCancelled = std::function<void(Time, const std::string&)>;
    JobService(const ClusterSettings& settings, OutboundRequests& requests,
               JobRecordCache& job_cache, QuotaConfig& quotas, TaskCounts task_counts,
               OnCancelled on_cancelled)
        : requests_(requests), job_cache_(job_cache), quotas_(quotas),
          task_counts_(std::move(task_counts)), on_cancelled_(std::move(on_cancelled)),
          broadcast_(settings, requests) {}

    // Accepts or rejects a job. `types`: the controller's instance types, which must outlive the
    // service. `types_current`: this process fetched them from the cloud, rather than read them
    // from the store.
    void submit(Time now, const SubmitJob& submit, const std::vector<InstanceType>& types,
                bool types_current);
    // Cancels a job. `retries_left`: retries after a conflict with another write of the job's key.
    void cancel(Time now, const CancelJob& cancel, int retries_left = kCancelRetries);
    // Ends the waits for peers that have timed out. To be called after every input.
    void flush(Time now) { broadcast_.flush(now); }

  private:
    static constexpr int kCancelRetries = 3;

    // The result of a check of a submitted job; an empty reason means that the job is accepted.
    struct Rejection {
        std::string reason;
        bool by_quota = false;  // the team's quota rejects it, not the instance types
        bool uncertain = false; // the instance types may have changed
    };
    static std::string rejection_reason(const JobSpec& spec, const TeamQuota* quota);
    Rejection check(const JobSpec& spec, const std::vector<InstanceType>& types,
                    bool types_current) const;
    void reject(RequestId request_id, const std::string& reason, bool uncertain);
    void reject_after_refresh(Time now, RequestId request_id, const JobSpec& spec,
                              const std::vector<InstanceType>& types, bool types_current);
    void write_cancellation(Time now, const CancelJob& cancel, const KeyedRecord& entry,
                            int retries_left);
    void confirm(Time now, const CancelJob& cancel);
    void create(Time now, RequestId request_id, const JobSpec& spec);
    void on_created(Time now, RequestId request_id, const std::string& id,
                    const OutboundResponse& response);
    // Reads the job. Calls `on_open` if the job is open and `on_missing` if it does not exist;
    // these send the response. Responds itself if the job has ended or cannot be read.
    using OnOpen = std::function<void(Time, const KeyedRecord&)>;
    using OnMissing = std::function<void(Time)>;
    void read(Time now, RequestId request_id, const std::string& id, const OnOpen& on_open,
              const OnMissing& on_missing);
    void on_read(Time now, RequestId request_id, const std::string& id,
                 const OutboundResponse& response, const OnOpen& on_open);

    OutboundRequests& requests_;
    // Only final outcomes are used for a response without a read, because they never change.
    JobRecordCache& job_cache_;
    QuotaConfig& quotas_;
    TaskCounts task_counts_;
    OnCancelled on_cancelled_;
    CancellationBroadcast broadcast_;
};

} // namespace scheduler
