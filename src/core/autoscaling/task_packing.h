// Packs pending tasks onto idle machines in memory, as an estimate of which tasks have to wait for
// further machines.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/messaging/peer_messages.h"

namespace scheduler {

// Returns whether the tasks may run in the zone.
bool allows_zone(const TaskGroup& tasks, const std::string& zone);

// Returns whether the tasks may run in the pool's zone and on its kind of machine, as far as spot
// machines are concerned.
bool allows_zone_and_spot(const TaskGroup& tasks, const MachinePool& pool);

// Returns the number of slots that one of the tasks takes up on a machine of the type, or 0 if it
// may not run there.
int slots_per_task(const TaskGroup& tasks, const InstanceType& type);

// Returns the number of the tasks that an empty machine of the type can run at a time.
std::uint32_t tasks_per_machine(const TaskGroup& tasks, const InstanceType& type);

class TaskPacking {
  public:
    // Idle machines of other types are ignored.
    TaskPacking(const std::vector<InstanceType>& types, const IdleMachines& idle);

    // Adds empty machines.
    void add_machines(const MachinePool& pool, std::uint32_t count);
    // Packs as many of the tasks as fit, each onto the machine with the fewest idle slots that it
    // fits on; spot machines first, if it may run on them. Returns the number of tasks that do not
    // fit.
    std::uint32_t pack(const TaskGroup& tasks);
    // The pools of machines that tasks have been packed onto.
    const std::set<MachinePool>& used_pools() const { return used_pools_; }
    // The idle slots of the pool's machines that no packed task takes up.
    double idle_slots(const MachinePool& pool) const;

  private:
    using MachinesByIdleSlots = std::map<double, std::uint32_t>;
    static std::uint32_t pack_in_pool(MachinesByIdleSlots& machines, int slots,
                                      std::uint32_t tasks);

    std::map<std::string, InstanceType> types_;
    std::map<MachinePool, MachinesByIdleSlots> machines_;
    std::set<MachinePool> used_pools_;
};

} // namespace scheduler
