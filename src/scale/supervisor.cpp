#include "scale/supervisor.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include "scale/clock.h"
#include "scale/interrupt.h"
#include "scale/simulators.h"

namespace scheduler::scale {

namespace {
constexpr double kStepInterval_s = 0.05;
constexpr double kStartTimeout_s = 20; // for a simulator to serve
constexpr int kCannotExecute = 127;    // exit status, the same as a shell uses
constexpr int kLogMode = 0644;

// Runs in the child process: executes the controller with its log redirected to a file.
void execute_controller(const std::string& program, const std::string& settings,
                        const std::string& log, const char* log_level) {
    int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
    ::dup2(file, STDERR_FILENO);
    ::setenv("LOG_LEVEL", log_level, 1);
    ::execl(program.c_str(), program.c_str(), "--config", settings.c_str(), nullptr);
    ::_exit(kCannotExecute);
}
} // namespace

Supervisor::Supervisor(const Options& options, const RunFolder& folder, SharedCounters& counters)
    : options_(options), folder_(folder), counters_(counters) {
    for (int r = 0; r < options_.regions; ++r) {
        regions_.push_back({Plan(options_, r), {}, 0, 0, 0});
    }
}

void Supervisor::start() {
    for (int r = 0; r < options_.regions; ++r) {
        start_services(r);
    }
    for (int r = 0; r < options_.regions; ++r) {
        wait_until_ready(counters_.region(r).services_ready, "simulated services");
        start_controllers(r);
        start_workers(r);
    }
    for (int r = 0; r < options_.regions; ++r) {
        wait_until_ready(counters_.region(r).workers_ready, "workers");
        start_users(r);
    }
}

void Supervisor::start_services(int number) {
    region(number).services = start_simulator("simulated services", [&] {
        run_simulated_services(region(number).plan, counters_.region(number));
    });
}

void Supervisor::start_controllers(int number) {
    for (int c = 0; c < options_.controllers; ++c) {
        region(number).controllers.push_back(start_controller(number, c));
    }
}

void Supervisor::start_workers(int number) {
    region(number).workers = start_simulator("workers", [&] {
        run_workers(region(number).plan, counters_.region(number), folder_.workers_history(number));
    });
}

void Supervisor::start_users(int number) {
    region(number).users = start_simulator("users", [&] {
        run_users(region(number).plan, counters_.region(number), folder_.users_history(number));
    });
}

pid_t Supervisor::start_controller(int number, int controller) {
    const Plan& plan = region(number).plan;
    std::string name = plan.controller_name(controller);
    std::string settings = folder_.file(number, name + ".toml");
    std::ofstream(settings) << plan.settings(controller);
    std::string log = folder_.file(number, name + ".log");
    const char* log_level = options_.folder.empty() ? "error" : "info";
    return children_.start([&] { execute_controller(options_.daemon, settings, log, log_level); });
}

pid_t Supervisor::start_simulator(const std::string& name, const std::function<void()>& work) {
    return children_.start([&] {
        try {
            work();
        } catch (const std::exception& bad) {
            std::cerr << "scale-test: " << name << ": " << bad.what() << std::endl;
            ::_exit(kChildFailed);
        }
    });
}

void Supervisor::wait_until_ready(const Counters::Count& ready, const std::string& name) {
    for (Time deadline = now() + kStartTimeout_s; ready == 0;) {
        step();
        if (now() > deadline) {
            throw ScaleTestError(name + ": not up within " + std::to_string(int(kStartTimeout_s)) +
                                 " s");
        }
    }
}

void Supervisor::step() {
    pause_for(kStepInterval_s);
    if (interrupted()) {
        throw ScaleTestError("interrupted");
    }
    if (auto exited = children_.poll_exited()) {
        throw ScaleTestError(describe(exited->pid) + " ended by itself, status " +
                             std::to_string(exited->status));
    }
}

std::string Supervisor::describe(pid_t pid) const {
    for (std::size_t r = 0; r < regions_.size(); ++r) {
        const auto& controllers = regions_[r].controllers;
        auto it = std::find(controllers.begin(), controllers.end(), pid);
        if (it != controllers.end()) {
            return regions_[r].plan.controller_name(int(it - controllers.begin())) + " of region " +
                   std::to_string(r);
        }
    }
    return "a process";
}

void Supervisor::kill_controller(int number, int controller) {
    pid_t& pid = region(number).controllers[std::size_t(controller)];
    children_.stop(pid, SIGKILL);
    pid = 0;
}

void Supervisor::restart_controller(int number, int controller) {
    region(number).controllers[std::size_t(controller)] = start_controller(number, controller);
}

void Supervisor::stop() {
    for (auto& region : regions_) {
        children_.stop(region.users, SIGTERM);
        children_.stop(region.workers, SIGTERM);
        for (pid_t pid : region.controllers) {
            if (pid != 0) {
                children_.stop(pid, SIGKILL);
            }
        }
        children_.stop(region.services, SIGTERM);
    }
}

std::vector<SupervisedProcess> Supervisor::processes() const {
    std::vector<SupervisedProcess> running;
    for (const auto& region : regions_) {
        for (pid_t pid : region.controllers) {
            if (pid != 0) {
                running.push_back({ProcessRole::controller, pid});
            }
        }
        running.push_back({ProcessRole::services, region.services});
        running.push_back({ProcessRole::workers, region.workers});
        running.push_back({ProcessRole::users, region.users});
    }
    return running;
}

SupervisedProcess Supervisor::controller(int region, int number) const {
    return {ProcessRole::controller,
            regions_[std::size_t(region)].controllers[std::size_t(number)]};
}

} // namespace scheduler::scale
