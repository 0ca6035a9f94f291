// What this node has seen of each job's key: its version while the job is open, its outcome once it
// is over. Fed by every read, write and watch of such a key; the version alone answers nobody, see
// poll_desk.h.
#pragma once

#include <deque>
#include <list>
#include <string>
#include <unordered_map>

#include "core/model/types.h"

namespace scheduler {

class JobRecordCache {
  public:
    explicit JobRecordCache(std::size_t most_open = 50000, std::size_t most_final = 10000)
        : open_(most_open), final_(most_final) {}

    // A record of `job/<id>` as it was at `version`, the revision of its last change. An older one
    // than what is known changes nothing.
    void observe(Time now, const std::string& id, std::uint64_t version,
                 const StoredRecord& record);
    void observe_outcome(Time now, const std::string& id, Outcome outcome);
    // The version is not the key's any more.
    void invalidate(const std::string& id) { open_.erase(id); }

    // Of an open job that has been seen; none: not seen, over, or long forgotten.
    std::optional<std::uint64_t> version(const std::string& id) const;
    // Final outcomes never change, so what has once been seen holds.
    std::optional<Outcome> outcome(const std::string& id) const;
    // Jobs first seen cancelled since then; none: not remembered so far back.
    std::optional<std::vector<std::string>> cancelled_since(Time when) const;

  private:
    // Keeps so many entries, those that came first go first.
    template <class Value> class Bounded {
      public:
        explicit Bounded(std::size_t most) : most_(most) {}
        void put(const std::string& id, Value value) {
            auto [it, added] = entries_.try_emplace(id);
            if (added) {
                it->second.at = order_.insert(order_.end(), id);
            }
            it->second.value = value;
            if (entries_.size() > most_) {
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
                order_.erase(it->second.at);
                entries_.erase(it);
            }
        }

      private:
        struct Entry {
            Value value{};
            std::list<std::string>::iterator at;
        };
        std::size_t most_;
        std::list<std::string> order_;
        std::unordered_map<std::string, Entry> entries_;
    };
    Bounded<std::uint64_t> open_;
    Bounded<Outcome> final_;
    std::deque<std::pair<Time, std::string>> cancelled_; // the latest, in order
    Time cancelled_floor_ = -1;                          // some up to here are forgotten
};

} // namespace scheduler
