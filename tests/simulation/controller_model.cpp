/// @file
/// The processes of the controllers: see controller_model.h.
#include "simulation/controller_model.h"

#include <utility>

#include "policy/default_policy.h"
#include "simulation/cluster_setup.h"

namespace scheduler::test {

namespace {
constexpr double kTickS = 0.25;
/// Controllers start one after the other.
constexpr double kStartDistanceS = 0.01;
/// Their steady clocks have nothing in common.
constexpr double kClockDistanceS = 1000;
} // namespace

ControllerModel::ControllerModel(const SimulationOptions& options, EventQueue& clock,
                                 RandomSource& random, NetworkModel& network,
                                 PendingRequests& requests, Callbacks callbacks)
    : options_(options), clock_(clock), random_(random), network_(network), requests_(requests),
      callbacks_(std::move(callbacks)) {
    for (int controller = 0; controller < options_.nodes; ++controller) {
        auto process = std::make_unique<Process>();
        process->cluster_settings = controller_settings(options_, controller);
        process->rate = 1 + options_.drift * (controller % 2 ? 1 : 0);
        processes_.push_back(std::move(process));
        start(controller);
    }
}

ControllerModel::~ControllerModel() = default;

void ControllerModel::start(int controller) {
    Process& process = *processes_[controller];
    ++process.life;
    process.core = std::make_unique<Controller>(process.cluster_settings,
                                                policy::defaults(process.cluster_settings));
    clock_.after(kStartDistanceS * (controller + 1),
                 [this, controller, life = process.life] { tick(controller, life); });
}

void ControllerModel::tick(int controller, int life) {
    if (processes_[controller]->life != life || !running(controller)) {
        return;
    }
    input(controller, TimerTick{});
    clock_.after(kTickS, [this, controller, life] { tick(controller, life); });
}

void ControllerModel::crash(int controller, double restart_s) {
    Process& process = *processes_[controller];
    process.core.reset();
    process.held.clear();
    process.frozen_until = 0;
    ++process.life;
    clock_.after(restart_s, [this, controller, life = process.life] {
        if (processes_[controller]->life == life) {
            start(controller);
        }
    });
}

void ControllerModel::freeze(int controller, double seconds) {
    Process& process = *processes_[controller];
    process.frozen_until = clock_.now() + seconds;
    clock_.after(seconds, [this, controller, life = process.life] {
        std::vector<Input> held = std::exchange(processes_[controller]->held, {});
        for (auto& held_input : held) {
            if (processes_[controller]->life == life) {
                input(controller, std::move(held_input));
            }
        }
    });
}

bool ControllerModel::awake(int controller) const {
    return running(controller) && clock_.now() >= processes_[controller]->frozen_until;
}

Time ControllerModel::steady_time(int controller) const {
    return kClockDistanceS * controller + clock_.now() * processes_[controller]->rate;
}

void ControllerModel::input(int controller, Input input) {
    Process& process = *processes_[controller];
    if (awake(controller)) {
        pass_on(controller, process.core->handle(steady_time(controller), std::move(input)));
    } else if (running(controller)) {
        process.held.push_back(std::move(input));
    }
}

void ControllerModel::deliver(int controller, int life, OutboundResponse response) {
    if (processes_[controller]->life == life) {
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
    const int life = processes_[controller]->life;
    for (const auto& answer : outputs.responses) {
        pass_on(answer);
        if (ended_after(controller, life, nullptr, &answer)) {
            return;
        }
    }
    for (const auto& call : outputs.requests) {
        callbacks_.called(controller, call);
        if (ended_after(controller, life, &call, nullptr)) {
            return;
        }
    }
}

void ControllerModel::pass_on(const Response& answer) {
    auto handler = requests_.take(answer.request_id);
    if (!handler) {
        callbacks_.answered(answer);
        return;
    }
    if (random_.chance(options_.drop)) {
        return;
    }
    clock_.after(network_.delay(),
                 [handler = *handler, answer, left = clock_.now()] { handler(answer, left); });
}

bool ControllerModel::ended_after(int controller, int life, const OutboundRequest* call,
                                  const Response* answer) {
    auto back_s = after_output ? after_output(controller, call, answer) : std::nullopt;
    if (back_s && processes_[controller]->life == life) {
        crash(controller, *back_s);
    }
    return processes_[controller]->life != life;
}

} // namespace scheduler::test
