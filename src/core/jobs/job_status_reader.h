// Answers polls, each as fresh as a read of its own, for a fraction of a request: polls of jobs
// that were seen open wait a moment for each other, and one transaction that only compares confirms
// the versions of all of them ("POST /txn" in the protocol: without `then`). Polls of a job that is
// not known here share a read. See "Polls" in docs/design.md for why no answer is too old.
#pragma once

#include <deque>
#include <map>

#include "core/jobs/job_responses.h"

namespace scheduler {

class JobStatusReader {
  public:
    JobStatusReader(const ClusterSettings& settings, OutboundRequests& requests,
                    JobRecordCache& job_cache, TaskCounts counts);

    void poll(Time now, RequestId request_id, const std::string& job);
    // Sends what has gathered. To be called after every input.
    void flush(Time now);

  private:
    struct Waiting {
        RequestId request = 0;
        std::string job;
        Time since = 0;
    };
    struct Read {
        std::vector<RequestId> requests; // came before it was sent
        std::vector<RequestId> later;    // came after that: it does not answer them
    };
    void confirm(Time now);
    void on_confirmed(Time now, const std::vector<Waiting>& asked,
                      const OutboundResponse& response);
    void read(Time now, const std::string& job, std::vector<RequestId> requests);
    void on_read(Time now, const std::string& job, const OutboundResponse& response);

    OutboundRequests& requests_;
    JobRecordCache& job_cache_;
    TaskCounts task_counts_;
    std::size_t max_keys_;  // that one transaction compares
    double gather_s_;       // between two of them that are not full
    double longest_wait_s_; // for the budget
    std::deque<Waiting> waiting_;
    std::map<std::string, Read> reads_; // under way, by job
    Time next_ = 0;
    Time blocked_until_ = 0; // the budget had nothing left
};

} // namespace scheduler
