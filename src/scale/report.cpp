#include "scale/report.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <thread>

#include "scale/messages.h"
#include "scale/report_table.h"

namespace scheduler::scale {

namespace {
constexpr double kBytesPerMegabyte = 1e6;
constexpr double kBytesPerKilobyte = 1e3;
constexpr double kMillisecondsPerSecond = 1e3;
constexpr std::size_t kViolationsShown = 20;

// Fields of the report: they stay when a role is renamed.
const char* role_name(ProcessRole role) {
    switch (role) {
    case ProcessRole::controller: return "controller";
    case ProcessRole::services: return "stand_ins";
    case ProcessRole::workers: return "workers";
    case ProcessRole::users: return "users";
    }
    return "";
}

double ratio(double amount, double count) { return count > 0 ? amount / count : 0; }

Json options_json(const Options& options, const RunResults& results) {
    return {{"regions", options.regions},
            {"controllers", options.controllers},
            {"workers", options.workers},
            {"tasks", options.tasks},
            {"starts", options.start_rate},
            {"teams", options.teams},
            {"waiting", options.waiting},
            {"job_tasks", results.job_tasks},
            {"changes", options.changes},
            {"kill", options.kill_at_s},
            {"replace", options.replace},
            {"copies", options.copies},
            {"slow_users", options.slow_users},
            {"state_rps", options.state_rps},
            {"state_writes", options.state_write_rps}};
}

Json machine_json() {
    return {{"cores", std::thread::hardware_concurrency()},
            {"memory_mb", machine_memory_bytes() / kBytesPerMegabyte},
            {"shared", true}}; // with the simulators, and with whatever else runs
}

Json verdict_json(const HistoryFindings& findings) {
    return {{"kept", findings.violations.empty()},
            {"broken", findings.violations},
            {"changes_never_in_force", findings.changes_never_applied},
            {"longest_unanswered_s", findings.longest_unanswered_s},
            {"longest_cancelled_s", findings.longest_cancelled_s}};
}

Json window_json(const RunResults& results) {
    const WindowMeasurements& window = results.window;
    return {{"seconds", window.seconds},
            {"filled", results.filled},
            {"fill_s", results.fill_s},
            {"workers_up", window.load.workers_up},
            {"tasks_running", window.load.tasks_running},
            {"jobs_open", window.load.jobs_open},
            {"state_keys", window.state_keys}};
}

Json rates_json(const WindowMeasurements& window) {
    Json rates;
    for (const auto& [name, count] : window.counts) {
        rates[name] = count / window.seconds;
    }
    rates["loopback_bytes"] = window.loopback_bytes / window.seconds;
    return rates;
}

Json roles_json(const WindowMeasurements& window) {
    Json roles;
    for (const auto& [role, usage] : window.roles) {
        roles[role_name(role)] = {
            {"processor_cores", usage.cpu_s / window.seconds},
            {"busiest_process_cores", usage.busiest_process_cpu_s / window.seconds},
            {"first_thread_cores", usage.first_thread_cpu_s / window.seconds},
            {"largest_mb", usage.largest_bytes / kBytesPerMegabyte},
            {"mean_mb", usage.mean_bytes() / kBytesPerMegabyte},
            {"sockets", usage.most_sockets}};
    }
    return roles;
}

Json latencies_json(const Latencies& latencies) {
    Json times;
    for (const auto& [name, histogram] : latencies) {
        times[name] = {{"count", histogram.count()},
                       {"p50_s", histogram.quantile(0.5)},
                       {"p99_s", histogram.quantile(0.99)},
                       {"most_s", histogram.max()}};
    }
    return times;
}

// What a start, a report, a job and a worker cost.
Json unit_costs_json(const Options& options, const WindowMeasurements& window) {
    auto count = [&](const char* name) { return window.counts.at(name); };
    const RoleUsage& controllers = window.roles.at(ProcessRole::controller);
    const RoleUsage& workers = window.roles.at(ProcessRole::workers);
    double controller_ms = kMillisecondsPerSecond * controllers.cpu_s;
    double first_thread_ms = kMillisecondsPerSecond * controllers.first_thread_cpu_s;
    double worker_seconds = window.seconds * window.load.workers_up;
    double worker_bytes = count("report_sent") + count("report_received") + count("orders_sent") +
                          count("orders_received");
    double workers_kb = workers.largest_bytes / kBytesPerKilobyte * options.regions;
    return {{"controller_ms_a_start", ratio(controller_ms, count("starts"))},
            {"core_thread_ms_a_start", ratio(first_thread_ms, count("starts"))},
            {"controller_ms_a_report", ratio(controller_ms, count("reports"))},
            {"controller_ms_a_job", ratio(controller_ms, count("accepted"))},
            {"reports_a_start", ratio(count("reports"), count("starts"))},
            {"orders_a_start", ratio(count("orders"), count("starts"))},
            {"state_requests_a_job", ratio(count("state_requests"), count("accepted"))},
            {"state_changes_a_job", ratio(count("state_changes"), count("accepted"))},
            {"worker_bytes_a_second", ratio(worker_bytes, worker_seconds)},
            {"worker_core_share", ratio(workers.cpu_s, worker_seconds)},
            {"worker_kb", ratio(workers_kb, window.load.workers_up)}};
}

Json report_json(const Options& options, const RunResults& results) {
    Json report;
    report["options"] = options_json(options, results);
    report["machine"] = machine_json();
    report["verdict"] = verdict_json(results.findings);
    report["window"] = window_json(results);
    report["per_second"] = rates_json(results.window);
    report["roles"] = roles_json(results.window);
    if (!results.findings.latencies.empty()) {
        report["times"] = latencies_json(results.findings.latencies);
    }
    report["per"] = unit_costs_json(options, results.window);
    return report;
}

void write_json(const Options& options, const Json& report) {
    std::string text = report.dump(2);
    if (options.report.empty()) {
        std::cout << text << "\n";
    } else if (!(std::ofstream(options.report) << text << "\n")) {
        throw ScaleTestError("--report: " + options.report + ": cannot be written");
    }
}

void print_summary(const RunResults& results) {
    const WindowMeasurements& window = results.window;
    const auto& violations = results.findings.violations;
    std::cerr << "rules: " << (violations.empty() ? "kept" : "BROKEN") << "; "
              << window.counts.at("starts") / window.seconds << " starts a second, "
              << window.load.tasks_running << " tasks on " << window.load.workers_up
              << " workers\n";
    for (std::size_t i = 0; i < std::min(kViolationsShown, violations.size()); ++i) {
        std::cerr << "  " << violations[i] << "\n";
    }
}
} // namespace

void write_report(const Options& options, const RunResults& results) {
    Json report = report_json(options, results);
    write_json(options, report);
    if (!options.table.empty()) {
        append_table_row(options.table, report);
    }
    print_summary(results);
}

} // namespace scheduler::scale
