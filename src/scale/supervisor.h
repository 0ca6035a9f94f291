// Starts, monitors and stops the processes of a run: for each region the controllers and the
// simulators of services, workers and users.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "scale/child_processes.h"
#include "scale/counters.h"
#include "scale/plan.h"
#include "scale/run_folder.h"

namespace scheduler::scale {

enum class ProcessRole { controller, services, workers, users };

struct SupervisedProcess {
    ProcessRole role = ProcessRole::controller;
    pid_t pid = 0;
};

// Not thread-safe. The options, folder and counters must outlive it.
class Supervisor {
  public:
    Supervisor(const Options& options, const RunFolder& folder, SharedCounters& counters);

    // Starts all processes and waits until the simulators are ready. Throws ScaleTestError if one
    // does not become ready in time.
    void start();
    // Sleeps for one step. Throws ScaleTestError if a process has exited unexpectedly or the run
    // was interrupted.
    void step();
    // Kills a running controller.
    void kill_controller(int region, int controller);
    void restart_controller(int region, int controller);
    // Stops all processes. The users stop first, then the workers, so that the outcome of each of
    // their requests is still recorded.
    void stop();

    // Returns the running processes, region by region.
    std::vector<SupervisedProcess> processes() const;
    SupervisedProcess controller(int region, int number) const;
    const Plan& plan(int region) const { return regions_[std::size_t(region)].plan; }

  private:
    struct Region {
        Plan plan;
        std::vector<pid_t> controllers; // 0: killed, not yet restarted
        pid_t services = 0;
        pid_t workers = 0;
        pid_t users = 0;
    };
    void start_services(int region);
    void start_controllers(int region);
    void start_workers(int region);
    void start_users(int region);
    pid_t start_controller(int region, int controller);
    pid_t start_simulator(const std::string& name, const std::function<void()>& work);
    void wait_until_ready(const Counters::Count& ready, const std::string& name);
    std::string describe(pid_t pid) const;
    Region& region(int number) { return regions_[std::size_t(number)]; }

    const Options& options_;
    const RunFolder& folder_;
    SharedCounters& counters_;
    std::vector<Region> regions_;
    ChildProcesses children_;
};

} // namespace scheduler::scale
