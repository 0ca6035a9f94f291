#include "scale/checker.h"

#include <algorithm>

namespace scheduler::scale {

namespace {
constexpr double kRounding = 1e-6;
} // namespace

Checker::Checker(Setting setting)
    : setting_(std::move(setting)), judge_(setting_.cancel_s, setting_.teams, {setting_.type}) {
    judge_.troubles_over(0); // it judges from the first moment how long a job is unanswered
    for (const auto& t : setting_.teams) {
        limits_[t.name] = {t.max_cpus, t.max_cpus, 0};
    }
}

void Checker::take(const Event& e) {
    using Kind = Event::Kind;
    using Ask = test::Judge::Ask;
    switch (e.kind) {
    case Kind::came: came(e); break;
    case Kind::went:
    case Kind::done: went(e); break;
    case Kind::submit:
        if (auto spec = setting_.job(e.task.job)) {
            judge_.submitted(e.time, *spec);
        }
        judge_.asked(e.time, e.request, Ask::submit, e.task.job);
        break;
    case Kind::poll: judge_.asked(e.time, e.request, Ask::poll, e.task.job); break;
    case Kind::cancel: judge_.asked(e.time, e.request, Ask::cancel, e.task.job); break;
    case Kind::answered: {
        Response a;
        a.request_id = e.request;
        a.status = e.status;
        if (!e.stage.empty()) {
            a.body = JobStatusBody{e.task.job, e.stage, {}, {}};
        }
        judge_.answered(e.time, a);
        break;
    }
    case Kind::limit: {
        Limit& l = limits_[e.stage];
        double before = e.time < l.until ? std::max(l.before, l.cpus_max) : l.cpus_max;
        l = {e.amount, before, e.time + setting_.lowering_s};
        break;
    }
    case Kind::in_force: break;
    }
}

void Checker::came(const Event& e) {
    const std::string task = e.task.job + "/" + std::to_string(e.task.index);
    auto spec = setting_.job(e.task.job);
    if (!spec || !judge_.knows(e.task.job)) {
        break_rule("invented " + task + " runs, nobody submitted it");
        return;
    }
    if (auto [it, fresh] = there_.try_emplace(e.task, Place{e.machine, e.zone}); !fresh) {
        break_rule("ran_twice " + task + " on " + it->second.machine + " and " + e.machine);
        return;
    }
    auto& zones = zones_[e.task.job];
    bool elsewhere = std::any_of(zones.begin(), zones.end(),
                                 [&](const auto& z) { return z.first != e.zone && z.second > 0; });
    std::uint32_t in_zone = ++zones[e.zone];
    if ((e.spot && !spec->spot) || (spec->zone && *spec->zone != e.zone) ||
        !spec->allows_type(setting_.type.name) || (spec->one_zone && elsewhere) ||
        !spec->may_spread(in_zone)) {
        break_rule("wrong_place " + task + " on " + e.machine + " in " + e.zone);
    }
    used_[spec->team] += spec->cpus;
    judge_quota(e.time, spec->team, task);
    judge_.started(e.time, e.task, e.time);
    judge_.there(e.time, e.task);
}

void Checker::went(const Event& e) {
    auto it = there_.find(e.task);
    if (it == there_.end() || it->second.machine != e.machine) {
        return; // the second of two, named before
    }
    judge_.there(e.time, e.task);
    auto spec = setting_.job(e.task.job);
    --zones_[e.task.job][it->second.zone];
    judge_quota(e.time, spec->team, "still there");
    used_[spec->team] -= spec->cpus;
    there_.erase(it);
    if (e.kind == Event::Kind::done) {
        judge_.completed(e.task);
    }
}

// What a team uses, when a task comes and as the last moment at which it was as much.
void Checker::judge_quota(Time now, const std::string& team, const std::string& when) {
    const Limit& l = limits_[team];
    double most = now < l.until ? std::max(l.before, l.cpus_max) : l.cpus_max;
    if (most > 0 && used_[team] > most + kRounding) {
        break_rule("quota " + team + " uses " + std::to_string(used_[team]) + " of " +
                   std::to_string(most) + " (" + when + ")");
    }
}

void Checker::end(Time now) {
    for (const auto& [task, place] : there_) {
        judge_.there(now, task);
    }
    for (const auto& [team, limit] : limits_) {
        judge_quota(now, team, "at the end");
    }
}

} // namespace scheduler::scale
