// Packs pending tasks onto idle machines in memory, as an estimate of which tasks have to wait for
// further machines.
#pragma once

#include <map>
#include <vector>

#include "core/messaging/peer_messages.h"

namespace scheduler {

// Returns the number of slots that one of the tasks takes up on a machine of the type, or 0 if it
// may not run there.
int slots_per_task(const RestrictedTasks& tasks, const InstanceType& type);

// Returns the number of the tasks that an empty machine of the type can run at a time.
std::uint32_t tasks_per_machine(const RestrictedTasks& tasks, const InstanceType& type);

class TaskPacking {
  public:
    // `types` must outlive the packing. Idle machines of other types are ignored.
    TaskPacking(const std::vector<InstanceType>& types, const IdleMachines& idle);

    // Packs as many of the tasks as fit, each onto the machine with the fewest idle slots that it
    // fits on; spot machines first, if it may run on them. Returns the number of tasks that do not
    // fit.
    std::uint32_t pack(const RestrictedTasks& tasks);
    // The slots that the packed tasks take up, by kind of machine.
    const std::map<SlotKind, double>& packed_slots() const { return packed_slots_; }
    // The idle slots of machines of this kind that no packed task takes up.
    double idle_slots(const SlotKind& kind) const;

  private:
    using MachinesByIdleSlots = std::map<double, std::uint32_t>;
    std::uint32_t pack_on_kind(const SlotKind& kind, int slots, std::uint32_t tasks);

    const std::vector<InstanceType>& types_;
    std::map<SlotKind, MachinesByIdleSlots> machines_;
    std::map<SlotKind, double> packed_slots_;
};

} // namespace scheduler
