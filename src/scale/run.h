// A run: starts the processes, watches them, ends each, judges and reports.
#pragma once

#include "scale/options.h"

namespace scheduler::scale {

enum class Verdict { kept = 0, broken = 1 };
// Throws CannotPlay.
Verdict run(const Options& options);

} // namespace scheduler::scale
