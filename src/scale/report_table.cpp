#include "scale/report_table.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "scale/options.h"

namespace scheduler::scale {

namespace {
// JSON pointers into the report: how large the run was, then what each role took.
constexpr const char* kColumns[] = {"/options/regions",
                                    "/options/controllers",
                                    "/options/workers",
                                    "/options/starts",
                                    "/options/teams",
                                    "/options/waiting",
                                    "/options/changes",
                                    "/options/kill",
                                    "/window/filled",
                                    "/window/workers_up",
                                    "/window/tasks_running",
                                    "/per_second/starts",
                                    "/per_second/reports",
                                    "/per_second/orders",
                                    "/roles/controller/processor_cores",
                                    "/roles/controller/first_thread_cores",
                                    "/roles/controller/busiest_process_cores",
                                    "/roles/controller/largest_mb",
                                    "/roles/controller/sockets",
                                    "/per/controller_ms_a_start",
                                    "/per/core_thread_ms_a_start",
                                    "/per_second/state_requests",
                                    "/per_second/state_changes",
                                    "/per_second/state_refused",
                                    "/per/worker_bytes_a_second",
                                    "/per/worker_core_share",
                                    "/per/worker_kb",
                                    "/per_second/loopback_bytes",
                                    "/times/ordinary_starts/p50_s",
                                    "/times/ordinary_starts/p99_s",
                                    "/times/urgent_starts/p50_s",
                                    "/times/urgent_starts/p99_s",
                                    "/times/submissions/p99_s",
                                    "/times/polls/p99_s",
                                    "/times/in_force/p99_s",
                                    "/times/in_force/most_s",
                                    "/verdict/kept"};

const char* separator_after(const char* const& column) {
    return &column == std::end(kColumns) - 1 ? "\n" : "\t";
}

void write_heading(std::ostream& out) {
    for (const char* const& column : kColumns) {
        out << column + 1 << separator_after(column); // without the leading slash
    }
}

std::string cell(const Json& value) {
    if (!value.is_number_float()) {
        return value.dump();
    }
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", value.get<double>());
    return text;
}

void write_row(std::ostream& out, const Json& report) {
    for (const char* const& column : kColumns) {
        Json::json_pointer at{column};
        out << cell(report.contains(at) ? report.at(at) : Json()) << separator_after(column);
    }
}
} // namespace

void append_table_row(const std::string& file, const Json& report) {
    std::error_code error;
    bool is_new = !std::filesystem::exists(file, error);
    std::ofstream out(file, std::ios::app);
    if (is_new) {
        write_heading(out);
    }
    write_row(out, report);
    if (!out) {
        throw ScaleTestError("--table: " + file + ": cannot be written");
    }
}

} // namespace scheduler::scale
