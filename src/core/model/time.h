// The core's notion of time.
#pragma once

namespace scheduler {

// A moment, in seconds of this controller's steady clock. Moments of different controllers cannot
// be compared; messages therefore carry durations in seconds instead.
using Time = double;

} // namespace scheduler
