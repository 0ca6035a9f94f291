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
// A slot handed over shows its start within a report or so; after that the owner fences it.
constexpr double kLotReports = 1.5;

JobSpec shape_wanted(const Want& w) {
    JobSpec s;
    s.cpus = w.cpus;
    s.gpus = w.gpus;
    s.ram_gb = w.ram_gb;
    s.image = w.image;
    s.image_gb = w.image_gb;
    s.types = w.types;
    s.zone = w.zone;
    s.spot = w.spot;
    return s;
}
} // namespace

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

std::vector<Want> PartOwner::wants_for(Time now, const Peer& peer) const {
    std::vector<Want> wants;
    std::vector<const Job*> waiting;
    for (const auto& [id, job] : jobs_.all()) {
        if (waits(now, *job)) {
            waiting.push_back(job.get());
        }
    }
    std::sort(waiting.begin(), waiting.end(), [&](const Job* a, const Job* b) {
        return std::tuple(a->spec.priority, !longest_.contains(a->spec.team), a->due,
                          a->known_since) < std::tuple(b->spec.priority,
                                                       !longest_.contains(b->spec.team), b->due,
                                                       b->known_since);
    });
    // Many jobs, so that the peer can choose by image; it gives no more than the batch in all.
    Teams room = teams_; // so that slots are not asked for beyond a team's limit
    for (const Job* job : waiting) {
        const JobSpec& s = job->spec;
        Want w{s.id,   0,      s.cpus,     s.gpus, s.ram_gb, s.image, s.image_gb, s.types,
               s.zone, s.spot, s.priority, false,  false,    0,       0};
        w.longest = longest_.contains(s.team);
        w.borrows = !teams_.within_guarantee(s.team, s.cpus, s.gpus);
        w.age_s = now - job->known_since;
        w.due_s = std::max(0.0, job->due - now);
        while (w.count < peer.batch && w.count < job->waiting.size() &&
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
    Exchange out;
    out.from = part_;
    out.term = term_;
    out.to = part;
    refresh_order(now);
    out.wants = wants_for(now, peer);
    out.returned = std::exchange(peer.returned, {});
    for (auto& [attempt, told] : std::exchange(peer.told, {})) {
        out.told.push_back(std::move(told));
    }
    out.demand = demand(now);
    out.fleet = fleet_view(now);
    std::uint32_t asked = 0;
    for (const auto& w : out.wants) {
        asked += w.count;
    }
    asked = std::min(asked, static_cast<std::uint32_t>(peer.batch));
    out.most = asked;
    bool guests = std::any_of(remote_.begin(), remote_.end(),
                              [&](const auto& r) { return r.second.part == part; });
    bool busy = asked > 0 || guests || !peer.inventoried;
    peer.next = now + (busy ? policy_.exchange_s : facts_.report_s / 3);
    peer.in_flight = true;
    calls_.send(PeerCall{peer.node, std::move(out)},
                [this, part = part, asked](Time at, CallReply& reply) {
                    Peer& p = peers_.at(part);
                    p.in_flight = false;
                    if (reply.status != 200 || !reply.exchange || !usable_now(at)) {
                        return;
                    }
                    heard(at, part, p, *reply.exchange);
                    // The first batch is small; while everything asked for is given, the next
                    // is twice as large and follows at once.
                    if (asked > 0 && reply.exchange->grants.size() >= asked) {
                        p.batch = std::min(kMostBatch, p.batch * 2);
                        p.next = at;
                    } else {
                        p.batch = std::max(policy_.steal_batch, p.batch / 2);
                    }
                    if (!p.returned.empty()) {
                        p.next = at;
                    }
                    place(at);
                    send_orders(at);
                    call_peers(at);
                });
}

void PartOwner::heard(Time now, int part, Peer& peer, const ExchangeReply& reply) {
    if (reply.term < peer.heard_term) {
        return;
    }
    peer.heard_term = reply.term;
    reconcile(now, part, peer, reply);
    if (reply.settled && reply.clean && !peer.inventoried) {
        peer.inventoried = true;
        settle(now);
    }
    for (const auto& grant : reply.grants) {
        use_grant(now, part, peer, grant);
    }
}

// The reply lists every task of ours on the peer's machines and every slot whose start has not
// shown. A task of ours that is in neither is on none of its machines, once all of them are
// accounted for.
void PartOwner::reconcile(Time now, int part, Peer& peer, const ExchangeReply& reply) {
    std::set<std::uint64_t> present(reply.open.begin(), reply.open.end());
    for (const auto& h : reply.held) {
        const ListedTask& t = h.listed;
        present.insert(t.attempt);
        Job* job = jobs_.find(t.task.job);
        bool ours = job && t.task.index < job->spec.tasks;
        auto it = remote_.find(t.task);
        bool same = it != remote_.end() && it->second.attempt == t.attempt;
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
            if (end_is_durable(t)) {
                peer.told[t.attempt] = {Told::What::clear, t.attempt};
            }
            continue;
        }
        if (waits) { // started by an owner of this part before us
            jobs_.place(*job, t.task.index, h.zone);
            teams_.use(job->spec.team, job->spec.cpus, job->spec.gpus);
            remote_[t.task] = {t.attempt, part, h.machine, h.zone};
            same = true;
        }
        bool moves = h.draining && ours && job->spec.kind == JobKind::service;
        if (!same || !job->open() || moves) {
            peer.told[t.attempt] = {Told::What::stop, t.attempt};
        } else if (h.shape_unknown) {
            const JobSpec& s = job->spec;
            peer.told[t.attempt] = {Told::What::shape, t.attempt, s.cpus,    s.gpus,
                                    s.ram_gb,          s.image,   s.image_gb};
        }
    }
    if (!reply.settled) {
        return;
    }
    std::vector<TaskRef> absent;
    for (const auto& [task, r] : remote_) {
        if (r.part == part && !present.contains(r.attempt)) {
            absent.push_back(task);
        }
    }
    for (const auto& task : absent) {
        remote_gone(now, task, ExitWhy::none);
    }
}

void PartOwner::remote_gone(Time now, const TaskRef& task, ExitWhy why) {
    auto it = remote_.find(task);
    Remote r = it->second;
    remote_.erase(it);
    if (Job* job = jobs_.find(task.job)) {
        teams_.free(job->spec.team, job->spec.cpus, job->spec.gpus);
    }
    account(now, task, why, r.zone);
}

void PartOwner::use_grant(Time now, int part, Peer& peer, const Grant& g) {
    auto suits = [&](const Job& job) {
        const JobSpec& s = job.spec;
        return waits(now, job) && s.cpus <= g.cpus && s.gpus <= g.gpus && s.ram_gb <= g.ram_gb &&
               (s.spot || !g.spot) && s.allows_type(g.type) && zone_allowed(job, g.zone) &&
               teams_.fits(s.team, s.cpus, s.gpus);
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
        peer.returned.push_back(g.attempt);
        return;
    }
    TaskRef task{job->spec.id, *job->waiting.begin()};
    jobs_.place(*job, task.index, g.zone);
    teams_.use(job->spec.team, job->spec.cpus, job->spec.gpus);
    remote_[task] = {g.attempt, part, g.machine, g.zone};
    Orders orders{g.machine, g.endpoint, g.token, g.session, {{Op::start, task, g.attempt, 0}}};
    calls_.send(
        std::move(orders), [this, task, part, attempt = g.attempt](Time at, CallReply& reply) {
            auto it = remote_.find(task);
            if (reply.status != 409 || it == remote_.end() || it->second.attempt != attempt) {
                return; // executed, or in doubt until the machine's owner lists it or has fenced it
            }
            // Refused, so it never will be executed: the slots go back.
            peers_.at(part).returned.push_back(attempt);
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
    peer.job_term = in.term;
    for (std::uint64_t attempt : in.returned) {
        for (auto& [name, m] : machines_.all()) {
            auto lot = m.lots.find(attempt);
            if (lot != m.lots.end() && lot->second.thief == in.from &&
                lot->second.thief_term == in.term) {
                m.lots.erase(lot);
                relist(m);
            }
        }
    }
    for (const auto& told : in.told) {
        for (auto& [name, m] : machines_.all()) {
            take_told(m, told);
        }
    }
    order_.clear(); // it points into the wants of before
    order_stale_ = true;
    peer.wants = in.wants;
    peer.wants_at = now;
    peer.left = in.most;
    peer.demand = in.demand;
    peer.fleet = in.fleet;
    fence_lots(now);
    place(now);
    send_orders(now);

    ExchangeReply reply;
    reply.term = term_;
    reply.settled = accounted_;
    reply.clean = true;
    for (auto& [name, m] : machines_.all()) {
        for (const auto& [task, p] : m.tasks) {
            if (part_of_attempt(p.attempt) == in.from) {
                ListedTask listed{task, p.attempt, p.stage, ExitWhy::none};
                reply.held.push_back(
                    {listed, name, m.zone, p.shape_unknown, m.draining || m.trimming});
            }
        }
        for (const auto& t : m.finished) {
            if (part_of_attempt(t.attempt) == in.from) {
                reply.held.push_back({t, name, m.zone, false, false});
            }
        }
        for (const auto& [attempt, lot] : m.lots) {
            if (lot.thief == in.from) {
                reply.open.push_back(attempt);
                reply.clean = reply.clean && lot.thief_term >= in.term;
            }
        }
    }
    for (auto& g : std::exchange(peer.grants, {})) {
        Machine* m = machines_.find(g.machine);
        if (m && m->lots.contains(g.attempt)) {
            reply.grants.push_back(std::move(g));
        }
    }
    calls_.answer(request, 200, std::move(reply));
}

void PartOwner::take_told(Machine& m, const Told& told) {
    switch (told.what) {
    case Told::What::clear:
        for (const auto& t : m.finished) {
            if (t.attempt == told.attempt) {
                clear_guests_.insert(told.attempt);
            }
        }
        return;
    case Told::What::stop:
        for (const auto& [task, p] : m.tasks) {
            if (p.attempt == told.attempt) {
                stop_guests_.insert(told.attempt);
            }
        }
        return;
    case Told::What::shape:
        for (auto& [task, p] : m.tasks) {
            if (p.attempt == told.attempt && p.shape_unknown) {
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

void PartOwner::lend(Time now, Machine& m, int thief, Want& want) {
    Peer& peer = peers_.at(thief);
    Lot lot;
    lot.thief = thief;
    lot.thief_term = peer.job_term;
    lot.token = make_token(term_, m.sequence);
    lot.since = now;
    lot.shape = shape_of(shape_wanted(want));
    lot.shape.attempt = make_attempt(term_, next_attempt_++, thief);
    lot.shape.via = Placement::Via::orders;
    lot.shape.token = lot.token;
    lot.shape.since = now;
    m.touch_image(want.image, want.image_gb);
    peer.grants.push_back({lot.shape.attempt, want.job, m.name, m.endpoint, m.session, lot.token,
                           m.type.name, m.zone, m.spot, want.cpus, want.gpus, want.ram_gb});
    m.lots.emplace(lot.shape.attempt, std::move(lot));
    relist(m);
    --want.count;
    --peer.left;
}

// A slot whose start does not show, or that an owner before the present one got: a higher token
// makes sure that the start never comes, and the next report under it frees the slot.
void PartOwner::fence_lots(Time now) {
    for (auto& [name, m] : machines_.all()) {
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
