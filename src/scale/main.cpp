// orchidscale: how the daemon fares beside thousands of hollow workers, on one machine.
#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>

#include "scale/run.h"

int main(int argc, char** argv) {
    using namespace scheduler::scale;
    CLI::App app{
        "plays real controllers beside hollow workers, judges the rules, measures each role"};
    app.require_subcommand(1);
    CLI::App* verb = app.add_subcommand("run", "one run; exit 0: rules kept, 1: one broken, 2: "
                                               "bad use, or it could not be played");
    Options o;
    std::error_code error;
    auto self = std::filesystem::read_symlink("/proc/self/exe", error);
    o.daemon = (self.parent_path() / "orchidlanding").string();
    verb->add_option("--regions", o.regions, "each with a state service and a cloud of its own");
    verb->add_option("--controllers", o.controllers, "of each region");
    verb->add_option("--workers", o.workers, "of all regions");
    verb->add_option("--tasks", o.tasks, "running at once, of all regions");
    verb->add_option("--starts", o.starts, "of tasks a second, of all regions");
    verb->add_option("--teams", o.teams, "of each region");
    verb->add_option("--waiting", o.waiting, "jobs that wait all the time, of each region");
    verb->add_option("--job-tasks", o.job_tasks, "tasks of a job; default: two seconds' starts");
    verb->add_option("--changes", o.changes, "of teams' limits a second, in each region");
    verb->add_option("--for", o.for_s, "seconds that are measured, once the tasks run");
    verb->add_option("--fill", o.fill_s, "seconds at most until the tasks run");
    verb->add_option("--kill", o.kill_s, "seconds into the window: a controller a region is ended");
    verb->add_option("--back", o.back_s, "seconds until it is started again");
    verb->add_option("--replace", o.replace, "workers that die in the window");
    verb->add_option("--state-rps", o.state_rps, "requests a second of each state service");
    verb->add_option("--state-writes", o.state_write_rps, "changes a second");
    verb->add_option("--cloud-rps", o.cloud_rps, "requests a second of each cloud");
    verb->add_option("--sockets", o.sockets, "of a controller, as its settings say");
    verb->add_option("--port", o.port, "the first of the ports used");
    verb->add_option("--daemon", o.daemon, "the program of the controllers");
    verb->add_option("--report", o.report, "file for the figures (JSON); default: standard output");
    verb->add_option("--table", o.table, "file that a row of the main figures is added to");
    verb->add_option("--folder", o.folder, "keeps settings, logs and histories there");
    try {
        app.parse(argc, argv);
    } catch (const CLI::Success& done) {
        return app.exit(done);
    } catch (const CLI::Error& bad) {
        app.exit(bad);
        return 2;
    }
    try {
        return static_cast<int>(run(o));
    } catch (const std::exception& bad) {
        std::cerr << "orchidscale: " << bad.what() << "\n";
        return 2;
    }
}
