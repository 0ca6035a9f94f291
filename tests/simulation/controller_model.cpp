#include "simulation/controller_model.h"

#include <utility>

#include "policy/default_policy.h"
#include "simulation/cluster_setup.h"

namespace scheduler::test {

namespace {
constexpr double kTickS = 0.25;
// Controllers start one after another.
constexpr double kStartIntervalS = 0.01;
// Offset between the steady clocks of two controllers, which have no common origin.
constexpr double kClockOffsetS = 1000;
} // namespace

ControllerModel::ControllerModel(const SimulationOptions& options, EventQueue& clock,
                                 RandomSource& random, NetworkModel& network,
                                 PendingRequests& requests, Callbacks callbacks)
    : options_(options), clock_(clock), random_(random), network_(network), requests_(requests),
      callbacks_(std::move(callbacks)) {
    for (int controller = 0; controller < options_.nodes; ++controller) {
        auto process = std::make_unique<Process>();
        process->cluster_settings = controller_settings(options_, controller);
        process->clock_rate = 1 + options_.drift * (controller % 2 ? 1 : 0);
        processes_.push_back(std::move(process));
        start(controller);
    }
}

ControllerModel::~ControllerModel() = default;

void ControllerModel::start(int controller) {
    Process& process = *processes_[controller];
    ++process.incarnation;
    process.core = std::make_unique<Controller>(process.cluster_settings,
                                                policy::defaults(process.cluster_settings));
    clock_.after(
        kStartIntervalS * (controller + 1),
        [this, controller, incarnation = process.incarnation] { tick(controller, incarnation); });
}

void ControllerModel::tick(int controller, int incarnation) {
    if (processes_[controller]->incarnation != incarnation || !running(controller)) {
        return;
    }
    input(controller, TimerTick{});
    clock_.after(kTickS, [this, controller, incarnation] { tick(controller, incarnation); });
}

void ControllerModel::crash(int controller, double restart_s) {
    Process& process = *processes_[controller];
    process.core.reset();
    process.held.clear();
    process.frozen_until = 0;
    ++process.incarnation;
    clock_.after(restart_s, [this, controller, incarnation = process.incarnation] {
        if (processes_[controller]->incarnation == incarnation) {
            start(controller);
            callbacks_.restarted();
        }
    });
}

void ControllerModel::freeze(int controller, double seconds) {
    Process& process = *processes_[controller];
    process.frozen_until = clock_.now() + seconds;
    clock_.after(seconds, [this, controller, incarnation = process.incarnation] {
        std::vector<Input> held = std::exchange(processes_[controller]->held, {});
        for (auto& held_input : held) {
            if (processes_[controller]->incarnation == incarnation) {
                input(controller, std::move(held_input));
            }
        }
    });
}

bool ControllerModel::awake(int controller) const {
    return running(controller) && clock_.now() >= processes_[controller]->frozen_until;
}

Time ControllerModel::steady_time(int controller) const {
    return kClockOffsetS * controller + clock_.now() * processes_[controller]->clock_rate;
}

void ControllerModel::input(int controller, Input input) {
    Process& process = *processes_[controller];
    if (awake(controller)) {
        pass_on(controller, process.core->handle(steady_time(controller), std::move(input)));
    } else if (running(controller)) {
        process.held.push_back(std::move(input));
    }
}

void ControllerModel::deliver(int controller, int incarnation, OutboundResponse response) {
    if (processes_[controller]->incarnation == incarnation) {
        input(controller, std::move(response));
    }
}

bool ControllerModel::migrate_shard(int leader, int partition, const ShardId& shard, int to) {
    return leader >= 0 && awake(leader) &&
           processes_[leader]->core->migrate_shard(steady_time(leader), partition, shard, to);
}

std::vector<ShardId> ControllerModel::held_shards(int leader, int partition) const {
    return leader < 0 || !running(leader) ? std::vector<ShardId>{}
                                          : processes_[leader]->core->shards(partition);
}

double ControllerModel::effort() const {
    double sum = 0;
    for (const auto& process : processes_) {
        sum += process->core ? static_cast<double>(process->core->effort()) : 0;
    }
    return sum;
}

void ControllerModel::pass_on(int controller, const Outputs& outputs) {
    for (const auto& line : outputs.log) {
        callbacks_.logged(controller, line.text);
    }
    const int incarnation = processes_[controller]->incarnation;
    for (const auto& response : outputs.responses) {
        pass_on(response);
        if (ended_after(controller, incarnation, nullptr, &response)) {
            return;
        }
    }
    for (const auto& request : outputs.requests) {
        callbacks_.requested(controller, request);
        if (ended_after(controller, incarnation, &request, nullptr)) {
            return;
        }
    }
}

void ControllerModel::pass_on(const Response& response) {
    auto handler = requests_.take(response.request_id);
    if (!handler) {
        callbacks_.answered(response);
        return;
    }
    if (random_.chance(options_.drop)) {
        return;
    }
    clock_.after(network_.delay(), [handler = *handler, response, sent_at = clock_.now()] {
        handler(response, sent_at);
    });
}

bool ControllerModel::ended_after(int controller, int incarnation, const OutboundRequest* request,
                                  const Response* response) {
    auto back_s = after_output ? after_output(controller, request, response) : std::nullopt;
    if (back_s && processes_[controller]->incarnation == incarnation) {
        crash(controller, *back_s);
    }
    return processes_[controller]->incarnation != incarnation;
}

} // namespace scheduler::test
