// Answers that the desks for users share.
#pragma once

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

// The state service cannot be asked now: the user is to come back.
inline void answer_busy(Calls& calls, RequestId request) {
    calls.answer(request, 503, Plain{"state service"}, 1);
}

} // namespace orchidlanding
