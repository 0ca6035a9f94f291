#include "core/jobs/job_store.h"

#include <algorithm>

namespace scheduler {

namespace {
// Limit of remembered outcomes.
constexpr std::size_t kMaxOutcomes = 20000;
} // namespace

bool Job::allows_zone(const std::string& zone, std::uint32_t more_tasks) const {
    if (spec.zone && *spec.zone != zone) {
        return false;
    }
    if (spec.one_zone && !placed_by_zone.empty() && !placed_by_zone.contains(zone)) {
        return false;
    }
    auto it = placed_by_zone.find(zone);
    std::uint32_t placed_in_zone = it == placed_by_zone.end() ? 0 : it->second;
    return spec.allows_tasks_in_zone(placed_in_zone + more_tasks);
}

Job* JobStore::find(const std::string& id) {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
}

Job* JobStore::add(Time now, const JobSpec& spec, std::uint64_t version) {
    if (outcomes_.contains(spec.id) || jobs_.contains(spec.id)) {
        return nullptr;
    }
    auto job = std::make_unique<Job>();
    job->spec = spec;
    job->version = version;
    job->first_seen = now;
    job->tasks.assign(spec.tasks, TaskState::waiting);
    job->waiting = TaskSet(spec.tasks);
    std::size_t chunk_count = (spec.tasks + chunk_tasks_ - 1) / chunk_tasks_;
    job->chunk_changes.assign(chunk_count, 0);
    job->chunk_saved_changes.assign(chunk_count, 0);
    job->chunk_versions.assign(chunk_count, 0);
    return jobs_.emplace(spec.id, std::move(job)).first->second.get();
}

void JobStore::load_progress(const std::string& id, std::uint32_t chunk,
                             const std::vector<bool>& done, std::uint64_t version) {
    Job* job = find(id);
    if (!job || chunk >= chunks(*job)) {
        return;
    }
    job->chunk_versions[chunk] = version;
    for (std::uint32_t i = 0; i < done.size(); ++i) {
        std::uint32_t task = chunk * chunk_tasks_ + i;
        if (done[i] && task < job->spec.tasks && job->tasks[task] == TaskState::waiting) {
            job->tasks[task] = TaskState::done;
            job->waiting.erase(task);
            ++job->done;
        }
    }
}

bool JobStore::cancel(const std::string& id) {
    Job* job = find(id);
    if (!job || !job->open()) {
        return false;
    }
    job->outcome = Outcome::cancelled;
    for (std::uint32_t chunk = 0; chunk < chunks(*job); ++chunk) {
        dirty_.erase({id, chunk});
    }
    return true;
}

void JobStore::record_outcome(const std::string& id, Outcome outcome) {
    if (outcomes_.emplace(id, outcome).second) {
        outcomes_order_.push_back(id);
        if (outcomes_order_.size() > kMaxOutcomes) {
            outcomes_.erase(outcomes_order_.front());
            outcomes_order_.pop_front();
        }
    }
}

std::optional<Outcome> JobStore::final_outcome(const std::string& id) const {
    auto it = outcomes_.find(id);
    return it == outcomes_.end() ? std::nullopt : std::optional(it->second);
}

void JobStore::mark_placed(Job& job, std::uint32_t task, const std::string& zone) {
    job.tasks[task] = TaskState::placed;
    job.awaits_first_task = false;
    job.waiting.erase(task);
    ++job.placed;
    ++job.placed_by_zone[zone];
}

void JobStore::mark_waiting(Job& job, std::uint32_t task, const std::string& zone) {
    if (job.tasks[task] != TaskState::placed) {
        return;
    }
    job.tasks[task] = TaskState::waiting;
    job.waiting.insert(task);
    --job.placed;
    if (--job.placed_by_zone[zone] == 0) {
        job.placed_by_zone.erase(zone);
    }
}

void JobStore::mark_done(Job& job, std::uint32_t task) {
    if (job.tasks[task] != TaskState::waiting || job.spec.kind == JobKind::service) {
        return; // a replica that has exited is launched again
    }
    job.tasks[task] = TaskState::done;
    job.waiting.erase(task);
    ++job.done;
    std::uint32_t chunk = task / chunk_tasks_;
    ++job.chunk_changes[chunk];
    if (job.open()) {
        dirty_.insert({job.spec.id, chunk});
    }
}

void JobStore::drop(const std::string& id) {
    Job* job = find(id);
    if (!job) {
        return;
    }
    for (std::uint32_t chunk = 0; chunk < chunks(*job); ++chunk) {
        dirty_.erase({id, chunk});
    }
    jobs_.erase(id);
}

bool JobStore::is_durable(const Job& job, std::uint32_t task) const {
    std::uint32_t chunk = task / chunk_tasks_;
    return job.chunk_saved_changes[chunk] == job.chunk_changes[chunk];
}

std::vector<DirtyChunk> JobStore::next_dirty_chunks(std::size_t max_chunks) {
    std::vector<DirtyChunk> chunks;
    auto it = dirty_.upper_bound(last_dirty_);
    for (std::size_t visited = 0; visited < dirty_.size() && chunks.size() < max_chunks;
         ++visited, ++it) {
        if (it == dirty_.end()) {
            it = dirty_.begin();
        }
        const Job& job = *jobs_.at(it->job);
        if (!job.complete()) { // the write of the outcome deletes its chunks
            chunks.push_back({it->job, it->chunk, job.chunk_changes[it->chunk]});
            last_dirty_ = *it;
        }
    }
    return chunks;
}

std::vector<bool> JobStore::chunk_bits(const Job& job, std::uint32_t chunk) const {
    std::uint32_t from = chunk * chunk_tasks_;
    std::uint32_t to = std::min<std::uint32_t>(job.spec.tasks, from + chunk_tasks_);
    std::vector<bool> bits(to - from);
    for (std::uint32_t i = from; i < to; ++i) {
        bits[i - from] = job.tasks[i] == TaskState::done;
    }
    return bits;
}

void JobStore::on_chunk_saved(const DirtyChunk& chunk, std::uint64_t version) {
    Job* job = find(chunk.job);
    if (!job) {
        return;
    }
    job->chunk_versions[chunk.chunk] = version;
    job->chunk_saved_changes[chunk.chunk] =
        std::max(job->chunk_saved_changes[chunk.chunk], chunk.change);
    if (job->chunk_saved_changes[chunk.chunk] == job->chunk_changes[chunk.chunk]) {
        dirty_.erase({chunk.job, chunk.chunk});
    }
}

std::uint32_t JobStore::chunks(const Job& job) const {
    return static_cast<std::uint32_t>(job.chunk_changes.size());
}

} // namespace scheduler
