// What a scale run is asked to play.
#pragma once

#include <stdexcept>
#include <string>

#include "core/model/types.h"

namespace scheduler::scale {

// The run cannot be played: option, file or key, and why.
struct CannotPlay : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Options {
    int regions = 1;
    int controllers = 3; // of each region
    int workers = 100;   // of all regions, as are the next three
    int tasks = 1000;    // running at once
    double starts = 20;  // of tasks a second
    int teams = 10;      // of each region
    int waiting = 0;     // jobs of each region that wait all the time, at their team's limit
    int job_tasks = 0;   // of an ordinary job; 0: as many as start in two seconds
    double for_s = 60;   // of the window that is measured, once the tasks run
    double changes = 0;  // of teams' limits a second, in each region
    double kill_s = -1;  // into the window: a controller of each region is ended; below 0: none
    double back_s = 2;   // until it is started again
    int replace = 0;     // workers that die in the window, and are rented anew
    double fill_s = 60;  // at most, until nine tenths of the tasks run
    double state_rps = 250;
    double state_write_rps = 50;
    double cloud_rps = 10;
    int sockets = 2254; // of a controller
    int port = 21000;   // the first of those that the run listens on
    std::string daemon;
    std::string report;
    std::string table; // a row of the main figures is added to it
    std::string
        folder; // for settings, logs and histories; empty: one of its own, gone with the run

    int processes() const { return regions * (controllers + 3) + 1; }
    // Bytes, by what runs took before; see docs/CAPACITY.md.
    double memory() const;
    int workers_of(int region) const;
};

// Throws CannotPlay, before anything is started. `memory`: of the machine, in bytes.
void check(const Options& options, double memory);
// Bytes of memory that this machine has.
double machine_memory();

} // namespace scheduler::scale
