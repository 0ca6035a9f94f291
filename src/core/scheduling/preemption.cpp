// Preemption: room for work that is to start at once, gangs and replicas, made by stopping tasks of
// arrays that rank lower or that their team runs beyond its guarantee. Of these, the ones that have
// run least: most are still fetching their image, so that hardly any work is lost.
#include <algorithm>
#include <cmath>

#include "core/model/partition_assignment.h"
#include "core/partition_leader.h"

namespace scheduler {

namespace {
struct Room {          // for one more task on a machine
    double cost_s = 0; // run time lost, and until the image is there
    Machine* machine = nullptr;
    std::vector<TaskId> victims;
};

// Room for up to `most` tasks on the machine, each with the victims that it costs.
std::vector<Room> room_on(Time now, Machine& machine, const JobSpec& spec, bool guaranteed,
                          std::size_t most) {
    std::vector<std::pair<double, TaskId>> victims;
    for (const auto& [task, p] : machine.tasks) {
        bool lower = p.priority > spec.priority || (guaranteed && p.over_guarantee);
        bool stays = p.via != Placement::Via::reported || p.kind != JobKind::array ||
                     p.stage == TaskStage::saving || p.resources_unknown;
        if (lower && !stays) {
            bool runs = p.stage == TaskStage::running;
            victims.emplace_back(runs ? now - p.running_since : 0, task);
        }
    }
    std::sort(victims.begin(), victims.end());
    double cpus = machine.free_cpus();
    double gpus = machine.free_gpus();
    double ram = machine.free_ram();
    std::vector<Room> rooms;
    double fetch_s = machine.has_image(spec.image)
                         ? 0
                         : spec.image_gb / std::max(1e-3, machine.type.fetch_gb_per_s);
    Room room{fetch_s, &machine, {}};
    auto next = victims.begin();
    while (rooms.size() < most) {
        if (cpus >= spec.cpus && gpus >= spec.gpus && ram >= spec.ram_gb) {
            cpus -= spec.cpus;
            gpus -= spec.gpus;
            ram -= spec.ram_gb;
            rooms.push_back(std::move(room));
            room = Room{fetch_s, &machine, {}};
            continue;
        }
        if (next == victims.end()) {
            break;
        }
        const Placement& placement = machine.tasks.at(next->second);
        cpus += placement.cpus;
        gpus += placement.gpus;
        ram += placement.ram_gb;
        room.cost_s += next->first;
        room.victims.push_back(next->second);
        ++next;
    }
    return rooms;
}
} // namespace

// Stops what has to go for `tasks` tasks of the shape, all of them in one zone if it says so, or
// nothing. The machines are kept for the job until a report time has passed.
bool PartitionLeader::preempt_for(Time now, const JobSpec& spec, std::size_t tasks, bool guaranteed,
                                  const Job* job) {
    std::map<std::string, std::vector<Room>> by_zone;
    for (auto& [name, m] : machines_.all()) {
        ++effort_;
        if (!slot_finder_.is_schedulable(m) || m.command_in_flight != 0 ||
            !m.reserved_for.empty() || (m.spot && !spec.spot) || !spec.allows_type(m.type.name) ||
            (spec.zone && *spec.zone != m.zone) || (job && !job->allows_zone(m.zone))) {
            continue;
        }
        auto rooms = room_on(now, m, spec, guaranteed, tasks);
        auto& all = by_zone[spec.one_zone ? m.zone : ""];
        std::move(rooms.begin(), rooms.end(), std::back_inserter(all));
    }
    std::vector<Room>* best = nullptr;
    double least = 0;
    bool whole = spec.kind == JobKind::gang;
    for (auto& [zone, rooms] : by_zone) {
        // A machine's rooms come in the order of their cost, so the cheapest of all are a
        // consistent choice.
        std::stable_sort(rooms.begin(), rooms.end(), [](const Room& a, const Room& b) {
            return std::pair(a.cost_s, a.victims.size()) < std::pair(b.cost_s, b.victims.size());
        });
        if (rooms.size() > tasks) {
            rooms.resize(tasks);
        }
        double lost = 0;
        for (const auto& room : rooms) {
            lost += room.cost_s;
        }
        if ((!whole || rooms.size() == tasks) && !rooms.empty() && (!best || lost < least)) {
            best = &rooms;
            least = lost;
        }
    }
    if (!best) {
        return false;
    }
    std::size_t stopped = 0;
    for (const auto& room : *best) {
        room.machine->reserved_for = spec.id;
        reserved_machines_.insert(room.machine->name);
        room.machine->reserved_until = now + settings_.heartbeat_interval_s;
        for (const auto& task : room.victims) {
            machines_.queue_stop(*room.machine, task, room.machine->tasks.at(task).attempt, 0);
            ++stopped;
        }
    }
    requests_.log(LogLevel::info, "event=tasks_preempted job=" + spec.id +
                                      " tasks=" + std::to_string(tasks) +
                                      " stopped=" + std::to_string(stopped) +
                                      " cost_s=" + std::to_string(std::llround(least)));
    return true;
}

// For our own gangs and replicas that wait, and for those of peers who have no room of their own.
void PartitionLeader::expire_reservations(Time now) {
    std::erase_if(reserved_machines_, [&](const std::string& name) {
        Machine* machine = machines_.find(name);
        if (machine && now <= machine->reserved_until) {
            return false;
        }
        if (machine) {
            machine->reserved_for.clear();
        }
        return true;
    });
}

void PartitionLeader::retry_preemption(Time now) {
    if (!loaded_ || !leadership_.is_active(now)) {
        return;
    }
    std::erase_if(preemption_retry_at_, [&](const auto& p) { return now > p.second; });
    for (const PendingJob& candidate : queue_.ordered(now)) {
        const std::string& id =
            candidate.slot_request ? candidate.slot_request->job : candidate.job->spec.id;
        if (candidate.kind == JobKind::array ||
            (candidate.over_guarantee && candidate.priority != Priority::production) ||
            preemption_retry_at_.contains(id)) {
            continue;
        }
        if (candidate.slot_request &&
            (!candidate.slot_request->preempt || candidate.slot_request->accepts_partial ||
             candidate.slot_request->count == 0)) {
            continue;
        }
        preemption_retry_at_[id] = now + settings_.heartbeat_interval_s;
        if (candidate.slot_request) {
            preempt_for(now, requested_resources(*candidate.slot_request),
                        candidate.slot_request->count, !candidate.over_guarantee, nullptr);
            continue;
        }
        const JobSpec& spec = candidate.job->spec;
        std::size_t tasks = candidate.job->waiting.size();
        if (spec.kind == JobKind::gang ? gang_fits_quota(*candidate.job)
                                       : quotas_.fits(spec.team, spec.cpus, spec.gpus)) {
            bool made = preempt_for(now, spec, tasks, !candidate.over_guarantee, candidate.job);
            candidate.job->needs_preemption = !made || spec.spread;
        }
    }
    send_commands(now);
}

} // namespace scheduler
