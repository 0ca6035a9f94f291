/// @file
/// What a simulation is set up with, and the faults that it draws at random.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/model/types.h"

namespace scheduler::test {

/// Settings of a simulation, fixed when it is built. Times are in seconds.
struct SimulationOptions {
    /// Seed of all random draws.
    std::uint64_t seed = 1;
    /// Number of controllers.
    int nodes = 3;
    /// Share of messages that are lost.
    double drop = 0;
    /// Share of messages that come very late.
    double late = 0;
    /// A task's usual run time.
    double run_s = 8;
    /// From the renting of a machine to its first report.
    double boot_s = 10;
    /// Share of tasks that fail.
    double error = 0;
    /// Factor on the usual limits of the teams.
    double limits = 1;
    /// Number of further teams t0, t1, ...: one CPU guaranteed, 24 at most.
    int extra_teams = 0;
    /// Machines that the cloud has.
    std::size_t capacity = 12;
    /// Steady clocks differ by up to this share.
    double drift = 0.0005;
    std::vector<ServiceLevelObjective> objectives;
    double report_s = 3;
    double lease_s = 17;
    double cancel_s = 42;
    double state_rps = 100;
    double state_write_rps = 20;
    /// One zone; else there are two, with the controllers in turn.
    bool one_zone = false;
    /// Machines have 4 GPUs, and teams state GPUs only.
    bool gpus = false;
    /// Direct commands that a controller sends at once; five times as many wait in its process,
    /// more are not sent.
    int max_concurrent_commands = 64;
    /// Controllers tell each other of cancellations. Without, they hear of them by watches and
    /// promises only, and every rule has to hold so.
    bool cancellation_broadcasts = false;
};

/// Faults drawn at random, as shares of messages or machines; a test changes them at any time.
struct RandomFaults {
    /// Transactions without an answer, carried out 2 to 12 s later, after newer ones.
    double late_writes = 0;
    /// Copies of reports that arrive up to one and a half leases later.
    double late_heartbeats = 0;
    /// Direct commands without an answer, executed 2 to 12 s later.
    double delayed_commands = 0;
    /// Seconds that the state service takes for half of what it is asked.
    double store_delay_s = 0;
    /// Transactions carried out at once of which only the answer is lost.
    double lost_responses = 0;
    /// Copies of reports kept until a part is claimed, and then given to every controller.
    double heartbeats_for_next_leader = 0;
    /// New machines that are up within two seconds.
    double quick_boots = 0;
    /// New machines that reach no controller from their boot on.
    double outbound_cut_boots = 0;
    /// Seconds that a message takes longer, at most.
    double link_delay_s = 0;
    /// Jobs just accepted, ended or cancelled that users look at closely: all controllers are
    /// asked, again and again within milliseconds, and sent the submission; some cancel.
    double concurrent_status_reads = 0;
    /// Jobs that their users cancel at the end of the last task.
    double cancel_at_end = 0;
};

} // namespace scheduler::test
