#include "scale/counters.h"

#include <sys/mman.h>

#include <cerrno>
#include <cstring>
#include <new>

#include "scale/options.h"

namespace scheduler::scale {

SharedCounters::SharedCounters(int regions) : regions_(regions) {
    void* shared =
        ::mmap(nullptr, bytes(), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
    if (shared == MAP_FAILED) {
        throw ScaleTestError(std::string("mmap: ") + std::strerror(errno));
    }
    counters_ = static_cast<Counters*>(shared);
    for (int r = 0; r < regions_; ++r) {
        new (&counters_[r]) Counters;
    }
}

SharedCounters::~SharedCounters() { ::munmap(counters_, bytes()); }

double SharedCounters::sum(Counters::Count Counters::*count) const {
    double total = 0;
    for (int r = 0; r < regions_; ++r) {
        total += double((counters_[r].*count).load());
    }
    return total;
}

std::map<std::string, double> SharedCounters::snapshot() const {
    std::map<std::string, double> sums;
    for (const ReportedCounter& counter : kReportedCounters) {
        sums[counter.name] = sum(counter.count);
    }
    return sums;
}

} // namespace scheduler::scale
