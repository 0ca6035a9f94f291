// The owner of a part as thief and as victim: slots wanted from other parts, slots handed over to
// them, and the listing by which each learns what became of its tasks on the other's machines.
#include <algorithm>
#include <utility>

#include "core/part_owner.h"
#include "core/parts.h"

namespace orchidlanding {

namespace {
constexpr double kMostBatch = 64;
constexpr std::size_t kMostWants = 24; // jobs named in a call
constexpr std::size_t kMostTold = 256; // words on tasks, and machines bought, in a call
// A slot handed over shows its start within a report or so; after that the owner fences it.
constexpr double kLotReports = 1.5;

} // namespace

JobSpec PartOwner::shape_wanted(const Want& w) {
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

// ---- As the owner of jobs ----

void PartOwner::call_peers(Time now) {
    if (!loaded_ || !usable_now(now)) {
        return;
    }
    for (auto& [part, peer] : peers_) {
        if (!peer.in_flight && now >= peer.next && !peer.node.empty()) {
            call_peer(now, part, peer);
        }
    }
}

std::vector<Want> PartOwner::wants_for(Time now, const Peer& peer) {
    std::vector<Want> wants;
    std::vector<const Job*> waiting;
    for (const auto& [id, job] : jobs_.all()) {
        if (waits(now, *job)) {
            waiting.push_back(job.get());
        }
    }
    std::sort(waiting.begin(), waiting.end(), [&](const Job* a, const Job* b) {
        return std::tuple(!order_.kept(a->spec), a->spec.priority, !order_.longest(a->spec.team),
                          a->due, a->known_since) <
               std::tuple(!order_.kept(b->spec), b->spec.priority, !order_.longest(b->spec.team),
                          b->due, b->known_since);
    });
    // Many jobs, so that the peer can choose by image; it gives no more than the batch in all.
    Teams room = teams_; // so that slots are not asked for beyond a team's limit
    for (const Job* job : waiting) {
        const JobSpec& s = job->spec;
        Want w;
        w.job = s.id;
        w.kind = s.kind;
        w.cpus = s.cpus;
        w.gpus = s.gpus;
        w.ram_gb = s.ram_gb;
        w.image = s.image;
        w.image_gb = s.image_gb;
        w.types = s.types;
        w.zone = s.zone;
        w.spot = s.spot;
        w.priority = s.priority;
        w.longest = order_.longest(s.team);
        w.kept = order_.kept(s);
        w.borrows = !teams_.within_guarantee(s.team, s.cpus, s.gpus);
        w.preempt = job->wants_room;
        w.age_s = now - job->known_since;
        w.due_s = std::max(0.0, job->due - now);
        if (s.kind == JobKind::gang) {
            auto n = static_cast<double>(job->waiting.size());
            if (!room.fits(s.team, n * s.cpus, n * s.gpus) ||
                !want_gang(*job, peer.calls % 2 == 1, w)) {
                continue;
            }
            room.use(s.team, n * s.cpus, n * s.gpus);
        }
        while (s.kind != JobKind::gang && w.count < peer.batch && w.count < job->waiting.size() &&
               room.fits(s.team, s.cpus, s.gpus)) {
            room.use(s.team, s.cpus, s.gpus);
            ++w.count;
        }
        if (w.count > 0) {
            wants.push_back(std::move(w));
        }
        if (wants.size() == kMostWants) {
            break;
        }
    }
    return wants;
}

void PartOwner::call_peer(Time now, int part, Peer& peer) {
    tell_ended(peer);
    Exchange out;
    out.from = part_;
    out.term = term_;
    out.to = part;
    order_.get(now); // due times
    ++peer.calls;
    if (now >= peer.want_again) {
        out.wants = wants_for(now, peer);
    }
    std::vector<Peer::Where> told;
    for (const auto& [where, t] : peer.told) {
        if (told.size() == kMostTold) {
            break;
        }
        told.push_back(where);
        out.told.push_back(t);
    }
    std::vector<std::string> bought;
    for (const auto& [name, b] : bought_) {
        if (part_of_machine(facts_, name, b.first.zone) == part && bought.size() < kMostTold) {
            bought.push_back(name);
            out.bought.push_back({name, b.first.type, b.first.zone, b.first.spot});
        }
    }
    out.seen_term = peer.seen_term;
    out.seen = peer.seen;
    out.demand = standing(now).demand;
    out.fleet = standing(now).fleet;
    std::uint32_t asked = 0;
    std::uint32_t gang = 0; // the largest
    for (const auto& w : out.wants) {
        asked += w.count;
        gang = std::max(gang, w.kind == JobKind::gang ? w.count : 0);
    }
    asked = std::min(asked, std::max(gang, static_cast<std::uint32_t>(peer.batch)));
    out.most = asked;
    bool busy = asked > 0 || !peer.tasks.empty() || !peer.inventoried;
    peer.next = now + (busy ? policy_.exchange_s : facts_.report_s / 3);
    peer.in_flight = true;
    calls_.send(PeerCall{peer.node, std::move(out)},
                [this, part = part, asked, told, bought](Time at, CallReply& reply) {
                    Peer& p = peers_.at(part);
                    p.in_flight = false;
                    if (reply.status != 200 || !reply.exchange || !usable_now(at)) {
                        return;
                    }
                    for (const auto& where : told) {
                        p.told.erase(where);
                    }
                    for (const auto& name : bought) {
                        bought_.erase(name); // its owner counts it now, in this very reply
                    }
                    heard(at, part, p, *reply.exchange);
                    // The first batch is small; while everything asked for is given, the next is
                    // twice as large and follows at once.
                    if (asked > 0 && reply.exchange->grants.size() >= asked) {
                        p.batch = std::min(kMostBatch, p.batch * 2);
                        p.next = at;
                    } else {
                        p.batch = std::max(policy_.steal_batch, p.batch / 2);
                    }
                    if (std::any_of(p.told.begin(), p.told.end(), [](const auto& t) {
                            return t.second.what == Told::What::back;
                        })) {
                        // The slots go back at once, but asked for again at once they would
                        // come and go as fast as calls do.
                        p.next = at;
                        p.want_again = at + policy_.exchange_s;
                    }
                    place(at);
                    send_orders(at);
                    call_peers(at);
                });
}

// Tasks of ours that ended there: their machine may forget them once that is durable here.
void PartOwner::tell_ended(Peer& peer) {
    std::erase_if(peer.ended, [&](const auto& e) {
        const HeldTask& h = e.second;
        if (!end_is_durable(h.listed)) {
            return false;
        }
        peer.told[e.first] = {Told::What::clear, h.machine, e.first.first};
        return true;
    });
}

// A word that does not wait for the next regular call.
void PartOwner::tell(Peer& peer, Told told) {
    Peer::Where where{told.id, told.machine};
    peer.told[where] = std::move(told);
    peer.next = 0;
}

void PartOwner::heard(Time now, int part, Peer& peer, const ExchangeReply& reply) {
    if (reply.term < peer.heard_term) {
        return;
    }
    peer.heard_term = reply.term;
    peer.heard_at = now;
    peer.demand = reply.demand;
    peer.fleet = reply.fleet;
    reconcile(now, part, peer, reply);
    if (reply.settled && reply.clean && !peer.inventoried) {
        peer.inventoried = true;
        settle(now);
    }
    std::map<std::uint64_t, std::vector<Grant>> gangs;
    for (const auto& grant : reply.grants) {
        if ((grant.id.attempt & kGangBit) != 0) {
            gangs[grant.id.attempt].push_back(grant);
        } else {
            use_grant(now, part, peer, grant);
        }
    }
    for (const auto& [attempt, grants] : gangs) {
        use_gang_grants(now, part, grants);
    }
}

// For each machine that it covers, the reply lists every task of ours there and every slot whose
// start has not shown. A task of ours that is in neither is not on that machine, once all of the
// peer's machines are accounted for; nor is it on one that a full listing does not name.
void PartOwner::reconcile(Time now, int part, Peer& peer, const ExchangeReply& reply) {
    std::set<StartId> open(reply.open.begin(), reply.open.end());
    std::set<Peer::Where> present;
    for (const auto& h : reply.held) {
        const ListedTask& t = h.listed;
        StartId id = start_id(t.attempt, t.task.index);
        present.insert({id, h.machine});
        Job* job = jobs_.find(t.task.job);
        bool ours = job && t.task.index < job->spec.tasks;
        auto it = remote_.find(t.task);
        bool same = it != remote_.end() && it->second.attempt == t.attempt &&
                    it->second.machine == h.machine;
        bool waits = ours && job->tasks[t.task.index] == TaskState::waiting;
        if (t.stage == TaskStage::exited) {
            if (same) {
                remote_gone(now, t.task, t.why);
            } else if (waits && t.why == ExitWhy::done && job->open()) {
                jobs_.finish(*job, t.task.index);
                if (job->complete()) {
                    finish_job(now, *job);
                }
            }
            peer.ended[{id, h.machine}] = h;
            continue;
        }
        bool gang = ours && job->spec.kind == JobKind::gang;
        if (waits && (!gang || gangs_.adopt(now, t.task.job, t.attempt))) {
            // started by an owner of this part before us
            jobs_.place(*job, t.task.index, h.zone);
            teams_.use(job->spec.team, job->spec.cpus, job->spec.gpus);
            remote_placed(peer, t.task, {t.attempt, part, h.machine, h.zone});
            same = true;
        }
        bool moves = h.draining && ours && job->spec.kind == JobKind::service;
        if (!same || !job->open() || moves) {
            peer.told[{id, h.machine}] = {Told::What::stop, h.machine, id};
            continue;
        }
        if (h.shape_unknown) {
            const JobSpec& s = job->spec;
            peer.told[{id, h.machine}] = {
                Told::What::shape, h.machine, id,        0, s.kind, s.cpus, s.gpus,
                s.ram_gb,          s.image,   s.image_gb};
        }
        if (gang && t.stage == TaskStage::running) {
            gangs_.runs(t.task.job);
        }
        if (gang && h.notice) {
            end_attempt(now, t.task.job, true);
        }
    }
    if (!reply.settled) {
        return;
    }
    std::vector<TaskRef> absent;
    auto look = [&](const std::set<TaskRef>& tasks) {
        for (const auto& task : tasks) {
            const Remote& r = remote_.at(task);
            StartId id = start_id(r.attempt, task.index);
            if (!open.contains(id) && !present.contains({id, r.machine})) {
                absent.push_back(task);
            }
        }
    };
    if (reply.full) {
        for (const auto& [machine, tasks] : peer.tasks) {
            look(tasks);
        }
    } else {
        for (const auto& machine : reply.machines) {
            auto there = peer.tasks.find(machine);
            if (there != peer.tasks.end()) {
                look(there->second);
            }
        }
    }
    for (const auto& task : absent) {
        remote_gone(now, task, ExitWhy::none);
    }
    if (reply.clean) { // from here on, changes will do
        peer.seen_term = reply.term;
        peer.seen = reply.version;
    }
}

void PartOwner::remote_placed(Peer& peer, const TaskRef& task, Remote remote) {
    peer.tasks[remote.machine].insert(task);
    remote_[task] = std::move(remote);
}

void PartOwner::remote_gone(Time now, const TaskRef& task, ExitWhy why) {
    auto it = remote_.find(task);
    Remote r = it->second;
    remote_.erase(it);
    Peer& peer = peers_.at(r.part);
    auto there = peer.tasks.find(r.machine);
    there->second.erase(task);
    if (there->second.empty()) {
        peer.tasks.erase(there);
    }
    if (Job* job = jobs_.find(task.job)) {
        teams_.free(job->spec.team, job->spec.cpus, job->spec.gpus);
    }
    account(now, task, why, r.zone);
}

bool PartOwner::grant_suits(const Job& job, const Grant& g) const {
    const JobSpec& s = job.spec;
    return s.cpus <= g.cpus && s.gpus <= g.gpus && s.ram_gb <= g.ram_gb && (s.spot || !g.spot) &&
           s.allows_type(g.type) && zone_allowed(job, g.zone) &&
           teams_.fits(s.team, s.cpus, s.gpus);
}

void PartOwner::use_grant(Time now, int part, Peer& peer, const Grant& g) {
    auto suits = [&](const Job& job) {
        return job.spec.kind != JobKind::gang && waits(now, job) && grant_suits(job, g);
    };
    Job* job = jobs_.find(g.job);
    if (!job || !suits(*job)) { // its tasks found slots meanwhile; another job may use these
        job = nullptr;
        for (const auto& [id, other] : jobs_.all()) {
            if (suits(*other) && (!job || std::tie(other->spec.priority, other->known_since) <
                                              std::tie(job->spec.priority, job->known_since))) {
                job = other.get();
            }
        }
    }
    if (!job || !usable_now(now)) {
        tell(peer, {Told::What::back, g.machine, g.id});
        return;
    }
    start_remote(part, g, *job, job->waiting.first());
}

// Sends the start of a task of ours to slots that another owner has handed over.
void PartOwner::start_remote(int part, const Grant& g, Job& job, std::uint32_t index) {
    TaskRef task{job.spec.id, index};
    jobs_.place(job, index, g.zone);
    teams_.use(job.spec.team, job.spec.cpus, job.spec.gpus);
    remote_placed(peers_.at(part), task, {g.id.attempt, part, g.machine, g.zone});
    Orders orders{g.machine, g.endpoint, g.token, g.session, {{Op::start, task, g.id.attempt, 0}}};
    calls_.send(std::move(orders), [this, task, part, machine = g.machine,
                                    id = g.id](Time at, CallReply& reply) {
        unanswered_ = reply.status == 0 ? unanswered_ + 1 : 0;
        auto it = remote_.find(task);
        if (reply.status != 409 || it == remote_.end() || it->second.attempt != id.attempt ||
            it->second.machine != machine) {
            return; // executed, or in doubt until the machine's owner lists it or has fenced it
        }
        // Refused, so it never will be executed: the slots go back.
        tell(peers_.at(part), {Told::What::back, machine, id});
        remote_gone(at, task, ExitWhy::none);
    });
}

// ---- As the owner of machines ----

void PartOwner::exchange(Time now, RequestId request, const Exchange& in) {
    auto it = peers_.find(in.from);
    if (it == peers_.end() || !usable_now(now) || !loaded_) {
        calls_.answer(request, 503, Plain{"not entitled"}, 1);
        return;
    }
    Peer& peer = it->second;
    if (in.term < peer.job_term) {
        calls_.answer(request, 409, Plain{"a later owner has called"});
        return;
    }
    bool later = in.term > peer.job_term;
    peer.job_term = in.term;
    for (const auto& told : in.told) {
        if (Machine* m = machines_.find(told.machine)) {
            take_told(*m, told, in.from);
        }
    }
    for (const auto& b : in.bought) { // it counts here from now on, long before it is up
        const MachineType* t = type(b.type);
        if (t && part_of_machine(facts_, b.machine, b.zone) == part_ &&
            !machines_.find(b.machine) && !fleet_.was_released(now, b.machine)) {
            machines_.add(now, b.machine, *t, b.zone, b.spot);
            standing_until_ = 0;
        }
    }
    order_.clear(); // it points into the wants of before
    peer.acked = in.seen_term == term_ ? in.seen : 0;
    peer.wants = in.wants;
    peer.wants_at = now;
    peer.heard_at = now;
    peer.left = in.most;
    peer.demand = in.demand;
    peer.fleet = in.fleet;
    if (later) {
        fence_lots(now); // of the owner before
    }
    place(now);
    press(now);
    send_orders(now);

    ExchangeReply reply;
    reply.term = term_;
    reply.settled = accounted_;
    reply.clean = true;
    reply.version = guests_version_;
    reply.demand = standing(now).demand;
    reply.fleet = standing(now).fleet;
    reply.full = in.seen_term != term_ || in.seen <= guests_floor_;
    if (reply.full) {
        for (const auto& [name, m] : machines_.all()) {
            list_guests(name, in.from, reply);
            for (const auto& [id, lot] : m.lots) {
                reply.clean = reply.clean && (lot.thief != in.from || lot.thief_term >= in.term);
            }
        }
    } else {
        for (auto change = guests_log_.upper_bound(in.seen); change != guests_log_.end();
             ++change) {
            reply.machines.push_back(change->second);
            list_guests(change->second, in.from, reply);
        }
    }
    for (auto& g : std::exchange(peer.grants, {})) {
        Machine* m = machines_.find(g.machine);
        if (m && m->lots.contains(g.id)) {
            reply.grants.push_back(std::move(g));
        }
    }
    calls_.answer(request, 200, std::move(reply));
}

// The tasks of the thief's part on one machine, and the slots it may yet start some on.
void PartOwner::list_guests(const std::string& name, int thief, ExchangeReply& reply) const {
    auto found = machines_.all().find(name);
    if (found == machines_.all().end()) {
        return;
    }
    const Machine& m = found->second;
    ++effort_;
    for (const auto& [task, p] : m.tasks) {
        if (part_of_attempt(p.attempt) == thief) {
            ListedTask listed{task, p.attempt, p.stage, ExitWhy::none};
            reply.held.push_back({listed, name, m.zone, p.shape_unknown, m.draining || m.trimming,
                                  m.notice_s.has_value()});
        }
    }
    for (const auto& t : m.finished) {
        if (part_of_attempt(t.attempt) == thief) {
            reply.held.push_back({t, name, m.zone, false, false, false});
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
void PartOwner::note_guests(const std::string& name, Machine* m) {
    std::uint64_t print = 0;
    auto mix = [&](const StartId& id, std::uint64_t state) {
        std::uint64_t x = (id.attempt * 16 + state) * 31 + id.index + 0x9e3779b97f4a7c15ULL;
        x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
        x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
        print ^= x ^ (x >> 31);
    };
    if (m) {
        std::uint64_t leaving = (m->draining || m->trimming ? 1 : 0) + (m->notice_s ? 8 : 0);
        for (const auto& [task, p] : m->tasks) {
            if (part_of_attempt(p.attempt) != part_) {
                mix(start_id(p.attempt, task.index), leaving + (p.shape_unknown ? 2 : 0));
            }
        }
        for (const auto& [id, lot] : m->lots) {
            mix(id, leaving);
        }
        for (const auto& t : m->finished) {
            if (part_of_attempt(t.attempt) != part_) {
                mix(start_id(t.attempt, t.task.index), 4);
            }
        }
        if (print == m->guests_print) {
            return;
        }
        m->guests_print = print;
        guests_log_.erase(m->guests_version);
        m->guests_version = guests_version_ + 1;
    }
    guests_log_[++guests_version_] = name;
    // Machines that are gone would stay in the log for ever.
    while (guests_log_.size() > 2 * machines_.all().size() + 64) {
        guests_floor_ = guests_log_.begin()->first;
        guests_log_.erase(guests_log_.begin());
    }
}

void PartOwner::take_told(Machine& m, const Told& told, int thief) {
    switch (told.what) {
    case Told::What::back: {
        auto lot = m.lots.find(told.id);
        if (lot != m.lots.end() && lot->second.thief == thief &&
            lot->second.thief_term == peers_.at(thief).job_term) {
            m.lots.erase(lot);
            relist(m);
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
    case Told::What::shape:
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
                relist(m);
            }
        }
        return;
    }
}

// Strikes slots from our lists for tasks of another part.
void PartOwner::hand_over(Time now, bool spot, int thief, Want& want) {
    Peer& peer = peers_.at(thief);
    JobSpec shape = shape_wanted(want);
    while (want.count > 0 && peer.left > 0) {
        const std::string* found = find_slots(spot, shape, nullptr, nullptr);
        if (!found) {
            return;
        }
        lend(now, *machines_.find(*found), thief, want);
    }
}

void PartOwner::lend(Time now, Machine& m, int thief, Want& want, std::uint32_t member) {
    Peer& peer = peers_.at(thief);
    Lot lot;
    lot.thief = thief;
    lot.thief_term = peer.job_term;
    lot.token = make_token(term_, m.sequence);
    lot.since = now;
    lot.shape = shape_of(shape_wanted(want));
    lot.shape.attempt = want.attempt != 0 ? want.attempt : new_attempt(thief, false);
    lot.shape.borrows = want.borrows;
    lot.shape.via = Placement::Via::orders;
    lot.shape.token = lot.token;
    lot.shape.since = now;
    m.touch_image(want.image, want.image_gb);
    StartId id = start_id(lot.shape.attempt, member);
    peer.grants.push_back({id, want.job, m.name, m.endpoint, m.session, lot.token, m.type.name,
                           m.zone, m.spot, want.cpus, want.gpus, want.ram_gb});
    m.lots.emplace(id, std::move(lot));
    relist(m);
    --want.count;
    --peer.left;
}

// A slot whose start does not show, or that an owner before the present one got: a higher token
// makes sure that the start never comes, and the next report under it frees the slot.
void PartOwner::fence_lots(Time now) {
    for (auto& [name, m] : machines_.all()) {
        ++effort_;
        std::uint64_t token = make_token(term_, m.sequence);
        bool fence = std::any_of(m.lots.begin(), m.lots.end(), [&](const auto& l) {
            const Lot& lot = l.second;
            bool old = now - lot.since > kLotReports * facts_.report_s ||
                       lot.thief_term < peers_.at(lot.thief).job_term;
            return old && lot.token == token;
        });
        if (fence) {
            machines_.fence(m);
            relist(m);
        }
    }
}

} // namespace orchidlanding
