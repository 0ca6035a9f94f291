// The faults of a run: a controller of each region is killed and restarted, workers die.
#pragma once

#include "scale/counters.h"
#include "scale/options.h"
#include "scale/supervisor.h"
#include "scale/window_sampler.h"

namespace scheduler::scale {

// Each fault happens once, at its time in the window. What is handed in outlives the injector.
class FaultInjector {
  public:
    FaultInjector(const Options& options, Supervisor& supervisor, SharedCounters& counters,
                  WindowSampler& sampler);

    // Injects the faults that are due. `elapsed_s`: seconds since the beginning of the window.
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
