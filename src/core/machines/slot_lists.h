// Lists of machines by how many idle slots they have: the paper's list of idle cores with its
// multicore extension, one set of lists for each kind of machine (type, ordinary or spot).
#pragma once

#include <set>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

#include "core/model/types.h"

namespace scheduler {

struct SlotKind {
    std::string type;
    bool spot = false;
    auto operator<=>(const SlotKind&) const = default;
};

// How many slots of such a machine a task takes up, by what it needs most of.
int slots_needed(const InstanceType& type, double cpus, double gpus, double ram_gb);
// From which list a task may be served. GPU machines are listed by idle GPUs alone, so that tasks
// of uneven shape still share one; a task that wants none is served from the list of 0 as well.
int min_listed_slots(const InstanceType& type, double cpus, double gpus, double ram_gb);
int idle_slots(double free_cpus, double free_gpus, double free_ram_gb, const InstanceType& type);

class SlotLists {
  public:
    // Lists the machine under `slots` idle slots; below 0 takes it off.
    void set(const SlotKind& kind, const std::string& machine, int slots);
    void remove(const std::string& machine);
    // The machine is gone, and its images with it.
    void forget(const std::string& machine);
    bool empty() const { return where_.empty(); }
    // Images that the machine has. `version`: changes with them, so that telling the same costs
    // nothing.
    void set_images(const std::string& machine, const std::vector<std::string>& images,
                    std::uint64_t version);
    std::uint64_t images_version(const std::string& machine) const;
    // As `pop`, but only of the machines with the image: from the paper's list of warm cores, where
    // that is the shorter way, else by looking through all lists.
    template <class Ok>
    const std::string* pop_warm(const SlotKind& kind, int slots, const std::string& image,
                                Ok&& ok) const {
        auto warm = warm_.find(image);
        if (warm == warm_.end()) {
            return nullptr;
        }
        const auto& idle = warm->second.idle;
        if (idle.size() * idle.size() > where_.size()) {
            return pop(kind, slots, [&](const std::string& machine) {
                return idle.contains(machine) && ok(machine);
            });
        }
        const std::string* best = nullptr;
        int best_slots = 0;
        for (const auto& machine : idle) {
            const auto& [its_kind, its_slots] = where_.at(machine);
            if (its_kind == kind && its_slots >= slots &&
                (!best || std::tie(its_slots, machine) < std::tie(best_slots, *best)) &&
                ok(machine)) {
                best = &machine;
                best_slots = its_slots;
            }
        }
        return best;
    }
    // The first machine, fewest idle slots first, that has `slots` and that `ok` accepts.
    template <class Ok> const std::string* pop(const SlotKind& kind, int slots, Ok&& ok) const {
        auto it = lists_.find(kind);
        if (it == lists_.end()) {
            return nullptr;
        }
        for (auto list = it->second.lower_bound(slots); list != it->second.end(); ++list) {
            for (const auto& machine : list->second) {
                if (ok(machine)) {
                    return &machine;
                }
            }
        }
        return nullptr;
    }

  private:
    std::map<SlotKind, std::map<int, std::set<std::string>>> lists_;
    using Where = std::unordered_map<std::string, std::pair<SlotKind, int>>;
    void unlist(Where::iterator it);
    Where where_;
    struct Warm {
        std::unordered_set<std::string> idle; // listed machines that have the image
        std::size_t machines = 0;             // that have it, listed or not
    };
    struct Images {
        std::vector<std::string> names;
        std::uint64_t version = 0;
    };
    // Puts the machine on the warm lists of its images, or takes it off.
    void warm(const std::string& machine, bool listed);
    std::unordered_map<std::string, Images> images_; // by machine, listed or not
    std::unordered_map<std::string, Warm> warm_;     // by image
};

} // namespace scheduler
