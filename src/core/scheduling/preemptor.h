// Preemption: makes slots free for work that is to start at once, gangs and service replicas, by
// stopping tasks of arrays that rank lower or that their team runs beyond its guarantee. Of these
// it takes the ones that have run least: most are still fetching their image, so that hardly any
// work is lost.
#pragma once

#include "core/machines/machine_table.h"
#include "core/messaging/outbound_requests.h"
#include "core/quotas/quota_ledger.h"
#include "core/scheduling/pending_queue.h"
#include "core/scheduling/slot_finder.h"

namespace scheduler {

// Room for one more task on a machine, and what it costs.
struct PreemptionOption {
    double cost_s = 0; // run time lost, and the time until the image is there
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

    // Preempts for our own gangs and replicas that wait, and for those of peers that found no room
    // in their own partition; for each job at most once in a heartbeat interval. The stops are
    // queued: the caller sends them.
    void preempt_for_pending_jobs(Time now);
    // Machines whose reservation has run out are open to all jobs again.
    void expire_reservations(Time now);
    // Machines looked at so far.
    std::uint64_t effort() const { return effort_; }

  private:
    // What stops are wanted for: `tasks` tasks of one shape. `job` is null for a peer's job.
    struct Demand {
        const JobSpec& spec;
        std::size_t tasks = 0;
        bool within_guarantee = false;
        const Job* job = nullptr;
    };
    // What is to be stopped, and the cost of it all.
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
    std::map<std::string, Time> retry_at_;    // by job: preempted for, not again before then
    std::set<std::string> reserved_machines_; // machines that may be reserved for a job
    std::uint64_t effort_ = 0;
};

} // namespace scheduler
