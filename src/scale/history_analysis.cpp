#include "scale/history_analysis.h"

#include <algorithm>
#include <iterator>

#include "scale/checker.h"

namespace scheduler::scale {

namespace {
// Returns all events of the region up to the end of the history, in order of time.
std::vector<Event> read_events(const RunFolder& folder, int region, Time history_end) {
    std::vector<Event> events = read_history(folder.workers_history(region));
    std::vector<Event> of_users = read_history(folder.users_history(region));
    events.insert(events.end(), std::make_move_iterator(of_users.begin()),
                  std::make_move_iterator(of_users.end()));
    std::stable_sort(events.begin(), events.end(),
                     [](const Event& a, const Event& b) { return a.time < b.time; });
    std::erase_if(events, [&](const Event& event) { return event.time > history_end; });
    return events;
}

Checker::Settings checker_settings(const Plan& plan) {
    Checker::Settings settings;
    settings.teams = plan.teams();
    settings.type = plan.machine_type();
    settings.cancel_s = Plan::kCancellationTimeout_s;
    settings.lowering_grace_s =
        Plan::kCancellationTimeout_s; // docs/configuration.md, "Stated time"
    settings.job = [&plan](const std::string& id) { return plan.job(id); };
    return settings;
}
} // namespace

void analyze_region(const Plan& plan, const RunFolder& folder, const WindowTimes& window,
                    HistoryFindings& findings) {
    Checker checker(checker_settings(plan));
    LatencyCollector collector(plan, window, findings.latencies);
    for (const Event& event : read_events(folder, plan.region(), window.history_end)) {
        checker.on_event(event);
        collector.on_event(event);
    }
    checker.finish(window.history_end);
    for (const auto& violation : checker.violations()) {
        findings.violations.push_back("region " + std::to_string(plan.region()) + ": " + violation);
    }
    findings.changes_never_applied += collector.changes_never_applied();
    findings.longest_unanswered_s =
        std::max(findings.longest_unanswered_s,
                 checker.history_checker().longest_unanswered(window.history_end));
    findings.longest_cancelled_s =
        std::max(findings.longest_cancelled_s, checker.history_checker().longest_cancelled());
}

} // namespace scheduler::scale
