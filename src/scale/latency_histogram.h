// How latencies are spread.
#pragma once

#include <boost/histogram.hpp>
#include <cstddef>
#include <tuple>

namespace scheduler::scale {

// Latencies in seconds, from 0.1 ms to 1,000 s, each to 2 %.
class LatencyHistogram {
  public:
    void add(double seconds);
    std::size_t count() const { return count_; }
    // In seconds; 0 if nothing was added.
    double quantile(double fraction) const;
    double max() const { return max_; }

  private:
    static constexpr unsigned kBins = 800;
    static constexpr double kShortest_s = 1e-4;
    static constexpr double kLongest_s = 1e3;
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>> histogram_ =
        boost::histogram::make_histogram(Axis(kBins, kShortest_s, kLongest_s));
    std::size_t count_ = 0;
    double max_ = 0;
};

} // namespace scheduler::scale
