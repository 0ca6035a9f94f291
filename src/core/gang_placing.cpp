// The owner of a part and its gangs: all slots or none before any start, an orderly end, and the
// next attempt only after every task of the last is known gone. See docs/design.md, "Gangs".
#include <algorithm>
#include <utility>

#include "core/part_owner.h"
#include "core/parts.h"

namespace orchidlanding {

// The zones to try for a gang, each as its only one where it asks for that; else any mix of them.
std::vector<std::string> PartOwner::gang_zones(bool one_zone) const {
    std::set<std::string> zones;
    if (one_zone) {
        for (const auto& part : facts_.parts) {
            zones.insert(part.zone);
        }
        zones.insert(facts_.zones.begin(), facts_.zones.end());
    } else {
        zones.insert("");
    }
    return {zones.begin(), zones.end()};
}

// Finds slots for as many of the members as there are, without striking any.
GangPlan PartOwner::plan_gang(bool spot, const JobSpec& shape,
                              const std::vector<std::uint32_t>& members, const Job* job,
                              const std::string& zone,
                              std::map<std::string, std::uint32_t> in_zone) const {
    GangPlan plan;
    plan.in_zone = std::move(in_zone);
    for (std::uint32_t member : members) {
        TaskRef task{shape.id, member};
        const std::string* found = find_slots(spot, shape, &task, job, &plan, zone);
        if (!found) {
            break;
        }
        plan.machines.push_back(*found);
        ++plan.on[*found];
        ++plan.in_zone[machines_.all().at(*found).zone];
    }
    return plan;
}

bool PartOwner::place_gang(Time now, bool spot, Job& job) {
    const JobSpec& s = job.spec;
    if (!waits(now, job) || !gang_fits(job)) {
        return false;
    }
    std::vector<std::uint32_t> members(job.waiting.begin(), job.waiting.end());
    for (const auto& zone : gang_zones(s.one_zone)) {
        GangPlan plan = plan_gang(spot, s, members, &job, zone, {});
        if (plan.machines.size() == members.size()) {
            start_gang(now, job, members, plan, 0);
            return true;
        }
    }
    return false;
}

bool PartOwner::gang_fits(const Job& job) const {
    const JobSpec& s = job.spec;
    auto n = static_cast<double>(job.waiting.size());
    return teams_.fits(s.team, n * s.cpus, n * s.gpus);
}

// `number`: of the attempt that other members are part of; 0: the gang's own, or a new one.
void PartOwner::start_gang(Time now, Job& job, const std::vector<std::uint32_t>& members,
                           const GangPlan& plan, std::uint64_t number) {
    const std::string id = job.spec.id;
    const Gangs::Attempt* attempt = gangs_.find(id);
    if (number == 0) {
        number = attempt ? attempt->number : claim_.new_attempt(claim_.part(), true);
    }
    if (!attempt) {
        gangs_.begin(now, id, number);
    }
    for (std::size_t i = 0; i < members.size(); ++i) {
        start_on(now, *machines_.find(plan.machines[i]), job, members[i], number);
    }
}

// ---- Slots of other parts ----

// What is wanted for a gang from one peer: all of it, or every other time what our own slots and
// those held already lack.
bool PartOwner::want_gang(const Job& job, bool rest, Want& w) {
    const JobSpec& s = job.spec;
    const Gangs::Attempt* attempt = gangs_.find(s.id);
    bool gathers = gathering_ && gathering_->job == s.id;
    w.one_zone = s.one_zone;
    w.spread = s.spread;
    w.gang_tasks = s.tasks;
    std::vector<std::uint32_t> members(job.waiting.begin(), job.waiting.end());
    w.attempt = attempt ? attempt->number : 0;
    if (s.one_zone && !job.zone_use.empty()) {
        w.zone = job.zone_use.begin()->first; // a lost mate comes back where the others are
    } else if (rest && !attempt && members.size() > 1 && (gathers || !gathering_)) {
        std::string zone;
        if (gathers) {
            std::erase_if(members, [&](std::uint32_t m) { return gathering_->held.contains(m); });
            zone = s.one_zone && !gathering_->held.empty()
                       ? gathering_->held.begin()->second.second.zone
                       : "";
        }
        std::size_t most = 0;
        for (const auto& z : gang_zones(s.one_zone)) {
            if (!zone.empty() && z != zone) {
                continue;
            }
            for (bool spot : {true, false}) {
                std::size_t here =
                    spot && !s.spot ? 0 : plan_gang(spot, s, members, &job, z, {}).machines.size();
                if (here > most) {
                    most = here;
                    zone = z;
                }
            }
        }
        // Our own slots are the last to be struck, so they are for the last members.
        members.resize(members.size() - most);
        if (!zone.empty()) {
            w.zone = zone;
        }
        w.partial = true;
        if (!gathers && !members.empty()) {
            gathering_ = Gathering{s.id, claim_.new_attempt(claim_.part(), true), {}, 0};
        }
        w.attempt = gathering_ ? gathering_->attempt : 0;
    }
    if (members.empty()) {
        return false; // our own slots will do
    }
    if (w.attempt == 0) {
        w.attempt = claim_.new_attempt(claim_.part(), true);
    }
    w.count = static_cast<std::uint32_t>(members.size());
    w.members = std::move(members);
    return true;
}

void PartOwner::stop_gathering() {
    if (gathering_) {
        for (const auto& [member, held] : gathering_->held) {
            borrowing_.give_back(held.first, held.second);
        }
        gathering_.reset();
    }
}

// The whole set that was asked for came, or a part of what is being gathered. With our own slots
// for the rest it becomes an attempt; else it is held for a moment or goes back, and nothing
// starts.
void PartOwner::use_gang_grants(Time now, int part, const std::vector<Grant>& grants) {
    Job* job = jobs_.find(grants.front().job);
    std::uint64_t number = grants.front().id.attempt;
    bool gathers = gathering_ && gathering_->attempt == number;
    bool ok = job && claim_.usable(now) && waits(now, *job) && gang_fits(*job);
    const Gangs::Attempt* attempt = ok ? gangs_.find(job->spec.id) : nullptr;
    ok = ok && (!attempt || attempt->number == number);
    std::map<std::uint32_t, std::pair<int, Grant>> held;
    std::map<std::string, std::uint32_t> in_zone;
    if (gathers) {
        held = gathering_->held;
        for (const auto& [member, h] : held) {
            ++in_zone[h.second.zone];
        }
    }
    for (const auto& g : grants) {
        bool zone_ok =
            ok && job->allows_zone(g.zone, in_zone[g.zone] + 1) &&
            !(job->spec.one_zone && !held.empty() && held.begin()->second.second.zone != g.zone);
        if (zone_ok && job->waiting.contains(g.id.index) && borrowing_.grant_suits(*job, g) &&
            held.emplace(g.id.index, std::pair(part, g)).second) {
            ++in_zone[g.zone];
        } else if (auto same = held.find(g.id.index);
                   same == held.end() || same->second.second.machine != g.machine) {
            borrowing_.give_back(part, g); // but not the very slot that is held
        }
    }
    if (!ok) {
        return;
    }
    const JobSpec& s = job->spec;
    std::vector<std::uint32_t> rest;
    for (std::uint32_t member : job->waiting) {
        if (!held.contains(member)) {
            rest.push_back(member);
        }
    }
    std::erase_if(in_zone, [](const auto& z) { return z.second == 0; });
    std::string zone = s.one_zone && !held.empty() ? held.begin()->second.second.zone : "";
    GangPlan plan;
    for (bool spot : {true, false}) {
        if (plan.machines.size() < rest.size() && (!spot || s.spot)) {
            plan = plan_gang(spot, s, rest, job, zone, in_zone);
        }
    }
    if (!held.empty() && plan.machines.size() == rest.size()) {
        if (gathers) {
            gathering_.reset(); // what it held is used now
        }
        start_gang(now, *job, rest, plan, number);
        for (const auto& [member, h] : held) {
            borrowing_.start(h.first, h.second, *job, member);
            if (gathers) {
                borrowing_.list_anew(h.first);
            }
        }
    } else if (gathers) {
        gathering_->held = std::move(held);
        if (gathering_->until == 0) {
            gathering_->until = now + facts_.report_s; // before their owner takes them back
        }
    } else {
        for (const auto& [member, h] : held) {
            borrowing_.give_back(h.first, h.second);
        }
    }
}

// Strikes all the slots that are wanted for a gang, or none; as many as there are if its owner
// gathers the rest elsewhere.
bool PartOwner::lend_gang(Time now, bool spot, int thief, Want& want) {
    if (want.count == 0 || lending_.left(thief) < want.count) {
        return false;
    }
    JobSpec shape = shape_wanted(want);
    GangPlan best;
    for (const auto& zone : gang_zones(want.one_zone)) {
        GangPlan plan = plan_gang(spot, shape, want.members, nullptr, zone, {});
        if (plan.machines.size() > best.machines.size()) {
            best = std::move(plan);
        }
    }
    std::size_t n = best.machines.size();
    if (n == 0 || (n < want.members.size() && !want.partial)) {
        return false;
    }
    for (std::size_t i = 0; i < n; ++i) {
        lending_.lend(now, *machines_.find(best.machines[i]), thief, want, want.members[i]);
    }
    want.count = 0; // asked and answered
    return true;
}

// ---- The end of an attempt ----

// All its tasks are told at once, and directly: those that are not told in time cannot save.
void PartOwner::end_attempt(Time now, const std::string& id, bool saves) {
    Job* job = jobs_.find(id);
    if (!job || !gangs_.end(id, saves)) {
        return;
    }
    calls_.log(Level::info, "event=gang_ends job=" + id + " placed=" + std::to_string(job->placed) +
                                " saves=" + (saves ? "1" : "0"));
    double grace_s = saves ? kSaveTimes * job->spec.save_s : 0;
    borrowing_.stop_job(id, grace_s);
    for (auto& [name, m] : machines_.all()) {
        for (const auto& g : machines_.unqueue(m, &id)) {
            gone(now, name, g);
        }
        for (auto it = m.tasks.lower_bound({id, 0}); it != m.tasks.end() && it->first.job == id;
             ++it) {
            if (it->second.via == Placement::Via::listed &&
                part_of_attempt(it->second.attempt) == claim_.part()) {
                machines_.queue_stop(m, it->first, it->second.attempt, grace_s);
            }
        }
    }
}

// Another task of the gang is known gone. One that is done shows that all are: they complete
// together, even if the machine of another was lost before it could say so.
void PartOwner::gang_task_gone(Time now, Job& job, ExitWhy why) {
    const std::string id = job.spec.id;
    if (job.done > 0) {
        finish_mates(now, job);
    } else if (const Gangs::Attempt* a = gangs_.find(id);
               a && (a->ran || why == ExitWhy::alone || why == ExitWhy::peers)) {
        end_attempt(now, id, false);
    }
    if (job.placed == 0) {
        gangs_.gone(id);
        order_.stale();
    }
}

void PartOwner::finish_mates(Time now, Job& job) {
    std::vector<std::uint32_t> mates(job.waiting.begin(), job.waiting.end());
    for (std::uint32_t mate : mates) {
        jobs_.finish(job, mate);
    }
    if (job.complete() && job.open()) {
        finish_job(now, job);
    }
}

// What a listing of one of our machines means for gangs.
void PartOwner::note_gangs(Time now, const Machine& m) {
    std::set<std::string> leaving;
    for (const auto& [task, p] : m.tasks) {
        if (p.kind != JobKind::gang || part_of_attempt(p.attempt) != claim_.part()) {
            continue;
        }
        if (p.stage == TaskStage::running && p.via == Placement::Via::listed) {
            gangs_.runs(task.job);
        }
        if (m.notice_s) {
            leaving.insert(task.job);
        }
    }
    for (const auto& id : leaving) {
        end_attempt(now, id, true);
    }
}

void PartOwner::tend_gangs(Time now) {
    if (!settled_) {
        return;
    }
    if (gathering_) {
        const Job* job = jobs_.find(gathering_->job);
        bool late = gathering_->until > 0 && now > gathering_->until;
        if (late || !job || !waits(now, *job)) {
            stop_gathering();
        }
    }
    for (const auto& id : gangs_.overdue(now, jobs_)) {
        end_attempt(now, id, false);
    }
    for (const auto& [id, job] : jobs_.all()) {
        if (job->spec.kind == JobKind::gang && job->open() && job->done > 0 &&
            !job->waiting.empty()) {
            finish_mates(now, *job); // the owner before us saw one of them done
        }
    }
}

} // namespace orchidlanding
