#include "core/scheduling/gang_tracker.h"

namespace scheduler {

bool gang_fits_quota(const QuotaLedger& quotas, const Job& job) {
    const JobSpec& spec = job.spec;
    auto tasks = static_cast<double>(job.waiting.size());
    return quotas.fits(spec.team, tasks * spec.cpus, tasks * spec.gpus);
}

namespace {
// A lost member is replaced only within this fraction of the start timeout of the others, because
// the replacement still has to fetch its image.
constexpr double kReplaceFraction = 0.5;
} // namespace

const GangTracker::Attempt* GangTracker::find(const std::string& job) const {
    auto it = attempts_.find(job);
    return it == attempts_.end() ? nullptr : &it->second;
}

bool GangTracker::may_place(Time now, const Job& job) const {
    if (job.done > 0) {
        return false; // the members of a gang complete together
    }
    const Attempt* attempt = find(job.spec.id);
    if (!attempt) {
        return job.placed == 0;
    }
    return !attempt->ending && !attempt->has_run &&
           now - attempt->started_at < kReplaceFraction * start_timeout_s_;
}

void GangTracker::begin(Time now, const std::string& job, std::uint64_t number) {
    attempts_[job] = {number, now, false, false, false};
}

bool GangTracker::adopt(Time now, const std::string& job, std::uint64_t number) {
    auto [it, added] = attempts_.try_emplace(job, Attempt{number, now, false, false, false});
    return it->second.number == number;
}

void GangTracker::on_task_running(const std::string& job) {
    auto it = attempts_.find(job);
    if (it != attempts_.end()) {
        it->second.has_run = true;
    }
}

bool GangTracker::end(const std::string& job, bool may_save) {
    auto it = attempts_.find(job);
    if (it == attempts_.end() || it->second.ending) {
        return false;
    }
    it->second.ending = true;
    it->second.may_save = may_save;
    return true;
}

std::vector<std::string> GangTracker::overdue_gangs(Time now, JobStore& jobs) const {
    std::vector<std::string> overdue;
    for (const auto& [id, attempt] : attempts_) {
        const Job* job = jobs.find(id);
        if (job && !attempt.ending && !job->waiting.empty() &&
            (attempt.has_run || now - attempt.started_at > kReplaceFraction * start_timeout_s_)) {
            overdue.push_back(id);
        }
    }
    return overdue;
}

} // namespace scheduler
