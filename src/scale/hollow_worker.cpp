#include "scale/hollow_worker.h"

#include <algorithm>
#include <utility>

#include "scale/http_status.h"

namespace scheduler::scale {

HollowWorker::HollowWorker(Time now, Identity identity, const InstanceType& type, double lease_s,
                           const Environment& environment)
    : identity_(std::move(identity)), type_(type), lease_s_(lease_s), environment_(environment),
      lease_from_(now) {}

Heartbeat HollowWorker::report(Time now, bool sent) {
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
    heartbeat.agent_epoch = session_;
    heartbeat.sequence = ++tick_;
    heartbeat.fencing_token = token_;
    for (const auto& [key, task] : tasks_) {
        heartbeat.tasks.push_back({key.task, key.attempt, task.stage, task.why});
    }
    return heartbeat;
}

bool HollowWorker::on_report_reply(Time now, std::uint64_t session, Time sent,
                                   const ReportReply& reply) {
    advance(now);
    if (session != session_ || reply.token == 0 || reply.token < token_) {
        return false;
    }
    if (reply.token > token_) {
        token_ = reply.token;
        if (now - token_change_counted_ >= lease_s_ / 2) {
            token_change_counted_ = now;
            changed_ = true;
        }
    }
    lease_from_ = std::max(lease_from_, sent);
    execute(now, reply.commands);
    return true;
}

int HollowWorker::on_direct_commands(Time now, const DirectCommands& direct) {
    advance(now);
    if (direct.token < token_ || direct.session != session_) {
        return kHttpConflict;
    }
    if (direct.token > token_ && now - token_change_counted_ >= lease_s_ / 2) {
        token_change_counted_ = now;
        changed_ = true;
    }
    token_ = direct.token;
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
                exit(now, command.task, it->second, ExitReason::stopped); // none of them saves
            }
        } else if (it != tasks_.end() && it->second.stage == TaskStage::exited) {
            tasks_.erase(it);
            changed_ = true;
        }
    }
}

// With another attempt, and not exited.
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
        task.why = ExitReason::unknown;
    } else if (occupied(command.task)) {
        task.why = ExitReason::busy;
    } else if (cpus_ + spec->cpus > type_.cpus || ram_gb_ + spec->ram_gb > type_.ram_gb) {
        task.why = ExitReason::insufficient_capacity;
    } else {
        task.cpus = spec->cpus;
        task.ram_gb = spec->ram_gb;
        task.image = spec->image;
        cpus_ += task.cpus;
        ram_gb_ += task.ram_gb;
        task.until =
            now + (images_.contains(task.image) ? 0 : spec->image_gb / type_.fetch_gb_per_s);
    }
    if (task.why != ExitReason::none) {
        task.stage = TaskStage::exited;
    }
    tasks_[{command.task, command.attempt}] = std::move(task);
    changed_ = true;
    advance(now);
}

void HollowWorker::exit(Time now, const TaskId& ref, Task& task, ExitReason why) {
    if (task.stage == TaskStage::running) {
        environment_.task_stopped(now, identity_.name, ref, why == ExitReason::done);
    }
    task.stage = TaskStage::exited;
    task.why = why;
    cpus_ -= task.cpus;
    ram_gb_ -= task.ram_gb;
    changed_ = true;
}

void HollowWorker::advance(Time now) {
    if (now > lease_from_ + lease_s_) {
        drop_all_tasks(now);
        ++session_;
        lease_from_ = now;
        changed_ = true;
        return;
    }
    for (auto& [key, task] : tasks_) {
        const TaskId& ref = key.task;
        if (task.stage == TaskStage::fetching && now >= task.until) {
            images_.insert(task.image);
            task.stage = TaskStage::running;
            changed_ = true;
            environment_.task_started(now, identity_.name, ref);
            task.until =
                environment_.completed(ref) ? now : now + environment_.task_duration_s(ref);
        }
        if (task.stage == TaskStage::running && now >= task.until) {
            exit(now, ref, task, ExitReason::done);
        }
    }
}

Time HollowWorker::next_event_time() const {
    Time first = lease_from_ + lease_s_;
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
