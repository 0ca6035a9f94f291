#include "core/scheduling/gang_tracker.h"

namespace scheduler {

bool gang_fits_quota(const QuotaLedger& quotas, const Job& job) {
    const JobSpec& spec = job.spec;
    auto tasks = static_cast<double>(job.waiting.size());
    return quotas.fits(spec.team, tasks * spec.cpus, tasks * spec.gpus);
}

namespace {
// A lost mate is replaced in the first half of the others' patience: it has to fetch its image yet.
constexpr double kReplaceShare = 0.5;
} // namespace

const GangTracker::Attempt* GangTracker::find(const std::string& job) const {
    auto it = attempts_.find(job);
    return it == attempts_.end() ? nullptr : &it->second;
}

bool GangTracker::may_place(Time now, const Job& job) const {
    if (job.done > 0) {
        return false; // all of them are: see PartOwner::finish_mates
    }
    const Attempt* a = find(job.spec.id);
    if (!a) {
        return job.placed == 0;
    }
    return !a->ending && !a->ran && now - a->since < kReplaceShare * start_timeout_s_;
}

void GangTracker::begin(Time now, const std::string& job, std::uint64_t number) {
    attempts_[job] = {number, now, false, false, false};
}

bool GangTracker::adopt(Time now, const std::string& job, std::uint64_t number) {
    auto [it, added] = attempts_.try_emplace(job, Attempt{number, now, false, false, false});
    return it->second.number == number;
}

void GangTracker::on_running(const std::string& job) {
    auto it = attempts_.find(job);
    if (it != attempts_.end()) {
        it->second.ran = true;
    }
}

bool GangTracker::end(const std::string& job, bool saves) {
    auto it = attempts_.find(job);
    if (it == attempts_.end() || it->second.ending) {
        return false;
    }
    it->second.ending = true;
    it->second.saves = saves;
    return true;
}

std::vector<std::string> GangTracker::overdue(Time now, JobStore& jobs) const {
    std::vector<std::string> out;
    for (const auto& [id, a] : attempts_) {
        const Job* job = jobs.find(id);
        if (job && !a.ending && !job->waiting.empty() &&
            (a.ran || now - a.since > kReplaceShare * start_timeout_s_)) {
            out.push_back(id);
        }
    }
    return out;
}

} // namespace scheduler
