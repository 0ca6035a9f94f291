// Answers that the desks for users share.
#pragma once

#include <functional>

#include "core/jobs/job_record_cache.h"
#include "core/messaging/outbound_requests.h"

namespace scheduler {

// If the job is over: its outcome, which never changes. False: it is not known to be over.
inline bool respond_if_final(OutboundRequests& requests, const JobRecordCache& job_cache,
                             RequestId request_id, const std::string& job) {
    auto outcome = job_cache.outcome(job);
    if (outcome) {
        const char* stage = *outcome == Outcome::done ? "done" : "cancelled";
        requests.respond(request_id, 200, JobStatusBody{job, stage, {}, {}});
    }
    return outcome.has_value();
}

// Tasks done and running as the owner knows them; false: this node is not the owner.
using TaskCounts = std::function<bool(const std::string&, std::uint32_t&, std::uint32_t&)>;

// The current state of a job that is open, which the caller has made sure of.
inline void respond_open(OutboundRequests& requests, const TaskCounts& counts, RequestId request_id,
                         const std::string& job) {
    std::uint32_t done = 0;
    std::uint32_t running = 0;
    counts(job, done, running);
    requests.respond(request_id, 200,
                     JobStatusBody{job, running > 0 ? "running" : "pending", done, running});
}

// The state service cannot be asked now: the user is to come back.
inline void respond_unavailable(OutboundRequests& requests, RequestId request_id) {
    requests.respond(request_id, 503, TextBody{"state service"}, 1);
}

} // namespace scheduler
