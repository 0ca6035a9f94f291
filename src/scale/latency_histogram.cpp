#include "scale/latency_histogram.h"

#include <algorithm>

namespace scheduler::scale {

void LatencyHistogram::add(double seconds) {
    histogram_(std::max(seconds, kShortest_s));
    ++count_;
    max_ = std::max(max_, seconds);
}

double LatencyHistogram::quantile(double fraction) const {
    double sought = fraction * double(count_);
    double seen = 0;
    for (const auto& cell : boost::histogram::indexed(histogram_)) {
        seen += *cell;
        if (count_ > 0 && seen >= sought) {
            return std::min(cell.bin().upper(), max_);
        }
    }
    return max_;
}

} // namespace scheduler::scale
