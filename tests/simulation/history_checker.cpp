#include "simulation/history_checker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace scheduler::test {

HistoryChecker::HistoryChecker(double cancel_s, std::vector<TeamQuota> teams,
                               std::vector<InstanceType> types)
    : cancel_s_(cancel_s), quotas_(std::move(teams)), widest_(quotas_), types_(std::move(types)) {}

void HistoryChecker::configured(const TeamQuota& quota) {
    for (std::size_t i = 0; i < quotas_.size(); ++i) {
        if (quotas_[i].name == quota.name) {
            quotas_[i] = quota;
            auto higher = [](double a, double b) { return a == 0 || b == 0 ? 0 : std::max(a, b); };
            widest_[i].max_cpus = higher(widest_[i].max_cpus, quota.max_cpus);
            widest_[i].max_gpus = higher(widest_[i].max_gpus, quota.max_gpus);
        }
    }
}

bool HistoryChecker::can_run(const JobSpec& spec) const {
    auto team = std::find_if(widest_.begin(), widest_.end(),
                             [&](const auto& t) { return t.name == spec.team; });
    double times = spec.kind == JobKind::array ? 1 : spec.tasks;
    return team != widest_.end() && team->allows(spec.cpus * times, spec.gpus * times) &&
           std::any_of(types_.begin(), types_.end(), [&](const InstanceType& type) {
               bool here = !spec.zone || std::find(type.zones.begin(), type.zones.end(),
                                                   *spec.zone) != type.zones.end();
               return spec.allows_type(type.name) && here && spec.cpus <= type.cpus &&
                      spec.gpus <= type.gpus && spec.ram_gb <= type.ram_gb;
           });
}

// ---- Users ----

void HistoryChecker::asked(Time now, RequestId request_id, RequestKind what,
                           const std::string& job) {
    asked_[request_id] = {what, job, now};
    if (what == RequestKind::cancel) {
        cancel_asked_.insert(job);
    }
}

void HistoryChecker::submitted(Time now, const JobSpec& spec) {
    specs_.try_emplace(spec.id, spec);
    submitted_.emplace(spec.id, now);
}

void HistoryChecker::answered(Time now, const Response& a) {
    auto request = asked_.find(a.request_id);
    if (request == asked_.end()) { // a health check's
        return;
    }
    const auto& [what, id, when] = request->second;
    auto before = accepted_.find(id);
    bool known = before != accepted_.end() && before->second < when;
    if (known && (a.status == 404 || a.status == 400 || a.status == 422)) {
        broken.push_back("forgotten " + id + " " + std::to_string(a.status));
    }
    if (known && a.status == 201) {
        broken.push_back("forgotten " + id + " accepted again");
    }
    if (a.status == 200 && !specs_.contains(id)) {
        broken.push_back("invented " + id);
    }
    if (auto since = unanswered_since_.find(id);
        since != unanswered_since_.end() && (a.status == 200 || a.status == 404)) {
        longest_unanswered_ = std::max(longest_unanswered_, now - since->second);
        since->second = now;
    }
    const auto* job = std::get_if<JobStatusBody>(&a.body);
    if (!job || a.status > 201 || !specs_.contains(id)) {
        return;
    }
    if (before == accepted_.end() && !can_run(specs_.at(id))) {
        broken.push_back("accepted though it cannot run " + id);
    }
    if (accepted_.emplace(id, now).second && over_) {
        unanswered_since_[id] = now;
    }
    bool over = job->stage == "done" || job->stage == "cancelled";
    if (auto told = final_.find(id);
        told != final_.end() && told->second.stage != job->stage &&
        (over || told->second.when < when)) { // two outcomes are one too many whenever asked for
        broken.push_back("went_back " + id + " " + told->second.stage + " " + job->stage);
    }
    if (job->stage == "done" && !all_done(id)) {
        broken.push_back("not_done " + id);
    }
    if (job->stage == "cancelled" && !cancel_asked_.contains(id)) {
        broken.push_back("went_back " + id + " cancelled by nobody");
    }
    if (over) {
        final_.emplace(id, Told{job->stage, now});
        unanswered_since_.erase(id);
    }
}

