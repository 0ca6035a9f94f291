// Responses to users that the job service and the job status reader share.
#pragma once

#include <functional>

#include "core/jobs/job_record_cache.h"
#include "core/messaging/outbound_requests.h"

namespace scheduler {

// Responds with the outcome of the job if it is known to be over; outcomes never change. Returns
// false, without a response, otherwise.
inline bool respond_if_final(OutboundRequests& requests, const JobRecordCache& job_cache,
                             RequestId request_id, const std::string& job) {
    auto outcome = job_cache.outcome(job);
    if (outcome) {
        const char* stage = *outcome == Outcome::done ? "done" : "cancelled";
        requests.respond(request_id, 200, JobStatusBody{job, stage, {}, {}});
    }
    return outcome.has_value();
}

// Sets the numbers of tasks done and running of the job, in this order, as its partition's leader
// knows them. Returns false if this controller is not that leader.
using TaskCounts =
    std::function<bool(const std::string& job, std::uint32_t& done, std::uint32_t& running)>;

// Responds with the current state of a job. The caller has made sure that the job is open.
inline void respond_open(OutboundRequests& requests, const TaskCounts& counts, RequestId request_id,
                         const std::string& job) {
    std::uint32_t done = 0;
    std::uint32_t running = 0;
    counts(job, done, running);
    requests.respond(request_id, 200,
                     JobStatusBody{job, running > 0 ? "running" : "pending", done, running});
}

// The key-value store cannot be used now: the user is to retry after a second.
inline void respond_unavailable(OutboundRequests& requests, RequestId request_id) {
    requests.respond(request_id, 503, TextBody{"state service"}, 1);
}

} // namespace scheduler
