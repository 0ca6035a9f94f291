// The jobs of a partition in memory: the state of each task, and which completions are durable.
#pragma once

#include <deque>
#include <memory>
#include <set>
#include <unordered_map>

#include "core/model/task_set.h"
#include "core/model/types.h"

namespace scheduler {

enum class TaskState : std::uint8_t { waiting, placed, done };

// The state of a job at its partition's leader. Completed tasks are stored in chunks of tasks, with
// one key per chunk.
struct Job {
    JobSpec spec;
    std::uint64_t version = 0; // of the key job/<id>
    Outcome outcome = Outcome::none;
    Time first_seen = 0;
    std::vector<TaskState> tasks;
    TaskSet waiting;
    std::uint32_t placed = 0;
    std::uint32_t done = 0;
    std::vector<std::uint64_t> chunk_changes;       // per chunk: number of changes
    std::vector<std::uint64_t> chunk_saved_changes; // per chunk: number of durable changes
    std::vector<std::uint64_t> chunk_versions;      // per chunk: version of its key, 0: none
    std::map<std::string, int> placed_by_zone;      // placed tasks per zone
    bool outcome_write_in_flight = false;           // the outcome is being written
    Time outcome_retry_at = 0;                      // no retry of that write before this time
    // Failed launches on machines that run other jobs without failures. The job itself may be at
    // fault, so it backs off for longer after each failure instead of quarantining more machines.
    int failures = 0;
    Time backoff_until = 0;
    Time waiting_since = 0; // since when it has had tasks to place; 0: it has none
    // The job existed before this leader's term: its tasks may be running on any machine until the
    // leader is reconciled.
    bool unreconciled = false;
    bool awaits_first_task = false; // starving: the next free slot is reserved for it
    bool needs_preemption = false;  // none was possible here: slot requests ask peers to preempt
    Time due = 0; // when it is due by its next service-level objective, see PendingQueue

    bool open() const { return outcome == Outcome::none; }
    bool complete() const { return done == spec.tasks; }
    // Returns whether `more_tasks` further tasks of the job may be placed in the zone.
    bool allows_zone(const std::string& zone, std::uint32_t more_tasks = 1) const;
};

// A chunk with changes that are not durable.
struct DirtyChunk {
    std::string job;
    std::uint32_t chunk = 0;
    std::uint64_t change = 0; // number of changes that a save includes if made now
};

// Called only from the controller's event loop. Pointers to a job stay valid until it is dropped.
class JobStore {
  public:
    // `chunk_tasks`: the number of tasks in a chunk.
    explicit JobStore(std::uint32_t chunk_tasks) : chunk_tasks_(chunk_tasks) {}

    // Returns null if there is no such job.
    Job* find(const std::string& id);
    // Adds a job. Returns null if it exists already or its outcome is known.
    Job* add(Time now, const JobSpec& spec, std::uint64_t version);
    // Marks the completed tasks of a chunk, as read from its key at `version`.
    void load_progress(const std::string& id, std::uint32_t chunk, const std::vector<bool>& done,
                       std::uint64_t version);
    // Marks the job as cancelled. Returns false if there is no such job or it is not open.
    bool cancel(const std::string& id);
    // Remembers the outcome, so that a delayed read or watch event does not add the job again.
    void record_outcome(const std::string& id, Outcome outcome);
    std::optional<Outcome> final_outcome(const std::string& id) const;

    void mark_placed(Job& job, std::uint32_t task, const std::string& zone);
    void mark_waiting(Job& job, std::uint32_t task, const std::string& zone);
    // Has no effect unless the task is waiting. Tasks of a service are never done.
    void mark_done(Job& job, std::uint32_t task);
    // Removes the job.
    void drop(const std::string& id);

    // Returns whether all completions in the task's chunk are durable.
    bool is_durable(const Job& job, std::uint32_t task) const;
    // Returns at most `max_chunks` chunks to be saved. Starts after those of the last call, so that
    // every chunk is saved eventually.
    std::vector<DirtyChunk> next_dirty_chunks(std::size_t max_chunks);
    // Returns one bit per task of the chunk, set if the task is done.
    std::vector<bool> chunk_bits(const Job& job, std::uint32_t chunk) const;
    // Records that the chunk was saved and its key has this version.
    void on_chunk_saved(const DirtyChunk& chunk, std::uint64_t version);
    // Returns the number of chunks of the job.
    std::uint32_t chunks(const Job& job) const;

    const std::unordered_map<std::string, std::unique_ptr<Job>>& all() const { return jobs_; }

  private:
    struct ChunkId {
        std::string job;
        std::uint32_t chunk = 0;
        auto operator<=>(const ChunkId&) const = default;
    };
    std::uint32_t chunk_tasks_;
    std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
    std::unordered_map<std::string, Outcome> outcomes_;
    std::deque<std::string> outcomes_order_; // oldest first
    std::set<ChunkId> dirty_;
    ChunkId last_dirty_; // the last chunk of the last call of next_dirty_chunks
};

} // namespace scheduler
