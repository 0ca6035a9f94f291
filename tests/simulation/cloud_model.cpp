/// @file
/// The model of the cloud: see cloud_model.h.
#include "simulation/cloud_model.h"

#include <cstdio>

#include "simulation/cluster_setup.h"

namespace scheduler::test {

namespace {
constexpr double kQuickBootS = 2;

std::string machine_name(int number) {
    char name[16];
    std::snprintf(name, sizeof name, "i-%06d", number);
    return name;
}
} // namespace

CloudModel::CloudModel(const SimulationOptions& options, const RandomFaults& random_faults,
                       EventQueue& clock, RandomSource& random, WorkerModel& workers,
                       ReportSender& reports)
    : options_(options), troubles_(random_faults), clock_(clock), random_(random),
      workers_(workers), reports_(reports), capacity_(options.capacity) {}

OutboundResponse CloudModel::serve(const OutboundBody& call) {
    OutboundResponse response;
    if (down_) {
        response.status = 503;
        return response;
    }
    response.status = 200;
    if (std::holds_alternative<ListInstanceTypes>(call)) {
        response.instance_types = {machine_type(options_)};
    } else if (const auto* order = std::get_if<ScaleOut>(&call)) {
        response.accepted_machines = rent(*order);
    } else if (std::holds_alternative<ListInstances>(call)) {
        response.instances = hosts();
    } else if (const auto* release = std::get_if<ScaleIn>(&call)) {
        for (const auto& machine : release->machines) {
            workers_.remove(machine);
        }
    }
    return response;
}

const std::vector<std::string>& CloudModel::rent(const ScaleOut& order) {
    auto [entry, is_new] = orders_.try_emplace(order.idempotency_key);
    if (is_new) {
        for (int k = 0; k < order.count && workers_.all().size() < capacity_; ++k) {
            entry->second.push_back(add_machine(order));
        }
    }
    return entry->second;
}

std::string CloudModel::add_machine(const ScaleOut& order) {
    Worker worker;
    worker.name = machine_name(next_machine_++);
    worker.zone = order.zone;
    worker.spot = order.spot;
    worker.rate = 1 + options_.drift * (next_machine_ % 2 ? 1 : -1);
    const std::string name = worker.name;
    workers_.add(std::move(worker));
    reports_.connect(name, next_machine_ % options_.nodes);
    bool quick = random_.fault(troubles_.quick_boots);
    bool cut_outbound = random_.fault(troubles_.outbound_cut_boots);
    double boot_s = quick ? random_.uniform(0, kQuickBootS) : options_.boot_s;
    clock_.after(boot_s, [this, name, cut_outbound] { workers_.boot(name, cut_outbound); });
    return name;
}

std::vector<Instance> CloudModel::hosts() const {
    std::vector<Instance> all;
    for (const auto& [name, worker] : workers_.all()) {
        InstanceState stage = worker.up ? InstanceState::running : InstanceState::booting;
        all.push_back({name, name + ":1", kMachineTypeName, worker.zone, worker.spot, stage, 0});
    }
    return all;
}

} // namespace scheduler::test
