// The clock of a run.
#pragma once

#include "core/model/types.h"

namespace scheduler::scale {

// Seconds of the monotonic clock that all processes of the machine share.
Time now();
// Blocks the calling process.
void pause_for(double seconds);

} // namespace scheduler::scale
