// Lists of machines by how many idle slots they have: the paper's list of idle cores with its
// multicore extension, one set of lists for each kind of machine (type, ordinary or spot).
#pragma once

#include <set>

#include "core/types.h"

namespace orchidlanding {

struct SlotKind {
    std::string type;
    bool spot = false;
    auto operator<=>(const SlotKind&) const = default;
};

// How many slots of such a machine a task takes up, by what it needs most of.
int slots_needed(const MachineType& type, double cpus, double gpus, double ram_gb);
// From which list a task may be served. GPU machines are listed by idle GPUs alone, so that tasks
// of uneven shape still share one; a task that wants none is served from the list of 0 as well.
int slots_listed(const MachineType& type, double cpus, double gpus, double ram_gb);
int slots_idle(double free_cpus, double free_gpus, double free_ram_gb, const MachineType& type);

class SlotLists {
  public:
    // Lists the machine under `slots` idle slots; below 0 takes it off.
    void set(const SlotKind& kind, const std::string& machine, int slots);
    void remove(const std::string& machine);
    bool empty() const { return where_.empty(); }
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
    std::map<std::string, std::pair<SlotKind, int>> where_;
};

} // namespace orchidlanding
