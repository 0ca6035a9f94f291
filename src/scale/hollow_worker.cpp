#include "scale/hollow_worker.h"

#include <algorithm>
#include <utility>

namespace scheduler::scale {

HollowWorker::HollowWorker(Time now, Identity identity, const InstanceType& type, double lease_s,
                           const Surroundings& surroundings)
    : identity_(std::move(identity)), type_(type), lease_s_(lease_s), around_(surroundings),
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
    for (const auto& [key, t] : tasks_) {
        heartbeat.tasks.push_back({key.first, key.second, t.stage, t.why});
    }
    return heartbeat;
}

bool HollowWorker::answered(Time now, std::uint64_t session, Time sent, const ReportReply& reply) {
    advance(now);
    if (session != session_ || reply.token == 0 || reply.token < token_) {
        return false;
    }
    if (reply.token > token_) {
        token_ = reply.token;
        if (now - token_told_ >= lease_s_ / 2) {
            token_told_ = now;
            changed_ = true;
        }
    }
    lease_from_ = std::max(lease_from_, sent);
    execute(now, reply.commands);
    return true;
}

int HollowWorker::order(Time now, const DirectOrders& orders) {
    advance(now);
    if (orders.token < token_ || orders.session != session_) {
        return 409;
    }
    if (orders.token > token_ && now - token_told_ >= lease_s_ / 2) {
        token_told_ = now;
        changed_ = true;
    }
    token_ = orders.token;
    execute(now, orders.commands);
    return 200;
}

void HollowWorker::execute(Time now, const std::vector<WorkerCommand>& commands) {
    for (const auto& command : commands) {
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
    for (auto it = tasks_.lower_bound({task, 0}); it != tasks_.end() && it->first.first == task;
         ++it) {
        if (it->second.stage != TaskStage::exited) {
            return true;
        }
    }
    return false;
}

void HollowWorker::start(Time now, const WorkerCommand& command) {
    Task t;
    auto spec = around_.job(command.task.job);
    if (!spec || command.task.index >= spec->tasks) {
        t.why = ExitReason::unknown;
    } else if (occupied(command.task)) {
        t.why = ExitReason::busy;
    } else if (cpus_ + spec->cpus > type_.cpus || ram_gb_ + spec->ram_gb > type_.ram_gb) {
        t.why = ExitReason::insufficient_capacity;
    } else {
        t.cpus = spec->cpus;
        t.ram_gb = spec->ram_gb;
        t.image = spec->image;
        cpus_ += t.cpus;
        ram_gb_ += t.ram_gb;
        t.until = now + (images_.contains(t.image) ? 0 : spec->image_gb / type_.fetch_gb_per_s);
    }
    if (t.why != ExitReason::none) {
        t.stage = TaskStage::exited;
    }
    tasks_[{command.task, command.attempt}] = std::move(t);
    changed_ = true;
    advance(now);
}

void HollowWorker::exit(Time now, const TaskId& ref, Task& t, ExitReason why) {
    if (t.stage == TaskStage::running) {
        around_.went(now, identity_.name, ref, why == ExitReason::done);
    }
    t.stage = TaskStage::exited;
    t.why = why;
    cpus_ -= t.cpus;
    ram_gb_ -= t.ram_gb;
    changed_ = true;
}

void HollowWorker::advance(Time now) {
    if (now > lease_from_ + lease_s_) {
        drop_all(now);
        ++session_;
        lease_from_ = now;
        changed_ = true;
        return;
    }
    for (auto& [key, t] : tasks_) {
        const TaskId& ref = key.first;
        if (t.stage == TaskStage::fetching && now >= t.until) {
            images_.insert(t.image);
            t.stage = TaskStage::running;
            changed_ = true;
            around_.came(now, identity_.name, ref);
            t.until = around_.completed(ref) ? now : now + around_.run_s(ref);
        }
        if (t.stage == TaskStage::running && now >= t.until) {
            exit(now, ref, t, ExitReason::done);
        }
    }
}

Time HollowWorker::next() const {
    Time first = lease_from_ + lease_s_;
    for (const auto& [key, t] : tasks_) {
        if (t.stage != TaskStage::exited) {
            first = std::min(first, t.until);
        }
    }
    return first;
}

void HollowWorker::drop_all(Time now) {
    for (auto& [key, t] : tasks_) {
        if (t.stage == TaskStage::running) {
            around_.went(now, identity_.name, key.first, false);
        }
    }
    tasks_.clear();
    cpus_ = 0;
    ram_gb_ = 0;
}

void HollowWorker::die(Time now) { drop_all(now); }

} // namespace scheduler::scale
