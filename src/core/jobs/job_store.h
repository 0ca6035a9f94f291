// The jobs of the part: where each task stands, what of it is durable.
#pragma once

#include <deque>
#include <memory>
#include <set>
#include <unordered_map>

#include "core/model/task_set.h"
#include "core/model/types.h"

namespace scheduler {

enum class TaskState : std::uint8_t { waiting, placed, done };

struct Job {
    JobSpec spec;
    std::uint64_t version = 0; // of the key job/<id>
    Outcome outcome = Outcome::none;
    Time first_seen = 0;
    std::vector<TaskState> tasks;
    TaskSet waiting;
    std::uint32_t placed = 0;
    std::uint32_t done = 0;
    std::vector<std::uint64_t> chunk_changed;  // per chunk: count of changes made
    std::vector<std::uint64_t> chunk_saved;    // ... and how many of them are durable
    std::vector<std::uint64_t> chunk_version;  // of its key, as last written or read; 0: none
    std::map<std::string, int> placed_by_zone; // placed tasks per zone
    bool finish_in_flight = false;             // the final write is under way
    Time finish_retry_at = 0;                  // it failed: not again before this
    // Starts that failed on machines which served other jobs well: the job itself may be at
    // fault, so it waits longer each time instead of taking machine after machine with it.
    int failures = 0;
    Time backoff_until = 0;
    Time waiting_since = 0; // it has had tasks to place since then; 0: it has none
    bool in_doubt = false;  // older than this owner: its tasks may be anywhere until it has settled
    bool awaits_first_task = false; // no task has been placed for long: the next slot is its
    bool needs_preemption = false;  // no room could be made for it here: peers are asked to
    Time due = 0; // when it is next expected to have come to something; see PartOwner::plan

    bool open() const { return outcome == Outcome::none; }
    bool complete() const { return done == spec.tasks; }
    // May `more` of its tasks be placed in the zone?
    bool allows_zone(const std::string& zone, std::uint32_t more = 1) const;
};

struct DirtyChunk {
    std::string job;
    std::uint32_t chunk = 0;
    std::uint64_t change = 0;
};

class JobStore {
  public:
    explicit JobStore(std::uint32_t chunk_tasks) : chunk_tasks_(chunk_tasks) {}

    Job* find(const std::string& id);
    // The job, unless it is known already or over.
    Job* add(Time now, const JobSpec& spec, std::uint64_t version);
    // The chunk's key as it was read at this version.
    void load_progress(const std::string& id, std::uint32_t chunk, const std::vector<bool>& done,
                       std::uint64_t version);
    bool cancel(const std::string& id);
    void record_outcome(const std::string& id, Outcome outcome);
    std::optional<Outcome> final_outcome(const std::string& id) const;

    void mark_placed(Job& job, std::uint32_t task, const std::string& zone);
    void mark_waiting(Job& job, std::uint32_t task, const std::string& zone);
    void mark_done(Job& job, std::uint32_t task);
    void drop(const std::string& id);

    bool is_durable(const Job& job, std::uint32_t task) const;
    // Chunks to be saved, going on behind those of the last call, so that each has its turn.
    std::vector<DirtyChunk> next_dirty_chunks(std::size_t most);
    std::vector<bool> chunk_bits(const Job& job, std::uint32_t chunk) const;
    void on_chunk_saved(const DirtyChunk& chunk, std::uint64_t version);
    std::uint32_t chunks(const Job& job) const;

    const std::unordered_map<std::string, std::unique_ptr<Job>>& all() const { return jobs_; }

  private:
    std::uint32_t chunk_tasks_;
    std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
    std::unordered_map<std::string, Outcome> outcomes_;
    std::deque<std::string> outcomes_order_;
    std::set<std::pair<std::string, std::uint32_t>> dirty_;
    std::pair<std::string, std::uint32_t> last_dirty_;
};

} // namespace scheduler
