// The hollow processes of a region, and what they count. Each runs until SIGTERM; those that cannot
// begin throw CannotPlay.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "scale/plan.h"

namespace scheduler::scale {

// In memory that all processes of the run share; one a region. Bytes are those of HTTP, headers
// included, TCP's and IP's not.
struct Counters {
    using Count = std::atomic<std::uint64_t>;
    Count stand_ins_ready{0};
    Count workers_ready{0};
    Count to_replace{0}; // workers that are to die, asked for by the supervisor
    // The state service and the cloud.
    Count state_requests{0};
    Count state_watches{0}; // among them
    Count state_transactions{0};
    Count state_changes{0};
    Count state_conditions_failed{0};
    Count state_refused{0}; // 429
    Count state_received{0};
    Count state_sent{0};
    Count state_keys{0};
    Count cloud_calls{0};
    Count cloud_refused{0};
    Count rented{0};
    Count released{0};
    // Workers.
    Count up{0};
    Count running{0};
    Count starts{0};
    Count ends{0};
    Count reports{0};
    Count reports_answered{0}; // with 200
    Count reports_redirected{0};
    Count reports_refused{0}; // any other status, or no answer
    Count reports_dropped{0}; // by their token or session
    Count orders{0};
    Count report_sent{0}; // bytes
    Count report_received{0};
    Count orders_sent{0};
    Count orders_received{0};
    Count died{0};
    // Users.
    Count submissions{0};
    Count accepted{0};
    Count polls{0};
    Count cancellations{0};
    Count refused{0};  // 429, 503
    Count given_up{0}; // by their users, after a minute
    Count user_sent{0};
    Count user_received{0};
    Count jobs_open{0};
    Count changes{0}; // of limits, written
};

void run_stand_ins(const Plan& plan, Counters& counters);
void run_workers(const Plan& plan, Counters& counters, const std::string& history);
void run_users(const Plan& plan, Counters& counters, const std::string& history);

} // namespace scheduler::scale
