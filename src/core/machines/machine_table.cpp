#include "core/machines/machine_table.h"

#include <algorithm>

#include "core/model/partition_assignment.h"

namespace scheduler {

Placement placement_for(const JobSpec& spec) {
    Placement placement;
    placement.team = spec.team;
    placement.kind = spec.kind;
    placement.priority = spec.priority;
    placement.cpus = spec.cpus;
    placement.gpus = spec.gpus;
    placement.ram_gb = spec.ram_gb;
    placement.image = spec.image;
    placement.image_gb = spec.image_gb;
    return placement;
}

double Machine::free_cpus() const {
    double used = 0;
    for (const auto& [task, p] : tasks) {
        used += p.cpus;
    }
    for (const auto& [attempt, lot] : lent_slots) {
        used += lot.placement.cpus;
    }
    return type.cpus - used;
}

double Machine::free_gpus() const {
    double used = 0;
    for (const auto& [task, p] : tasks) {
        used += p.gpus;
    }
    for (const auto& [attempt, lot] : lent_slots) {
        used += lot.placement.gpus;
    }
    return type.gpus - used;
}

double Machine::free_ram() const {
    double used = 0;
    for (const auto& [task, p] : tasks) {
        used += p.ram_gb;
    }
    for (const auto& [attempt, lot] : lent_slots) {
        used += lot.placement.ram_gb;
    }
    return type.ram_gb - used;
}

bool Machine::has_image(const std::string& image) const {
    return std::any_of(images.begin(), images.end(),
                       [&](const CachedImage& i) { return i.name == image; });
}

bool Machine::has_unknown_resources() const {
    return std::any_of(tasks.begin(), tasks.end(),
                       [](const auto& t) { return t.second.resources_unknown; });
}

bool Machine::has_service() const {
    return std::any_of(tasks.begin(), tasks.end(),
                       [](const auto& t) {
                           return t.second.kind == JobKind::service || t.second.resources_unknown;
                       }) ||
           std::any_of(lent_slots.begin(), lent_slots.end(),
                       [](const auto& l) { return l.second.placement.kind == JobKind::service; });
}

bool Machine::reports_exited(const TaskId& task) const {
    auto same = [&](const TaskStatus& status) { return status.task == task; };
    return std::any_of(finished.begin(), finished.end(), same) ||
           std::any_of(unexpected.begin(), unexpected.end(), same);
}

void Machine::touch_image(const std::string& image, double gb) {
    if (std::erase_if(images, [&](const CachedImage& i) { return i.name == image; }) == 0) {
        ++images_version;
    }
    images.push_back({image, gb});
    double held = 0;
    for (const auto& i : images) {
        held += i.gb;
    }
    while (held > type.cache_gb && images.size() > 1) {
        held -= images.front().gb;
        images.erase(images.begin());
        ++images_version;
    }
}

void Machine::forget_images() {
    images.clear();
    ++images_version;
}

void Machine::forget_remote_commands() {
    if (remote_stops.empty() && remote_clears.empty()) {
        return;
    }
    std::set<LaunchId> here;
    for (const auto& t : finished) {
        here.insert(launch_id(t.attempt, t.task.index));
    }
    for (const auto& [task, p] : tasks) {
        here.insert(launch_id(p.attempt, task.index));
    }
    for (const auto& [id, lot] : lent_slots) { // the start may be on its way
        here.insert(id);
    }
    std::erase_if(remote_stops, [&](const auto& stop) { return !here.contains(stop.first); });
    std::erase_if(remote_clears, [&](const LaunchId& id) { return !here.contains(id); });
}

bool Machine::has_unexpected() const {
    return std::any_of(unexpected.begin(), unexpected.end(),
                       [](const TaskStatus& status) { return status.stage != TaskStage::exited; });
}

Machine* MachineTable::find(const std::string& name) {
    auto it = machines_.find(name);
    return it == machines_.end() ? nullptr : &it->second;
}

Machine& MachineTable::add(Time now, const std::string& name, const InstanceType& type,
                           const std::string& zone, bool spot, const ShardId& shard,
                           std::uint64_t term) {
    Machine& machine = machines_[name];
    machine.name = name;
    machine.type = type;
    machine.zone = zone;
    machine.spot = spot;
    machine.shard = shard;
    machine.term = term;
    machine.known_since = now;
    machine.idle_since = now;
    machine.lease_expires_at = now + max_lease_s();
    schedule_check(machine, machine.lease_expires_at);
    return machine;
}

std::vector<HeartbeatResult::RemovedTask> MachineTable::remove(const std::string& name) {
    std::vector<HeartbeatResult::RemovedTask> gone;
    auto it = machines_.find(name);
    if (it == machines_.end()) {
        return gone;
    }
    for (const auto& [task, p] : it->second.tasks) {
        gone.push_back({task, p, ExitReason::none});
    }
    set_reported(it->second, false);
    machines_.erase(it);
    return gone;
}

double MachineTable::max_lease_s() const { return lease_s_ * (1 + kMaxClockDrift) + margin_s_; }

HeartbeatResult MachineTable::apply_heartbeat(Time now, Machine& machine,
                                              const Heartbeat& heartbeat,
                                              OutboundRequestId orders) {
    HeartbeatResult result;
    if (heartbeat.agent_epoch <= machine.expired_epoch) {
        return result;
    }
    if (heartbeat.agent_epoch > machine.agent_epoch) {
        // Every task of the session before is gone, and no message of ours to it can be
        // executed any more: responses to it are dropped, direct commands refused.
        for (auto it = machine.tasks.begin(); it != machine.tasks.end();) {
            if (it->second.via == Placement::Via::queued) {
                ++it;
            } else {
                result.removed.push_back({it->first, it->second, ExitReason::none});
                it = machine.tasks.erase(it);
            }
        }
        machine.lent_slots.clear(); // their starts name the session before, so they are refused
        machine.agent_epoch = heartbeat.agent_epoch;
        // Its lease runs from when the session began, whether we hear of it by a report or by the
        // answer to a direct command, which renews nothing.
        on_lease_renewed(now, machine);
        machine.heartbeat_sequence = 0;
        machine.forget_images();
    }
    bool newer = heartbeat.agent_epoch == machine.agent_epoch &&
                 heartbeat.sequence > machine.heartbeat_sequence;
    if (newer) {
        result.is_newer = true;
        machine.heartbeat_sequence = heartbeat.sequence;
        set_reported(machine, true);
        machine.fenced = heartbeat.fencing_token >= machine.fencing_token();
        machine.preemption_notice_s = heartbeat.preemption_notice_s;
        machine.unexpected.clear();
        machine.finished.clear();
    }
    std::map<TaskId, const TaskStatus*> listed;
    if (newer) {
        for (const auto& status : heartbeat.tasks) {
            if (auto lot = machine.lent_slots.find(launch_id(status.attempt, status.task.index));
                lot != machine.lent_slots.end() && !machine.tasks.contains(status.task)) {
                machine.tasks[status.task] = lot->second.placement; // the thief's start has shown
                machine.lent_slots.erase(lot);
            }
            auto it = machine.tasks.find(status.task);
            if (it == machine.tasks.end() || it->second.attempt != status.attempt) {
                machine.unexpected.push_back(status);
            } else {
                listed[status.task] = &status;
            }
        }
    }
    if (newer) {
        std::erase_if(machine.lent_slots, [&](const auto& lot) {
            return heartbeat.fencing_token > lot.second.fencing_token;
        });
    }
    for (auto it = machine.tasks.begin(); it != machine.tasks.end();) {
        Placement& placement = it->second;
        auto seen = listed.find(it->first);
        if (seen != listed.end()) {
            const TaskStatus& status = *seen->second;
            if (status.stage == TaskStage::exited) {
                result.removed.push_back({it->first, placement, status.exit_reason});
                machine.finished.push_back(status);
                it = machine.tasks.erase(it);
                continue;
            }
            if (status.stage == TaskStage::running && placement.stage != TaskStage::running) {
                placement.running_since = now;
            }
            placement.via = Placement::Via::reported;
            placement.stage = status.stage;
            ++it;
            continue;
        }
        bool gone = false;
        switch (placement.via) {
        case Placement::Via::queued: break;
        case Placement::Via::heartbeat_response:
            // One report is in flight at a time: a report newer than the one answered shows
            // that the response was executed before it, or dropped.
            gone = newer && orders == 0 && heartbeat.sequence > placement.heartbeat_sequence;
            break;
        case Placement::Via::direct_command:
            gone = (orders != 0 && placement.command_request == orders) ||
                   (newer && heartbeat.fencing_token > placement.fencing_token);
            break;
        case Placement::Via::reported: gone = newer; break;
        }
        if (gone) {
            result.removed.push_back({it->first, placement, ExitReason::none});
            it = machine.tasks.erase(it);
        } else {
            ++it;
        }
    }
    return result;
}

void MachineTable::adopt(Time now, Machine& machine, const TaskStatus& status,
                         Placement placement) {
    placement.attempt = status.attempt;
    placement.via = Placement::Via::reported;
    placement.stage = status.stage;
    placement.since = now;
    placement.running_since = now;
    machine.touch_image(placement.image, placement.image_gb);
    machine.tasks[status.task] = std::move(placement);
    std::erase_if(machine.unexpected, [&](const TaskStatus& other) {
        return other.task == status.task && other.attempt == status.attempt;
    });
}

void MachineTable::fence(Machine& machine) {
    ++machine.fencing_sequence;
    machine.fenced = false;
}

void MachineTable::on_lease_renewed(Time now, Machine& machine) {
    machine.lease_expires_at = std::max(machine.lease_expires_at, now + max_lease_s());
}

std::vector<HeartbeatResult::RemovedTask> MachineTable::expire_lease(Machine& machine) {
    std::vector<HeartbeatResult::RemovedTask> gone;
    for (const auto& [task, p] : machine.tasks) {
        gone.push_back({task, p, ExitReason::none});
    }
    machine.tasks.clear();
    machine.lent_slots.clear();
    machine.outbox.clear();
    machine.unexpected.clear();
    machine.finished.clear();
    set_reported(machine, false);
    machine.fenced = false;
    machine.expired_epoch = std::max(machine.expired_epoch, machine.agent_epoch);
    return gone;
}

bool MachineTable::lease_expired(Time now, const Machine& machine) const {
    return now > machine.lease_expires_at;
}

void MachineTable::schedule_check(Machine& machine, Time when) {
    machine.check_at = when;
    checks_.emplace(when, machine.name);
}

void MachineTable::set_reported(Machine& machine, bool reported) {
    reporting_count_ += reported && !machine.reporting ? 1 : 0;
    reporting_count_ -= machine.reporting && !reported ? 1 : 0;
    machine.reporting = reported;
}

std::vector<Machine*> MachineTable::expired_machines(Time now) {
    std::vector<Machine*> out;
    while (!checks_.empty() && checks_.begin()->first < now) {
        auto entry = checks_.extract(checks_.begin());
        Machine* machine = find(entry.value().second);
        if (!machine || machine->check_at != entry.value().first) {
            continue; // gone, or entered anew since
        }
        bool over = lease_expired(now, *machine);
        schedule_check(*machine, over ? now + margin_s_ : machine->lease_expires_at);
        if (over) {
            out.push_back(machine);
        }
    }
    return out;
}

void MachineTable::queue_start(Time now, Machine& machine, const TaskId& task,
                               Placement placement) {
    placement.since = now;
    machine.outbox.push_back({CommandType::start, task, placement.attempt, 0});
    queued_.insert(machine.name);
    machine.touch_image(placement.image, placement.image_gb);
    machine.tasks[task] = std::move(placement);
}

std::vector<Machine*> MachineTable::machines_with_commands(std::size_t most) {
    std::vector<Machine*> out;
    std::erase_if(queued_, [&](const std::string& name) {
        Machine* machine = find(name);
        if (!machine || machine->outbox.empty()) {
            return true;
        }
        if (machine->command_in_flight == 0 && machine->fenced && out.size() < most) {
            out.push_back(machine);
        }
        return false;
    });
    return out;
}

std::vector<WorkerCommand> MachineTable::send_in_response(Machine& machine) {
    std::vector<WorkerCommand> commands = std::move(machine.outbox);
    machine.outbox.clear();
    for (const auto& c : commands) {
        if (c.type == CommandType::start) {
            Placement& placement = machine.tasks.at(c.task);
            placement.via = Placement::Via::heartbeat_response;
            placement.heartbeat_sequence = machine.heartbeat_sequence;
        }
    }
    return commands;
}

std::vector<WorkerCommand> MachineTable::send_directly(Machine& machine) {
    std::vector<WorkerCommand> commands = std::move(machine.outbox);
    machine.outbox.clear();
    for (const auto& c : commands) {
        if (c.type == CommandType::start) {
            Placement& placement = machine.tasks.at(c.task);
            placement.via = Placement::Via::direct_command;
            placement.fencing_token = machine.fencing_token();
        }
    }
    return commands;
}

void MachineTable::on_sent_directly(Machine& machine, const std::vector<WorkerCommand>& commands,
                                    OutboundRequestId call) {
    machine.command_in_flight = call;
    for (const auto& command : commands) {
        if (command.type == CommandType::start) {
            machine.tasks.at(command.task).command_request = call;
        }
    }
}

void MachineTable::queue_stop(Machine& machine, const TaskId& task, std::uint64_t attempt,
                              double grace_s) {
    machine.outbox.push_back({CommandType::stop, task, attempt, grace_s});
    queued_.insert(machine.name);
}

std::vector<HeartbeatResult::RemovedTask>
MachineTable::cancel_queued_starts(Machine& machine, const std::string* job) {
    std::vector<HeartbeatResult::RemovedTask> gone;
    std::erase_if(machine.outbox, [&](const WorkerCommand& command) {
        return command.type == CommandType::start && (!job || command.task.job == *job);
    });
    for (auto it = machine.tasks.begin(); it != machine.tasks.end();) {
        if (it->second.via == Placement::Via::queued && (!job || it->first.job == *job)) {
            gone.push_back({it->first, it->second, ExitReason::none});
            it = machine.tasks.erase(it);
        } else {
            ++it;
        }
    }
    return gone;
}

} // namespace scheduler