void HistoryChecker::record_earlier_response(Time now, const JobSpec& spec,
                                             const std::string& stage) {
    submitted(now, spec);
    accepted_.emplace(spec.id, now);
    for (std::uint32_t i = 0; stage == "done" && i < spec.tasks; ++i) {
        completed({spec.id, i});
    }
    if (stage == "done" || stage == "cancelled") {
        final_.emplace(spec.id, Told{stage, now});
    }
    if (stage == "cancelled") { // by its user
        cancel_asked_.insert(spec.id);
    }
}

std::string HistoryChecker::reported_outcome(const std::string& job) const {
    auto it = final_.find(job);
    return it == final_.end() ? "" : it->second.stage;
}

std::vector<std::string> HistoryChecker::open_jobs() const {
    std::vector<std::string> out;
    for (const auto& [id, when] : accepted_) {
        if (!final_.contains(id)) {
            out.push_back(id);
        }
    }
    return out;
}

double HistoryChecker::longest_unanswered(Time now) const {
    double longest = longest_unanswered_;
    for (const auto& [id, since] : unanswered_since_) {
        longest = std::max(longest, now - since);
    }
    return longest;
}

// ---- Machines ----

void HistoryChecker::started(Time now, const TaskId& task, Time left) {
    began_.emplace(task.job, now);
    idle_since_.erase(task.job);
    auto told = final_.find(task.job);
    if (told == final_.end() || told->second.stage != "cancelled") {
        return;
    }
    Time since = told->second.when;
    (left > since ? late_starts_.sent_after_response : late_starts_.sent_before_response) += 1;
    late_starts_.longest_s = std::max(late_starts_.longest_s, now - since);
    late_starts_.longest_sent_s = std::max(late_starts_.longest_sent_s, left - since);
}

void HistoryChecker::completed(const TaskId& task) { done_[task.job].insert(task.index); }

bool HistoryChecker::done(const TaskId& task) const {
    auto it = done_.find(task.job);
    return it != done_.end() && it->second.contains(task.index);
}

void HistoryChecker::task_on_machine(Time now, const TaskId& task) {
    auto told = final_.find(task.job);
    if (told == final_.end() || told->second.stage != "cancelled") {
        return;
    }
    longest_cancelled_ = std::max(longest_cancelled_, now - told->second.when);
    if (now > told->second.when + cancel_s_) {
        broken.push_back("ran_cancelled " + task.job);
    }
}

bool HistoryChecker::all_done(const std::string& job) const {
    auto it = done_.find(job);
    return it != done_.end() && it->second.size() == specs_.at(job).tasks;
}

std::optional<double> HistoryChecker::seconds_to_first_start(const std::string& job) const {
    auto it = began_.find(job);
    return it == began_.end() ? std::nullopt : std::optional(it->second - submitted_.at(job));
}

// ---- Idle beside waiting ----

void HistoryChecker::faults_ended(Time now) {
    over_ = true;
    unanswered_since_.clear();
    longest_unanswered_ = 0;
    for (const auto& id : open_jobs()) {
        unanswered_since_[id] = now;
    }
    idle_since_.clear();
    longest_idle_ = 0;
}

bool HistoryChecker::could_start(
    const WaitingJob& job, const std::vector<FreeCapacity>& rooms,
    const std::map<std::string, std::pair<double, double>>& used) const {
    const JobSpec& spec = specs_.at(job.job);
    bool gang = spec.kind == JobKind::gang;
    if (gang && !job.in_zone.empty()) {
        return false; // under way
    }
    double times = gang ? spec.tasks : 1;
    auto team = std::find_if(quotas_.begin(), quotas_.end(),
                             [&](const auto& t) { return t.name == spec.team; });
    auto taken = used.find(spec.team);
    auto [cpus, gpus] = taken == used.end() ? std::pair(0.0, 0.0) : taken->second;
    if (!team->allows(cpus + times * spec.cpus, gpus + times * spec.gpus)) {
        return false;
    }
    std::map<std::string, double> fit; // tasks, by zone
    for (const FreeCapacity& r : rooms) {
        if ((spec.zone && *spec.zone != r.zone) || (r.spot && !spec.spot) ||
            !spec.allows_type(r.type->name)) {
            continue;
        }
        double n = spec.tasks;
        for (auto [need, has] : {std::pair(spec.cpus, r.cpus), std::pair(spec.gpus, r.gpus),
                                 std::pair(spec.ram_gb, r.ram_gb)}) {
            n = need > 0 ? std::min(n, std::floor((has + 1e-9) / need)) : n;
        }
        fit[r.zone] += n;
    }
    double most = spec.spread ? (spec.tasks + 1) / 2 : spec.tasks; // in one zone
    double all = 0;
    double best = 0;
    for (const auto& [zone, n] : fit) {
        auto there = job.in_zone.find(zone);
        bool alone = job.in_zone.empty() || (there != job.in_zone.end() && job.in_zone.size() == 1);
        double held = there == job.in_zone.end() ? 0 : there->second;
        double may = spec.one_zone && !alone ? 0 : std::max(0.0, std::min(n, most - held));
        all += may;
        best = std::max(best, may);
    }
    return (spec.one_zone ? best : all) >= times;
}

