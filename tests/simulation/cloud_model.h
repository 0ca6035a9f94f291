/// @file
/// A model of the cloud that machines are rented from.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/messaging/messages.h"
#include "simulation/event_queue.h"
#include "simulation/options.h"
#include "simulation/random_source.h"
#include "simulation/report_sender.h"
#include "simulation/worker_model.h"

namespace scheduler::test {

/// Rents machines out and takes them back.
class CloudModel {
  public:
    CloudModel(const SimulationOptions& options, const RandomFaults& random_faults,
               EventQueue& clock, RandomSource& random, WorkerModel& workers,
               ReportSender& reports);

    void set_down(bool down) { down_ = down; }
    /// The cloud rents no more than so many machines at once from now on.
    void set_capacity(std::size_t machines) { capacity_ = machines; }

    /// Carries out a call to the cloud. Status 503: the cloud is down.
    OutboundResponse serve(const OutboundBody& call);

  private:
    /// Returns the machines of the order. An order that came before has no effect.
    const std::vector<std::string>& rent(const ScaleOut& order);
    std::string add_machine(const ScaleOut& order);
    std::vector<Instance> hosts() const;

    const SimulationOptions& options_;
    const RandomFaults& troubles_;
    EventQueue& clock_;
    RandomSource& random_;
    WorkerModel& workers_;
    ReportSender& reports_;
    bool down_ = false;
    std::size_t capacity_;
    /// The machines of each order.
    std::map<std::string, std::vector<std::string>> orders_;
    int next_machine_ = 0;
};

} // namespace scheduler::test
