#include "scale/clock.h"

#include <chrono>
#include <thread>

namespace scheduler::scale {

Time now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void pause_for(double seconds) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

} // namespace scheduler::scale
