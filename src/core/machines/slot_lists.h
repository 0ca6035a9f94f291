// Lists of machines by their number of idle slots, one set of lists for each kind of machine
// (instance type, on-demand or spot). This is the list of idle cores of the paper that the
// scheduler is based on, with its multicore extension.
#pragma once

#include <set>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

#include "core/model/types.h"

namespace scheduler {

// Returns the number of slots that a task takes up on a machine of the type, which the resource
// that it needs most of determines; at least 1.
int slots_needed(const InstanceType& type, double cpus, double gpus, double ram_gb);
// Returns the lowest number of idle slots under which a machine that the task may fit on is listed.
// GPU machines are listed by idle GPUs alone, so that tasks with different ratios of GPUs to other
// resources can share one; a task without GPUs may use machines that are listed under 0 slots.
int min_listed_slots(const InstanceType& type, double cpus, double gpus, double ram_gb);
// Returns the number of idle slots under which a machine with these free resources is listed.
int idle_slots(double free_cpus, double free_gpus, double free_ram_gb, const InstanceType& type);

// Called only from the controller's event loop. Returned pointers to names are valid until the next
// change.
class SlotLists {
  public:
    // Lists the machine under `slots` idle slots, or removes it from the lists if `slots` is
    // negative.
    void set(const SlotKind& kind, const std::string& machine, int slots);
    void remove(const std::string& machine);
    // Removes the machine together with its image cache.
    void forget(const std::string& machine);
    bool empty() const { return positions_.empty(); }
    // Sets the images in the machine's cache. `version` must change whenever they do; a call with
    // the last version has no effect and costs little.
    void set_images(const std::string& machine, const std::vector<std::string>& images,
                    std::uint64_t version);
    std::uint64_t images_version(const std::string& machine) const;
    // As `find_least_idle`, but only among the machines that have the image. Uses the image's own
    // set of machines (the paper's list of warm cores) if that is faster, and otherwise searches
    // all lists.
    template <class Accepts>
    const std::string* find_least_idle_warm(const SlotKind& kind, int slots,
                                            const std::string& image, Accepts&& accepts) const {
        auto warm = warm_.find(image);
        if (warm == warm_.end()) {
            return nullptr;
        }
        const auto& idle = warm->second.idle;
        if (idle.size() * idle.size() > positions_.size()) {
            return find_least_idle(kind, slots, [&](const std::string& machine) {
                return idle.contains(machine) && accepts(machine);
            });
        }
        const std::string* best = nullptr;
        int best_slots = 0;
        for (const auto& machine : idle) {
            const ListPosition& position = positions_.at(machine);
            if (position.kind == kind && position.slots >= slots &&
                (!best || std::tie(position.slots, machine) < std::tie(best_slots, *best)) &&
                accepts(machine)) {
                best = &machine;
                best_slots = position.slots;
            }
        }
        return best;
    }
    // Returns the machine with the fewest idle slots of those that have at least `slots` of them
    // and that the predicate accepts; null if there is none. The machine stays listed.
    template <class Accepts>
    const std::string* find_least_idle(const SlotKind& kind, int slots, Accepts&& accepts) const {
        auto it = lists_.find(kind);
        if (it == lists_.end()) {
            return nullptr;
        }
        for (auto list = it->second.lower_bound(slots); list != it->second.end(); ++list) {
            for (const auto& machine : list->second) {
                if (accepts(machine)) {
                    return &machine;
                }
            }
        }
        return nullptr;
    }

  private:
    // The list that a machine is on.
    struct ListPosition {
        SlotKind kind;
        int slots = 0;
        bool operator==(const ListPosition&) const = default;
    };
    using Positions = std::unordered_map<std::string, ListPosition>; // by machine
    void unlist(Positions::iterator position);

    std::map<SlotKind, std::map<int, std::set<std::string>>> lists_;
    Positions positions_;
    struct WarmImage {
        std::unordered_set<std::string> idle; // listed machines that have the image
        std::size_t machines = 0;             // the number that have the image, listed or not
    };
    struct CachedImages {
        std::vector<std::string> names;
        std::uint64_t version = 0;
    };
    // Adds the machine to the idle machines of each of its images, or removes it from them.
    void update_warm(const std::string& machine, bool listed);
    std::unordered_map<std::string, CachedImages> images_; // by machine, listed or not
    std::unordered_map<std::string, WarmImage> warm_;      // by image
};

} // namespace scheduler
