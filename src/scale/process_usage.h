// What the kernel says of a process and of the loopback interface.
#pragma once

#include <sys/types.h>

namespace scheduler::scale {

struct ProcessUsage {
    double cpu_s = 0;      // so far, all threads
    double main_cpu_s = 0; // of the first thread alone: in a controller the core's
    double memory = 0;     // resident, bytes
    int sockets = 0;
};

// Zeros for a process that is gone.
ProcessUsage process_usage(pid_t pid, bool with_sockets = false);
// Bytes that went over loopback so far, packets' headers included.
double loopback_bytes();

} // namespace scheduler::scale
