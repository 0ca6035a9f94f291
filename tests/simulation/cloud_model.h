// A model of the cloud that machines are provisioned from.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/messaging/messages.h"
#include "simulation/event_queue.h"
#include "simulation/heartbeat_sender.h"
#include "simulation/options.h"
#include "simulation/random_source.h"
#include "simulation/worker_model.h"

namespace scheduler::test {

// Provisions and releases machines.
class CloudModel {
  public:
    CloudModel(const SimulationOptions& options, const RandomFaults& random_faults,
               EventQueue& clock, RandomSource& random, WorkerModel& workers,
               HeartbeatSender& heartbeats);

    void set_down(bool down) { down_ = down; }
    // From now on, the cloud provisions a machine only while it has fewer than this number.
    void set_capacity(std::size_t machines) { capacity_ = machines; }

    // While set, the cloud provisions on-demand machines only.
    void set_spot_sold_out(bool sold_out) { spot_sold_out_ = sold_out; }

    // Executes a request to the cloud. Returns status 503 while the cloud is down.
    OutboundResponse serve(const OutboundBody& request);

  private:
    // Returns the machines of the scale-out request. A repeated request has no further effect.
    const std::vector<std::string>& provision(const ScaleOut& scale_out);
    std::string add_machine(const ScaleOut& scale_out);
    std::vector<Instance> instances() const;

    const SimulationOptions& options_;
    const RandomFaults& random_faults_;
    EventQueue& clock_;
    RandomSource& random_;
    WorkerModel& workers_;
    HeartbeatSender& heartbeats_;
    bool down_ = false;
    bool spot_sold_out_ = false;
    std::size_t capacity_;
    // Machines by the idempotency key of their scale-out request.
    std::map<std::string, std::vector<std::string>> machines_by_request_;
    int next_machine_ = 0;
};

} // namespace scheduler::test
