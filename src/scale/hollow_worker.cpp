#include "scale/hollow_worker.h"

#include <algorithm>
#include <utility>

#include "scale/http_status.h"

namespace scheduler::scale {

HollowWorker::HollowWorker(Time now, Identity identity, const InstanceType& type, double lease_s,
                           const Environment& environment)
    : identity_(std::move(identity)), type_(type), lease_s_(lease_s), environment_(environment),
      lease_start_(now) {}

Heartbeat HollowWorker::heartbeat(Time now, bool sent) {
    advance(now);
    if (sent) {
        changed_ = false;
    }
    Heartbeat heartbeat;
    heartbeat.machine = identity_.name;
    heartbeat.endpoint = identity_.endpoint;
    heartbeat.type = type_.name;
    heartbeat.zone = identity_.zone;
    heartbeat.spot = identity_.spot;
    heartbeat.agent_epoch = agent_epoch_;
    heartbeat.sequence = ++sequence_;
    heartbeat.fencing_token = fencing_token_;
    for (const auto& [key, task] : tasks_) {
        heartbeat.tasks.push_back({key.task, key.attempt, task.stage, task.exit_reason});
    }
    return heartbeat;
}

bool HollowWorker::on_heartbeat_response(Time now, std::uint64_t agent_epoch, Time sent,
                                         const HeartbeatResponse& reply) {
    advance(now);
    if (agent_epoch != agent_epoch_ || reply.fencing_token == 0 ||
        reply.fencing_token < fencing_token_) {
        return false;
    }
    if (reply.fencing_token > fencing_token_) {
        fencing_token_ = reply.fencing_token;
        if (now - token_change_reported_at_ >= lease_s_ / 2) {
            token_change_reported_at_ = now;
            changed_ = true;
        }
    }
    lease_start_ = std::max(lease_start_, sent);
    execute(now, reply.commands);
    return true;
}

int HollowWorker::on_direct_commands(Time now, const DirectCommands& direct) {
    advance(now);
    if (direct.fencing_token < fencing_token_ || direct.agent_epoch != agent_epoch_) {
        return kHttpConflict;
    }
    if (direct.fencing_token > fencing_token_ && now - token_change_reported_at_ >= lease_s_ / 2) {
        token_change_reported_at_ = now;
        changed_ = true;
    }
    fencing_token_ = direct.fencing_token;
    execute(now, direct.commands);
    return kHttpOk;
}

void HollowWorker::execute(Time now, const std::vector<WorkerCommand>& commands) {
    for (const WorkerCommand& command : commands) {
        auto it = tasks_.find({command.task, command.attempt});
        if (command.type == CommandType::start) {
            if (it == tasks_.end()) {
                start(now, command);
            }
        } else if (it != tasks_.end() && command.type == CommandType::stop) {
            if (it->second.stage != TaskStage::exited) {
                exit(now, command.task, it->second,
                     ExitReason::stopped); // no task saves before it stops
            }
        } else if (it != tasks_.end() && it->second.stage == TaskStage::exited) {
            environment_.attempt_cleared(now - it->second.exited_at);
            tasks_.erase(it);
            changed_ = true;
        }
    }
}

// Returns whether some attempt of this task has not exited.
bool HollowWorker::occupied(const TaskId& task) const {
    for (auto it = tasks_.lower_bound({task, 0}); it != tasks_.end() && it->first.task == task;
         ++it) {
        if (it->second.stage != TaskStage::exited) {
            return true;
        }
    }
    return false;
}

void HollowWorker::start(Time now, const WorkerCommand& command) {
    Task task;
    auto spec = environment_.job(command.task.job);
    if (!spec || command.task.index >= spec->tasks) {
        task.exit_reason = ExitReason::unknown;
    } else if (occupied(command.task)) {
        task.exit_reason = ExitReason::busy;
    } else if (cpus_ + spec->cpus > type_.cpus || ram_gb_ + spec->ram_gb > type_.ram_gb) {
        task.exit_reason = ExitReason::insufficient_capacity;
    } else {
        task.cpus = spec->cpus;
        task.ram_gb = spec->ram_gb;
        task.image = spec->image;
        cpus_ += task.cpus;
        ram_gb_ += task.ram_gb;
        task.until =
            now + (images_.contains(task.image) ? 0 : spec->image_gb / type_.fetch_gb_per_s);
    }
    bool refused = task.exit_reason != ExitReason::none;
    if (refused) {
        task.stage = TaskStage::exited;
        task.exited_at = now;
    }
    environment_.attempt_begun(now, identity_.name, command.task, command.attempt, refused);
    tasks_[{command.task, command.attempt}] = std::move(task);
    changed_ = true;
    advance(now);
}

void HollowWorker::exit(Time now, const TaskId& task_id, Task& task, ExitReason exit_reason) {
    if (task.stage == TaskStage::running) {
        environment_.task_stopped(now, identity_.name, task_id, exit_reason == ExitReason::done);
    }
    task.stage = TaskStage::exited;
    task.exit_reason = exit_reason;
    task.exited_at = now;
    cpus_ -= task.cpus;
    ram_gb_ -= task.ram_gb;
    changed_ = true;
}

void HollowWorker::advance(Time now) {
    if (now > lease_start_ + lease_s_) {
        drop_all_tasks(now);
        ++agent_epoch_;
        lease_start_ = now;
        changed_ = true;
        return;
    }
    for (auto& [key, task] : tasks_) {
        const TaskId& task_id = key.task;
        if (task.stage == TaskStage::fetching && now >= task.until) {
            images_.insert(task.image);
            task.stage = TaskStage::running;
            changed_ = true;
            environment_.task_started(now, identity_.name, task_id);
            task.until =
                environment_.completed(task_id) ? now : now + environment_.task_duration_s(task_id);
        }
        if (task.stage == TaskStage::running && now >= task.until) {
            exit(now, task_id, task, ExitReason::done);
        }
    }
}

Time HollowWorker::next_event_time() const {
    Time first = lease_start_ + lease_s_;
    for (const auto& [key, task] : tasks_) {
        if (task.stage != TaskStage::exited) {
            first = std::min(first, task.until);
        }
    }
    return first;
}

void HollowWorker::drop_all_tasks(Time now) {
    for (auto& [key, task] : tasks_) {
        if (task.stage == TaskStage::running) {
            environment_.task_stopped(now, identity_.name, key.task, false);
        }
    }
    tasks_.clear();
    cpus_ = 0;
    ram_gb_ = 0;
}

void HollowWorker::terminate(Time now) { drop_all_tasks(now); }

} // namespace scheduler::scale
