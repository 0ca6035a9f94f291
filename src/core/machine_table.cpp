#include "core/machine_table.h"

#include <algorithm>

#include "core/parts.h"

namespace orchidlanding {

Placement placement_of(const JobSpec& s) {
    Placement p;
    p.team = s.team;
    p.kind = s.kind;
    p.priority = s.priority;
    p.cpus = s.cpus;
    p.gpus = s.gpus;
    p.ram_gb = s.ram_gb;
    p.image = s.image;
    p.image_gb = s.image_gb;
    return p;
}

double Machine::free_cpus() const {
    double used = 0;
    for (const auto& [task, p] : tasks) {
        used += p.cpus;
    }
    for (const auto& [attempt, lot] : lots) {
        used += lot.shape.cpus;
    }
    return type.cpus - used;
}

double Machine::free_gpus() const {
    double used = 0;
    for (const auto& [task, p] : tasks) {
        used += p.gpus;
    }
    for (const auto& [attempt, lot] : lots) {
        used += lot.shape.gpus;
    }
    return type.gpus - used;
}

double Machine::free_ram() const {
    double used = 0;
    for (const auto& [task, p] : tasks) {
        used += p.ram_gb;
    }
    for (const auto& [attempt, lot] : lots) {
        used += lot.shape.ram_gb;
    }
    return type.ram_gb - used;
}

bool Machine::warm(const std::string& image) const {
    return std::any_of(images.begin(), images.end(),
                       [&](const CachedImage& i) { return i.name == image; });
}

bool Machine::has_unknown_shape() const {
    return std::any_of(tasks.begin(), tasks.end(),
                       [](const auto& t) { return t.second.shape_unknown; });
}

bool Machine::has_service() const {
    return std::any_of(tasks.begin(), tasks.end(),
                       [](const auto& t) {
                           return t.second.kind == JobKind::service || t.second.shape_unknown;
                       }) ||
           std::any_of(lots.begin(), lots.end(),
                       [](const auto& l) { return l.second.shape.kind == JobKind::service; });
}

bool Machine::holds_exited(const TaskRef& task) const {
    auto same = [&](const ListedTask& t) { return t.task == task; };
    return std::any_of(finished.begin(), finished.end(), same) ||
           std::any_of(foreign.begin(), foreign.end(), same);
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

void Machine::forget_told() {
    if (stop_guests.empty() && clear_guests.empty()) {
        return;
    }
    std::set<StartId> here;
    for (const auto& t : finished) {
        here.insert(start_id(t.attempt, t.task.index));
    }
    for (const auto& [task, p] : tasks) {
        here.insert(start_id(p.attempt, task.index));
    }
    for (const auto& [id, lot] : lots) { // the start may be on its way
        here.insert(id);
    }
    std::erase_if(stop_guests, [&](const auto& stop) { return !here.contains(stop.first); });
    std::erase_if(clear_guests, [&](const StartId& id) { return !here.contains(id); });
}

bool Machine::has_foreign() const {
    return std::any_of(foreign.begin(), foreign.end(),
                       [](const ListedTask& t) { return t.stage != TaskStage::exited; });
}

Machine* MachineTable::find(const std::string& name) {
    auto it = machines_.find(name);
    return it == machines_.end() ? nullptr : &it->second;
}

Machine& MachineTable::add(Time now, const std::string& name, const MachineType& type,
                           const std::string& zone, bool spot, const ShareId& share,
                           std::uint64_t term) {
    Machine& m = machines_[name];
    m.name = name;
    m.type = type;
    m.zone = zone;
    m.spot = spot;
    m.share = share;
    m.term = term;
    m.known_since = now;
    m.idle_since = now;
    m.lease_end = now + lease_bound_s();
    look_at(m, m.lease_end);
    return m;
}

std::vector<ListingResult::Gone> MachineTable::remove(const std::string& name) {
    std::vector<ListingResult::Gone> gone;
    auto it = machines_.find(name);
    if (it == machines_.end()) {
        return gone;
    }
    for (const auto& [task, p] : it->second.tasks) {
        gone.push_back({task, p, ExitWhy::none});
    }
    set_reported(it->second, false);
    machines_.erase(it);
    return gone;
}

double MachineTable::lease_bound_s() const { return lease_s_ * (1 + kDrift) + margin_s_; }

ListingResult MachineTable::listing(Time now, Machine& m, const Report& report, CallId orders) {
    ListingResult result;
    if (report.session <= m.lapsed_session) {
        return result;
    }
    if (report.session > m.session) {
        // Every task of the session before is gone, and no message of ours to it can be
        // executed any more: responses to it are dropped, direct commands refused.
        for (auto it = m.tasks.begin(); it != m.tasks.end();) {
            if (it->second.via == Placement::Via::queued) {
                ++it;
            } else {
                result.gone.push_back({it->first, it->second, ExitWhy::none});
                it = m.tasks.erase(it);
            }
        }
        m.lots.clear(); // their starts name the session before, so they are refused
        m.session = report.session;
        // Its lease runs from when the session began, whether we hear of it by a report or by the
        // answer to a direct command, which renews nothing.
        renewed(now, m);
        m.tick = 0;
        m.forget_images();
    }
    bool newer = report.session == m.session && report.tick > m.tick;
    if (newer) {
        result.fresh = true;
        m.tick = report.tick;
        set_reported(m, true);
        m.fenced = report.token >= m.token();
        m.notice_s = report.notice_s;
        m.foreign.clear();
        m.finished.clear();
    }
    std::map<TaskRef, const ListedTask*> listed;
    if (newer) {
        for (const auto& t : report.tasks) {
            if (auto lot = m.lots.find(start_id(t.attempt, t.task.index));
                lot != m.lots.end() && !m.tasks.contains(t.task)) {
                m.tasks[t.task] = lot->second.shape; // the thief's start has shown
                m.lots.erase(lot);
            }
            auto it = m.tasks.find(t.task);
            if (it == m.tasks.end() || it->second.attempt != t.attempt) {
                m.foreign.push_back(t);
            } else {
                listed[t.task] = &t;
            }
        }
    }
    if (newer) {
        std::erase_if(m.lots, [&](const auto& lot) { return report.token > lot.second.token; });
    }
    for (auto it = m.tasks.begin(); it != m.tasks.end();) {
        Placement& p = it->second;
        auto seen = listed.find(it->first);
        if (seen != listed.end()) {
            const ListedTask& t = *seen->second;
            if (t.stage == TaskStage::exited) {
                result.gone.push_back({it->first, p, t.why});
                m.finished.push_back(t);
                it = m.tasks.erase(it);
                continue;
            }
            if (t.stage == TaskStage::running && p.stage != TaskStage::running) {
                p.running_since = now;
            }
            p.via = Placement::Via::listed;
            p.stage = t.stage;
            ++it;
            continue;
        }
        bool gone = false;
        switch (p.via) {
        case Placement::Via::queued: break;
        case Placement::Via::response:
            // One report is in flight at a time: a report newer than the one answered shows
            // that the response was executed before it, or dropped.
            gone = newer && orders == 0 && report.tick > p.tick;
            break;
        case Placement::Via::orders:
            gone = (orders != 0 && p.call == orders) || (newer && report.token > p.token);
            break;
        case Placement::Via::listed: gone = newer; break;
        }
        if (gone) {
            result.gone.push_back({it->first, p, ExitWhy::none});
            it = m.tasks.erase(it);
        } else {
            ++it;
        }
    }
    return result;
}

void MachineTable::adopt(Time now, Machine& m, const ListedTask& listed, Placement placement) {
    placement.attempt = listed.attempt;
    placement.via = Placement::Via::listed;
    placement.stage = listed.stage;
    placement.since = now;
    placement.running_since = now;
    m.touch_image(placement.image, placement.image_gb);
    m.tasks[listed.task] = std::move(placement);
    std::erase_if(m.foreign, [&](const ListedTask& t) {
        return t.task == listed.task && t.attempt == listed.attempt;
    });
}

void MachineTable::fence(Machine& m) {
    ++m.sequence;
    m.fenced = false;
}

void MachineTable::renewed(Time now, Machine& m) {
    m.lease_end = std::max(m.lease_end, now + lease_bound_s());
}

std::vector<ListingResult::Gone> MachineTable::lapse(Machine& m) {
    std::vector<ListingResult::Gone> gone;
    for (const auto& [task, p] : m.tasks) {
        gone.push_back({task, p, ExitWhy::none});
    }
    m.tasks.clear();
    m.lots.clear();
    m.outbox.clear();
    m.foreign.clear();
    m.finished.clear();
    set_reported(m, false);
    m.fenced = false;
    m.lapsed_session = std::max(m.lapsed_session, m.session);
    return gone;
}

bool MachineTable::lapsed(Time now, const Machine& m) const { return now > m.lease_end; }

void MachineTable::look_at(Machine& m, Time when) {
    m.due_at = when;
    due_.emplace(when, m.name);
}

void MachineTable::set_reported(Machine& m, bool reported) {
    reporting_ += reported && !m.reported ? 1 : 0;
    reporting_ -= m.reported && !reported ? 1 : 0;
    m.reported = reported;
}

std::vector<Machine*> MachineTable::lapsing(Time now) {
    std::vector<Machine*> out;
    while (!due_.empty() && due_.begin()->first < now) {
        auto entry = due_.extract(due_.begin());
        Machine* m = find(entry.value().second);
        if (!m || m->due_at != entry.value().first) {
            continue; // gone, or entered anew since
        }
        bool over = lapsed(now, *m);
        look_at(*m, over ? now + margin_s_ : m->lease_end);
        if (over) {
            out.push_back(m);
        }
    }
    return out;
}

void MachineTable::queue_start(Time now, Machine& m, const TaskRef& task, Placement placement) {
    placement.since = now;
    m.outbox.push_back({Op::start, task, placement.attempt, 0});
    queued_.insert(m.name);
    m.touch_image(placement.image, placement.image_gb);
    m.tasks[task] = std::move(placement);
}

std::vector<Machine*> MachineTable::to_send(std::size_t most) {
    std::vector<Machine*> out;
    std::erase_if(queued_, [&](const std::string& name) {
        Machine* m = find(name);
        if (!m || m->outbox.empty()) {
            return true;
        }
        if (m->orders == 0 && m->fenced && out.size() < most) {
            out.push_back(m);
        }
        return false;
    });
    return out;
}

std::vector<Command> MachineTable::send_in_response(Machine& m) {
    std::vector<Command> commands = std::move(m.outbox);
    m.outbox.clear();
    for (const auto& c : commands) {
        if (c.op == Op::start) {
            Placement& p = m.tasks.at(c.task);
            p.via = Placement::Via::response;
            p.tick = m.tick;
        }
    }
    return commands;
}

std::vector<Command> MachineTable::send_directly(Machine& m) {
    std::vector<Command> commands = std::move(m.outbox);
    m.outbox.clear();
    for (const auto& c : commands) {
        if (c.op == Op::start) {
            Placement& p = m.tasks.at(c.task);
            p.via = Placement::Via::orders;
            p.token = m.token();
        }
    }
    return commands;
}

void MachineTable::sent_directly(Machine& m, const std::vector<Command>& commands, CallId call) {
    m.orders = call;
    for (const auto& c : commands) {
        if (c.op == Op::start) {
            m.tasks.at(c.task).call = call;
        }
    }
}

void MachineTable::queue_stop(Machine& m, const TaskRef& task, std::uint64_t attempt,
                              double grace_s) {
    m.outbox.push_back({Op::stop, task, attempt, grace_s});
    queued_.insert(m.name);
}

std::vector<ListingResult::Gone> MachineTable::unqueue(Machine& m, const std::string* job) {
    std::vector<ListingResult::Gone> gone;
    std::erase_if(m.outbox, [&](const Command& c) {
        return c.op == Op::start && (!job || c.task.job == *job);
    });
    for (auto it = m.tasks.begin(); it != m.tasks.end();) {
        if (it->second.via == Placement::Via::queued && (!job || it->first.job == *job)) {
            gone.push_back({it->first, it->second, ExitWhy::none});
            it = m.tasks.erase(it);
        } else {
            ++it;
        }
    }
    return gone;
}

} // namespace orchidlanding
