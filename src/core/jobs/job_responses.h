// Responses to users, shared by the job service and the job status reader.
#pragma once

#include <functional>

#include "core/jobs/job_record_cache.h"
#include "core/messaging/outbound_requests.h"

namespace scheduler {

// Responds with the final outcome of the job if it is cached; final outcomes never change.
// Otherwise returns false without a response.
inline bool respond_if_final(OutboundRequests& requests, const JobRecordCache& job_cache,
                             RequestId request_id, const std::string& job) {
    auto outcome = job_cache.outcome(job);
    if (outcome) {
        const char* stage = *outcome == Outcome::done ? "done" : "cancelled";
        requests.respond(request_id, 200, JobStatusBody{job, stage, {}, {}});
    }
    return outcome.has_value();
}

// Sets the numbers of done and running tasks of the job, from the state of its partition's leader.
// Returns false if this controller is not that leader.
using TaskCounts =
    std::function<bool(const std::string& job, std::uint32_t& done, std::uint32_t& running)>;

// Responds with the current state of an open job. The caller must have confirmed that it is open.
inline void respond_open(OutboundRequests& requests, const TaskCounts& counts, RequestId request_id,
                         const std::string& job) {
    std::uint32_t done = 0;
    std::uint32_t running = 0;
    counts(job, done, running);
    requests.respond(request_id, 200,
                     JobStatusBody{job, running > 0 ? "running" : "pending", done, running});
}

// Responds that the key-value store cannot be used now; the user should retry after one second.
inline void respond_unavailable(OutboundRequests& requests, RequestId request_id) {
    requests.respond(request_id, 503, TextBody{"state service"}, 1);
}

} // namespace scheduler
