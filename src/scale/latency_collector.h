// Latencies of a region, from the events of its history.
#pragma once

#include <map>
#include <set>
#include <string>

#include "scale/history.h"
#include "scale/latency_histogram.h"
#include "scale/plan.h"

namespace scheduler::scale {

// Histograms by the names that the report has them under.
using Latencies = std::map<std::string, LatencyHistogram>;

// The window of a run, on the clock of the history's events.
struct WindowTimes {
    Time from = 0;
    Time to = 0;
    Time history_end = 0; // the simulators were stopped then
};

// What is handed in outlives the collector.
class LatencyCollector {
  public:
    LatencyCollector(const Plan& plan, const WindowTimes& window, Latencies& latencies);

    // In the order of the events' times.
    void on_event(const Event& event);
    // Changes of limits that some controller had not applied at the end of the history though they
    // were older than a report interval, counted for each controller.
    int changes_never_applied() const;

  private:
    struct Request {
        Event::Kind kind = Event::Kind::poll;
        Time sent = 0;
    };
    // When a change of a limit was written, by its revision.
    using WrittenChanges = std::map<std::uint64_t, Time>;

    void on_request(const Event& event);
    void on_response(const Event& event);
    void on_task_started(const Event& event);
    void on_quota_written(const Event& event);
    void on_quota_applied(const Event& event);

    const Plan& plan_;
    const WindowTimes window_;
    Latencies& latencies_;
    std::map<std::string, Time> submitted_; // first submission, by job
    std::map<std::uint64_t, Request> requests_;
    std::set<TaskId> started_;
    std::map<std::string, WrittenChanges> not_applied_; // by controller
};

} // namespace scheduler::scale
