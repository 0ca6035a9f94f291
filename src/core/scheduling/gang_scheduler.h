// Schedules the gangs of the partition: slots for all tasks before any of them starts, an orderly
// end of an attempt, and the next attempt only after every task of the last is known gone. See
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

// A gang that no partition has room for alone: slots of several are held for a moment until they
// are enough. One gang at a time, so that two of ours never hold halves.
struct GangReservation {
    std::string job;
    std::uint64_t attempt = 0;
    HeldGrants grants;
    Time until = 0; // 0: nothing is held yet
};

class GangScheduler {
  public:
    struct Delegate { // what it needs of the partition leader
        virtual ~Delegate() = default;
        virtual bool has_schedulable_tasks(Time now, const Job& job) const = 0;
        // All tasks of older jobs are accounted for.
        virtual bool reconciled() const = 0;
        // A start that was queued for the machine never goes out.
        virtual void on_task_removed(Time now, const std::string& machine,
                                     const HeartbeatResult::RemovedTask& removed) = 0;
        virtual void on_gang_complete(Time now, Job& job) = 0;
    };
    // The tables and classes that it works on.
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

    // Launches all waiting tasks of the gang if there are slots for all of them. False: none was.
    bool schedule(Time now, bool spot, Job& job);
    // Lends all the slots that are wanted for a gang, or none; as many as there are if its leader
    // gathers the rest elsewhere.
    bool lend_slots(Time now, bool spot, int borrower, SlotRequest& request);
    // Fills in what is wanted for a gang from one peer: all of it or, with `missing_only`, what
    // our own slots and those held already lack. False: nothing now.
    bool request_slots(const Job& job, bool missing_only, SlotRequest& request);
    // A peer has granted slots: the whole set that was asked for, or a part of what is being
    // gathered.
    void on_grants(Time now, int partition, const std::vector<SlotGrant>& grants);

    // Stops all tasks of the gang's attempt. `may_save`: they are given the time to save.
    void end_attempt(Time now, const std::string& id, bool may_save);
    // Another task of the gang is known gone.
    void on_task_gone(Time now, Job& job, ExitReason reason);
    // What the inventory of one of our machines means for gangs.
    void on_machine_inventory(Time now, const Machine& machine);
    // Ends what is overdue: held slots, and attempts that can be completed no more.
    void run_periodic_checks(Time now);

  private:
    using Members = std::vector<std::uint32_t>;
    using TasksByZone = std::map<std::string, std::uint32_t>;
    struct PlanRequest { // slots wanted for members of a gang
        bool spot = false;
        const JobSpec& spec;
        const Members& members;
        const Job* job = nullptr;       // null: another partition's
        std::string zone = {};          // the only one; empty: any
        TasksByZone tasks_by_zone = {}; // of members that have slots already
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
