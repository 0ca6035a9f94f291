#include "core/jobs/job_record_cache.h"

namespace scheduler {

namespace {
// Limit of remembered cancelled jobs. A message that lists all of them stays well under 64 KiB.
constexpr std::size_t kMaxCancelledJobs = 1000;
} // namespace

void JobRecordCache::observe(Time now, const std::string& id, std::uint64_t version,
                             const StoredRecord& record) {
    const auto* job = std::get_if<JobRecord>(&record);
    if (!job) { // unreadable: each poll has to read the key
        open_.erase(id);
    } else if (job->outcome != Outcome::none) {
        observe_outcome(now, id, job->outcome);
    } else if (!final_.find(id)) {
        const std::uint64_t* known = open_.find(id);
        if (!known || *known < version) {
            open_.put(id, version);
        }
    }
}

void JobRecordCache::observe_outcome(Time now, const std::string& id, Outcome outcome) {
    open_.erase(id);
    if (!final_.find(id)) {
        final_.put(id, outcome);
        if (outcome == Outcome::cancelled) {
            cancelled_.push_back({now, id});
        }
        if (cancelled_.size() > kMaxCancelledJobs) {
            cancelled_floor_ = cancelled_.front().seen_at;
            cancelled_.pop_front();
        }
    }
}

std::optional<std::vector<std::string>> JobRecordCache::cancelled_since(Time since) const {
    if (since <= cancelled_floor_) {
        return std::nullopt;
    }
    std::vector<std::string> jobs;
    for (auto it = cancelled_.rbegin(); it != cancelled_.rend() && it->seen_at >= since; ++it) {
        jobs.push_back(it->id);
    }
    return jobs;
}

std::optional<std::uint64_t> JobRecordCache::version(const std::string& id) const {
    const std::uint64_t* known = open_.find(id);
    return known ? std::optional(*known) : std::nullopt;
}

std::optional<Outcome> JobRecordCache::outcome(const std::string& id) const {
    const Outcome* known = final_.find(id);
    return known ? std::optional(*known) : std::nullopt;
}

} // namespace scheduler
