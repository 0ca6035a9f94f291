// What waits, in which order, and which idle slots it gets.
#include <algorithm>
#include <tuple>
#include <utility>

#include "core/part_owner.h"
#include "core/parts.h"

namespace orchidlanding {

namespace {
std::uint32_t planned(const std::map<std::string, std::uint32_t>* plan, const std::string& where) {
    auto it = plan ? plan->find(where) : decltype(plan->end()){};
    return plan && it != plan->end() ? it->second : 0;
}
} // namespace

bool PartOwner::may_place(const Machine& m) const {
    return m.reported && m.fenced && m.on_roster && holdings_.gives(m.share) && !m.draining &&
           !m.trimming && !m.releasing && !m.notice_s && !m.has_foreign() &&
           !m.has_unknown_shape() && m.errors < policy_.sick_errors;
}

void PartOwner::relist(Machine& m) {
    int idle = slots_idle(m.free_cpus(), m.free_gpus(), m.free_ram(), m.type);
    bool listed = may_place(m) && (idle > 0 || m.type.gpus > 0);
    slots_.set({m.type.name, m.spot}, m.name, listed ? idle : -1);
    if (slots_.images_version(m.name) != m.images_version) {
        std::vector<std::string> images;
        for (const auto& image : m.images) {
            images.push_back(image.name);
        }
        slots_.set_images(m.name, images, m.images_version);
    }
    lending_.note(m);
}

// The head of the first list that has enough idle slots for a task of this shape. `task` and
// `job` are null when another part asks, whose owner checks the rest itself.
const std::string* PartOwner::find_slots(bool spot, const JobSpec& s, const TaskRef* task,
                                         const Job* job, const GangPlan* plan,
                                         const std::string& zone) const {
    // A machine that has the image before one that has to fetch it.
    for (bool warm : {true, false}) {
        for (const MachineType* type : types_.by_fetch()) {
            const MachineType& t = *type;
            if (!s.allows_type(t.name)) {
                continue;
            }
            auto fits = [&](const std::string& name) {
                ++effort_;
                const Machine& m = machines_.all().at(name);
                double n = 1 + planned(plan ? &plan->on : nullptr, name);
                std::uint32_t more = 1 + planned(plan ? &plan->in_zone : nullptr, m.zone);
                bool allowed = job ? job->allows_zone(m.zone, more)
                                   : (!s.zone || *s.zone == m.zone) && s.may_spread(more);
                return allowed && (zone.empty() || zone == m.zone) && m.orders == 0 &&
                       m.kept_for(s.id) && m.free_cpus() >= n * s.cpus &&
                       m.free_ram() >= n * s.ram_gb && m.free_gpus() >= n * s.gpus &&
                       !(task && m.holds_exited(*task));
            };
            SlotKind kind{t.name, spot};
            int least = slots_listed(t, s.cpus, s.gpus, s.ram_gb);
            const std::string* found =
                warm ? slots_.pop_warm(kind, least, s.image, fits) : slots_.pop(kind, least, fits);
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
    start_on(now, *machines_.find(*found), job, index, claim_.new_attempt(claim_.part(), false));
    return true;
}

void PartOwner::start_on(Time now, Machine& m, Job& job, std::uint32_t index,
                         std::uint64_t attempt) {
    const JobSpec& s = job.spec;
    Placement p = placement_of(s);
    p.attempt = attempt;
    p.borrows = !teams_.within_guarantee(s.team, s.cpus, s.gpus);
    machines_.queue_start(now, m, {s.id, index}, std::move(p));
    jobs_.place(job, index, m.zone);
    teams_.use(s.team, s.cpus, s.gpus);
    relist(m);
}

bool PartOwner::waits(Time now, const Job& job) const {
    // After an outage for all, an owner whose claim had outlived it once started replicas of a job
    // that had been cancelled before, until the first answer of its watch.
    return fresh_.enough(now) && (settled_ || (loaded_ && !job.in_doubt)) && job.open() &&
           !job.waiting.empty() && now >= job.hold_until &&
           (job.spec.kind != JobKind::gang || gangs_.may_place(now, job));
}

void PartOwner::place(Time now) {
    if (!loaded_ || !claim_.usable(now) || slots_.empty()) {
        return;
    }
    order_.stale();
    // Each job on its own kind of machine first. What is left of the ordinary ones then serves
    // the jobs that may use spot machines as well: were they let in by rank, jobs that have
    // nowhere else to go would stand behind them.
    fill(now, true, true);
    fill(now, false, false);
    fill(now, false, true);
}

// Strikes slots from our lists for tasks of another part.
void PartOwner::hand_over(Time now, bool spot, int thief, Want& want) {
    JobSpec shape = shape_wanted(want);
    while (want.count > 0 && lending_.left(thief) > 0) {
        const std::string* found = find_slots(spot, shape, nullptr, nullptr);
        if (!found) {
            return;
        }
        lending_.lend(now, *machines_.find(*found), thief, want);
    }
}

void PartOwner::fill(Time now, bool spot, bool spot_jobs) {
    using Shape = std::tuple<double, double, double>;
    std::set<Shape> full;
    for (const Candidate& c : order_.get(now)) {
        if (c.spot != spot_jobs) {
            continue;
        }
        if (c.want) {
            Shape shape{c.want->cpus, c.want->gpus, c.want->ram_gb};
            if (c.kind == JobKind::gang) {
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
        while (!c.job->waiting.empty() && !c.begun() && teams_.fits(s.team, s.cpus, s.gpus)) {
            if (!place_one(now, spot, *c.job, c.job->waiting.first())) {
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
        return w.count > 0 && lending_.left(c.thief) > 0 && m.kept_for(w.job) &&
               w.cpus <= m.free_cpus() && w.ram_gb <= m.free_ram() && w.gpus <= m.free_gpus() &&
               (!w.types ||
                std::find(w.types->begin(), w.types->end(), m.type.name) != w.types->end()) &&
               (!w.zone || *w.zone == m.zone);
    }
    const JobSpec& s = c.job->spec;
    return waits(now, *c.job) && !c.begun() && m.kept_for(s.id) && s.cpus <= m.free_cpus() &&
           s.ram_gb <= m.free_ram() && s.gpus <= m.free_gpus() &&
           teams_.fits(s.team, s.cpus, s.gpus) && s.allows_type(m.type.name) &&
           c.job->allows_zone(m.zone) && !m.holds_exited({s.id, c.job->waiting.first()});
}

// The idle slots of one machine, as its report gives them. Of the candidates of the same rank, one
// whose image the machine has goes before one due a little earlier whose image it would have to
// fetch: while it is fetched, the slots stand idle.
void PartOwner::place_on(Time now, Machine& m) {
    if (!loaded_ || !claim_.usable(now) || !may_place(m) || m.orders != 0) {
        return;
    }
    const std::vector<Candidate>& order = order_.get(now);
    std::set<const Candidate*> lacking; // gangs for which this machine is not enough
    auto best_of = [&](bool spot_jobs) {
        const Candidate* best = nullptr;
        Time best_due = 0;
        for (const Candidate& c : order) {
            ++effort_;
            if (best && (!c.same_rank(*best) || c.due >= best_due)) {
                break; // no warm image makes up for that
            }
            if (c.spot != spot_jobs || lacking.contains(&c) || !suits(now, m, c)) {
                continue;
            }
            double fetch_s =
                m.warm(c.image()) ? 0 : c.image_gb() / std::max(1e-3, m.type.fetch_gb_per_s);
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
            if (c->kind == JobKind::gang) {
                bool placed = c->want ? lend_gang(now, m.spot, c->thief, *c->want)
                                      : place_gang(now, m.spot, *c->job);
                if (!placed) {
                    lacking.insert(c);
                }
            } else if (c->want) {
                lending_.lend(now, m, c->thief, *c->want);
            } else {
                start_on(now, m, *c->job, c->job->waiting.first(),
                         claim_.new_attempt(claim_.part(), false));
            }
        }
    }
}

} // namespace orchidlanding
