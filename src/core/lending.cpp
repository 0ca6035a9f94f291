#include "core/lending.h"

#include <algorithm>
#include <utility>

namespace orchidlanding {

namespace {
// A slot handed over shows its start within a report or so; after that the owner fences it.
constexpr double kLotReports = 1.5;
} // namespace

JobSpec shape_wanted(const Want& w) {
    JobSpec s;
    s.id = w.job;
    s.kind = w.kind;
    s.spread = w.spread;
    s.tasks = w.gang_tasks;
    s.cpus = w.cpus;
    s.gpus = w.gpus;
    s.ram_gb = w.ram_gb;
    s.image = w.image;
    s.image_gb = w.image_gb;
    s.priority = w.priority;
    s.one_zone = w.one_zone;
    s.types = w.types;
    s.zone = w.zone;
    s.spot = w.spot;
    return s;
}

Lending::Lending(Claim& claim, const Facts& facts, const Holdings& holdings, MachineTable& machines,
                 WaitingOrder& order, DemandBook& demand, Calls& calls, Part& owner)
    : claim_(claim), facts_(facts), holdings_(holdings), machines_(machines), order_(order),
      demand_(demand), calls_(calls), owner_(owner) {
    for (int p = 0; p < static_cast<int>(facts_.parts.size()); ++p) {
        if (p != claim_.part()) {
            thieves_[p];
        }
    }
}

std::vector<PeerWants> Lending::wanted() {
    std::vector<PeerWants> all;
    for (auto& [part, thief] : thieves_) {
        all.push_back({part, thief.wants_at, &thief.wants});
    }
    return all;
}

bool Lending::called_by_all() const {
    return std::all_of(thieves_.begin(), thieves_.end(),
                       [](const auto& t) { return t.second.called > 0; });
}

bool Lending::owes_ends(const Machine& m) const {
    return std::any_of(m.finished.begin(), m.finished.end(), [&](const ListedTask& t) {
        auto thief = thieves_.find(part_of_attempt(t.attempt));
        return thief != thieves_.end() && t.why == ExitWhy::done &&
               thief->second.acked < m.guests_version &&
               !m.clear_guests.contains(start_id(t.attempt, t.task.index));
    });
}

void Lending::exchange(Time now, RequestId request, const Exchange& in) {
    auto it = thieves_.find(in.from);
    if (it == thieves_.end()) {
        calls_.answer(request, 503, Plain{"not entitled"}, 1);
        return;
    }
    Thief& thief = it->second;
    if (in.term < thief.term) {
        calls_.answer(request, 409, Plain{"a later owner has called"});
        return;
    }
    // A call that comes late would give back slots that were handed over since: the tasks of a
    // gang's attempt share its number, so a slot may come to have the name of one that went back.
    if (in.term == thief.called && in.number != 0 && in.number <= thief.number) {
        calls_.answer(request, 409, Plain{"a later call has come"});
        return;
    }
    know_term(now, thief, in.term);
    thief.called = in.term;
    thief.number = in.number;
    for (const auto& told : in.told) {
        if (Machine* m = machines_.find(told.machine)) {
            take_told(*m, told, in.from);
        }
    }
    for (const auto& g : in.given) { // before the machines that it names
        owner_.take_given(now, g);
    }
    for (const auto& b : in.bought) { // it counts here from now on, long before it is up
        owner_.expect(now, b);
    }
    order_.clear(); // it points into the wants of before
    thief.acked = in.seen_term == claim_.term() ? in.seen : 0;
    thief.wants = in.wants;
    thief.wants_at = now;
    thief.left = in.most;
    demand_.heard(now, in.from, in.demand, in.fleet);
    owner_.serve(now);

    ExchangeReply reply = listing(now, in);
    for (auto& g : std::exchange(thief.grants, {})) {
        Machine* m = machines_.find(g.machine);
        if (m && m->lots.contains(g.id)) {
            reply.grants.push_back(std::move(g));
        }
    }
    calls_.answer(request, 200, std::move(reply));
}

// Slots that an owner before it got are fenced.
void Lending::know_term(Time now, Thief& thief, std::uint64_t term) {
    if (term > thief.term) {
        thief.term = term;
        fence_lots(now);
    }
}

std::optional<ExchangeReply> Lending::listing_for(Time now, int part, std::uint64_t term) {
    Thief& thief = thieves_.at(part);
    if (term < thief.term) {
        return std::nullopt;
    }
    know_term(now, thief, term);
    Exchange in;
    in.from = part;
    in.term = term;
    ExchangeReply reply = listing(now, in);
    return reply.settled && reply.clean ? std::optional(std::move(reply)) : std::nullopt;
}

ExchangeReply Lending::listing(Time now, const Exchange& in) {
    ExchangeReply reply;
    reply.term = claim_.term();
    reply.clean = true;
    reply.version = version_;
    reply.demand = demand_.standing(now).demand;
    reply.fleet = demand_.standing(now).fleet;
    reply.full = in.seen_term != claim_.term() || in.seen <= floor_;
    reply.settled = true;
    reply.shares.emplace();
    std::set<ShareId> whole; // those that the caller has not taken in yet
    for (const auto& [id, share] : holdings_.all()) {
        if (share.state == Holdings::State::doubt) {
            continue;
        }
        auto covered = covered_.find(id);
        bool accounted = covered != covered_.end();
        bool is_new = reply.full || (accounted && in.seen < covered->second);
        reply.settled = reply.settled && accounted;
        reply.shares->push_back({id, share.term, accounted, is_new});
        if (is_new) {
            whole.insert(id);
        }
    }
    if (!whole.empty()) {
        for (const auto& [name, m] : machines_.all()) {
            if (!whole.contains(m.share)) {
                continue;
            }
            list_guests(m, in.from, reply);
            for (const auto& [id, lot] : m.lots) {
                reply.clean = reply.clean && (lot.thief != in.from || lot.thief_term >= in.term);
            }
        }
    }
    for (auto change = log_.upper_bound(in.seen); !reply.full && change != log_.end(); ++change) {
        auto m = machines_.all().find(change->second);
        if (m == machines_.all().end()) {
            reply.machines.push_back(change->second);
        } else if (!whole.contains(m->second.share)) {
            reply.machines.push_back(change->second);
            list_guests(m->second, in.from, reply);
        }
    }
    return reply;
}

// The tasks of the thief's part on one machine, and the slots it may yet start some on.
void Lending::list_guests(const Machine& m, int thief, ExchangeReply& reply) {
    ++effort_;
    for (const auto& [task, p] : m.tasks) {
        if (part_of_attempt(p.attempt) == thief) {
            ListedTask listed{task, p.attempt, p.stage, ExitWhy::none};
            reply.held.push_back({listed, m.name, m.zone, p.shape_unknown, m.draining || m.trimming,
                                  m.notice_s.has_value()});
        }
    }
    for (const auto& t : m.finished) {
        if (part_of_attempt(t.attempt) == thief) {
            reply.held.push_back({t, m.name, m.zone, false, false, false});
        }
    }
    for (const auto& [id, lot] : m.lots) {
        if (lot.thief == thief) {
            reply.open.push_back(id);
        }
    }
}

// Has the listing of this machine's guests changed, for any of their owners? A start that shows in
// its slot changes nothing, so that most changes are ends.
void Lending::note(Machine& m) {
    std::uint64_t print = 0;
    auto mix = [&](const StartId& id, std::uint64_t state) {
        std::uint64_t x = (id.attempt * 16 + state) * 31 + id.index + 0x9e3779b97f4a7c15ULL;
        x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
        x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
        print ^= x ^ (x >> 31);
    };
    std::uint64_t leaving = (m.draining || m.trimming ? 1 : 0) + (m.notice_s ? 8 : 0);
    for (const auto& [task, p] : m.tasks) {
        if (!claim_.ours(p.attempt)) {
            mix(start_id(p.attempt, task.index), leaving + (p.shape_unknown ? 2 : 0));
        }
    }
    for (const auto& [id, lot] : m.lots) {
        mix(id, leaving);
    }
    for (const auto& t : m.finished) {
        if (!claim_.ours(t.attempt)) {
            mix(start_id(t.attempt, t.task.index), 4);
        }
    }
    if (print == m.guests_print) {
        return;
    }
    m.guests_print = print;
    log_.erase(m.guests_version);
    enter(m.name);
    m.guests_version = version_;
}

void Lending::note_gone(const Machine& m) {
    log_.erase(m.guests_version);
    if (m.guests_version > 0) {
        enter(m.name);
    }
}

void Lending::enter(const std::string& machine) {
    log_[++version_] = machine;
    // Machines that are gone would stay in the log for ever.
    while (log_.size() > 2 * machines_.all().size() + 64) {
        floor_ = log_.begin()->first;
        log_.erase(log_.begin());
    }
}

void Lending::take_told(Machine& m, const Told& told, int thief) {
    switch (told.what) {
    case Told::What::back: {
        auto lot = m.lots.find(told.id);
        if (lot != m.lots.end() && lot->second.thief == thief &&
            lot->second.thief_term == thieves_.at(thief).term) {
            m.lots.erase(lot);
            owner_.relist(m);
        }
        return;
    }
    case Told::What::clear:
        for (const auto& t : m.finished) {
            if (start_id(t.attempt, t.task.index) == told.id) {
                m.clear_guests.insert(told.id);
            }
        }
        return;
    case Told::What::stop:
        // Its start may be on the way yet, so the word is kept. Told anew to leave at once, it
        // must.
        if (auto [it, added] = m.stop_guests.try_emplace(told.id, told.grace_s);
            added || told.grace_s < it->second) {
            it->second = told.grace_s;
            for (const auto& [task, p] : m.tasks) {
                if (start_id(p.attempt, task.index) == told.id && p.via == Placement::Via::listed) {
                    machines_.queue_stop(m, task, p.attempt, told.grace_s);
                }
            }
        }
        return;
    case Told::What::shape: take_shape(m, told); return;
    }
}

void Lending::take_shape(Machine& m, const Told& told) {
    for (auto& [task, p] : m.tasks) {
        if (start_id(p.attempt, task.index) == told.id && p.shape_unknown) {
            p.kind = told.kind;
            p.cpus = told.cpus;
            p.gpus = told.gpus;
            p.ram_gb = told.ram_gb;
            p.image = told.image;
            p.image_gb = told.image_gb;
            p.shape_unknown = false;
            m.touch_image(p.image, p.image_gb);
            owner_.relist(m);
        }
    }
}

void Lending::lend(Time now, Machine& m, int thief, Want& want, std::uint32_t member) {
    Thief& to = thieves_.at(thief);
    if (want.attempt != 0 && m.lots.contains(start_id(want.attempt, member))) {
        // Handed over already: the thief holds it, or has not heard of it and will when it is
        // fenced. A second one of the same name could be given back, and the task on the first
        // taken for gone.
        --want.count;
        return;
    }
    Lot lot;
    lot.thief = thief;
    lot.thief_term = to.term;
    lot.token = m.token();
    lot.since = now;
    lot.shape = placement_of(shape_wanted(want));
    lot.shape.attempt = want.attempt != 0 ? want.attempt : claim_.new_attempt(thief, false);
    lot.shape.borrows = want.borrows;
    lot.shape.via = Placement::Via::orders;
    lot.shape.token = lot.token;
    lot.shape.since = now;
    m.touch_image(want.image, want.image_gb);
    StartId id = start_id(lot.shape.attempt, member);
    to.grants.push_back({id, want.job, m.name, m.endpoint, m.session, lot.token, m.type.name,
                         m.zone, m.spot, want.cpus, want.gpus, want.ram_gb});
    m.lots.emplace(id, std::move(lot));
    lent_.insert(m.name);
    owner_.relist(m);
    --want.count;
    --to.left;
}

// A slot whose start does not show, or that an owner before the present one got: a higher token
// makes sure that the start never comes, and the next report under it frees the slot.
void Lending::fence_lots(Time now) {
    std::vector<Machine*> fence;
    std::erase_if(lent_, [&](const std::string& name) {
        ++effort_;
        Machine* m = machines_.find(name);
        if (!m || m->lots.empty()) {
            return true;
        }
        bool old = std::any_of(m->lots.begin(), m->lots.end(), [&](const auto& l) {
            const Lot& lot = l.second;
            return (now - lot.since > kLotReports * facts_.report_s ||
                    lot.thief_term < thieves_.at(lot.thief).term) &&
                   lot.token == m->token();
        });
        if (old) {
            fence.push_back(m);
        }
        return false;
    });
    // The new owner of a part places no older task until these slots are settled, and a report
    // under the new token may be two report times away.
    for (Machine* m : fence) {
        machines_.fence(*m);
        owner_.relist(*m);
        owner_.ask(m->name);
    }
}

} // namespace orchidlanding
