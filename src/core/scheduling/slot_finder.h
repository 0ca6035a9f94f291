// Finds a machine of the partition with idle slots for a task. It only reads the slot lists; the
// caller that launches the task or lends the slots updates them.
#pragma once

#include "core/machines/machine_table.h"
#include "core/machines/slot_lists.h"
#include "core/model/instance_type_catalog.h"
#include "core/scheduling/gang_tracker.h"
#include "core/sharding/owned_shards.h"

namespace scheduler {

// Describes the task that needs a slot. `task` and `job` are null for a task of another partition,
// whose leader checks the job's other constraints.
struct SlotQuery {
    bool spot = false; // search spot machines, else on-demand machines
    const JobSpec& spec;
    const TaskId* task = nullptr;
    const Job* job = nullptr;
    const GangPlacement* plan = nullptr; // slots planned so far for other tasks of the gang
    std::string zone = {};               // the only zone to search; empty for any
};

class SlotFinder {
  public:
    SlotFinder(const SchedulingPolicy& policy, const OwnedShards& owned_shards,
               const InstanceTypeCatalog& instance_types, const MachineTable& machines,
               const SlotLists& slots)
        : policy_(policy), owned_shards_(owned_shards), instance_types_(instance_types),
          machines_(machines), slots_(slots) {}

    // Returns whether tasks may be started on the machine if it has idle slots.
    bool is_schedulable(const Machine& machine) const;
    // Returns the first listed machine with enough idle slots for one more task, preferring
    // machines that have its image, or null if there is none.
    const std::string* find(const SlotQuery& query) const;
    // Number of machines examined so far, as a measure of work for tests.
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
