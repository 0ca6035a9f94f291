// Starts tasks on machines of the partition and updates the slot lists accordingly.
#pragma once

#include "core/scheduling/slot_finder.h"
#include "core/stealing/slot_lender.h"

namespace scheduler {

class TaskLauncher {
  public:
    TaskLauncher(JobStore& jobs, MachineTable& machines, SlotLists& slots, QuotaLedger& quotas,
                 const SlotFinder& slot_finder, SlotLender& lender)
        : jobs_(jobs), machines_(machines), slots_(slots), quotas_(quotas),
          slot_finder_(slot_finder), lender_(lender) {}

    // Queues the start of the task on the machine, which must have enough idle slots.
    void launch(Time now, Machine& machine, Job& job, std::uint32_t index, std::uint64_t attempt);
    // Updates the slot lists after the machine's free capacity, or whether it is schedulable, may
    // have changed.
    void update_slot_lists(Machine& machine);

  private:
    JobStore& jobs_;
    MachineTable& machines_;
    SlotLists& slots_;
    QuotaLedger& quotas_;
    const SlotFinder& slot_finder_;
    SlotLender& lender_;
};

} // namespace scheduler
