#include "scale/window_sampler.h"

#include <algorithm>

#include "scale/clock.h"

namespace scheduler::scale {

namespace {
constexpr double kSampleInterval_s = 1;
} // namespace

double RoleUsage::mean_bytes() const { return summed_bytes / std::max(1, samples); }

void WindowSampler::begin(const std::vector<SupervisedProcess>& processes) {
    measured_.from = now();
    counts_before_ = counters_.snapshot();
    loopback_before_ = loopback_bytes();
    for (const SupervisedProcess& process : processes) {
        usage_before_[process.pid] = process_usage(process.pid);
    }
    sample(processes);
    next_sample_ = now() + kSampleInterval_s;
}

void WindowSampler::sample_if_due(const std::vector<SupervisedProcess>& processes) {
    if (now() >= next_sample_) {
        next_sample_ += kSampleInterval_s;
        sample(processes);
    }
}

void WindowSampler::sample(const std::vector<SupervisedProcess>& processes) {
    for (const SupervisedProcess& process : processes) {
        ProcessUsage usage = process_usage(process.pid, true);
        RoleUsage& role = measured_.roles[process.role];
        role.largest_bytes = std::max(role.largest_bytes, usage.memory);
        role.summed_bytes += usage.memory;
        ++role.samples;
        role.most_sockets = std::max(role.most_sockets, usage.sockets);
    }
    summed_load_.workers_up += counters_.sum(&Counters::up);
    summed_load_.tasks_running += counters_.sum(&Counters::running);
    summed_load_.jobs_open += counters_.sum(&Counters::jobs_open);
    ++samples_;
}

void WindowSampler::add_usage(const SupervisedProcess& process) {
    ProcessUsage usage = process_usage(process.pid);
    ProcessUsage before;
    if (auto it = usage_before_.find(process.pid); it != usage_before_.end()) {
        before = it->second;
    }
    double cpu_s = usage.cpu_s - before.cpu_s;
    RoleUsage& role = measured_.roles[process.role];
    role.cpu_s += cpu_s;
    role.first_thread_cpu_s += usage.main_cpu_s - before.main_cpu_s;
    role.busiest_process_cpu_s = std::max(role.busiest_process_cpu_s, cpu_s);
}

WindowMeasurements WindowSampler::finish(const std::vector<SupervisedProcess>& processes) {
    measured_.seconds = elapsed_s();
    measured_.counts = counters_.snapshot();
    for (auto& [name, count] : measured_.counts) {
        count -= counts_before_[name];
    }
    measured_.loopback_bytes = loopback_bytes() - loopback_before_;
    for (const SupervisedProcess& process : processes) {
        add_usage(process);
    }
    measured_.state_keys = counters_.sum(&Counters::state_keys);
    double samples = std::max(1, samples_);
    measured_.load = {summed_load_.workers_up / samples, summed_load_.tasks_running / samples,
                      summed_load_.jobs_open / samples};
    return measured_;
}

double WindowSampler::elapsed_s() const { return now() - measured_.from; }

} // namespace scheduler::scale
