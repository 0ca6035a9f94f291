// Runs the controllers under test as processes with their own clocks, crashes and pauses.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/controller.h"
#include "simulation/event_queue.h"
#include "simulation/network_model.h"
#include "simulation/options.h"
#include "simulation/pending_requests.h"
#include "simulation/random_source.h"

namespace scheduler::test {

// Passes inputs to the controllers and their outputs on to the simulation.
class ControllerModel {
  public:
    // Receivers of the outputs.
    struct Callbacks {
        std::function<void(int controller, const std::string& line)> logged;
        // A response to a user's request.
        std::function<void(const Response&)> answered;
        std::function<void(int controller, const OutboundRequest&)> requested;
        std::function<void()> restarted;
    };

    // Starts all controllers.
    ControllerModel(const SimulationOptions& options, EventQueue& clock, RandomSource& random,
                    NetworkModel& network, PendingRequests& requests, Callbacks callbacks);
    ~ControllerModel();

    // Passes an input to the controller now. A controller that is down loses it; a paused one
    // handles it when it resumes.
    void input(int controller, Input input);
    // Delivers the response to a request, unless that incarnation of the process has ended.
    void deliver(int controller, int incarnation, OutboundResponse response);

    // Ends the process; a new one starts after `restart_s`.
    void crash(int controller, double restart_s);
    // Pauses the process while its clock continues.
    void freeze(int controller, double seconds);
    // Asks a partition's leader to migrate a shard to another partition. Returns false if it can't
    // now.
    bool migrate_shard(int leader, int partition, const ShardId& shard, int to);
    std::vector<ShardId> held_shards(int leader, int partition) const;

    int count() const { return static_cast<int>(processes_.size()); }
    // Counts the starts and crashes of the controller's process.
    int incarnation(int controller) const { return processes_[controller]->incarnation; }
    bool running(int controller) const { return processes_[controller]->core != nullptr; }
    // Returns whether the process is running and not paused.
    bool awake(int controller) const;
    const ClusterSettings& cluster_settings(int controller) const {
        return processes_[controller]->cluster_settings;
    }
    // Returns the number of items that the running controllers have examined since their start.
    double effort() const;

    // Called for each output of a controller, with either the request or the response. May return
    // the seconds after which the controller restarts; it then crashes at once, before its next
    // output.
    std::function<std::optional<double>(int controller, const OutboundRequest*, const Response*)>
        after_output;

  private:
    struct Process {
        ClusterSettings cluster_settings;
        std::unique_ptr<Controller> core;
        int incarnation = 0;
        // Rate of its steady clock, relative to the simulation's clock.
        double clock_rate = 1;
        Time frozen_until = 0;
        // Inputs that arrived while the process is paused.
        std::vector<Input> held;
    };

    void start(int controller);
    void tick(int controller, int incarnation);
    Time steady_time(int controller) const;
    void pass_on(int controller, const Outputs& outputs);
    void pass_on(const Response& response);
    bool ended_after(int controller, int incarnation, const OutboundRequest* request,
                     const Response* response);

    const SimulationOptions& options_;
    EventQueue& clock_;
    RandomSource& random_;
    NetworkModel& network_;
    PendingRequests& requests_;
    Callbacks callbacks_;
    std::vector<std::unique_ptr<Process>> processes_;
};

} // namespace scheduler::test
