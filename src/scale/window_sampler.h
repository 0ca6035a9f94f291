// Measures what the processes of a run take during the window.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

#include "scale/counters.h"
#include "scale/process_usage.h"
#include "scale/supervisor.h"

namespace scheduler::scale {

// What all processes of one role took over the window.
struct RoleUsage {
    double cpu_s = 0;
    double first_thread_cpu_s = 0;
    double busiest_process_cpu_s = 0;
    double largest_bytes = 0; // resident, of one process at one moment
    double summed_bytes = 0;  // over all samples
    int samples = 0;
    int most_sockets = 0; // of one process at one moment

    double mean_bytes() const;
};

// Means over the samples of the window.
struct MeanLoad {
    double workers_up = 0;
    double tasks_running = 0;
    double jobs_open = 0;
};

struct WindowMeasurements {
    Time from = 0;
    double seconds = 0;
    std::map<std::string, double> counts; // growth of the counters, by their names
    double loopback_bytes = 0;
    MeanLoad load;
    double state_keys = 0; // at the end
    std::map<ProcessRole, RoleUsage> roles;
};

// Calls in this order: begin, then sample and add_usage as needed, finish. The counters outlive it.
class WindowSampler {
  public:
    explicit WindowSampler(const SharedCounters& counters) : counters_(counters) {}

    void begin(const std::vector<SupervisedProcess>& processes);
    // When a second has passed since the last sample: takes one of the processes that run.
    void sample_if_due(const std::vector<SupervisedProcess>& processes);
    // Adds the processor time of a process over the window, before it is killed.
    void add_usage(const SupervisedProcess& process);
    // The window is over: adds the usage of the processes that still run.
    WindowMeasurements finish(const std::vector<SupervisedProcess>& processes);
    // Seconds since the beginning of the window.
    double elapsed_s() const;

  private:
    void sample(const std::vector<SupervisedProcess>& processes);

    const SharedCounters& counters_;
    WindowMeasurements measured_;
    std::map<pid_t, ProcessUsage> usage_before_; // none of a process that started in the window
    std::map<std::string, double> counts_before_;
    double loopback_before_ = 0;
    MeanLoad summed_load_;
    int samples_ = 0;
    Time next_sample_ = 0;
};

} // namespace scheduler::scale
