// Durable writes of a partition leader: completed-task bits and job outcomes.
//
// Every write is conditional on the leader's term and on the current version of each key. If the
// conditions fail, the keys that the store reports are read again, so that the next attempt uses
// their current versions.
#pragma once

#include <string>
#include <vector>

#include "core/jobs/job_record_cache.h"
#include "core/jobs/job_store.h"
#include "core/leadership/leadership.h"

namespace scheduler {

// Writes the progress and the outcome of a partition's jobs to the key-value store, at a limited
// rate and with at most one progress transaction in flight.
class JobPersistence {
  public:
    // Notified of durable job outcomes; implemented by the partition leader.
    class Delegate {
      public:
        virtual ~Delegate() = default;
        // The completion of the job, written by this leader, is durable.
        virtual void on_completion_durable(const std::string& job) = 0;
        // The job had already ended in the store: cancelled, or completed by an earlier write of
        // this leader whose response was lost.
        virtual void on_outcome_found(Time now, const std::string& job, Outcome outcome) = 0;
    };

    JobPersistence(Leadership& leadership, const ClusterSettings& settings, JobStore& jobs,
                   JobRecordCache& job_cache, OutboundRequests& requests, Delegate& delegate);

    // Writes completed-task bits that are not durable yet, if a write is due and none is in flight.
    // To be called on every timer tick.
    void persist_completed_tasks(Time now);

    // Writes the outcome of a job whose tasks are all done. Does nothing while such a write is in
    // flight or was attempted recently. To be called repeatedly until the delegate is notified.
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
    JobRecordCache& job_cache_; // of the controller; updated with each durable outcome
    OutboundRequests& requests_;
    Delegate& delegate_;
    bool in_flight_ = false;    // of a progress transaction
    Time next_progress_at_ = 0; // earliest time of the next progress transaction
};

} // namespace scheduler
