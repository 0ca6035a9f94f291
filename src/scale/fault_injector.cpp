#include "scale/fault_injector.h"

namespace scheduler::scale {

namespace {
constexpr int kKilledController = 0;                // of each region
constexpr double kReplaceAtFractionOfWindow = 0.25; // workers die then
} // namespace

FaultInjector::FaultInjector(const Options& options, Supervisor& supervisor,
                             SharedCounters& counters, WindowSampler& sampler)
    : options_(options), supervisor_(supervisor), counters_(counters), sampler_(sampler),
      kill_pending_(options.kill_at_s >= 0), restart_pending_(kill_pending_),
      replace_pending_(options.replace != 0) {}

void FaultInjector::step(double elapsed_s) {
    if (kill_pending_ && elapsed_s >= options_.kill_at_s) {
        kill_pending_ = false;
        kill_controllers();
    }
    if (!kill_pending_ && restart_pending_ &&
        elapsed_s >= options_.kill_at_s + options_.restart_after_s) {
        restart_pending_ = false;
        restart_controllers();
    }
    if (replace_pending_ && elapsed_s >= options_.window_s * kReplaceAtFractionOfWindow) {
        replace_pending_ = false;
        replace_workers();
    }
}

void FaultInjector::kill_controllers() {
    for (int r = 0; r < options_.regions; ++r) {
        sampler_.add_usage(supervisor_.controller(r, kKilledController));
        supervisor_.kill_controller(r, kKilledController);
    }
}

void FaultInjector::restart_controllers() {
    for (int r = 0; r < options_.regions; ++r) {
        supervisor_.restart_controller(r, kKilledController);
    }
}

void FaultInjector::replace_workers() {
    for (int r = 0; r < options_.regions; ++r) {
        int remainder = r < options_.replace % options_.regions ? 1 : 0;
        counters_.region(r).to_replace =
            std::uint64_t(options_.replace / options_.regions + remainder);
    }
}

} // namespace scheduler::scale
