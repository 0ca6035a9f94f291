// Demand and capacity of all partitions together.
#pragma once

#include <map>
#include <vector>

#include "core/machines/machine_table.h"
#include "core/messaging/messages.h"

namespace scheduler {

using SlotsOfPools = std::map<MachinePool, double>;

// As far as this leader knows.
struct ClusterDemand {
    Demand demand;
    double on_demand_slots = 0;
    double spot_slots = 0;
    bool complete = false; // every other partition has reported within the last heartbeat interval
    IdleMachines idle;     // of all partitions
    // A leader does not report its idle machines, since its version is older. Then it is not known
    // which tasks fit on them.
    bool idle_unknown = false;

    // The fields below are set by place_task_groups().
    // The tasks of groups that fit on no idle machine. The sums of `demand` do not include them,
    // since none of the existing slots are for them.
    std::vector<TaskGroup> unplaced;
    // The idle slots that the tasks of groups leave, of the pools that they need.
    SlotsOfPools spare_slots;
};

MachinePool pool_of(const Machine& machine);
// Returns the pool of the machines that the request is for.
MachinePool pool_of(const ScaleOut& request);
// Returns the number of parts, out of kIdleParts, that are idle in each of the machine's resources.
std::size_t idle_parts(const Machine& machine);
// Returns the slots of these parts.
double idle_slots(const Machine& machine);

// Determines which of the tasks of groups fit on idle machines. Does nothing if the idle machines
// are not known.
void place_task_groups(const std::vector<InstanceType>& types, ClusterDemand& demand);

} // namespace scheduler
