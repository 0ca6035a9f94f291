// Responds to users' polls of job states. Each response is as fresh as a separate read of the store
// would be, but polls are batched: polls of jobs that are cached as open are gathered for a short
// time, and one transaction without writes ("POST /txn" in the protocol, without `then`) confirms
// the versions of all these jobs. Polls of a job that is not cached share a read. See "Polls" in
// docs/design.md for why no response is stale.
#pragma once

#include <deque>
#include <map>

#include "core/jobs/job_responses.h"

namespace scheduler {

// Responds to each poll once: with 404 if there is no such job, 503 if the store cannot be used
// now. Called only from the controller's event loop.
class JobStatusReader {
  public:
    JobStatusReader(const ClusterSettings& settings, OutboundRequests& requests,
                    JobRecordCache& job_cache, TaskCounts task_counts);

    void poll(Time now, RequestId request_id, const std::string& job);
    // Sends the next batches of polls if they are due. To be called after every input.
    void flush(Time now);

  private:
    struct WaitingPoll {
        RequestId request = 0;
        std::string job;
        Time since = 0;
    };
    struct Read {
        std::vector<RequestId> requests; // received before the read was sent
        std::vector<RequestId> later;    // received later; need another read
    };
    // The waiting polls, divided for the next transaction.
    struct Batch {
        StoreTransaction transaction;
        std::vector<WaitingPoll> included;
        std::deque<WaitingPoll> remaining; // left for a later transaction
        std::vector<WaitingPoll> unknown;  // the job is no longer cached as open
    };
    Batch next_batch() const;
    void confirm(Time now);
    void on_confirmed(Time now, const std::vector<WaitingPoll>& polls,
                      const OutboundResponse& response);
    void on_confirmed(Time now, const WaitingPoll& waiting, const OutboundResponse& response);
    void read(Time now, const std::string& job, std::vector<RequestId> requests);
    void on_read(Time now, const std::string& job, const OutboundResponse& response);
    bool observe_job(Time now, const std::string& job, const OutboundResponse& response);
    void poll_again(Time now, const std::string& job, const std::vector<RequestId>& requests);

    OutboundRequests& requests_;
    JobRecordCache& job_cache_;
    TaskCounts task_counts_;
    std::size_t max_keys_; // limit of one transaction
    double gather_s_;      // time between transactions that are not full
    double max_wait_s_;    // for the rate limiter
    std::deque<WaitingPoll> waiting_;
    std::map<std::string, Read> reads_; // in flight, by job
    Time next_batch_at_ = 0;            // earliest time, unless the batch is full
    Time blocked_until_ = 0;            // after the rate limiter rejected a transaction
};

} // namespace scheduler
