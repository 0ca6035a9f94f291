#include "scale/options.h"

#include <sys/sysinfo.h>
#include <unistd.h>

#include <cmath>
#include <initializer_list>

#include "core/model/partition_assignment.h"

namespace scheduler::scale {

namespace {
constexpr int kMostProcesses = 300;
constexpr double kMemoryShare = 0.5;
constexpr int kMostRegions = 50;           // each has a byte of the loopback addresses
constexpr int kMostWorkersARegion = 60000; // two bytes
// Bytes, rounded up from the runs of docs/CAPACITY.md.
constexpr double kDaemonBytes = 64e6;
constexpr double kDaemonBytesAWorker = 40e3;
constexpr double kHollowBytesAWorker = 60e3;
constexpr double kHollowBytesARegion = 60e6;
constexpr double kHistoryBytesAStart = 1e3;
} // namespace

int Options::workers_of(int region) const {
    return workers / regions + (region < workers % regions ? 1 : 0);
}

double Options::memory() const {
    double starts_in_all = tasks + starts * (for_s + fill_s);
    return regions * (controllers * kDaemonBytes + kHollowBytesARegion) +
           workers * (kDaemonBytesAWorker + kHollowBytesAWorker) +
           starts_in_all * kHistoryBytesAStart;
}

double machine_memory() {
    struct sysinfo info {};
    return ::sysinfo(&info) == 0 ? static_cast<double>(info.totalram) * info.mem_unit : 0;
}

void check(const Options& o, double memory) {
    auto fail = [](const std::string& key, const std::string& why) {
        throw CannotPlay(key + ": " + why);
    };
    struct Least {
        const char* key;
        double value;
        double least;
    };
    for (const Least& l : std::initializer_list<Least>{{"--regions", double(o.regions), 1},
                                                       {"--controllers", double(o.controllers), 1},
                                                       {"--workers", double(o.workers), 1},
                                                       {"--tasks", double(o.tasks), 1},
                                                       {"--teams", double(o.teams), 1},
                                                       {"--waiting", double(o.waiting), 0},
                                                       {"--job-tasks", double(o.job_tasks), 0},
                                                       {"--changes", o.changes, 0},
                                                       {"--back", o.back_s, 0},
                                                       {"--replace", double(o.replace), 0},
                                                       {"--sockets", double(o.sockets), 1},
                                                       {"--for", o.for_s, 1},
                                                       {"--fill", o.fill_s, 1},
                                                       {"--starts", o.starts, 0.01},
                                                       {"--state-rps", o.state_rps, 1},
                                                       {"--state-writes", o.state_write_rps, 1},
                                                       {"--cloud-rps", o.cloud_rps, 0.1}}) {
        if (!std::isfinite(l.value) || l.value < l.least) {
            fail(l.key, "below " + std::to_string(l.least));
        }
    }
    if (o.regions > kMostRegions) {
        fail("--regions", "over " + std::to_string(kMostRegions));
    }
    if (o.controllers > kMaxPartitions) {
        fail("--controllers", "over " + std::to_string(kMaxPartitions));
    }
    if (o.regions > o.workers || o.workers_of(0) > kMostWorkersARegion) {
        fail("--workers", "from 1 to " + std::to_string(kMostWorkersARegion) + " a region");
    }
    if (o.replace > o.workers) {
        fail("--replace", "more than there are workers");
    }
    if (o.port < 1024 || o.port > 32000) {
        fail("--port", "not from 1024 to 32000");
    }
    if (o.kill_s >= o.for_s) {
        fail("--kill", "not before the end of --for");
    }
    if (o.processes() > kMostProcesses) {
        fail("--controllers", std::to_string(o.processes()) + " processes, more than " +
                                  std::to_string(kMostProcesses));
    }
    if (o.memory() > kMemoryShare * memory) {
        fail("--workers", "would take about " + std::to_string(std::llround(o.memory() / 1e6)) +
                              " MB, over half of this machine's " +
                              std::to_string(std::llround(memory / 1e6)));
    }
    if (::access(o.daemon.c_str(), X_OK) != 0) {
        fail("--daemon", o.daemon + ": cannot be run");
    }
}

} // namespace scheduler::scale
