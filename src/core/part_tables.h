// What one claim of a part knows and counts: tables that need nothing of each other but to be
// looked at. PartOwner and the classes that it wires work on them.
#pragma once

#include "core/fleet.h"
#include "core/gangs.h"
#include "core/holdings.h"
#include "core/job_store.h"
#include "core/machine_types.h"
#include "core/slot_lists.h"
#include "core/teams.h"

namespace orchidlanding {

class PartTables {
  protected:
    PartTables(Time now, int part, const Facts& facts, const Policy& policy,
               const Authority& authority, const PartTable& table, StateBudget& budget,
               const std::vector<MachineType>& types);

    Facts facts_;
    std::vector<ShareId> all_shares_; // of all parts
    Policy policy_;
    Claim claim_;
    Holdings holdings_;
    Calls calls_;
    MachineTypes types_;
    JobStore jobs_;
    MachineTable machines_;
    SlotLists slots_;
    Teams teams_;
    Gangs gangs_;
    Fleet fleet_;
};

} // namespace orchidlanding
