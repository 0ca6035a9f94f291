// scale-test: how the controllers fare beside thousands of hollow workers, on one machine.
#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>

#include "scale/run.h"

using namespace scheduler::scale;

namespace {
constexpr int kBadUse = 2; // exit status; the others are those of Verdict

// The controllers' program beside this one.
std::string default_daemon() {
    std::error_code error;
    auto self = std::filesystem::read_symlink("/proc/self/exe", error);
    return (self.parent_path() / "cluster-scheduler").string();
}

void add_load_options(CLI::App& command, Options& options) {
    command.add_option("--regions", options.regions,
                       "each with a state service and a cloud of its own");
    command.add_option("--controllers", options.controllers, "of each region");
    command.add_option("--workers", options.workers, "of all regions");
    command.add_option("--tasks", options.tasks, "running at once, of all regions");
    command.add_option("--starts", options.start_rate, "of tasks a second, of all regions");
    command.add_option("--teams", options.teams, "of each region");
    command.add_option("--waiting", options.waiting, "jobs that wait all the time, of each region");
    command.add_option("--job-tasks", options.job_tasks,
                       "tasks of a job; default: two seconds' starts");
}

// The window, and what goes wrong in it.
void add_window_options(CLI::App& command, Options& options) {
    command.add_option("--changes", options.changes, "of teams' limits a second, in each region");
    command.add_option("--for", options.window_s, "seconds that are measured, once the tasks run");
    command.add_option("--fill", options.fill_s, "seconds at most until the tasks run");
    command.add_option("--kill", options.kill_at_s,
                       "seconds into the window: a controller a region is ended");
    command.add_option("--back", options.restart_after_s, "seconds until it is started again");
    command.add_option("--replace", options.replace, "workers that die in the window");
    command.add_option("--slow-users", options.slow_users,
                       "share of users' requests that arrive late, in parts or never whole");
    command.add_option("--copies", options.copies,
                       "share of requests that arrive once more after they were carried out");
}

void add_environment_options(CLI::App& command, Options& options) {
    command.add_option("--state-rps", options.state_rps, "requests a second of each state service");
    command.add_option("--state-writes", options.state_write_rps, "changes a second");
    command.add_option("--cloud-rps", options.cloud_rps, "requests a second of each cloud");
    command.add_option("--sockets", options.sockets, "of a controller, as its settings say");
    command.add_option("--port", options.port, "the first of the ports used");
    command.add_option("--daemon", options.daemon, "the program of the controllers");
    command.add_option("--report", options.report,
                       "file for the figures (JSON); default: standard output");
    command.add_option("--table", options.table, "file that a row of the main figures is added to");
    command.add_option("--folder", options.folder, "keeps settings, logs and histories there");
}
} // namespace

int main(int argc, char** argv) {
    CLI::App app{
        "runs real controllers beside hollow workers, checks the rules, measures each role"};
    app.require_subcommand(1);
    CLI::App* command = app.add_subcommand("run", "one run; exit 0: rules kept, 1: one broken, 2: "
                                                  "bad use, or it could not be carried out");
    Options options;
    options.daemon = default_daemon();
    add_load_options(*command, options);
    add_window_options(*command, options);
    add_environment_options(*command, options);
    try {
        app.parse(argc, argv);
        return static_cast<int>(run(options));
    } catch (const CLI::Success& done) {
        return app.exit(done);
    } catch (const CLI::Error& bad) {
        app.exit(bad);
        return kBadUse;
    } catch (const std::exception& bad) {
        std::cerr << "scale-test: " << bad.what() << "\n";
        return kBadUse;
    }
}
