// The options of a scale run.
#pragma once

#include <stdexcept>
#include <string>

#include "core/model/types.h"

namespace scheduler::scale {

// The run cannot be carried out. The text names the option, file or process, and says why.
struct ScaleTestError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Units are in the names; a rate without one is a second's.
struct Options {
    // The size of the run. Workers, tasks and starts are those of all regions.
    int regions = 1;
    int controllers = 3; // of each region
    int workers = 100;
    int tasks = 1000;       // that run at once
    double start_rate = 20; // of tasks
    int teams = 10;         // of each region
    int waiting = 0;        // jobs of each region that wait all the time, at their team's limit
    int job_tasks = 0;      // of an ordinary job; 0: as many as start in two seconds

    // The window that is measured, and what happens in it.
    double window_s = 60;
    double fill_s = 60;         // at most, until nine tenths of the tasks run; the window follows
    double changes = 0;         // rate of changes of teams' limits, in each region
    double kill_at_s = -1;      // into the window a controller of each region is killed; < 0: none
    double restart_after_s = 2; // it is restarted so long after
    int replace = 0;            // workers that die; others are rented in their place
    double slow_users = 0; // share of users' requests that arrive late, in parts or never whole
    double copies = 0;     // share of requests that arrive once more after they were carried out

    // What surrounds the controllers.
    double state_rps = 250;      // requests that each key-value store allows
    double state_write_rps = 50; // changes that it allows
    double cloud_rps = 10;       // requests that each cloud allows
    int sockets = 2254;          // limit of a controller
    int port = 21000;            // the first of those that are listened on

    // Files.
    std::string daemon; // the controllers' program
    std::string report; // empty: standard output
    std::string table;  // a row of the main figures is added to it; empty: none
    std::string folder; // for settings, logs and histories; empty: a temporary one

    // Of the run in all, with the supervisor.
    int processes() const { return regions * (controllers + kSimulatorsPerRegion) + 1; }
    // An estimate from earlier runs, see docs/CAPACITY.md.
    double memory_bytes() const;
    // Workers of a region: an even part of all.
    int workers_of(int region) const;

    static constexpr int kSimulatorsPerRegion = 3; // services, workers, users
};

// Throws ScaleTestError, naming the option, if the options make no sense or ask for more than half
// of the memory that this machine has.
void validate(const Options& options, double memory_bytes);
// 0 if it cannot be told.
double machine_memory_bytes();

} // namespace scheduler::scale
