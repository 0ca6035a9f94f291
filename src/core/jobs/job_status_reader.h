// Answers users' polls of job states. Each answer is as fresh as a read of its own, at a fraction
// of a store request: polls of jobs that were seen open are gathered for a moment, and one
// transaction that only compares confirms the versions of all of them ("POST /txn" in the protocol:
// without `then`). Polls of a job that is not known here share a read. See "Polls" in
// docs/design.md for why no answer is too old.
#pragma once

#include <deque>
#include <map>

#include "core/jobs/job_responses.h"

namespace scheduler {

// Responds to each poll once: 404 if there is no such job, 503 if the store cannot be used now.
// Called only from the controller's event loop.
class JobStatusReader {
  public:
    JobStatusReader(const ClusterSettings& settings, OutboundRequests& requests,
                    JobRecordCache& job_cache, TaskCounts task_counts);

    void poll(Time now, RequestId request_id, const std::string& job);
    // Confirms the gathered polls if it is time. To be called after every input.
    void flush(Time now);

  private:
    struct Waiting {
        RequestId request = 0;
        std::string job;
        Time since = 0;
    };
    struct Read {
        std::vector<RequestId> requests; // received before the read was sent
        std::vector<RequestId> later;    // received after that: the read does not answer them
    };
    // The waiting polls, as one transaction takes them.
    struct Batch {
        StoreTransaction transaction;
        std::vector<Waiting> included;
        std::deque<Waiting> left;     // for a later transaction
        std::vector<Waiting> unknown; // their job is no longer known to be open
    };
    Batch next_batch() const;
    void confirm(Time now);
    void on_confirmed(Time now, const std::vector<Waiting>& polls,
                      const OutboundResponse& response);
    void on_confirmed(Time now, const Waiting& waiting, const OutboundResponse& response);
    void read(Time now, const std::string& job, std::vector<RequestId> requests);
    void on_read(Time now, const std::string& job, const OutboundResponse& response);
    bool observe_job(Time now, const std::string& job, const OutboundResponse& response);
    void poll_again(Time now, const std::string& job, const std::vector<RequestId>& requests);

    OutboundRequests& requests_;
    JobRecordCache& job_cache_;
    TaskCounts task_counts_;
    std::size_t max_keys_; // that one transaction compares
    double gather_s_;      // between two transactions that are not full
    double max_wait_s_;    // for the rate limiter
    std::deque<Waiting> waiting_;
    std::map<std::string, Read> reads_; // in flight, by job
    Time next_ = 0;                     // of the next transaction, unless a full one waits
    Time blocked_until_ = 0;            // the rate limiter held a transaction back
};

} // namespace scheduler
