// What waits, in which order, and which idle slots it gets.
#include <algorithm>
#include <tuple>
#include <utility>

#include "core/part_owner.h"
#include "core/parts.h"

namespace orchidlanding {

namespace {
// Work for more than this many times the time there is cannot be done by then, though estimates err
// and a team may get more CPUs than it has now.
constexpr double kHopeless = 1.5;

// At most half of a job's tasks, rounded up, may be in one zone if it says so.
bool may_spread(const JobSpec& s, std::uint32_t in_zone) {
    return !s.spread || in_zone <= (s.tasks + 1) / 2;
}

std::uint32_t planned(const std::map<std::string, std::uint32_t>* plan, const std::string& where) {
    auto it = plan ? plan->find(where) : decltype(plan->end()){};
    return plan && it != plan->end() ? it->second : 0;
}
} // namespace

// Run time left of the job's tasks. Those that run are half done on the whole; replicas run for
// ever.
double PartOwner::left_s(const Job& job) {
    double tasks = static_cast<double>(job.waiting.size()) + 0.5 * job.placed;
    return job.spec.kind == JobKind::service ? 0 : tasks * job.spec.estimate_s;
}

bool PartOwner::may_place(const Machine& m) const {
    return m.reported && m.fenced && m.on_roster && !m.draining && !m.trimming && !m.releasing &&
           !m.notice_s && !m.has_foreign() && !m.has_unknown_shape() &&
           m.errors < policy_.sick_errors;
}

void PartOwner::relist(Machine& m) {
    int idle = slots_idle(m.free_cpus(), m.free_gpus(), m.free_ram(), m.type);
    bool listed = may_place(m) && (idle > 0 || m.type.gpus > 0);
    slots_.set({m.type.name, m.spot}, m.name, listed ? idle : -1);
    note_guests(m.name, &m);
}

bool PartOwner::zone_allowed(const Job& job, const std::string& zone, std::uint32_t more) const {
    const JobSpec& s = job.spec;
    if (s.zone && *s.zone != zone) {
        return false;
    }
    if (s.one_zone && !job.zone_use.empty() && !job.zone_use.contains(zone)) {
        return false;
    }
    if (s.spread) {
        auto it = job.zone_use.find(zone);
        std::uint32_t there = it == job.zone_use.end() ? 0 : it->second;
        return may_spread(s, there + more);
    }
    return true;
}

// The head of the first list that has enough idle slots for a task of this shape. `task` and
// `job` are null when another part asks, whose owner checks the rest itself.
const std::string* PartOwner::find_slots(bool spot, const JobSpec& s, const TaskRef* task,
                                         const Job* job, const GangPlan* plan,
                                         const std::string& zone) const {
    // A machine that has the image before one that has to fetch it.
    for (bool warm : {true, false}) {
        for (const MachineType* type : by_fetch_) {
            const MachineType& t = *type;
            if (!s.allows_type(t.name)) {
                continue;
            }
            auto fits = [&](const std::string& name) {
                ++effort_;
                const Machine& m = machines_.all().at(name);
                double n = 1 + planned(plan ? &plan->on : nullptr, name);
                std::uint32_t more = 1 + planned(plan ? &plan->in_zone : nullptr, m.zone);
                bool allowed = job ? zone_allowed(*job, m.zone, more)
                                   : (!s.zone || *s.zone == m.zone) && may_spread(s, more);
                return allowed && (zone.empty() || zone == m.zone) && m.orders == 0 &&
                       m.kept_for(s.id) && m.free_cpus() >= n * s.cpus &&
                       m.free_ram() >= n * s.ram_gb && m.free_gpus() >= n * s.gpus &&
                       (!warm || m.warm(s.image)) && !(task && m.holds_exited(*task));
            };
            const std::string* found =
                slots_.pop({t.name, spot}, slots_listed(t, s.cpus, s.gpus, s.ram_gb), fits);
            if (found) {
                return found;
            }
        }
    }
    return nullptr;
}

bool PartOwner::place_one(Time now, bool spot, Job& job, std::uint32_t index) {
    const JobSpec& s = job.spec;
    TaskRef task{s.id, index};
    const std::string* found = find_slots(spot, s, &task, &job);
    if (!found) {
        return false;
    }
    start_on(now, *machines_.find(*found), job, index, new_attempt(part_, false));
    return true;
}

void PartOwner::start_on(Time now, Machine& m, Job& job, std::uint32_t index,
                         std::uint64_t attempt) {
    const JobSpec& s = job.spec;
    Placement p = shape_of(s);
    p.attempt = attempt;
    p.borrows = !teams_.within_guarantee(s.team, s.cpus, s.gpus);
    machines_.queue_start(now, m, {s.id, index}, std::move(p));
    jobs_.place(job, index, m.zone);
    teams_.use(s.team, s.cpus, s.gpus);
    relist(m);
}

Time PartOwner::due(Time now, const Job& job) const {
    // A job that has missed all its aims stands behind those that can still meet one.
    Time next = late(job);
    // What is left takes at least this long, even with all that its team may use.
    const JobSpec& s = job.spec;
    const TeamFacts* team = teams_.facts(s.team);
    double left = static_cast<double>(s.tasks - job.done);
    double at_once = s.kind == JobKind::array ? left * team->amount(s.cpus, s.gpus) : 0;
    double shortest = s.estimate_s * std::max(1.0, at_once / std::max(1.0, team->limit()));
    for (const auto& o : facts_.objectives) {
        if (o.job_class != job.spec.job_class) {
            continue;
        }
        bool own = o.kind == Objective::Kind::deadline;
        if (own && !job.spec.deadline_s) {
            continue;
        }
        Time at = job.known_since + (own ? *job.spec.deadline_s * o.times : o.within_s);
        bool starts = o.kind == Objective::Kind::wait;
        if (at > now + (starts ? 0 : shortest)) {
            next = std::min(next, at);
        }
    }
    return next;
}

// Idle slots go to the tasks that wait, our own and those that other parts want slots for, in
// one order: priority, guarantee before borrowing, what is due first, arrival.
bool PartOwner::waits(Time now, const Job& job) const {
    return (settled_ || (loaded_ && !job.in_doubt)) && job.open() && !job.waiting.empty() &&
           now >= job.hold_until && (job.spec.kind != JobKind::gang || gangs_.may_place(now, job));
}

// Gives each job its due time. Where a team cannot meet all of them with the CPUs it has, the job
// with most work left of those due by then stands behind: aims count jobs, and one large job that
// would be late all the same makes many small ones late (the rule of Moore and Hodgson).
void PartOwner::plan(Time now) {
    std::map<std::string, std::vector<Job*>> by_team;
    for (const auto& [id, job] : jobs_.all()) {
        bool idle = !job->open() || job->waiting.empty();
        job->waits_since = idle ? 0 : job->waits_since > 0 ? job->waits_since : now;
        if (job->open()) {
            job->due = due(now, *job);
            if (job->due < late(*job)) {
                by_team[job->spec.team].push_back(job.get());
            }
        }
    }
    for (auto& [team, jobs] : by_team) {
        std::sort(jobs.begin(), jobs.end(), [](const Job* a, const Job* b) {
            return std::tie(a->spec.priority, a->due, a->spec.id) <
                   std::tie(b->spec.priority, b->due, b->spec.id);
        });
        const TeamFacts& facts = *teams_.facts(team);
        double slots = std::max(1.0, teams_.expected(team));
        std::set<std::tuple<double, std::string, Job*>>
            taken; // by work, so that the largest is last
        double busy = 0;
        for (Job* job : jobs) {
            double work = left_s(*job) * facts.amount(job->spec.cpus, job->spec.gpus) / slots;
            busy += work;
            taken.insert({work, job->spec.id, job});
            while (busy > kHopeless * (job->due - now) && !taken.empty()) {
                auto largest = std::prev(taken.end());
                Job* out = std::get<Job*>(*largest);
                if (out->spec.priority < job->spec.priority) {
                    break; // it runs first whatever its due time
                }
                busy -= std::get<double>(*largest);
                out->due = late(*out);
                taken.erase(largest);
            }
        }
    }
}

// What waits, in the order in which idle slots go to it. It is kept for a moment: the order
// hardly changes from one report to the next.
void PartOwner::refresh_order(Time now) {
    if (!order_stale_ && now < order_until_) {
        return;
    }
    order_stale_ = false;
    order_until_ = now + policy_.exchange_s;
    order_.clear();
    plan(now);
    for (const auto& [id, job] : jobs_.all()) {
        const JobSpec& s = job->spec;
        if (waits(now, *job)) {
            order_.push_back({s.priority, !teams_.within_guarantee(s.team, s.cpus, s.gpus),
                              longest_.contains(s.team), job->due, job->known_since, job.get(),
                              nullptr, part_});
        }
    }
    for (auto& [part, peer] : peers_) {
        if (now - peer.wants_at > facts_.report_s / 2) {
            continue; // it would have called again
        }
        for (auto& want : peer.wants) {
            if (want.count > 0) {
                order_.push_back({want.priority, want.borrows, want.longest,
                                  peer.wants_at + want.due_s, peer.wants_at - want.age_s, nullptr,
                                  &want, part});
            }
        }
    }
    std::sort(order_.begin(), order_.end(), [](const Candidate& a, const Candidate& b) {
        return std::tie(a.priority, a.borrows, b.longest, a.due, a.since) <
               std::tie(b.priority, b.borrows, a.longest, b.due, b.since);
    });
}

// A team whose work takes longer at the team's limit than all work takes on all machines decides
// when everything is over: each moment that it runs below its limit is added to the end.
void PartOwner::find_longest(Time now) {
    std::map<std::string, double> left; // in the team's own measure
    for (const auto& [id, job] : jobs_.all()) {
        const TeamFacts* f = teams_.facts(job->spec.team);
        if (job->open() && f) {
            left[f->name] += left_s(*job) * f->amount(job->spec.cpus, job->spec.gpus);
        }
    }
    Totals all = totals(now);
    double together = all.demand.left_slot_s / std::max(1.0, all.ordinary_slots + all.spot_slots);
    longest_.clear();
    for (const auto& [team, work] : left) {
        if (work > std::max(together, facts_.report_s) * teams_.facts(team)->limit()) {
            longest_.insert(team);
        }
    }
}

void PartOwner::place(Time now) {
    if (!loaded_ || !usable_now(now) || slots_.empty()) {
        return;
    }
    order_stale_ = true;
    refresh_order(now);
    // Each job on its own kind of machine first. What is left of the ordinary ones then serves
    // the jobs that may use spot machines as well: were they let in by rank, jobs that have
    // nowhere else to go would stand behind them.
    fill(now, true, true);
    fill(now, false, false);
    fill(now, false, true);
}

void PartOwner::fill(Time now, bool spot, bool spot_jobs) {
    using Shape = std::tuple<double, double, double>;
    std::set<Shape> full;
    for (const Candidate& c : order_) {
        if ((c.want ? c.want->spot : c.job->spec.spot) != spot_jobs) {
            continue;
        }
        if (c.want) {
            Shape shape{c.want->cpus, c.want->gpus, c.want->ram_gb};
            if (c.want->kind == JobKind::gang) {
                lend_gang(now, spot, c.thief, *c.want);
            } else if (!full.contains(shape)) {
                hand_over(now, spot, c.thief, *c.want);
            }
            continue;
        }
        const JobSpec& s = c.job->spec;
        bool plain = !s.types && !s.zone && !s.one_zone && !s.spread;
        Shape shape{s.cpus, s.gpus, s.ram_gb};
        if (s.kind == JobKind::gang) {
            place_gang(now, spot, *c.job);
            continue;
        }
        if (plain && full.contains(shape)) {
            continue; // no slot for its like a moment ago, so none now
        }
        while (!c.job->waiting.empty() && teams_.fits(s.team, s.cpus, s.gpus)) {
            if (!place_one(now, spot, *c.job, *c.job->waiting.begin())) {
                if (plain) {
                    full.insert(shape);
                }
                break;
            }
        }
    }
}

// Can the slots of this machine serve the candidate now?
bool PartOwner::suits(Time now, const Machine& m, const Candidate& c) const {
    if (c.want) {
        const Want& w = *c.want;
        return w.count > 0 && peers_.at(c.thief).left > 0 && m.kept_for(w.job) &&
               w.cpus <= m.free_cpus() && w.ram_gb <= m.free_ram() && w.gpus <= m.free_gpus() &&
               (!w.types ||
                std::find(w.types->begin(), w.types->end(), m.type.name) != w.types->end()) &&
               (!w.zone || *w.zone == m.zone);
    }
    const JobSpec& s = c.job->spec;
    return waits(now, *c.job) && m.kept_for(s.id) && s.cpus <= m.free_cpus() &&
           s.ram_gb <= m.free_ram() && s.gpus <= m.free_gpus() &&
           teams_.fits(s.team, s.cpus, s.gpus) && s.allows_type(m.type.name) &&
           zone_allowed(*c.job, m.zone) && !m.holds_exited({s.id, *c.job->waiting.begin()});
}

// The idle slots of one machine, as its report gives them. Of the candidates of the same rank, one
// whose image the machine has goes before one due a little earlier whose image it would have to
// fetch: while it is fetched, the slots stand idle.
void PartOwner::place_on(Time now, Machine& m) {
    if (!loaded_ || !usable_now(now) || !may_place(m) || m.orders != 0) {
        return;
    }
    refresh_order(now);
    std::set<const Candidate*> lacking; // gangs for which this machine is not enough
    auto best_of = [&](bool spot_jobs) {
        const Candidate* best = nullptr;
        Time best_due = 0;
        for (const Candidate& c : order_) {
            ++effort_;
            if (best && (std::tie(c.priority, c.borrows, c.longest) !=
                             std::tie(best->priority, best->borrows, best->longest) ||
                         c.due >= best_due)) {
                break; // no warm image makes up for that
            }
            if ((c.want ? c.want->spot : c.job->spec.spot) != spot_jobs || lacking.contains(&c) ||
                !suits(now, m, c)) {
                continue;
            }
            const std::string& image = c.want ? c.want->image : c.job->spec.image;
            double gb = c.want ? c.want->image_gb : c.job->spec.image_gb;
            double fetch_s = m.warm(image) ? 0 : gb / std::max(1e-3, m.type.fetch_gb_per_s);
            Time at = c.due + policy_.warm_patience * fetch_s;
            if (!best || at < best_due) {
                best = &c;
                best_due = at;
            }
        }
        return best;
    };
    // Ordinary machines serve first what may use nothing else.
    for (bool spot_jobs : {false, true}) {
        if (m.spot && !spot_jobs) {
            continue;
        }
        while (const Candidate* c = best_of(spot_jobs)) {
            bool gang = (c->want ? c->want->kind : c->job->spec.kind) == JobKind::gang;
            if (gang) {
                bool placed = c->want ? lend_gang(now, m.spot, c->thief, *c->want)
                                      : place_gang(now, m.spot, *c->job);
                if (!placed) {
                    lacking.insert(c);
                }
            } else if (c->want) {
                lend(now, m, c->thief, *c->want);
            } else {
                start_on(now, m, *c->job, *c->job->waiting.begin(), new_attempt(part_, false));
            }
        }
    }
}

} // namespace orchidlanding
