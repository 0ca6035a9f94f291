// Caches the state of jobs in the store as this controller last saw it: the version of the job's
// key while the job is open, the outcome once it is final. Updated by every read, write and watch
// event of such a key. A cached version must be confirmed before it is used for a response to a
// user, see job_status_reader.h.
#pragma once

#include <deque>
#include <list>
#include <string>
#include <unordered_map>

#include "core/model/types.h"

namespace scheduler {

// Bounded in size: the oldest entries are evicted first. Called only from the controller's event
// loop.
class JobRecordCache {
  public:
    static constexpr std::size_t kMaxOpenJobs = 50000;
    static constexpr std::size_t kMaxFinalJobs = 10000;
    explicit JobRecordCache(std::size_t max_open_jobs = kMaxOpenJobs,
                            std::size_t max_final_jobs = kMaxFinalJobs)
        : open_(max_open_jobs), final_(max_final_jobs) {}

    // Updates the cache with the record of `job/<id>` at `version`, the store revision of its last
    // change. Has no effect if the cache has a newer version.
    void observe(Time now, const std::string& id, std::uint64_t version,
                 const StoredRecord& record);
    // Records the final outcome of a job.
    void observe_outcome(Time now, const std::string& id, Outcome outcome);
    // Removes the cached version of an open job because it is outdated.
    void invalidate(const std::string& id) { open_.erase(id); }

    // Returns the version of an open job, or nothing if the job is not cached or has ended.
    std::optional<std::uint64_t> version(const std::string& id) const;
    // Returns the final outcome of a job, if it is cached. Final outcomes never change, so this
    // needs no confirmation.
    std::optional<Outcome> outcome(const std::string& id) const;
    // Returns the jobs first seen as cancelled at `since` or later, latest first. Returns nothing
    // if older entries of that period have been evicted.
    std::optional<std::vector<std::string>> cancelled_since(Time since) const;

  private:
    // A map by job id with at most `max_entries` entries; evicts in order of insertion.
    template <class Value> class Bounded {
      public:
        explicit Bounded(std::size_t max_entries) : max_entries_(max_entries) {}
        void put(const std::string& id, Value value) {
            auto [it, added] = entries_.try_emplace(id);
            if (added) {
                it->second.position = order_.insert(order_.end(), id);
            }
            it->second.value = value;
            if (entries_.size() > max_entries_) {
                entries_.erase(order_.front());
                order_.pop_front();
            }
        }
        const Value* find(const std::string& id) const {
            auto it = entries_.find(id);
            return it == entries_.end() ? nullptr : &it->second.value;
        }
        void erase(const std::string& id) {
            if (auto it = entries_.find(id); it != entries_.end()) {
                order_.erase(it->second.position);
                entries_.erase(it);
            }
        }

      private:
        struct Entry {
            Value value{};
            std::list<std::string>::iterator position; // in order_
        };
        std::size_t max_entries_;
        std::list<std::string> order_; // job ids, oldest first
        std::unordered_map<std::string, Entry> entries_;
    };
    struct CancelledJob {
        Time seen_at = 0;
        std::string id;
    };
    Bounded<std::uint64_t> open_;
    Bounded<Outcome> final_;
    std::deque<CancelledJob> cancelled_; // latest ones, in order of time
    Time cancelled_floor_ = -1;          // entries up to this time may have been evicted
};

} // namespace scheduler
