#include "simulation/history_checker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace scheduler::test {

HistoryChecker::HistoryChecker(double cancel_s, std::vector<TeamQuota> teams,
                               std::vector<InstanceType> types)
    : cancel_s_(cancel_s), quotas_(std::move(teams)), highest_quotas_(quotas_),
      types_(std::move(types)) {}

void HistoryChecker::configured(const TeamQuota& quota) {
    for (std::size_t i = 0; i < quotas_.size(); ++i) {
        if (quotas_[i].name == quota.name) {
            quotas_[i] = quota;
            auto higher = [](double a, double b) { return a == 0 || b == 0 ? 0 : std::max(a, b); };
            highest_quotas_[i].max_cpus = higher(highest_quotas_[i].max_cpus, quota.max_cpus);
            highest_quotas_[i].max_gpus = higher(highest_quotas_[i].max_gpus, quota.max_gpus);
        }
    }
}

bool HistoryChecker::can_run(const JobSpec& spec) const {
    auto team = std::find_if(highest_quotas_.begin(), highest_quotas_.end(),
                             [&](const auto& quota) { return quota.name == spec.team; });
    double times = spec.kind == JobKind::array ? 1 : spec.tasks;
    return team != highest_quotas_.end() && team->allows(spec.cpus * times, spec.gpus * times) &&
           std::any_of(types_.begin(), types_.end(), [&](const InstanceType& type) {
               bool here = !spec.zone || std::find(type.zones.begin(), type.zones.end(),
                                                   *spec.zone) != type.zones.end();
               return spec.allows_type(type.name) && here && spec.cpus <= type.cpus &&
                      spec.gpus <= type.gpus && spec.ram_gb <= type.ram_gb;
           });
}

// ---- Users ----

void HistoryChecker::asked(Time now, RequestId request_id, RequestKind kind,
                           const std::string& job) {
    requests_[request_id] = {kind, job, now};
    if (kind == RequestKind::cancel) {
        cancel_requested_.insert(job);
    }
}

void HistoryChecker::submitted(Time now, const JobSpec& spec) {
    specs_.try_emplace(spec.id, spec);
    submitted_.emplace(spec.id, now);
}

void HistoryChecker::answered(Time now, const Response& response) {
    auto request = requests_.find(response.request_id);
    if (request == requests_.end()) { // a readiness probe
        return;
    }
    const auto& [kind, id, when] = request->second;
    auto accepted = accepted_.find(id);
    bool known = accepted != accepted_.end() && accepted->second < when;
    if (known && (response.status == 404 || response.status == 400 || response.status == 422)) {
        broken.push_back("forgotten " + id + " " + std::to_string(response.status));
    }
    if (known && response.status == 201) {
        broken.push_back("forgotten " + id + " accepted again");
    }
    if (response.status == 200 && !specs_.contains(id)) {
        broken.push_back("invented " + id);
    }
    if (auto since = unanswered_since_.find(id);
        since != unanswered_since_.end() && (response.status == 200 || response.status == 404)) {
        longest_unanswered_ = std::max(longest_unanswered_, now - since->second);
        since->second = now;
    }
    const auto* job = std::get_if<JobStatusBody>(&response.body);
    if (!job || response.status > 201 || !specs_.contains(id)) {
        return;
    }
    if (accepted == accepted_.end() && !can_run(specs_.at(id))) {
        broken.push_back("accepted though it cannot run " + id);
    }
    if (accepted_.emplace(id, now).second && faults_ended_) {
        unanswered_since_[id] = now;
    }
    bool over = job->stage == "done" || job->stage == "cancelled";
    if (auto reported = final_stages_.find(id);
        reported != final_stages_.end() && reported->second.stage != job->stage &&
        (over || reported->second.when < when)) { // a second final stage is always wrong
        broken.push_back("went_back " + id + " " + reported->second.stage + " " + job->stage);
    }
    if (job->stage == "done" && !all_done(id)) {
        broken.push_back("not_done " + id);
    }
    if (job->stage == "cancelled" && !cancel_requested_.contains(id)) {
        broken.push_back("went_back " + id + " cancelled by nobody");
    }
    if (over) {
        final_stages_.emplace(id, ReportedStage{job->stage, now});
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
        final_stages_.emplace(spec.id, ReportedStage{stage, now});
    }
    if (stage == "cancelled") { // by its user
        cancel_requested_.insert(spec.id);
    }
}

