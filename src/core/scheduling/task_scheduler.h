// Assigns idle slots in the order of the pending queue: to tasks of the partition's own jobs, and
// to the slot requests of the leaders of other partitions.
#pragma once

#include "core/scheduling/gang_scheduler.h"
#include "core/scheduling/task_launcher.h"

namespace scheduler {

class TaskScheduler {
  public:
    struct Delegate { // implemented by the partition leader
        virtual ~Delegate() = default;
        virtual bool has_schedulable_tasks(Time now, const Job& job) const = 0;
    };
    // The tables and services that the scheduler uses.
    struct Dependencies {
        Leadership& leadership;
        const SchedulingPolicy& policy;
        MachineTable& machines;
        const QuotaLedger& quotas;
        const SlotLists& slots;
        const SlotFinder& slot_finder;
        PendingQueue& queue;
        SlotLender& lender;
        GangScheduler& gang_scheduler;
        TaskLauncher& launcher;
    };
    TaskScheduler(const Dependencies& dependencies, const Delegate& delegate);

    // Fills the idle slots of all machines.
    void schedule(Time now);
    // Fills the idle slots of one machine after its heartbeat.
    void schedule_on(Time now, Machine& machine);
    // Number of jobs examined so far, as a measure of work for tests.
    std::uint64_t effort() const { return effort_; }

  private:
    struct TaskResources { // resource requirements of a task
        double cpus = 0;
        double gpus = 0;
        double ram_gb = 0;
        auto operator<=>(const TaskResources&) const = default;
    };
    using Candidates = std::set<const PendingJob*>;

    void fill_slots(Time now, bool spot, bool spot_jobs);
    void fill_request(Time now, bool spot, const PendingJob& candidate,
                      const std::set<TaskResources>& exhausted);
    void fill_job(Time now, bool spot, const PendingJob& candidate,
                  std::set<TaskResources>& exhausted);
    bool schedule_task(Time now, bool spot, Job& job, std::uint32_t index);
    void lend_slots(Time now, bool spot, int borrower, SlotRequest& request);
    bool fits_request(const Machine& machine, const PendingJob& candidate) const;
    bool fits_machine(Time now, const Machine& machine, const PendingJob& candidate) const;
    const PendingJob* best_for(Time now, const Machine& machine, bool spot_jobs,
                               const std::vector<PendingJob>& pending,
                               const Candidates& insufficient);
    bool place_on(Time now, Machine& machine, const PendingJob& candidate);

    Leadership& leadership_;
    const SchedulingPolicy& policy_;
    MachineTable& machines_;
    const QuotaLedger& quotas_;
    const SlotLists& slots_;
    const SlotFinder& slot_finder_;
    PendingQueue& queue_;
    SlotLender& lender_;
    GangScheduler& gang_scheduler_;
    TaskLauncher& launcher_;
    const Delegate& delegate_;
    std::uint64_t effort_ = 0;
};

} // namespace scheduler
