// The processes that simulate what surrounds the controllers of a region. Each function runs until
// SIGTERM and throws ScaleTestError if it cannot begin.
#pragma once

#include <string>

#include "scale/counters.h"
#include "scale/plan.h"

namespace scheduler::scale {

// The key-value store and the cloud.
void run_simulated_services(const Plan& plan, Counters& counters);
// The hollow workers. `history`: the file for what happens on them.
void run_workers(const Plan& plan, Counters& counters, const std::string& history);
// The users behind their load balancer. `history`: the file for what they ask and are told.
void run_users(const Plan& plan, Counters& counters, const std::string& history);

} // namespace scheduler::scale
