/// Durable writes of a partition leader: completed-task bits and job outcomes.
///
/// Every write is conditional on the leader's term and on the version that each key has now. A
/// write that the store refuses is followed by a re-read of the keys that it named, so that the
/// next attempt is conditional on their present versions.
#pragma once

#include <string>
#include <vector>

#include "core/jobs/job_record_cache.h"
#include "core/jobs/job_store.h"
#include "core/leadership/leadership.h"

namespace scheduler {

/// Writes the progress and the completion of a partition's jobs to the key-value store, at a
/// limited rate and with one transaction of progress in flight at a time.
class JobPersistence {
  public:
    /// What the partition leader is told of the outcomes that turn out to be durable.
    class Delegate {
      public:
        virtual ~Delegate() = default;
        /// The job's completion, written by this leader, is durable.
        virtual void on_completion_durable(const std::string& job) = 0;
        /// A re-read showed that the job was over before: cancelled, or completed by a write of
        /// ours whose response was lost.
        virtual void on_outcome_found(Time now, const std::string& job, Outcome outcome) = 0;
    };

    JobPersistence(Leadership& leadership, const ClusterSettings& settings, JobStore& jobs,
                   JobRecordCache& job_cache, OutboundRequests& requests, Delegate& delegate);

    /// Writes the completed-task bits that are not durable yet, if a write is due and none is in
    /// flight. To be called on the timer.
    void persist_completed_tasks(Time now);

    /// Writes the outcome of a job whose tasks are all done. Does nothing while such a write is in
    /// flight, or too soon after one. To be called again until the delegate is told.
    void finish_job(Time now, Job& job);

  private:
    StoreTransaction progress_transaction(std::vector<DirtyChunk>& chunks) const;
    void on_progress_response(Time now, const std::vector<DirtyChunk>& chunks,
                              const OutboundResponse& response);
    void reread_refused(Time now, const std::vector<DirtyChunk>& chunks,
                        const OutboundResponse& response);
    StoreTransaction completion_transaction(const Job& job) const;
    void on_completion_response(Time now, const std::string& id, const OutboundResponse& response);
    void reread_job(Time now, const std::string& id);
    void reread_chunk(Time now, const std::string& id, std::uint32_t chunk);

    Leadership& leadership_;
    const ClusterSettings& settings_;
    JobStore& jobs_;
    JobRecordCache& job_cache_; // the controller's, told of each outcome that becomes durable
    OutboundRequests& requests_;
    Delegate& delegate_;
    bool in_flight_ = false;    // a transaction of progress
    Time next_progress_at_ = 0; // no transaction of progress is sent before this
};

} // namespace scheduler
