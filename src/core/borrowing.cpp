#include "core/borrowing.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace orchidlanding {

namespace {
constexpr double kMostBatch = 64;
constexpr std::size_t kMostWants = 24; // jobs named in a call
constexpr std::size_t kMostTold = 256; // words on tasks, and machines bought, in a call
} // namespace

Borrowing::Borrowing(Claim& claim, const Facts& facts, const Policy& policy, const PartTable& table,
                     const Holdings& holdings, JobStore& jobs, Teams& teams, Gangs& gangs,
                     WaitingOrder& order, DemandBook& demand, Calls& calls, Part& owner)
    : claim_(claim), facts_(facts), policy_(policy), table_(table), holdings_(holdings),
      jobs_(jobs), teams_(teams), gangs_(gangs), order_(order), demand_(demand), calls_(calls),
      owner_(owner) {
    for (int p = 0; p < static_cast<int>(facts_.parts.size()); ++p) {
        if (p != claim_.part()) {
            peers_[p].batch = policy_.steal_batch;
        }
    }
}

void Borrowing::call(Time now) {
    if (!claim_.usable(now)) {
        return;
    }
    for (auto& [part, peer] : peers_) {
        if (!peer.in_flight && now >= peer.next && !table_.at(part).node.empty()) {
            call_peer(now, part, peer);
        }
    }
}

void Borrowing::call_soon() {
    for (auto& [part, peer] : peers_) {
        peer.next = 0;
    }
}

