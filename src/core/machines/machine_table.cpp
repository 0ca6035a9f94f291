#include "core/machines/machine_table.h"

#include <algorithm>

#include "core/model/partition_assignment.h"

namespace scheduler {

namespace {
constexpr double kMinFetchGbPerS = 1e-3; // keeps fetch times finite
// Reported tasks that were placed by this leader, by their status in the heartbeat.
using ReportedTasks = std::map<TaskId, const TaskStatus*>;

// Assigns each task in a newer heartbeat to its placement; tasks without one are unexpected.
ReportedTasks match_tasks(Machine& machine, const Heartbeat& heartbeat) {
    ReportedTasks reported;
    for (const auto& status : heartbeat.tasks) {
        auto lent = machine.lent_slots.find(launch_id(status.attempt, status.task.index));
        if (lent != machine.lent_slots.end() && !machine.tasks.contains(status.task)) {
            // The first report of the task that the borrower launched on the lent slot.
            machine.tasks[status.task] = lent->second.placement;
            machine.lent_slots.erase(lent);
        }
        auto placed = machine.tasks.find(status.task);
        if (placed == machine.tasks.end() || placed->second.attempt != status.attempt) {
            machine.unexpected.push_back(status);
            if (status.stage == TaskStage::exited) {
                // Not known how it was started, but under no higher token than the worker had.
                machine.exited_start_tokens.try_emplace(
                    launch_id(status.attempt, status.task.index), heartbeat.fencing_token);
            }
        } else {
            reported[status.task] = &status;
        }
    }
    return reported;
}

// Returns whether the heartbeat, which does not report the task, proves that the task is not on the
// machine and will never be started there by this placement's launch.
bool proves_absence(const Placement& placement, const Heartbeat& heartbeat,
                    OutboundRequestId request, bool is_newer) {
    switch (placement.launch_state) {
    case Placement::LaunchState::queued: return false;
    case Placement::LaunchState::heartbeat_response:
        // A worker has one heartbeat in flight at a time: one that is newer than the heartbeat
        // whose response contained the launch proves that the worker has executed or dropped that
        // response.
        return is_newer && request == 0 && heartbeat.sequence > placement.heartbeat_sequence;
    case Placement::LaunchState::direct_command:
        return (request != 0 && placement.command_request == request) ||
               (is_newer && heartbeat.fencing_token > placement.fencing_token);
    case Placement::LaunchState::reported: return is_newer;
    }
    return false;
}

// Forgets the starts of exited tasks that the worker does not report any more.
void drop_cleared(Machine& machine, const Heartbeat& heartbeat) {
    if (machine.exited_start_tokens.empty()) {
        return;
    }
    std::set<LaunchId> exited;
    for (const auto& status : heartbeat.tasks) {
        if (status.stage == TaskStage::exited) {
            exited.insert(launch_id(status.attempt, status.task.index));
        }
    }
    std::erase_if(machine.exited_start_tokens,
                  [&](const auto& entry) { return !exited.contains(entry.first); });
}

// Raises the token; the last one of a term is kept for ever.
void raise_token(Machine& machine) {
    machine.fencing_sequence = std::min(machine.fencing_sequence + 1, kMaxFencingSequence);
}

// Returns whether a start under the present token may be on its way to the worker.
bool start_in_flight(const Machine& machine) {
    return machine.command_in_flight != 0 ||
           std::any_of(machine.lent_slots.begin(), machine.lent_slots.end(),
                       [&](const auto& entry) {
                           return entry.second.fencing_token == machine.fencing_token();
                       });
}

void update_reported(Time now, Placement& placement, TaskStage stage) {
    if (stage == TaskStage::running && placement.stage != TaskStage::running) {
        placement.running_since = now;
    }
    placement.launch_state = Placement::LaunchState::reported;
    placement.stage = stage;
}

// Updates each placement from its reported status, and removes the placements of tasks that have
// exited or are proved absent.
void update_placements(Time now, Machine& machine, const Heartbeat& heartbeat,
                       OutboundRequestId request, const ReportedTasks& reported,
                       HeartbeatResult& result) {
    for (auto it = machine.tasks.begin(); it != machine.tasks.end();) {
        Placement& placement = it->second;
        auto seen = reported.find(it->first);
        const TaskStatus* status = seen == reported.end() ? nullptr : seen->second;
        bool exited = status && status->stage == TaskStage::exited;
        if (exited) {
            machine.exited_start_tokens[launch_id(status->attempt, it->first.index)] =
                placement.fencing_token;
            result.removed.push_back({it->first, placement, status->exit_reason});
            machine.finished.push_back(*status);
            it = machine.tasks.erase(it);
        } else if (status) {
            update_reported(now, placement, status->stage);
            ++it;
        } else if (proves_absence(placement, heartbeat, request, result.is_newer)) {
            result.removed.push_back({it->first, placement, ExitReason::none});
            it = machine.tasks.erase(it);
        } else {
            ++it;
        }
    }
}
} // namespace

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
    for (const auto& [task, placement] : tasks) {
        used += placement.cpus;
    }
    for (const auto& [id, lent] : lent_slots) {
        used += lent.placement.cpus;
    }
    return type.cpus - used;
}

