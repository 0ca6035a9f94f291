#include "simulation/cloud_model.h"

#include <algorithm>
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

InstanceType type_named(const SimulationOptions& options, const std::string& name) {
    std::vector<InstanceType> types = machine_types(options);
    auto found = std::find_if(types.begin(), types.end(),
                              [&](const InstanceType& type) { return type.name == name; });
    return found == types.end() ? types.front() : *found;
}
} // namespace

CloudModel::CloudModel(const SimulationOptions& options, const RandomFaults& random_faults,
                       EventQueue& clock, RandomSource& random, WorkerModel& workers,
                       HeartbeatSender& heartbeats)
    : options_(options), random_faults_(random_faults), clock_(clock), random_(random),
      workers_(workers), heartbeats_(heartbeats), capacity_(options.capacity) {}

OutboundResponse CloudModel::serve(const OutboundBody& request) {
    OutboundResponse response;
    if (down_) {
        response.status = 503;
        return response;
    }
    response.status = 200;
    if (std::holds_alternative<ListInstanceTypes>(request)) {
        response.instance_types = machine_types(options_);
    } else if (const auto* scale_out = std::get_if<ScaleOut>(&request)) {
        response.accepted_machines = provision(*scale_out);
    } else if (std::holds_alternative<ListInstances>(request)) {
        response.instances = instances();
    } else if (const auto* release = std::get_if<ScaleIn>(&request)) {
        for (const auto& machine : release->machines) {
            workers_.remove(machine);
        }
    }
    return response;
}

const std::vector<std::string>& CloudModel::provision(const ScaleOut& scale_out) {
    auto [entry, is_new] = machines_by_request_.try_emplace(scale_out.idempotency_key);
    if (is_new && !(scale_out.spot && spot_sold_out_)) {
        for (int k = 0; k < scale_out.count && workers_.all().size() < capacity_; ++k) {
            entry->second.push_back(add_machine(scale_out));
        }
    }
    return entry->second;
}

std::string CloudModel::add_machine(const ScaleOut& scale_out) {
    Worker worker;
    worker.name = machine_name(next_machine_++);
    worker.type = type_named(options_, scale_out.type);
    worker.zone = scale_out.zone;
    worker.spot = scale_out.spot;
    worker.clock_rate = 1 + options_.drift * (next_machine_ % 2 ? 1 : -1);
    const std::string name = worker.name;
    const double usual_boot_s = worker.type.boot_s;
    workers_.add(std::move(worker));
    heartbeats_.connect(name, next_machine_ % options_.nodes);
    bool quick = random_.fault(random_faults_.quick_boots);
    bool cut_outbound = random_.fault(random_faults_.outbound_cut_boots);
    double boot_s = quick ? random_.uniform(0, kQuickBootS) : usual_boot_s;
    clock_.after(boot_s, [this, name, cut_outbound] { workers_.boot(name, cut_outbound); });
    return name;
}

std::vector<Instance> CloudModel::instances() const {
    std::vector<Instance> all;
    for (const auto& [name, worker] : workers_.all()) {
        InstanceState stage = worker.up ? InstanceState::running : InstanceState::booting;
        all.push_back({name, name + ":1", worker.type.name, worker.zone, worker.spot, stage, 0});
    }
    return all;
}

} // namespace scheduler::test
