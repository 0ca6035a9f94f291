// The core's notion of time.
#pragma once

namespace scheduler {

// A point in time, in seconds of this controller's steady clock. Times of different controllers
// cannot be compared, so messages contain durations in seconds instead.
using Time = double;

} // namespace scheduler