std::string HistoryChecker::reported_outcome(const std::string& job) const {
    auto it = final_stages_.find(job);
    return it == final_stages_.end() ? "" : it->second.stage;
}

std::vector<std::string> HistoryChecker::open_jobs() const {
    std::vector<std::string> jobs;
    for (const auto& [id, when] : accepted_) {
        if (!final_stages_.contains(id)) {
            jobs.push_back(id);
        }
    }
    return jobs;
}

double HistoryChecker::longest_unanswered(Time now) const {
    double longest = longest_unanswered_;
    for (const auto& [id, since] : unanswered_since_) {
        longest = std::max(longest, now - since);
    }
    return longest;
}

// ---- Machines ----

void HistoryChecker::started(Time now, const TaskId& task, Time sent_at) {
    first_starts_.emplace(task.job, now);
    idle_since_.erase(task.job);
    auto reported = final_stages_.find(task.job);
    if (reported == final_stages_.end() || reported->second.stage != "cancelled") {
        return;
    }
    Time since = reported->second.when;
    (sent_at > since ? late_starts_.sent_after_response : late_starts_.sent_before_response) += 1;
    late_starts_.longest_s = std::max(late_starts_.longest_s, now - since);
    late_starts_.longest_sent_s = std::max(late_starts_.longest_sent_s, sent_at - since);
}

void HistoryChecker::completed(const TaskId& task) { done_[task.job].insert(task.index); }

bool HistoryChecker::done(const TaskId& task) const {
    auto it = done_.find(task.job);
    return it != done_.end() && it->second.contains(task.index);
}

void HistoryChecker::task_on_machine(Time now, const TaskId& task) {
    auto reported = final_stages_.find(task.job);
    if (reported == final_stages_.end() || reported->second.stage != "cancelled") {
        return;
    }
    longest_cancelled_ = std::max(longest_cancelled_, now - reported->second.when);
    if (now > reported->second.when + cancel_s_) {
        broken.push_back("ran_cancelled " + task.job);
    }
}

bool HistoryChecker::all_done(const std::string& job) const {
    auto it = done_.find(job);
    return it != done_.end() && it->second.size() == specs_.at(job).tasks;
}

std::optional<double> HistoryChecker::seconds_to_first_start(const std::string& job) const {
    auto it = first_starts_.find(job);
    return it == first_starts_.end() ? std::nullopt
                                     : std::optional(it->second - submitted_.at(job));
}

// ---- Idle capacity while jobs wait ----

void HistoryChecker::faults_ended(Time now) {
    faults_ended_ = true;
    unanswered_since_.clear();
    longest_unanswered_ = 0;
    for (const auto& id : open_jobs()) {
        unanswered_since_[id] = now;
    }
    idle_since_.clear();
    longest_idle_ = 0;
}

