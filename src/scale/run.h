// One scale run, from the start of its processes to its report.
#pragma once

#include "scale/options.h"

namespace scheduler::scale {

// The values are the exit statuses of the program.
enum class Verdict { passed = 0, failed = 1 };

// Runs the scale test with these options. Returns `failed` if a rule was violated. Throws
// ScaleTestError if the options are invalid or the run could not be completed.
Verdict run(const Options& options);

} // namespace scheduler::scale
