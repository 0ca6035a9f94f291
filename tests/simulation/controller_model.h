/// @file
/// The processes of the controllers under test: their clocks, crashes and standstills.
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

/// Runs the controllers: hands each its inputs and passes its outputs on.
class ControllerModel {
  public:
    /// Where outputs go.
    struct Callbacks {
        std::function<void(int controller, const std::string& line)> logged;
        /// An answer to a user's request.
        std::function<void(const Response&)> answered;
        std::function<void(int controller, const OutboundRequest&)> called;
    };

    /// Starts all controllers.
    ControllerModel(const SimulationOptions& options, EventQueue& clock, RandomSource& random,
                    NetworkModel& network, PendingRequests& requests, Callbacks callbacks);
    ~ControllerModel();

    /// Hands over an input now. A controller that is down loses it; one that stands still takes it
    /// when it goes on.
    void input(int controller, Input input);
    /// Hands over the answer to a call, unless that process life has ended.
    void deliver(int controller, int life, OutboundResponse response);

    /// Ends the process; a new one starts after `restart_s`.
    void crash(int controller, double restart_s);
    /// It stands still while its clock runs on.
    void freeze(int controller, double seconds);
    /// Asks a part's owner to give a share to another part. False: it does not, now.
    bool migrate_shard(int leader, int partition, const ShardId& shard, int to);
    std::vector<ShardId> held_shards(int leader, int partition) const;

    int count() const { return static_cast<int>(processes_.size()); }
    /// Counts the starts and ends of the controller's process.
    int life(int controller) const { return processes_[controller]->life; }
    bool running(int controller) const { return processes_[controller]->core != nullptr; }
    /// Running and not standing still.
    bool awake(int controller) const;
    const ClusterSettings& cluster_settings(int controller) const {
        return processes_[controller]->cluster_settings;
    }
    /// What the running controllers looked at since their start.
    double effort() const;

    /// Sees each output that leaves a controller, the call or the answer, and may end the
    /// controller right after it, before the next one: seconds until it is back.
    std::function<std::optional<double>(int controller, const OutboundRequest*, const Response*)>
        after_output;

  private:
    struct Process {
        ClusterSettings cluster_settings;
        std::unique_ptr<Controller> core;
        int life = 0;
        /// Of its steady clock.
        double rate = 1;
        Time frozen_until = 0;
        /// What came while it stands still.
        std::vector<Input> held;
    };

    void start(int controller);
    void tick(int controller, int life);
    Time steady_time(int controller) const;
    void pass_on(int controller, const Outputs& outputs);
    void pass_on(const Response& answer);
    bool ended_after(int controller, int life, const OutboundRequest* call, const Response* answer);

    const SimulationOptions& options_;
    EventQueue& clock_;
    RandomSource& random_;
    NetworkModel& network_;
    PendingRequests& requests_;
    Callbacks callbacks_;
    std::vector<std::unique_ptr<Process>> processes_;
};

} // namespace scheduler::test
