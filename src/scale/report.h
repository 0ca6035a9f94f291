// The report of a run: figures as JSON, a row of the table, a summary for the terminal.
#pragma once

#include "scale/history_analysis.h"
#include "scale/options.h"
#include "scale/window_sampler.h"

namespace scheduler::scale {

// What a run found out.
struct RunResults {
    int job_tasks = 0;   // of an ordinary job
    bool filled = false; // nine tenths of the tasks ran before the window began
    double fill_s = 0;   // until then
    WindowMeasurements window;
    HistoryFindings findings;
};

// Writes the report to the file or the standard output, the row of the table if one is wanted, and
// the summary to the standard error. Throws ScaleTestError if a file cannot be written.
void write_report(const Options& options, const RunResults& results);

} // namespace scheduler::scale
