#include "scale/run.h"

#include <sys/resource.h>

#include <csignal>

#include "scale/clock.h"
#include "scale/fault_injector.h"
#include "scale/interrupt.h"
#include "scale/report.h"

namespace scheduler::scale {

namespace {
constexpr double kFilledFraction = 0.9; // of the tasks run before the window begins
constexpr double kSettle_s = 3;         // of steady arrivals before the window

// Executes the phases of one run in one thread.
class ScaleRun {
  public:
    explicit ScaleRun(const Options& options)
        : options_(options), folder_(options), counters_(options.regions),
          supervisor_(options, folder_, counters_) {}

    Verdict execute() {
        supervisor_.start();
        fill();
        measure_window();
        Time history_end = now();
        supervisor_.stop();
        analyze(history_end);
        results_.job_tasks = supervisor_.plan(0).job_tasks();
        write_report(options_, results_);
        return results_.findings.violations.empty() ? Verdict::passed : Verdict::failed;
    }

  private:
    bool filled() const {
        return counters_.sum(&Counters::running) >= kFilledFraction * options_.tasks;
    }

    // Waits until enough tasks run or the fill timeout expires, then until arrivals are steady.
    void fill() {
        Time began = now();
        for (Time deadline = began + options_.fill_s; now() < deadline && !filled();) {
            supervisor_.step();
        }
        results_.filled = filled();
        results_.fill_s = now() - began;
        for (Time settled = now() + kSettle_s; now() < settled;) {
            supervisor_.step();
        }
    }

    void measure_window() {
        WindowSampler sampler(counters_);
        FaultInjector faults(options_, supervisor_, counters_, sampler);
        sampler.begin(supervisor_.processes());
        while (sampler.elapsed_s() < options_.window_s) {
            supervisor_.step();
            faults.step(sampler.elapsed_s());
            sampler.sample_if_due(supervisor_.processes());
        }
        results_.window = sampler.finish(supervisor_.processes());
    }

    void analyze(Time history_end) {
        const WindowMeasurements& window = results_.window;
        WindowTimes times{window.from, window.from + window.seconds, history_end};
        for (int r = 0; r < options_.regions; ++r) {
            analyze_region(supervisor_.plan(r), folder_, times, results_.findings);
        }
    }

    const Options& options_;
    RunFolder folder_;
    SharedCounters counters_;
    Supervisor supervisor_;
    RunResults results_;
};

// Each hollow worker listens on a socket of its own, so the open file limit is raised to its
// maximum.
void raise_open_file_limit() {
    rlimit files{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
}
} // namespace

Verdict run(const Options& options) {
    validate(options, machine_memory_bytes());
    catch_interrupts();
    std::signal(SIGPIPE, SIG_IGN);
    raise_open_file_limit();
    return ScaleRun(options).execute();
}

} // namespace scheduler::scale
