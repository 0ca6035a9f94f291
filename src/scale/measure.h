// What the machine says of a process, and how times are spread.
#pragma once

#include <sys/types.h>

#include <boost/histogram.hpp>
#include <string>

namespace scheduler::scale {

struct ProcessUse {
    double cpu_s = 0;      // so far, all threads
    double main_cpu_s = 0; // of the first thread alone: a daemon's core
    double memory = 0;     // resident, bytes
    int sockets = 0;
};
// Zeros for a process that is gone.
ProcessUse use_of(pid_t pid, bool with_sockets = false);
// Bytes that went over loopback so far, packets' headers included.
double loopback_bytes();

// Times in seconds, from 0.1 ms to 1,000 s, each to 2 %.
class Times {
  public:
    void add(double seconds);
    std::size_t count() const { return count_; }
    // 0 if there is none.
    double quantile(double shard) const;
    double most() const { return most_; }

  private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>> histogram_ =
        boost::histogram::make_histogram(Axis(800, 1e-4, 1e3));
    std::size_t count_ = 0;
    double most_ = 0;
};

} // namespace scheduler::scale
