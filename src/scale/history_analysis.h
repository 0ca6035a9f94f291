// Derives rule violations and latencies from the histories of a run.
#pragma once

#include <string>
#include <vector>

#include "scale/latency_collector.h"
#include "scale/run_folder.h"

namespace scheduler::scale {

struct HistoryFindings {
    std::vector<std::string> violations; // descriptions, with the region
    int changes_never_applied = 0;       // see LatencyCollector
    double longest_unanswered_s = 0;     // this and the next: see test::HistoryChecker
    double longest_cancelled_s = 0;
    Latencies latencies;
};

// Reads the histories of a region, checks them against the rules and adds the results to the
// findings. Throws ScaleTestError if a history cannot be read.
void analyze_region(const Plan& plan, const RunFolder& folder, const WindowTimes& window,
                    HistoryFindings& findings);

} // namespace scheduler::scale