double Machine::free_gpus() const {
    double used = 0;
    for (const auto& [task, placement] : tasks) {
        used += placement.gpus;
    }
    for (const auto& [id, lent] : lent_slots) {
        used += lent.placement.gpus;
    }
    return type.gpus - used;
}

double Machine::free_ram() const {
    double used = 0;
    for (const auto& [task, placement] : tasks) {
        used += placement.ram_gb;
    }
    for (const auto& [id, lent] : lent_slots) {
        used += lent.placement.ram_gb;
    }
    return type.ram_gb - used;
}

bool Machine::has_image(const std::string& image) const {
    return std::any_of(images.begin(), images.end(),
                       [&](const CachedImage& cached) { return cached.name == image; });
}

double Machine::fetch_s(const std::string& image, double image_gb) const {
    return has_image(image) ? 0 : image_gb / std::max(kMinFetchGbPerS, type.fetch_gb_per_s);
}

bool Machine::has_unknown_resources() const {
    return std::any_of(tasks.begin(), tasks.end(),
                       [](const auto& entry) { return entry.second.resources_unknown; });
}

bool Machine::has_service() const {
    return std::any_of(tasks.begin(), tasks.end(),
                       [](const auto& entry) {
                           return entry.second.kind == JobKind::service ||
                                  entry.second.resources_unknown;
                       }) ||
           std::any_of(lent_slots.begin(), lent_slots.end(), [](const auto& entry) {
               return entry.second.placement.kind == JobKind::service;
           });
}

bool Machine::reports_exited(const TaskId& task) const {
    auto same = [&](const TaskStatus& status) { return status.task == task; };
    return std::any_of(finished.begin(), finished.end(), same) ||
           std::any_of(unexpected.begin(), unexpected.end(), same);
}

bool Machine::may_clear(const TaskStatus& exited) const {
    auto start = exited_start_tokens.find(launch_id(exited.attempt, exited.task.index));
    return start == exited_start_tokens.end() || start->second < fencing_token();
}

void Machine::touch_image(const std::string& image, double gb) {
    if (std::erase_if(images, [&](const CachedImage& cached) { return cached.name == image; }) ==
        0) {
        ++images_version;
    }
    images.push_back({image, gb});
    double cached_gb = 0;
    for (const auto& cached : images) {
        cached_gb += cached.gb;
    }
    while (cached_gb > type.cache_gb && images.size() > 1) {
        cached_gb -= images.front().gb;
        images.erase(images.begin());
        ++images_version;
    }
}

void Machine::forget_images() {
    images.clear();
    ++images_version;
}

void Machine::drop_obsolete_remote_commands() {
    if (remote_stops.empty() && remote_clears.empty()) {
        return;
    }
    std::set<LaunchId> present;
    for (const auto& status : finished) {
        present.insert(launch_id(status.attempt, status.task.index));
    }
    for (const auto& [task, placement] : tasks) {
        present.insert(launch_id(placement.attempt, task.index));
    }
    for (const auto& [id, lent] : lent_slots) { // the launch may still arrive
        present.insert(id);
    }
    std::erase_if(remote_stops, [&](const auto& stop) { return !present.contains(stop.first); });
    std::erase_if(remote_clears, [&](const LaunchId& id) { return !present.contains(id); });
}

