// Schedules the gangs of the partition. No task of a gang starts before there are slots for all of
// them, and a new attempt begins only when every task of the previous one is known to be gone. See
// docs/design.md, "Gangs".
#pragma once

#include "core/scheduling/slot_finder.h"
#include "core/scheduling/task_launcher.h"
#include "core/stealing/slot_borrower.h"
#include "core/stealing/slot_lender.h"

namespace scheduler {

// A slot of another partition that is held for a task of a gang.
struct HeldGrant {
    int partition = 0; // whose leader granted it
    SlotGrant grant;
};
using HeldGrants = std::map<std::uint32_t, HeldGrant>; // by task

// Slots that are held for a gang too large for the free capacity of any single partition, until the
// slots of several partitions suffice. Only one gang of the partition has a reservation at a time:
// two gangs that each hold half of the slots would block each other.
struct GangReservation {
    std::string job;
    std::uint64_t attempt = 0;
    HeldGrants grants;
    Time until = 0; // when the grants are returned; 0 while none is held
};

class GangScheduler {
  public:
    struct Delegate { // implemented by the partition leader
        virtual ~Delegate() = default;
        virtual bool has_schedulable_tasks(Time now, const Job& job) const = 0;
        // Returns whether all tasks that earlier leaders launched are reconciled.
        virtual bool reconciled() const = 0;
        // A start command that was queued for the machine has been cancelled before it was sent.
        virtual void on_task_removed(Time now, const std::string& machine,
                                     const HeartbeatResult::RemovedTask& removed) = 0;
        virtual void on_gang_complete(Time now, Job& job) = 0;
    };
    // The tables and services that the scheduler uses.
    struct Dependencies {
        Leadership& leadership;
        const ClusterSettings& settings;
        JobStore& jobs;
        MachineTable& machines;
        const QuotaLedger& quotas;
        GangTracker& gangs;
        const SlotFinder& slot_finder;
        PendingQueue& queue;
        SlotLender& lender;
        SlotBorrower& borrower;
        TaskLauncher& launcher;
        OutboundRequests& requests;
    };
    GangScheduler(const Dependencies& dependencies, Delegate& delegate);

    // Launches all waiting tasks of the gang if there are slots for all of them. Returns false if
    // it launched none.
    bool schedule(Time now, bool spot, Job& job);
    // Lends all slots that are requested for a gang, or none. If the request accepts a partial
    // grant, lends as many as there are. Returns false if it lent none.
    bool lend_slots(Time now, bool spot, int borrower, SlotRequest& request);
    // Completes a slot request for a gang to one peer. It requests slots for all waiting tasks or,
    // with `missing_only`, only for those that neither the partition's own slots nor the held
    // grants cover. Returns false if no slots are needed from the peer.
    bool request_slots(const Job& job, bool missing_only, SlotRequest& request);
    // Uses, holds or returns the slots that a peer granted: all that were requested, or some of
    // those that the reservation needs.
    void on_grants(Time now, int partition, const std::vector<SlotGrant>& grants);

    // Stops all tasks of the gang's attempt. With `may_save` they get a grace period to save their
    // state.
    void end_attempt(Time now, const std::string& id, bool may_save);
    // Called when a task of the gang is known to be gone.
    void on_task_gone(Time now, Job& job, ExitReason reason);
    // Updates the gangs with tasks on the machine from its latest inventory: records that they run,
    // and ends the attempts on a machine with a preemption notice.
    void on_machine_inventory(Time now, const Machine& machine);
    // Called on the timer. Returns held slots that were not used in time, ends attempts that can no
    // longer be completed, and finishes gangs of which an earlier leader saw a task complete.
    void run_periodic_checks(Time now);

  private:
    using Members = std::vector<std::uint32_t>;
    using TasksByZone = std::map<std::string, std::uint32_t>;
    struct PlanRequest { // slots that are needed for members of a gang
        bool spot = false;
        const JobSpec& spec;
        const Members& members;
        const Job* job = nullptr;       // null for a job of another partition
        std::string zone = {};          // the only zone allowed; empty for any
        TasksByZone tasks_by_zone = {}; // members that already have slots
    };

    static Members waiting_members(const Job& job);
    static TasksByZone count_by_zone(const HeldGrants& held);
    bool has_reservation_for(const Job& job) const;
    std::vector<std::string> candidate_zones(bool one_zone) const;
    GangPlacement plan(const PlanRequest& request) const;
    void launch(Time now, Job& job, const Members& members, const GangPlacement& plan,
                std::uint64_t attempt);
    void request_missing(const Job& job, Members& members, SlotRequest& request);
    std::size_t count_own_slots(const Job& job, const Members& members, std::string& zone) const;
    bool can_use_grants(Time now, const Job* job, std::uint64_t attempt) const;
    void hold_or_return(const Job* job, int partition, const std::vector<SlotGrant>& grants,
                        HeldGrants& held);
    GangPlacement plan_remaining(const Job& job, const Members& remaining,
                                 const HeldGrants& held) const;
    void launch_with_grants(Job& job, const HeldGrants& held, bool from_reservation);
    void return_grants(const HeldGrants& held);
    void release_reservation();
    void check_reservation(Time now);
    void stop_tasks_on(Time now, Machine& machine, const std::string& job, double grace_s);
    void finish_members(Time now, Job& job);

    Leadership& leadership_;
    const ClusterSettings& settings_;
    JobStore& jobs_;
    MachineTable& machines_;
    const QuotaLedger& quotas_;
    GangTracker& gangs_;
    const SlotFinder& slot_finder_;
    PendingQueue& queue_;
    SlotLender& lender_;
    SlotBorrower& borrower_;
    TaskLauncher& launcher_;
    OutboundRequests& requests_;
    Delegate& delegate_;
    std::optional<GangReservation> reservation_;
};

} // namespace scheduler
