// What this controller has seen of each job's key in the store: its version while the job is open,
// its outcome once it is over. Fed by every read, write and watch event of such a key. A cached
// version alone must never answer a user; job_status_reader.h confirms it first.
#pragma once

#include <deque>
#include <list>
#include <string>
#include <unordered_map>

#include "core/model/types.h"

namespace scheduler {

// Bounded in size: the entries added first are dropped first. Called only from the controller's
// event loop.
class JobRecordCache {
  public:
    static constexpr std::size_t kMaxOpenJobs = 50000;
    static constexpr std::size_t kMaxFinalJobs = 10000;
    explicit JobRecordCache(std::size_t max_open_jobs = kMaxOpenJobs,
                            std::size_t max_final_jobs = kMaxFinalJobs)
        : open_(max_open_jobs), final_(max_final_jobs) {}

    // A record of `job/<id>` as it was at `version`, the store revision of its last change. A
    // record older than what is known changes nothing.
    void observe(Time now, const std::string& id, std::uint64_t version,
                 const StoredRecord& record);
    // The job is known to be over.
    void observe_outcome(Time now, const std::string& id, Outcome outcome);
    // The cached version is outdated.
    void invalidate(const std::string& id) { open_.erase(id); }

    // The version of an open job; none if the job was not seen, is over, or has been dropped.
    std::optional<std::uint64_t> version(const std::string& id) const;
    // The outcome of a job that is over, as far as is known. Final outcomes never change, so one
    // that has been seen holds for good.
    std::optional<Outcome> outcome(const std::string& id) const;
    // The jobs first seen cancelled at `when` or later, the latest first; none if the cache does
    // not reach back so far.
    std::optional<std::vector<std::string>> cancelled_since(Time when) const;

  private:
    // A map by job id that keeps at most `max_entries`, in order of insertion.
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
        std::list<std::string> order_; // job ids, the oldest first
        std::unordered_map<std::string, Entry> entries_;
    };
    struct CancelledJob {
        Time seen_at = 0;
        std::string id;
    };
    Bounded<std::uint64_t> open_;
    Bounded<Outcome> final_;
    std::deque<CancelledJob> cancelled_; // the latest, in order
    Time cancelled_floor_ = -1;          // some seen up to this time have been dropped
};

} // namespace scheduler