bool HistoryChecker::could_start(
    const WaitingJob& job, const std::vector<FreeCapacity>& free_capacity,
    const std::map<std::string, std::pair<double, double>>& used) const {
    const JobSpec& spec = specs_.at(job.job);
    bool gang = spec.kind == JobKind::gang;
    if (gang && !job.in_zone.empty()) {
        return false; // already started
    }
    double times = gang ? spec.tasks : 1;
    auto team = std::find_if(quotas_.begin(), quotas_.end(),
                             [&](const auto& quota) { return quota.name == spec.team; });
    auto team_use = used.find(spec.team);
    auto [cpus, gpus] = team_use == used.end() ? std::pair(0.0, 0.0) : team_use->second;
    if (!team->allows(cpus + times * spec.cpus, gpus + times * spec.gpus)) {
        return false;
    }
    std::map<std::string, double> fitting_by_zone; // tasks that fit, by zone
    for (const FreeCapacity& free : free_capacity) {
        if ((spec.zone && *spec.zone != free.zone) || (free.spot && !spec.spot) ||
            !spec.allows_type(free.type->name)) {
            continue;
        }
        double fitting = spec.tasks;
        for (auto [need, has] : {std::pair(spec.cpus, free.cpus), std::pair(spec.gpus, free.gpus),
                                 std::pair(spec.ram_gb, free.ram_gb)}) {
            fitting = need > 0 ? std::min(fitting, std::floor((has + 1e-9) / need)) : fitting;
        }
        fitting_by_zone[free.zone] += fitting;
    }
    double zone_limit = spec.spread ? (spec.tasks + 1) / 2 : spec.tasks; // in one zone
    double all = 0;
    double best = 0;
    for (const auto& [zone, fitting] : fitting_by_zone) {
        auto in_zone = job.in_zone.find(zone);
        bool alone =
            job.in_zone.empty() || (in_zone != job.in_zone.end() && job.in_zone.size() == 1);
        double held = in_zone == job.in_zone.end() ? 0 : in_zone->second;
        double startable =
            spec.one_zone && !alone ? 0 : std::max(0.0, std::min(fitting, zone_limit - held));
        all += startable;
        best = std::max(best, startable);
    }
    return (spec.one_zone ? best : all) >= times;
}

void HistoryChecker::observe_capacity(
    Time now, const std::vector<FreeCapacity>& free_capacity, const std::vector<WaitingJob>& jobs,
    const std::map<std::string, std::pair<double, double>>& used) {
    if (!faults_ended_) {
        return;
    }
    std::map<std::string, Time> since;
    for (const auto& job : jobs) {
        if (accepted_.contains(job.job) && !final_stages_.contains(job.job) &&
            !cancel_requested_.contains(job.job) && job.waiting > 0 &&
            could_start(job, free_capacity, used)) {
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

// ---- Served jobs ----

double HistoryChecker::work(const JobSpec& spec) {
    return spec.tasks * std::max(spec.cpus, spec.gpus) * spec.estimated_run_s;
}

// Returns whether the job is one that should be served.
bool HistoryChecker::should_be_served(const std::string& id) const {
    const JobSpec& spec = specs_.at(id);
    return can_run(spec) && (reported_outcome(id) != "cancelled" || spec.kind == JobKind::service);
}

std::map<std::string, std::vector<std::string>> HistoryChecker::largest_jobs() const {
    std::map<std::string, std::vector<std::string>> by_class;
    for (const auto& [id, when] : submitted_) {
        if (should_be_served(id)) {
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

std::vector<std::string> HistoryChecker::groups_served_below(double min_share) const {
    std::map<std::string, std::pair<int, int>> rows; // served, total
    auto count = [&](const std::string& row, const std::string& id) {
        const JobSpec& spec = specs_.at(id);
        rows[row].first +=
            spec.kind == JobKind::service ? first_starts_.contains(id) : all_done(id);
        ++rows[row].second;
    };
    for (const auto& [id, when] : submitted_) {
        const JobSpec& spec = specs_.at(id);
        if (should_be_served(id)) {
            count("class " + spec.job_class, id);
            count("team " + spec.team, id);
        }
    }
    for (const auto& [name, ids] : largest_jobs()) {
        for (const auto& id : ids) {
            count("largest of " + name, id);
        }
    }
    std::vector<std::string> low;
    for (const auto& [row, served] : rows) {
        if (served.first < min_share * served.second) {
            low.push_back(row + ": " + std::to_string(served.first) + " of " +
                          std::to_string(served.second));
        }
    }
    return low;
}

std::vector<std::string> HistoryChecker::largest_jobs_started_after(double seconds,
                                                                    Time now) const {
    std::vector<std::string> jobs;
    for (const auto& [name, ids] : largest_jobs()) {
        for (const auto& id : ids) {
            if (seconds_to_first_start(id).value_or(now - submitted_.at(id)) > seconds) {
                jobs.push_back(id);
            }
        }
    }
    return jobs;
}

} // namespace scheduler::test