bool Machine::runs_unexpected_tasks() const {
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
    std::vector<HeartbeatResult::RemovedTask> removed;
    auto it = machines_.find(name);
    if (it == machines_.end()) {
        return removed;
    }
    for (const auto& [task, placement] : it->second.tasks) {
        removed.push_back({task, placement, ExitReason::none});
    }
    set_reported(it->second, false);
    machines_.erase(it);
    return removed;
}

double MachineTable::max_lease_s() const { return lease_s_ * (1 + kMaxClockDrift) + margin_s_; }

// All tasks of the previous agent epoch are gone, and no message of this leader to that epoch can
// be executed any more: the worker drops responses to it and refuses its direct commands.
void MachineTable::begin_epoch(Time now, Machine& machine, std::uint64_t agent_epoch,
                               HeartbeatResult& result) {
    for (auto it = machine.tasks.begin(); it != machine.tasks.end();) {
        if (it->second.launch_state == Placement::LaunchState::queued) {
            ++it;
        } else {
            result.removed.push_back({it->first, it->second, ExitReason::none});
            it = machine.tasks.erase(it);
        }
    }
    machine.lent_slots.clear(); // their launches name the previous epoch and will be refused
    machine.exited_start_tokens.clear();
    machine.agent_epoch = agent_epoch;
    // The worker's lease starts with the epoch. This holds as well if the epoch is learned from the
    // response to a direct command, which does not renew the lease otherwise.
    on_lease_renewed(now, machine);
    machine.heartbeat_sequence = 0;
    machine.forget_images();
}

void MachineTable::apply_newer(Machine& machine, const Heartbeat& heartbeat) {
    machine.heartbeat_sequence = heartbeat.sequence;
    set_reported(machine, true);
    machine.fenced = heartbeat.fencing_token >= machine.fence_token();
    machine.preemption_notice_s = heartbeat.preemption_notice_s;
    machine.unexpected.clear();
    machine.finished.clear();
}

HeartbeatResult MachineTable::apply_heartbeat(Time now, Machine& machine,
                                              const Heartbeat& heartbeat,
                                              OutboundRequestId request) {
    HeartbeatResult result;
    if (heartbeat.agent_epoch <= machine.expired_epoch) {
        return result;
    }
    if (heartbeat.agent_epoch > machine.agent_epoch) {
        begin_epoch(now, machine, heartbeat.agent_epoch, result);
    }
    result.is_newer = heartbeat.agent_epoch == machine.agent_epoch &&
                      heartbeat.sequence > machine.heartbeat_sequence;
    ReportedTasks reported;
    if (result.is_newer) {
        apply_newer(machine, heartbeat);
        drop_cleared(machine, heartbeat);
        reported = match_tasks(machine, heartbeat);
        // The worker refuses launches under older tokens from now on.
        std::erase_if(machine.lent_slots, [&](const auto& lent) {
            return heartbeat.fencing_token > lent.second.fencing_token;
        });
    }
    update_placements(now, machine, heartbeat, request, reported, result);
    return result;
}

void MachineTable::adopt(Time now, Machine& machine, const TaskStatus& status,
                         Placement placement) {
    placement.attempt = status.attempt;
    placement.launch_state = Placement::LaunchState::reported;
    placement.fencing_token = machine.fencing_token(); // not known: no start had a higher one
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
    raise_token(machine);
    machine.fence_sequence = machine.fencing_sequence;
    machine.fenced = false;
}

bool MachineTable::raise_token_for_clears(Time now, Machine& machine,
                                          const std::vector<TaskStatus>& exited,
                                          double max_hold_s) {
    if (std::all_of(exited.begin(), exited.end(),
                    [&](const TaskStatus& status) { return machine.may_clear(status); })) {
        machine.clears_held_since.reset();
        return false;
    }
    if (!machine.clears_held_since) {
        machine.clears_held_since = now;
    }
    bool may_hold = now - *machine.clears_held_since < max_hold_s &&
                    static_cast<double>(exited.size()) < machine.type.cpus;
    if (may_hold && start_in_flight(machine)) {
        return false;
    }
    machine.clears_held_since.reset();
    raise_token(machine);
    return true;
}

void MachineTable::on_lease_renewed(Time now, Machine& machine) {
    machine.lease_expires_at = std::max(machine.lease_expires_at, now + max_lease_s());
}