void HistoryChecker::observe_capacity(
    Time now, const std::vector<FreeCapacity>& rooms, const std::vector<WaitingJob>& jobs,
    const std::map<std::string, std::pair<double, double>>& used) {
    if (!over_) {
        return;
    }
    std::map<std::string, Time> since;
    for (const auto& job : jobs) {
        if (accepted_.contains(job.job) && !final_.contains(job.job) &&
            !cancel_asked_.contains(job.job) && job.waiting > 0 && could_start(job, rooms, used)) {
            auto it = idle_since_.find(job.job);
            Time from = since[job.job] = it == idle_since_.end() ? now : it->second;
            if (now - from > longest_idle_) {
                longest_idle_ = now - from;
                longest_idle_job_ = job.job;
            }
        }
    }
    idle_since_ = std::move(since);
}

// ---- Who was served ----

double HistoryChecker::work(const JobSpec& spec) {
    return spec.tasks * std::max(spec.cpus, spec.gpus) * spec.estimated_run_s;
}

// Is the job one to be served?
bool HistoryChecker::counts(const std::string& id) const {
    const JobSpec& spec = specs_.at(id);
    return can_run(spec) && (reported_outcome(id) != "cancelled" || spec.kind == JobKind::service);
}

std::map<std::string, std::vector<std::string>> HistoryChecker::largest() const {
    std::map<std::string, std::vector<std::string>> by_class;
    for (const auto& [id, when] : submitted_) {
        if (counts(id)) {
            by_class[specs_.at(id).job_class].push_back(id);
        }
    }
    for (auto& [name, ids] : by_class) {
        std::stable_sort(ids.begin(), ids.end(), [&](const auto& a, const auto& b) {
            return work(specs_.at(a)) > work(specs_.at(b));
        });
        ids.resize((ids.size() + 3) / 4);
    }
    return by_class;
}

std::vector<std::string> HistoryChecker::groups_served_below(double shard) const {
    std::map<std::string, std::pair<int, int>> rows; // served, of how many
    auto count = [&](const std::string& row, const std::string& id) {
        const JobSpec& spec = specs_.at(id);
        rows[row].first += spec.kind == JobKind::service ? began_.contains(id) : all_done(id);
        ++rows[row].second;
    };
    for (const auto& [id, when] : submitted_) {
        const JobSpec& spec = specs_.at(id);
        if (counts(id)) {
            count("class " + spec.job_class, id);
            count("team " + spec.team, id);
        }
    }
    for (const auto& [name, ids] : largest()) {
        for (const auto& id : ids) {
            count("largest of " + name, id);
        }
    }
    std::vector<std::string> low;
    for (const auto& [row, n] : rows) {
        if (n.first < shard * n.second) {
            low.push_back(row + ": " + std::to_string(n.first) + " of " + std::to_string(n.second));
        }
    }
    return low;
}

std::vector<std::string> HistoryChecker::largest_jobs_started_after(double seconds,
                                                                    Time now) const {
    std::vector<std::string> out;
    for (const auto& [name, ids] : largest()) {
        for (const auto& id : ids) {
            if (seconds_to_first_start(id).value_or(now - submitted_.at(id)) > seconds) {
                out.push_back(id);
            }
        }
    }
    return out;
}

} // namespace scheduler::test
