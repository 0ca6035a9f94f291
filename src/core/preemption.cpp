// Preemption: room for work that is to start at once, gangs and replicas, made by stopping tasks of
// arrays that rank lower or that their team runs beyond its guarantee. Of these, the ones that have
// run least: most are still fetching their image, so that hardly any work is lost.
#include <algorithm>
#include <cmath>

#include "core/part_owner.h"
#include "core/parts.h"

namespace orchidlanding {

namespace {
struct Room {          // for one more task on a machine
    double cost_s = 0; // run time lost, and until the image is there
    Machine* machine = nullptr;
    std::vector<TaskRef> victims;
};

// Room for up to `most` tasks on the machine, each with the victims that it costs.
std::vector<Room> room_on(Time now, Machine& m, const JobSpec& s, bool guaranteed,
                          std::size_t most) {
    std::vector<std::pair<double, TaskRef>> victims;
    for (const auto& [task, p] : m.tasks) {
        bool lower = p.priority > s.priority || (guaranteed && p.borrows);
        bool stays = p.via != Placement::Via::listed || p.kind != JobKind::array ||
                     p.stage == TaskStage::saving || p.shape_unknown;
        if (lower && !stays) {
            bool runs = p.stage == TaskStage::running;
            victims.emplace_back(runs ? now - p.running_since : 0, task);
        }
    }
    std::sort(victims.begin(), victims.end());
    double cpus = m.free_cpus();
    double gpus = m.free_gpus();
    double ram = m.free_ram();
    std::vector<Room> rooms;
    double fetch_s = m.warm(s.image) ? 0 : s.image_gb / std::max(1e-3, m.type.fetch_gb_per_s);
    Room room{fetch_s, &m, {}};
    auto next = victims.begin();
    while (rooms.size() < most) {
        if (cpus >= s.cpus && gpus >= s.gpus && ram >= s.ram_gb) {
            cpus -= s.cpus;
            gpus -= s.gpus;
            ram -= s.ram_gb;
            rooms.push_back(std::move(room));
            room = Room{fetch_s, &m, {}};
            continue;
        }
        if (next == victims.end()) {
            break;
        }
        const Placement& p = m.tasks.at(next->second);
        cpus += p.cpus;
        gpus += p.gpus;
        ram += p.ram_gb;
        room.cost_s += next->first;
        room.victims.push_back(next->second);
        ++next;
    }
    return rooms;
}
} // namespace

// Stops what has to go for `tasks` tasks of the shape, all of them in one zone if it says so, or
// nothing. The machines are kept for the job until a report time has passed.
bool PartOwner::make_room(Time now, const JobSpec& s, std::size_t tasks, bool guaranteed,
                          const Job* job) {
    std::map<std::string, std::vector<Room>> by_zone;
    for (auto& [name, m] : machines_.all()) {
        ++effort_;
        if (!may_place(m) || m.orders != 0 || !m.reserved_for.empty() || (m.spot && !s.spot) ||
            !s.allows_type(m.type.name) || (s.zone && *s.zone != m.zone) ||
            (job && !job->allows_zone(m.zone))) {
            continue;
        }
        auto rooms = room_on(now, m, s, guaranteed, tasks);
        auto& all = by_zone[s.one_zone ? m.zone : ""];
        std::move(rooms.begin(), rooms.end(), std::back_inserter(all));
    }
    std::vector<Room>* best = nullptr;
    double least = 0;
    bool whole = s.kind == JobKind::gang;
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
        room.machine->reserved_for = s.id;
        reserved_.insert(room.machine->name);
        room.machine->reserved_until = now + facts_.report_s;
        for (const auto& task : room.victims) {
            machines_.queue_stop(*room.machine, task, room.machine->tasks.at(task).attempt, 0);
            ++stopped;
        }
    }
    calls_.log(Level::info, "event=room_made job=" + s.id + " tasks=" + std::to_string(tasks) +
                                " stopped=" + std::to_string(stopped) +
                                " cost_s=" + std::to_string(std::llround(least)));
    return true;
}

// For our own gangs and replicas that wait, and for those of peers who have no room of their own.
void PartOwner::end_reservations(Time now) {
    std::erase_if(reserved_, [&](const std::string& name) {
        Machine* m = machines_.find(name);
        if (m && now <= m->reserved_until) {
            return false;
        }
        if (m) {
            m->reserved_for.clear();
        }
        return true;
    });
}

void PartOwner::press(Time now) {
    if (!loaded_ || !claim_.usable(now)) {
        return;
    }
    std::erase_if(pressed_, [&](const auto& p) { return now > p.second; });
    for (const Candidate& c : order_.get(now)) {
        const std::string& id = c.want ? c.want->job : c.job->spec.id;
        if (c.kind == JobKind::array || (c.borrows && c.priority != Priority::production) ||
            pressed_.contains(id)) {
            continue;
        }
        if (c.want && (!c.want->preempt || c.want->partial || c.want->count == 0)) {
            continue;
        }
        pressed_[id] = now + facts_.report_s;
        if (c.want) {
            make_room(now, shape_wanted(*c.want), c.want->count, !c.borrows, nullptr);
            continue;
        }
        const JobSpec& s = c.job->spec;
        std::size_t tasks = c.job->waiting.size();
        if (s.kind == JobKind::gang ? gang_fits(*c.job) : teams_.fits(s.team, s.cpus, s.gpus)) {
            bool made = make_room(now, s, tasks, !c.borrows, c.job);
            c.job->wants_room = !made || s.spread;
        }
    }
    send_orders(now);
}

} // namespace orchidlanding
