// The options of a simulation and the faults that it draws at random.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/model/types.h"

namespace scheduler::test {

// Options of a simulation, fixed when it is built. Times are in seconds.
struct SimulationOptions {
    // Seed of all random draws.
    std::uint64_t seed = 1;
    // Number of controllers.
    int nodes = 3;
    // Share of messages that are lost.
    double drop = 0;
    // Share of messages that arrive very late.
    double late = 0;
    // Usual run time of a task.
    double run_s = 8;
    // From the provisioning of a machine to its first heartbeat.
    double boot_s = 10;
    // Share of tasks that fail.
    double error = 0;
    // Factor on the default limits of the teams.
    double limits = 1;
    // Number of additional teams t0, t1, ..., with one CPU guaranteed and a limit of 24.
    int extra_teams = 0;
    // Number of machines that the cloud has.
    std::size_t capacity = 12;
    // Steady clocks run faster or slower by up to this share.
    double drift = 0.0005;
    std::vector<ServiceLevelObjective> objectives;
    double report_s = 3;
    double lease_s = 17;
    double cancel_s = 42;
    double state_rps = 100;
    double state_write_rps = 20;
    // One zone. Otherwise there are two, with the controllers assigned alternately.
    bool one_zone = false;
    // Instance types that the cloud offers besides the default one.
    std::vector<InstanceType> further_types;
    // Machines have 4 GPUs, and quotas of teams are in GPUs only.
    bool gpus = false;
    // Direct commands that a controller sends concurrently. Five times as many can be in progress,
    // most of them queued in its process; further ones are not sent.
    int max_concurrent_commands = 64;
    // Controllers broadcast cancellations to their peers. Without broadcasts they learn of them by
    // watches and lease extensions only, and every rule has to hold all the same.
    bool cancellation_broadcasts = false;
};

// Faults drawn at random, as shares of messages or machines. Tests change them at any time.
struct RandomFaults {
    // Transactions without a response that are executed 2 to 12 s later, after newer ones.
    double late_writes = 0;
    // Heartbeats of which a copy arrives up to one and a half leases later.
    double late_heartbeats = 0;
    // Direct commands without a response that are executed 2 to 12 s later.
    double delayed_commands = 0;
    // Additional seconds that the store takes for half of its requests.
    double store_delay_s = 0;
    // Transactions that are executed at once while only the response is lost.
    double lost_responses = 0;
    // Heartbeats of which a copy is kept until a partition gets a new leader, and then delivered to
    // every controller.
    double heartbeats_for_next_leader = 0;
    // New machines that boot within two seconds.
    double quick_boots = 0;
    // New machines that reach no controller from their boot on.
    double outbound_cut_boots = 0;
    // Seconds that a message takes longer, at most.
    double link_delay_s = 0;
    // Jobs just accepted, completed or cancelled that are read concurrently: all controllers get
    // status reads and repeated submissions, again and again within milliseconds, and sometimes a
    // cancellation.
    double concurrent_status_reads = 0;
    // Jobs that their users cancel when their last task completes, or shortly after.
    double cancel_at_end = 0;
    // Requests of any kind that arrive once more after they were carried out, see MessageCopies.
    double copies = 0;
    // Starts that the worker refuses for lack of room.
    double refused_starts = 0;
};

} // namespace scheduler::test
