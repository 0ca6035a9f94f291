// A team that uses more than its limit, which was lowered under it: what is over goes by orderly
// stops, least loss first. See "quota" in docs/configuration.md.
#include <algorithm>
#include <utility>

#include "core/part_owner.h"

namespace orchidlanding {

void PartOwner::configure(Time now, const TeamFacts& team) {
    teams_.configure(team, config_.held(team.name));
    if (!own_teams_.contains(team.name)) {
        return; // another part's: its work is counted there
    }
    mark_borrowers(team.name);
    order_.stale();
    demand_.stale();
    if (!loaded_ || !claim_.usable(now)) {
        return;
    }
    shed(now);
    place(now);
    press(now);
    send_orders(now);
    borrowing_.call_soon();
    borrowing_.call(now);
}

// Is the configuration known that owners before us had in force, and new enough to start tasks by?
void PartOwner::learn_config(Time now) {
    if (bool known = config_.known(now, claim_.since()); known != config_known_) {
        config_known_ = known;
        teams_.know(known);
        order_.stale();
    }
}

// Which tasks run beyond the team's guarantee as it is now: those that count first are within it.
void PartOwner::mark_borrowers(const std::string& team) {
    const TeamFacts& facts = *teams_.facts(team);
    double cpus = 0;
    double gpus = 0;
    for (auto& [name, m] : machines_.all()) {
        for (auto& [task, p] : m.tasks) {
            if (p.team == team && claim_.ours(p.attempt)) {
                cpus += p.cpus;
                gpus += p.gpus;
                p.borrows = !facts.guarantees(cpus, gpus);
            }
        }
    }
}

void PartOwner::shed(Time now) {
    std::erase_if(shedding_, [&](const auto& s) {
        const Job* job = jobs_.find(s.first.job);
        return now >= s.second.again || !job || job->tasks[s.first.index] != TaskState::placed;
    });
    for (const auto& team : teams_.over()) {
        if (own_teams_.contains(team)) {
            shed(now, team);
        }
    }
    tell_directly(now);
}

// Guests of owners whom our calls do not reach would stay for as long as these renew their leases.
void PartOwner::tell_directly(Time now) {
    int most = facts_.orders_at_once / 2; // a step; starts have their share of the sockets
    for (auto& [task, going] : shedding_) {
        if (most > 0 && now >= going.direct && borrowing_.stop_untold(task, going.grace_s)) {
            going.direct = now + facts_.report_s;
            --most;
        }
    }
}

void PartOwner::shed(Time now, const std::string& team) {
    auto [cpus, gpus] = teams_.over(team);
    for (const auto& [task, going] : shedding_) { // on their way already
        const JobSpec& s = jobs_.find(task.job)->spec;
        if (s.team == team) {
            cpus -= s.cpus;
            gpus -= s.gpus;
        }
    }
    if (cpus <= 0 && gpus <= 0) {
        return;
    }
    std::vector<Shed> all = may_go(team);
    // How long a task on another part's machine has run is that owner's to know, and it chose the
    // attempt's number too: so those of the youngest jobs go first.
    std::sort(all.begin(), all.end(), [](const Shed& a, const Shed& b) {
        return std::tie(a.loss, b.job_since, a.task) < std::tie(b.loss, a.job_since, b.task);
    });
    std::size_t stopped = 0;
    for (const Shed& s : all) {
        if (cpus <= 0 && gpus <= 0) {
            break;
        }
        if ((cpus <= 0 || s.cpus <= 0) && (gpus <= 0 || s.gpus <= 0)) {
            continue; // it frees nothing of what is over
        }
        cpus -= s.cpus;
        gpus -= s.gpus;
        // A silent machine has none of it by then.
        Going going{now + s.grace_s + facts_.lease_s, now + facts_.report_s / 2, s.grace_s};
        if (s.gang) {
            const Job& job = *jobs_.find(s.task.job);
            for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
                if (job.tasks[i] == TaskState::placed) {
                    shedding_[{s.task.job, i}] = going;
                }
            }
            end_attempt(now, s.task.job, s.grace_s > 0);
        } else if (shedding_[s.task] = going; s.machine) {
            machines_.queue_stop(*s.machine, s.task, s.attempt, s.grace_s);
        } else {
            borrowing_.stop_task(s.task, s.grace_s);
        }
        ++stopped;
    }
    if (stopped > 0) {
        calls_.log(Level::info,
                   "event=team_sheds team=" + team + " stopped=" + std::to_string(stopped));
        send_orders(now);
        borrowing_.call_soon();
    }
}

// What of the team can be stopped now, and what is lost by it.
std::vector<PartOwner::Shed> PartOwner::may_go(const std::string& team) {
    std::vector<Shed> out;
    std::set<std::string> gangs;
    auto add = [&](const TaskRef& task, Machine* machine, std::uint64_t attempt) {
        const Job* job = jobs_.find(task.job);
        if (!job || !job->open() || job->spec.team != team || shedding_.contains(task)) {
            return;
        }
        const JobSpec& s = job->spec;
        double save_s = kSaveTimes * s.save_s;
        bool saves = s.checkpoint_s > 0 && save_s <= facts_.lease_s / 2;
        Shed shed;
        shed.loss = saves ? Shed::Loss::saving_time : Shed::Loss::run_time;
        shed.job_since = job->known_since;
        shed.task = task;
        shed.cpus = s.cpus;
        shed.gpus = s.gpus;
        shed.machine = machine;
        shed.attempt = attempt;
        shed.grace_s = saves ? std::max(save_s, facts_.report_s / 12) : 0;
        if (s.kind == JobKind::gang) {
            const Gangs::Attempt* a = gangs_.find(task.job);
            if (!gangs.insert(task.job).second || (a && a->ending)) {
                return; // whole, once
            }
            shed.gang = true;
            shed.cpus *= job->placed;
            shed.gpus *= job->placed;
            if (!saves) {
                shed.loss = Shed::Loss::all_run_time;
            }
        }
        out.push_back(shed);
    };
    for (auto& [name, m] : machines_.all()) {
        ++effort_;
        for (const auto& [task, p] : m.tasks) {
            // One that is on its way can be told only when it is listed.
            if (p.team == team && claim_.ours(p.attempt) && p.via == Placement::Via::listed &&
                p.stage != TaskStage::saving) {
                add(task, &m, p.attempt);
            }
        }
    }
    for (const auto& [task, r] : borrowing_.remote()) {
        add(task, nullptr, r.attempt);
    }
    return out;
}

} // namespace orchidlanding
