// What the histories of a run say: broken rules and latencies.
#pragma once

#include <string>
#include <vector>

#include "scale/latency_collector.h"
#include "scale/run_folder.h"

namespace scheduler::scale {

struct HistoryFindings {
    std::vector<std::string> violations; // of rules, in words
    int changes_never_applied = 0;       // see LatencyCollector
    double longest_unanswered_s = 0;     // see test::HistoryChecker, as the next one
    double longest_cancelled_s = 0;
    Latencies latencies;
};

// Reads the histories of a region, checks them against the rules and adds what it finds. Throws
// ScaleTestError if one cannot be read.
void analyze_region(const Plan& plan, const RunFolder& folder, const WindowTimes& window,
                    HistoryFindings& findings);

} // namespace scheduler::scale
