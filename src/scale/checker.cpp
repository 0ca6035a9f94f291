#include "scale/checker.h"

#include <algorithm>

namespace scheduler::scale {

namespace {
constexpr double kRounding = 1e-6;
} // namespace

Checker::Checker(Settings settings)
    : settings_(std::move(settings)),
      history_checker_(settings_.cancel_s, settings_.teams, {settings_.type}) {
    history_checker_.faults_ended(0); // checks from the beginning how long a job stays unanswered
    for (const auto& team : settings_.teams) {
        limits_[team.name] = {team.max_cpus, team.max_cpus, 0};
    }
}

void Checker::on_event(const Event& event) {
    using Kind = Event::Kind;
    using RequestKind = test::HistoryChecker::RequestKind;
    switch (event.kind) {
    case Kind::task_started: task_started(event); break;
    case Kind::task_stopped:
    case Kind::task_completed: task_stopped(event); break;
    case Kind::submit:
        if (auto spec = settings_.job(event.task.job)) {
            history_checker_.submitted(event.time, *spec);
        }
        history_checker_.asked(event.time, event.request, RequestKind::submit, event.task.job);
        break;
    case Kind::poll:
        history_checker_.asked(event.time, event.request, RequestKind::poll, event.task.job);
        break;
    case Kind::cancel:
        history_checker_.asked(event.time, event.request, RequestKind::cancel, event.task.job);
        break;
    case Kind::response: response(event); break;
    case Kind::quota_written: quota_written(event); break;
    case Kind::quota_applied: break;
    case Kind::attempt_repeated:
        add_violation("began_twice " + event.task.job + "/" + std::to_string(event.task.index) +
                      " attempt " + std::to_string(event.request) + " on " + event.machine);
        break;
    }
}

void Checker::response(const Event& event) {
    Response response;
    response.request_id = event.request;
    response.status = event.status;
    if (!event.stage.empty()) {
        response.body = JobStatusBody{event.task.job, event.stage, {}, {}};
    }
    history_checker_.answered(event.time, response);
}

// The earlier limits may still be used during the grace period.
void Checker::quota_written(const Event& event) {
    Limit& limit = limits_[event.stage];
    limit = {event.amount, limit.allowed(event.time), event.time + settings_.lowering_grace_s};
}

double Checker::Limit::allowed(Time now) const {
    return now < until ? std::max(before, cpus_max) : cpus_max;
}

void Checker::task_started(const Event& event) {
    const std::string task = event.task.job + "/" + std::to_string(event.task.index);
    auto spec = settings_.job(event.task.job);
    if (!spec || !history_checker_.knows(event.task.job)) {
        add_violation("invented " + task + " runs, nobody submitted it");
        return;
    }
    if (auto [it, is_new] =
            placements_.try_emplace(event.task, Placement{event.machine, event.zone});
        !is_new) {
        add_violation("ran_twice " + task + " on " + it->second.machine + " and " + event.machine);
        return;
    }
    auto& zones = zones_[event.task.job];
    bool elsewhere = std::any_of(zones.begin(), zones.end(), [&](const auto& zone_tasks) {
        return zone_tasks.first != event.zone && zone_tasks.second > 0;
    });
    std::uint32_t in_zone = ++zones[event.zone];
    if ((event.spot && !spec->spot) || (spec->zone && *spec->zone != event.zone) ||
        !spec->allows_type(settings_.type.name) || (spec->one_zone && elsewhere) ||
        !spec->allows_tasks_in_zone(in_zone)) {
        add_violation("wrong_place " + task + " on " + event.machine + " in " + event.zone);
    }
    used_[spec->team] += spec->cpus;
    check_quota(event.time, spec->team, task);
    history_checker_.started(event.time, event.task, event.time);
    history_checker_.task_on_machine(event.time, event.task);
}

void Checker::task_stopped(const Event& event) {
    auto it = placements_.find(event.task);
    if (it == placements_.end() || it->second.machine != event.machine) {
        return; // the second placement of this task, reported already
    }
    history_checker_.task_on_machine(event.time, event.task);
    auto spec = settings_.job(event.task.job);
    --zones_[event.task.job][it->second.zone];
    check_quota(event.time, spec->team, "still there");
    used_[spec->team] -= spec->cpus;
    placements_.erase(it);
    if (event.kind == Event::Kind::task_completed) {
        history_checker_.completed(event.task);
    }
}

// Checks a team's usage. Called when a task starts, and before one stops, because usage was still
// that high up to that moment.
void Checker::check_quota(Time now, const std::string& team, const std::string& when) {
    double limit_cpus = limits_[team].allowed(now);
    if (limit_cpus > 0 && used_[team] > limit_cpus + kRounding) {
        add_violation("quota " + team + " uses " + std::to_string(used_[team]) + " of " +
                      std::to_string(limit_cpus) + " (" + when + ")");
    }
}

void Checker::finish(Time now) {
    for (const auto& [task, place] : placements_) {
        history_checker_.task_on_machine(now, task);
    }
    for (const auto& [team, limit] : limits_) {
        check_quota(now, team, "at the end");
    }
}

} // namespace scheduler::scale