std::vector<Want> Borrowing::wants_for(Time now, int part, const Peer& peer) {
    auto nth = static_cast<std::uint64_t>(
        std::distance(peers_.begin(), peers_.find(part))); // of the peers
    std::vector<Want> wants;
    // One slot for a job to begin with, of one peer at a time, each in turn for a report time.
    auto begins = [&](const Job* job) {
        auto turn = hash_of(job->spec.id) + static_cast<std::uint64_t>(now / facts_.report_s);
        return job->to_begin && turn % peers_.size() == nth;
    };
    auto first = [&](const Job* job) { return begins(job) || order_.kept(job->spec); };
    std::vector<const Job*> waiting;
    for (const auto& [id, job] : jobs_.all()) {
        if (owner_.waits(now, *job)) {
            waiting.push_back(job.get());
        }
    }
    std::sort(waiting.begin(), waiting.end(), [&](const Job* a, const Job* b) {
        return std::tuple(!first(a), a->spec.priority, !order_.longest(a->spec.team), a->due,
                          a->known_since) < std::tuple(!first(b), b->spec.priority,
                                                       !order_.longest(b->spec.team), b->due,
                                                       b->known_since);
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
        w.priority = WaitingOrder::rank(*job, begins(job));
        w.longest = order_.longest(s.team);
        w.kept = first(job);
        w.borrows = !teams_.within_guarantee(s.team, s.cpus, s.gpus);
        w.preempt = job->wants_room;
        w.age_s = now - job->known_since;
        w.due_s = std::max(0.0, job->due - now);
        if (s.kind == JobKind::gang) {
            auto n = static_cast<double>(job->waiting.size());
            if (!room.fits(s.team, n * s.cpus, n * s.gpus) ||
                !owner_.want_gang(*job, peer.calls % 2 == 1, w)) {
                continue;
            }
            room.use(s.team, n * s.cpus, n * s.gpus);
        }
        std::size_t most = begins(job) ? 1 : job->waiting.size(); // then it stands in line again
        while (s.kind != JobKind::gang && w.count < peer.batch && w.count < most &&
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

void Borrowing::call_peer(Time now, int part, Peer& peer) {
    tell_ended(peer);
    Exchange out;
    out.from = claim_.part();
    out.term = claim_.term();
    out.to = part;
    order_.get(now); // due times
    out.number = ++peer.calls;
    if (now >= peer.want_again) {
        out.wants = wants_for(now, part, peer);
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
    for (const auto& [name, b] : demand_.bought()) {
        if (table_.holder(share_of_machine(facts_, name, b.first.zone)) == part &&
            bought.size() < kMostTold) {
            bought.push_back(name);
            out.bought.push_back({name, b.first.type, b.first.zone, b.first.spot});
        }
    }
    out.given = peer.given;
    out.seen_term = peer.seen_term;
    out.seen = peer.anew == peer.anew_answered ? peer.seen : 0;
    out.demand = demand_.standing(now).demand;
    out.fleet = demand_.standing(now).fleet;
    std::uint32_t asked = 0;
    std::uint32_t gang = 0; // the largest
    for (const auto& w : out.wants) {
        asked += w.count;
        gang = std::max(gang, w.kind == JobKind::gang ? w.count : 0);
    }
    asked = std::min(asked, std::max(gang, static_cast<std::uint32_t>(peer.batch)));
    out.most = asked;
    bool busy = asked > 0 || peer.tasks > 0 || !owner_.settled();
    peer.next = now + (busy ? policy_.exchange_s : facts_.report_s / 3);
    peer.in_flight = true;
    calls_.send(PeerCall{table_.at(part).node, std::move(out)},
                [this, part, asked, told, bought, given = peer.given.size(),
                 anew = peer.anew](Time at, CallReply& reply) {
                    Peer& p = peers_.at(part);
                    p.in_flight = false;
                    if (reply.status != 200 || !reply.exchange || !claim_.usable(at)) {
                        return;
                    }
                    p.anew_answered = anew;
                    for (const auto& where : told) {
                        p.told.erase(where);
                    }
                    p.given.erase(p.given.begin(),
                                  p.given.begin() + static_cast<std::ptrdiff_t>(given));
                    for (const auto& name : bought) {
                        demand_.passed_on(name); // its owner counts it now, in this very reply
                    }
                    answered(at, part, asked, *reply.exchange);
                });
}

void Borrowing::answered(Time at, int part, std::uint32_t asked, const ExchangeReply& reply) {
    Peer& p = peers_.at(part);
    heard(at, part, p, reply);
    // The first batch is small; while everything asked for is given, the next is twice as large and
    // follows at once.
    if (asked > 0 && reply.grants.size() >= asked) {
        p.batch = std::min(kMostBatch, p.batch * 2);
        p.next = at;
    } else {
        p.batch = std::max(policy_.steal_batch, p.batch / 2);
    }
    if (std::any_of(p.told.begin(), p.told.end(),
                    [](const auto& t) { return t.second.what == Told::What::back; })) {
        // The slots go back at once, but asked for again at once they would come and go as fast as
        // calls do.
        p.next = at;
        p.want_again = at + policy_.exchange_s;
    }
    owner_.after_reply(at);
}

// Tasks of ours that ended there: their machine may forget them once that is durable here.
void Borrowing::tell_ended(Peer& peer) {
    std::erase_if(peer.ended, [&](const auto& e) {
        const HeldTask& h = e.second;
        if (!owner_.end_is_durable(h.listed)) {
            return false;
        }
        peer.told[e.first] = {Told::What::clear, h.machine, e.first.first};
        return true;
    });
}

// A word that does not wait for the next regular call.
void Borrowing::tell(Peer& peer, Told told) {
    Peer::Where where{told.id, told.machine};
    peer.told[where] = std::move(told);
    peer.next = 0;
}

void Borrowing::heard(Time now, int part, Peer& peer, const ExchangeReply& reply) {
    if (reply.term < peer.heard_term) {
        return;
    }
    peer.heard_term = reply.term;
    peer.answered_term = reply.term;
    demand_.heard(now, part, reply.demand, reply.fleet);
    reconcile(now, part, peer, reply);
    std::map<std::uint64_t, std::vector<Grant>> gangs;
    for (const auto& grant : reply.grants) {
        ShareId share = share_of_machine(facts_, grant.machine, grant.zone);
        if (term_of_token(grant.token) < heard_[share]) {
            give_back(part, grant); // its share has passed on since: the start would be refused
        } else if ((grant.id.attempt & kGangBit) != 0) {
            gangs[grant.id.attempt].push_back(grant);
        } else {
            use_grant(now, part, peer, grant);
        }
    }
    for (const auto& [attempt, grants] : gangs) {
        owner_.use_gang_grants(now, part, grants);
    }
}

void Borrowing::take_posted(Time now, int part, const ExchangeReply& reply) {
    Peer& peer = peers_.at(part);
    if (reply.term >= peer.heard_term && reply.term != peer.answered_term) {
        peer.heard_term = reply.term;
        reconcile(now, part, peer, reply);
    }
}

// What a reply says counts by share: only under the latest term that we know of, and not for shares
// that we hold ourselves. `complete`: nothing has to be listed again.
Borrowing::Listings Borrowing::current(int part, const ExchangeReply& reply, bool& complete) {
    std::vector<ShareListing> listed;
    if (reply.shares) {
        listed = *reply.shares;
    } else { // a node of the version before: it holds what is at home there
        for (int number = 0; number < shares_at(facts_, part); ++number) {
            listed.push_back({{part, number}, reply.term, reply.settled, reply.full});
        }
    }
    Listings out;
    for (const auto& l : listed) {
        if (const Holdings::Share* own = holdings_.find(l.share)) {
            // A later holder than we are: we gave it away and have not heard that it is done.
            complete = complete && l.term < own->term;
            continue;
        }
        std::uint64_t& heard = heard_[l.share];
        if (l.term >= heard) {
            heard = l.term;
            out.emplace(l.share, l);
        }
    }
    return out;
}

// For each share that it covers, the reply lists every task of ours there and every slot whose
// start has not shown. A task of ours that is in neither is not on that machine, once all of the
// share's machines are accounted for and the share has been listed whole, of late or before.
void Borrowing::reconcile(Time now, int part, Peer& peer, const ExchangeReply& reply) {
    bool complete = reply.clean;
    Listings listings = current(part, reply, complete);
    for (const auto& held : reply.held) {
        auto l = listings.find(share_of_machine(facts_, held.machine, held.zone));
        if (l != listings.end()) {
            take_held(now, part, peer, held, l->second.term);
        }
    }
    take_absent(now, reply, listings);
    if (complete) { // from here on, changes will do
        peer.seen_term = reply.term;
        peer.seen = reply.version;
    }
    std::size_t before = inventoried_.size();
    for (const auto& [share, l] : listings) {
        if (l.accounted && reply.clean) {
            inventoried_.insert(share);
        }
    }
    if (inventoried_.size() > before) {
        owner_.settle(now);
    }
}

void Borrowing::take_held(Time now, int part, Peer& peer, const HeldTask& h, std::uint64_t term) {
    const ListedTask& t = h.listed;
    StartId id = start_id(t.attempt, t.task.index);
    Job* job = jobs_.find(t.task.job);
    bool ours = job && t.task.index < job->spec.tasks;
    auto it = remote_.find(t.task);
    bool same =
        it != remote_.end() && it->second.attempt == t.attempt && it->second.machine == h.machine;
    if (same) {
        rehome(it->second, id, part, term);
    }
    bool waits = ours && job->tasks[t.task.index] == TaskState::waiting;
    if (t.stage == TaskStage::exited) {
        if (same) {
            gone(now, t.task, t.why);
        } else if (waits && t.why == ExitWhy::done && job->open()) {
            owner_.found_done(now, *job, t.task.index);
        }
        peer.ended[{id, h.machine}] = h;
        return;
    }
    bool gang = ours && job->spec.kind == JobKind::gang;
    if (waits && (!gang || gangs_.adopt(now, t.task.job, t.attempt))) {
        // started by an owner of this part before us
        jobs_.place(*job, t.task.index, h.zone);
        teams_.use(job->spec.team, job->spec.cpus, job->spec.gpus);
        placed(t.task, {t.attempt, part, h.machine, h.zone,
                        share_of_machine(facts_, h.machine, h.zone), term});
        same = true;
    }
    bool moves = h.draining && ours && job->spec.kind == JobKind::service;
    // The word that ends an attempt may have gone to who held the share before.
    const Gangs::Attempt* attempt = gang ? gangs_.find(t.task.job) : nullptr;
    bool ends = attempt && attempt->ending;
    if (!same || !job->open() || moves || ends) {
        double grace_s = same && ends && attempt->saves ? kSaveTimes * job->spec.save_s : 0;
        peer.told[{id, h.machine}] = {Told::What::stop, h.machine, id, grace_s};
        return;
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
        owner_.end_attempt(now, t.task.job, true);
    }
}

void Borrowing::take_absent(Time now, const ExchangeReply& reply, const Listings& listings) {
    std::set<StartId> open(reply.open.begin(), reply.open.end());
    std::set<Peer::Where> present;
    for (const auto& h : reply.held) {
        present.insert({start_id(h.listed.attempt, h.listed.task.index), h.machine});
    }
    std::set<TaskRef> absent;
    auto look = [&](const std::set<TaskRef>& tasks, bool whole) {
        for (const auto& task : tasks) {
            const Remote& r = remote_.at(task);
            auto l = listings.find(r.share);
            if (l == listings.end() || !l->second.accounted || r.term > l->second.term ||
                (whole && !l->second.whole)) {
                continue;
            }
            StartId id = start_id(r.attempt, task.index);
            if (!open.contains(id) && !present.contains({id, r.machine})) {
                absent.insert(task);
            }
        }
    };
    if (std::any_of(listings.begin(), listings.end(),
                    [](const auto& l) { return l.second.whole; })) {
        for (const auto& [machine, tasks] : tasks_) {
            look(tasks, true);
        }
    }
    for (const auto& machine : reply.machines) {
        if (auto there = tasks_.find(machine); there != tasks_.end()) {
            look(there->second, false);
        }
    }
    for (const auto& task : absent) {
        gone(now, task, ExitWhy::none);
    }
}

// Its share is listed by another part than before, or by the same under a later term: what was said
// of it goes there.
void Borrowing::rehome(Remote& r, const StartId& id, int part, std::uint64_t term) {
    r.term = std::max(r.term, term);
    if (r.part == part) {
        return;
    }
    Peer& from = peers_.at(r.part);
    Peer& to = peers_.at(part);
    if (auto told = from.told.extract({id, r.machine}); !told.empty()) {
        to.told.insert(std::move(told));
    }
    --from.tasks;
    ++to.tasks;
    r.part = part;
}

void Borrowing::placed(const TaskRef& task, Remote remote) {
    tasks_[remote.machine].insert(task);
    ++peers_.at(remote.part).tasks;
    remote_[task] = std::move(remote);
}

Borrowing::Remote Borrowing::remove(const TaskRef& task) {
    auto it = remote_.find(task);
    Remote r = std::move(it->second);
    remote_.erase(it);
    --peers_.at(r.part).tasks;
    auto there = tasks_.find(r.machine);
    there->second.erase(task);
    if (there->second.empty()) {
        tasks_.erase(there);
    }
    return r;
}

void Borrowing::gone(Time now, const TaskRef& task, ExitWhy why) {
    Remote r = remove(task);
    owner_.ended_there(now, task, why, r.zone);
}

// ---- Moves of shares ----

void Borrowing::tell_given(int part, const Given& given) {
    peers_.at(part).given.push_back(given);
    peers_.at(part).next = 0;
}

void Borrowing::sent_away(const TaskRef& task, Remote remote) {
    std::uint64_t& heard = heard_[remote.share];
    heard = std::max(heard, remote.term);
    placed(task, std::move(remote));
}

void Borrowing::came_home(const ShareId& share, std::uint64_t term) { heard_[share] = term; }

bool Borrowing::take_home(const TaskRef& task, std::uint64_t attempt, const std::string& machine) {
    auto it = remote_.find(task);
    if (it == remote_.end() || it->second.attempt != attempt || it->second.machine != machine) {
        return false;
    }
    remove(task);
    return true;
}

void Borrowing::gone_with(Time now, const std::string& machine) {
    auto there = tasks_.find(machine);
    if (there == tasks_.end()) {
        return;
    }
    std::set<TaskRef> tasks = there->second;
    for (const auto& task : tasks) {
        gone(now, task, ExitWhy::none);
    }
}

void Borrowing::gone_with(Time now, const ShareId& share) {
    std::vector<TaskRef> tasks;
    for (const auto& [task, r] : remote_) {
        if (r.share == share) {
            tasks.push_back(task);
        }
    }
    for (const auto& task : tasks) {
        gone(now, task, ExitWhy::none);
    }
}

// ---- Slots handed over ----

bool Borrowing::grant_suits(const Job& job, const Grant& g) const {
    const JobSpec& s = job.spec;
    return s.cpus <= g.cpus && s.gpus <= g.gpus && s.ram_gb <= g.ram_gb && (s.spot || !g.spot) &&
           s.allows_type(g.type) && job.allows_zone(g.zone) && teams_.fits(s.team, s.cpus, s.gpus);
}

void Borrowing::use_grant(Time now, int part, Peer& peer, const Grant& g) {
    auto suits = [&](const Job& job) {
        return job.spec.kind != JobKind::gang && owner_.waits(now, job) && grant_suits(job, g);
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
    if (!job || !claim_.usable(now)) {
        tell(peer, {Told::What::back, g.machine, g.id});
        return;
    }
    start(part, g, *job, job->waiting.first());
}

// Sends the start of a task of ours to slots that another owner has handed over.
void Borrowing::start(int part, const Grant& g, Job& job, std::uint32_t index) {
    TaskRef task{job.spec.id, index};
    jobs_.place(job, index, g.zone);
    teams_.use(job.spec.team, job.spec.cpus, job.spec.gpus);
    placed(task,
           {g.id.attempt, part, g.machine, g.zone, share_of_machine(facts_, g.machine, g.zone),
            term_of_token(g.token), g.endpoint, g.session, g.token});
    Orders orders{g.machine, g.endpoint, g.token, g.session, {{Op::start, task, g.id.attempt, 0}}};
    calls_.send(std::move(orders), [this, task, part, machine = g.machine,
                                    id = g.id](Time at, CallReply& reply) {
        auto it = remote_.find(task);
        if ((reply.status != 409 && !reply.unsent) || it == remote_.end() ||
            it->second.attempt != id.attempt || it->second.machine != machine) {
            return; // executed, or in doubt until the machine's owner lists it or has fenced it
        }
        // Refused or never sent, so it never will be executed: the slots go back.
        tell(peers_.at(part), {Told::What::back, machine, id});
        gone(at, task, ExitWhy::none);
    });
}

void Borrowing::give_back(int part, const Grant& g) {
    auto used = remote_.find({g.job, g.id.index});
    if ((g.id.attempt & kGangBit) != 0 && used != remote_.end() &&
        used->second.attempt == g.id.attempt && used->second.machine == g.machine) {
        return; // the very slot that the task was started on
    }
    tell(peers_.at(part), {Told::What::back, g.machine, g.id});
}

void Borrowing::stop_job(const std::string& id, double grace_s) {
    for (auto it = remote_.lower_bound({id, 0}); it != remote_.end() && it->first.job == id; ++it) {
        stop_task(it->first, grace_s);
    }
}

void Borrowing::stop_task(const TaskRef& task, double grace_s) {
    if (auto it = remote_.find(task); it != remote_.end()) {
        const Remote& r = it->second;
        tell(peers_.at(r.part),
             {Told::What::stop, r.machine, start_id(r.attempt, task.index), grace_s});
    }
}

bool Borrowing::stop_untold(const TaskRef& task, double grace_s) {
    auto it = remote_.find(task);
    if (it == remote_.end() || it->second.endpoint.empty()) {
        return false;
    }
    const Remote& r = it->second;
    if (!peers_.at(r.part).told.contains({start_id(r.attempt, task.index), r.machine})) {
        return false;
    }
    calls_.send(
        Orders{r.machine, r.endpoint, r.token, r.session, {{Op::stop, task, r.attempt, grace_s}}},
        [](Time, CallReply&) {}); // that it is gone, only its machine's owner can say
    return true;
}

} // namespace orchidlanding
