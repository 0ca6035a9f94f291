// Injects the faults of a run: kills and restarts a controller of each region, and replaces
// workers.
#pragma once

#include "scale/counters.h"
#include "scale/options.h"
#include "scale/supervisor.h"
#include "scale/window_sampler.h"

namespace scheduler::scale {

// Injects each fault once, at its time in the window. All arguments must outlive the injector.
class FaultInjector {
  public:
    FaultInjector(const Options& options, Supervisor& supervisor, SharedCounters& counters,
                  WindowSampler& sampler);

    // Injects the faults that are due. `elapsed_s` is the time since the beginning of the window.
    void step(double elapsed_s);

  private:
    void kill_controllers();
    void restart_controllers();
    void replace_workers();

    const Options& options_;
    Supervisor& supervisor_;
    SharedCounters& counters_;
    WindowSampler& sampler_;
    bool kill_pending_;
    bool restart_pending_;
    bool replace_pending_;
};

} // namespace scheduler::scale