std::vector<HeartbeatResult::RemovedTask> MachineTable::expire_lease(Machine& machine) {
    std::vector<HeartbeatResult::RemovedTask> removed;
    for (const auto& [task, placement] : machine.tasks) {
        removed.push_back({task, placement, ExitReason::none});
    }
    machine.tasks.clear();
    machine.lent_slots.clear();
    machine.outbox.clear();
    machine.unexpected.clear();
    machine.finished.clear();
    machine.exited_start_tokens.clear();
    set_reported(machine, false);
    machine.fenced = false;
    machine.expired_epoch = std::max(machine.expired_epoch, machine.agent_epoch);
    return removed;
}

bool MachineTable::lease_expired(Time now, const Machine& machine) const {
    return now > machine.lease_expires_at;
}

void MachineTable::schedule_check(Machine& machine, Time at) {
    machine.check_at = at;
    checks_.insert({at, machine.name});
}

void MachineTable::set_reported(Machine& machine, bool reported) {
    reporting_count_ += reported && !machine.reporting ? 1 : 0;
    reporting_count_ -= machine.reporting && !reported ? 1 : 0;
    machine.reporting = reported;
}

std::vector<Machine*> MachineTable::expired_machines(Time now) {
    std::vector<Machine*> machines;
    while (!checks_.empty() && checks_.begin()->at < now) {
        auto entry = checks_.extract(checks_.begin());
        Machine* machine = find(entry.value().machine);
        if (!machine || machine->check_at != entry.value().at) {
            continue; // the machine is gone, or its check was rescheduled
        }
        bool expired = lease_expired(now, *machine);
        schedule_check(*machine, expired ? now + margin_s_ : machine->lease_expires_at);
        if (expired) {
            machines.push_back(machine);
        }
    }
    return machines;
}

void MachineTable::queue_start(Time now, Machine& machine, const TaskId& task,
                               Placement placement) {
    placement.since = now;
    machine.outbox.push_back({CommandType::start, task, placement.attempt, 0});
    queued_.insert(machine.name);
    machine.touch_image(placement.image, placement.image_gb);
    machine.tasks[task] = std::move(placement);
}

std::vector<Machine*> MachineTable::machines_with_commands(std::size_t max_machines) {
    std::vector<Machine*> ready;
    std::erase_if(queued_, [&](const std::string& name) {
        Machine* machine = find(name);
        if (!machine || machine->outbox.empty()) {
            return true;
        }
        if (machine->command_in_flight == 0 && machine->fenced && ready.size() < max_machines) {
            ready.push_back(machine);
        }
        return false;
    });
    return ready;
}

std::vector<WorkerCommand> MachineTable::take_commands_for_response(Machine& machine) {
    std::vector<WorkerCommand> commands = std::move(machine.outbox);
    machine.outbox.clear();
    for (const auto& command : commands) {
        if (command.type == CommandType::start) {
            Placement& placement = machine.tasks.at(command.task);
            placement.launch_state = Placement::LaunchState::heartbeat_response;
            placement.heartbeat_sequence = machine.heartbeat_sequence;
        }
    }
    return commands;
}

std::vector<WorkerCommand> MachineTable::take_commands_for_request(Machine& machine) {
    std::vector<WorkerCommand> commands = std::move(machine.outbox);
    machine.outbox.clear();
    for (const auto& command : commands) {
        if (command.type == CommandType::start) {
            Placement& placement = machine.tasks.at(command.task);
            placement.launch_state = Placement::LaunchState::direct_command;
            placement.fencing_token = machine.fencing_token();
        }
    }
    return commands;
}

void MachineTable::on_commands_sent(Machine& machine, const std::vector<WorkerCommand>& commands,
                                    OutboundRequestId request) {
    machine.command_in_flight = request;
    for (const auto& command : commands) {
        if (command.type == CommandType::start) {
            machine.tasks.at(command.task).command_request = request;
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
    std::vector<HeartbeatResult::RemovedTask> removed;
    std::erase_if(machine.outbox, [&](const WorkerCommand& command) {
        return command.type == CommandType::start && (!job || command.task.job == *job);
    });
    for (auto it = machine.tasks.begin(); it != machine.tasks.end();) {
        if (it->second.launch_state == Placement::LaunchState::queued &&
            (!job || it->first.job == *job)) {
            removed.push_back({it->first, it->second, ExitReason::none});
            it = machine.tasks.erase(it);
        } else {
            ++it;
        }
    }
    return removed;
}

} // namespace scheduler
