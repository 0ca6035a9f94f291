// The jobs of a partition in memory: the state of each task, and which of it is durable.
#pragma once

#include <deque>
#include <memory>
#include <set>
#include <unordered_map>

#include "core/model/task_set.h"
#include "core/model/types.h"

namespace scheduler {

enum class TaskState : std::uint8_t { waiting, placed, done };

// A job as its partition's leader knows it. Completed tasks are stored in chunks of tasks, each
// with a key of its own.
struct Job {
    JobSpec spec;
    std::uint64_t version = 0; // of the key job/<id>
    Outcome outcome = Outcome::none;
    Time first_seen = 0;
    std::vector<TaskState> tasks;
    TaskSet waiting;
    std::uint32_t placed = 0;
    std::uint32_t done = 0;
    std::vector<std::uint64_t> chunk_changes;       // per chunk: number of changes made
    std::vector<std::uint64_t> chunk_saved_changes; // ... and how many of them are durable
    std::vector<std::uint64_t> chunk_versions; // ... of its key, as last written or read; 0: none
    std::map<std::string, int> placed_by_zone; // placed tasks per zone
    bool outcome_write_in_flight = false;      // the write of the outcome is in flight
    Time outcome_retry_at = 0;                 // that write failed: no retry before this
    // Launches that failed on machines which ran other jobs well: the job itself may be at fault,
    // so it backs off for longer each time instead of quarantining machine after machine.
    int failures = 0;
    Time backoff_until = 0;
    Time waiting_since = 0; // it has had tasks to place since then; 0: it has none
    // Older than this leadership: its tasks may run anywhere until the leader is reconciled.
    bool unreconciled = false;
    bool awaits_first_task = false; // it starves: the next slot is reserved for it
    bool needs_preemption = false;  // no preemption was possible here: peers are asked to preempt
    Time due = 0;                   // when it is expected to progress; see the partition leader

    bool open() const { return outcome == Outcome::none; }
    bool complete() const { return done == spec.tasks; }
    // May this many more of its tasks be placed in the zone?
    bool allows_zone(const std::string& zone, std::uint32_t more_tasks = 1) const;
};

// A chunk with changes that are not durable.
struct DirtyChunk {
    std::string job;
    std::uint32_t chunk = 0;
    std::uint64_t change = 0; // the number of changes that a save of it now includes
};

// Called only from the controller's event loop. Pointers to jobs are valid until the job is
// dropped.
class JobStore {
  public:
    // `chunk_tasks`: the number of tasks in a chunk.
    explicit JobStore(std::uint32_t chunk_tasks) : chunk_tasks_(chunk_tasks) {}

    // Null if the job is not in the store.
    Job* find(const std::string& id);
    // Adds a job; null if it is known already or over.
    Job* add(Time now, const JobSpec& spec, std::uint64_t version);
    // Applies the completed tasks of a chunk, as read from its key at this version.
    void load_progress(const std::string& id, std::uint32_t chunk, const std::vector<bool>& done,
                       std::uint64_t version);
    // Returns false if the job is not known or not open.
    bool cancel(const std::string& id);
    // Remembers the outcome, so that a late read or event does not add the job again.
    void record_outcome(const std::string& id, Outcome outcome);
    std::optional<Outcome> final_outcome(const std::string& id) const;

    void mark_placed(Job& job, std::uint32_t task, const std::string& zone);
    void mark_waiting(Job& job, std::uint32_t task, const std::string& zone);
    // No effect unless the task waits; a replica of a service is never done.
    void mark_done(Job& job, std::uint32_t task);
    // Removes the job.
    void drop(const std::string& id);

    // Are all completions in the task's chunk durable?
    bool is_durable(const Job& job, std::uint32_t task) const;
    // At most so many chunks to be saved, beginning after those of the last call, so that each has
    // its turn.
    std::vector<DirtyChunk> next_dirty_chunks(std::size_t max_chunks);
    // One bit for each task of the chunk: is it done?
    std::vector<bool> chunk_bits(const Job& job, std::uint32_t chunk) const;
    // The chunk was saved; its key has this version now.
    void on_chunk_saved(const DirtyChunk& chunk, std::uint64_t version);
    // The number of the job's chunks.
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
    std::deque<std::string> outcomes_order_; // the oldest first
    std::set<ChunkId> dirty_;
    ChunkId last_dirty_; // the last chunk of the last call of next_dirty_chunks
};

} // namespace scheduler
