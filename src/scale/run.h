// One scale run, from the start of its processes to its report.
#pragma once

#include "scale/options.h"

namespace scheduler::scale {

// The values are the exit statuses of the program.
enum class Verdict { passed = 0, failed = 1 };

// Runs what the options ask for. `failed`: a rule was broken. Throws ScaleTestError if the options
// are refused or the run could not be carried out.
Verdict run(const Options& options);

} // namespace scheduler::scale
