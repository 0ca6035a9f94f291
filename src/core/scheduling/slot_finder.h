// Looks up idle slots for tasks: which machine of the partition a task of a given shape may start
// on. It reads the slot lists and changes nothing; whoever launches or lends takes the slots.
#pragma once

#include "core/machines/machine_table.h"
#include "core/machines/slot_lists.h"
#include "core/model/instance_type_catalog.h"
#include "core/scheduling/gang_tracker.h"
#include "core/sharding/owned_shards.h"

namespace scheduler {

// What a slot is looked for. `task` and `job` are null for a task of another partition, whose
// leader checks the rest itself.
struct SlotQuery {
    bool spot = false; // on spot machines, else on on-demand ones
    const JobSpec& spec;
    const TaskId* task = nullptr;
    const Job* job = nullptr;
    const GangPlacement* plan = nullptr; // slots already planned for other members of the gang
    std::string zone = {};               // the only zone to look in; empty: any
};

class SlotFinder {
  public:
    SlotFinder(const SchedulingPolicy& policy, const OwnedShards& owned_shards,
               const InstanceTypeCatalog& instance_types, const MachineTable& machines,
               const SlotLists& slots)
        : policy_(policy), owned_shards_(owned_shards), instance_types_(instance_types),
          machines_(machines), slots_(slots) {}

    // May tasks be started on the machine, if it has idle slots?
    bool is_schedulable(const Machine& machine) const;
    // The machine at the head of the first list with enough idle slots for one more task; null if
    // there is none.
    const std::string* find(const SlotQuery& query) const;
    // Machines looked at so far.
    std::uint64_t effort() const { return effort_; }

  private:
    const std::string* find_on_type(const SlotQuery& query, const InstanceType& type,
                                    bool image_cached) const;
    bool fits(const SlotQuery& query, const Machine& machine) const;

    const SchedulingPolicy& policy_;
    const OwnedShards& owned_shards_;
    const InstanceTypeCatalog& instance_types_;
    const MachineTable& machines_;
    const SlotLists& slots_;
    mutable std::uint64_t effort_ = 0;
};

} // namespace scheduler
