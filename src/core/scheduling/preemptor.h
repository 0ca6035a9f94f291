// Frees slots for gangs and service replicas by stopping array tasks that have a lower priority or
// exceed their team's guarantee. Tasks with the shortest run time so far are stopped first: most
// are still fetching their image, so little work is lost.
#pragma once

#include "core/machines/machine_table.h"
#include "core/messaging/outbound_requests.h"
#include "core/quotas/quota_ledger.h"
#include "core/scheduling/pending_queue.h"
#include "core/scheduling/slot_finder.h"

namespace scheduler {

// A way to free slots for one more task on a machine, and its cost.
struct PreemptionOption {
    double cost_s = 0; // run time lost, plus the time to fetch the image
    Machine* machine = nullptr;
    std::vector<TaskId> victims;
};

class Preemptor {
  public:
    Preemptor(const ClusterSettings& settings, const QuotaLedger& quotas,
              const SlotFinder& slot_finder, MachineTable& machines, PendingQueue& queue,
              OutboundRequests& requests)
        : settings_(settings), quotas_(quotas), slot_finder_(slot_finder), machines_(machines),
          queue_(queue), requests_(requests) {}

    // Preempts for pending gangs and service replicas of this partition, and for those of peers
    // without capacity of their own. Does so for each job at most once in a heartbeat interval. The
    // stop commands are queued; the caller sends them.
    void preempt_for_pending_jobs(Time now);
    // Makes machines whose reservation has expired available to all jobs.
    void expire_reservations(Time now);
    // Number of machines examined so far, as a measure of work for tests.
    std::uint64_t effort() const { return effort_; }

  private:
    // The tasks for which slots are to be freed. `job` is null for a peer's job.
    struct Demand {
        const JobSpec& spec;
        std::size_t tasks = 0;
        bool within_guarantee = false;
        const Job* job = nullptr;
    };
    // The preemptions that serve a demand, and their total cost.
    struct Plan {
        std::vector<PreemptionOption> options;
        double cost_s = 0;
    };
    using OptionsByZone = std::map<std::string, std::vector<PreemptionOption>>;

    static bool may_preempt_for(const PendingJob& candidate);
    void preempt_for_candidate(Time now, const PendingJob& candidate);
    bool preempt_for(Time now, const Demand& demand);
    bool is_eligible(const Machine& machine, const Demand& demand) const;
    OptionsByZone options_by_zone(Time now, const Demand& demand);
    static std::optional<Plan> cheapest_plan(const Demand& demand, OptionsByZone&& by_zone);
    std::size_t stop_victims(Time now, const JobSpec& spec, const Plan& plan);

    const ClusterSettings& settings_;
    const QuotaLedger& quotas_;
    const SlotFinder& slot_finder_;
    MachineTable& machines_;
    PendingQueue& queue_;
    OutboundRequests& requests_;
    std::map<std::string, Time> retry_at_;    // by job: earliest time of the next preemption for it
    std::set<std::string> reserved_machines_; // machines that may be reserved for a job
    std::uint64_t effort_ = 0;
};

} // namespace scheduler
