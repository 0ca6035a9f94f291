// Demand and capacity of all partitions together.
#pragma once

#include <map>
#include <vector>

#include "core/machines/machine_table.h"
#include "core/messaging/peer_messages.h"

namespace scheduler {

// Slots by kind of machine.
using SlotsOfKinds = std::map<SlotKind, double>;

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

    // The fields below are set by place_restricted_tasks().
    // The restricted tasks that fit on no idle machine. The sums of `demand` do not include them,
    // since none of the existing slots are for them.
    std::vector<RestrictedTasks> unplaced;
    // The idle slots that restricted tasks leave, of the kinds of machines that they need.
    SlotsOfKinds spare_slots;
};

// Returns the number of parts, out of kIdleParts, that are idle in each of the machine's resources.
std::size_t idle_parts(const Machine& machine);
// Returns the slots of these parts.
double idle_slots(const Machine& machine);

// Determines which of the pending tasks that may run on some instance types only fit on idle
// machines. Does nothing if the idle machines are not known.
void place_restricted_tasks(const std::vector<InstanceType>& types, ClusterDemand& demand);

} // namespace scheduler
