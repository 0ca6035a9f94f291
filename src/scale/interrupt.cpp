#include "scale/interrupt.h"

#include <csignal>
#include <initializer_list>

namespace scheduler::scale {

namespace {
volatile std::sig_atomic_t signal_received = 0;
} // namespace

void catch_interrupts() {
    for (int signal : {SIGINT, SIGTERM, SIGHUP}) {
        std::signal(signal, [](int) { signal_received = 1; });
    }
}

bool interrupted() { return signal_received != 0; }

} // namespace scheduler::scale
