// Answers that the desks for users share.
#pragma once

#include <functional>

#include "core/calls.h"
#include "core/job_index.h"

namespace orchidlanding {

// If the job is over: its outcome, which never changes. False: it is not known to be over.
inline bool answer_final(Calls& calls, const JobIndex& index, RequestId request,
                         const std::string& job) {
    auto outcome = index.outcome(job);
    if (outcome) {
        const char* stage = *outcome == Outcome::done ? "done" : "cancelled";
        calls.answer(request, 200, JobAnswer{job, stage, {}, {}});
    }
    return outcome.has_value();
}

// Tasks done and running as the owner knows them; false: this node is not the owner.
using Counts = std::function<bool(const std::string&, std::uint32_t&, std::uint32_t&)>;

// The current state of a job that is open, which the caller has made sure of.
inline void answer_open(Calls& calls, const Counts& counts, RequestId request,
                        const std::string& job) {
    std::uint32_t done = 0;
    std::uint32_t running = 0;
    counts(job, done, running);
    calls.answer(request, 200, JobAnswer{job, running > 0 ? "running" : "pending", done, running});
}

// The state service cannot be asked now: the user is to come back.
inline void answer_busy(Calls& calls, RequestId request) {
    calls.answer(request, 503, Plain{"state service"}, 1);
}

} // namespace orchidlanding
