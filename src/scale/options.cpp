#include "scale/options.h"

#include <sys/sysinfo.h>
#include <unistd.h>

#include <cmath>
#include <string>

#include "core/model/partition_assignment.h"

namespace scheduler::scale {

namespace {
constexpr int kMostProcesses = 300;
constexpr double kMostMemoryFraction = 0.5;
constexpr int kMostRegions = 50;             // each has a byte of the loopback addresses
constexpr int kMostWorkersPerRegion = 60000; // two bytes
// Bytes, rounded up from the runs of docs/CAPACITY.md.
constexpr double kControllerBytes = 64e6;
constexpr double kControllerBytesPerWorker = 40e3;
constexpr double kSimulatorBytesPerWorker = 60e3;
constexpr double kSimulatorBytesPerRegion = 60e6;
constexpr double kHistoryBytesPerStart = 1e3;
// Below the ports that the kernel gives to outgoing connections.
constexpr int kLowestPort = 1024;
constexpr int kHighestPort = 32000;

std::string megabytes(double bytes) { return std::to_string(std::llround(bytes / 1e6)); }
} // namespace

int Options::workers_of(int region) const {
    return workers / regions + (region < workers % regions ? 1 : 0);
}

double Options::memory_bytes() const {
    double starts_in_all = tasks + start_rate * (window_s + fill_s);
    return regions * (controllers * kControllerBytes + kSimulatorBytesPerRegion) +
           workers * (kControllerBytesPerWorker + kSimulatorBytesPerWorker) +
           starts_in_all * kHistoryBytesPerStart;
}

double machine_memory_bytes() {
    struct sysinfo info {};
    return ::sysinfo(&info) == 0 ? static_cast<double>(info.totalram) * info.mem_unit : 0;
}

namespace {
[[noreturn]] void refuse(const std::string& option, const std::string& reason) {
    throw ScaleTestError(option + ": " + reason);
}

void check_minimums(const Options& options) {
    struct Minimum {
        const char* option;
        double value;
        double least;
    };
    const Minimum minimums[] = {{"--regions", double(options.regions), 1},
                                {"--controllers", double(options.controllers), 1},
                                {"--workers", double(options.workers), 1},
                                {"--tasks", double(options.tasks), 1},
                                {"--teams", double(options.teams), 1},
                                {"--waiting", double(options.waiting), 0},
                                {"--job-tasks", double(options.job_tasks), 0},
                                {"--changes", options.changes, 0},
                                {"--back", options.restart_after_s, 0},
                                {"--replace", double(options.replace), 0},
                                {"--copies", options.copies, 0},
                                {"--slow-users", options.slow_users, 0},
                                {"--sockets", double(options.sockets), 1},
                                {"--for", options.window_s, 1},
                                {"--fill", options.fill_s, 1},
                                {"--starts", options.start_rate, 0.01},
                                {"--state-rps", options.state_rps, 1},
                                {"--state-writes", options.state_write_rps, 1},
                                {"--cloud-rps", options.cloud_rps, 0.1}};
    for (const Minimum& minimum : minimums) {
        if (!std::isfinite(minimum.value) || minimum.value < minimum.least) {
            refuse(minimum.option, "below " + std::to_string(minimum.least));
        }
    }
}

void check_maximums(const Options& options) {
    if (options.regions > kMostRegions) {
        refuse("--regions", "over " + std::to_string(kMostRegions));
    }
    if (options.controllers > kMaxPartitions) {
        refuse("--controllers", "over " + std::to_string(kMaxPartitions));
    }
    if (options.regions > options.workers || options.workers_of(0) > kMostWorkersPerRegion) {
        refuse("--workers", "from 1 to " + std::to_string(kMostWorkersPerRegion) + " a region");
    }
    if (options.replace > options.workers) {
        refuse("--replace", "more than there are workers");
    }
    if (options.port < kLowestPort || options.port > kHighestPort) {
        refuse("--port",
               "not from " + std::to_string(kLowestPort) + " to " + std::to_string(kHighestPort));
    }
    if (options.slow_users > 1) {
        refuse("--slow-users", "a share, over 1");
    }
    if (options.copies > 1) {
        refuse("--copies", "a share, over 1");
    }
    if (options.kill_at_s >= options.window_s) {
        refuse("--kill", "not before the end of --for");
    }
}

// What the run would take of this machine.
void check_resources(const Options& options, double memory_bytes) {
    if (options.processes() > kMostProcesses) {
        refuse("--controllers", std::to_string(options.processes()) + " processes, more than " +
                                    std::to_string(kMostProcesses));
    }
    double wanted_bytes = options.memory_bytes();
    if (wanted_bytes > kMostMemoryFraction * memory_bytes) {
        refuse("--workers", "would take about " + megabytes(wanted_bytes) +
                                " MB, over half of this machine's " + megabytes(memory_bytes));
    }
    if (::access(options.daemon.c_str(), X_OK) != 0) {
        refuse("--daemon", options.daemon + ": cannot be run");
    }
}
} // namespace

void validate(const Options& options, double memory_bytes) {
    check_minimums(options);
    check_maximums(options);
    check_resources(options, memory_bytes);
}

} // namespace scheduler::scale
