// Plans the number and kinds of machines: which to provision, to cordon and to release, and which
// offers of the cloud provider to avoid for a while.
#pragma once

#include <functional>
#include <set>
#include <tuple>

#include "core/autoscaling/cluster_demand.h"
#include "core/machines/machine_table.h"
#include "core/messaging/messages.h"

namespace scheduler {

// The interval between planning rounds, in heartbeat intervals.
inline constexpr double kPlanningIntervalHeartbeats = 1.0 / 3;

// Only makes plans, which the autoscaler executes. Called only from the controller's event loop.
class CapacityPlanner {
  public:
    // `term`: the leadership term, which makes the request ids unique.
    CapacityPlanner(const ClusterSettings& settings, const SchedulingPolicy& policy,
                    std::uint64_t term)
        : settings_(settings), policy_(policy), term_(term) {}

    // Adds the machines of requests that have not been answered to the idle ones.
    void count_requested_machines(ClusterDemand& demand) const;
    // Returns the requests to send now. A request without a response is sent again under its id.
    // `slots_by_zone`: the existing slots.
    std::vector<ScaleOut> plan_scale_out(Time now, const ClusterDemand& demand,
                                         const std::vector<InstanceType>& types,
                                         std::map<std::string, double> slots_by_zone);
    void on_scale_out_response(Time now, const ScaleOut& request, int status, std::size_t accepted);

    // Returns the machines to release: surplus, never up, lost, draining or failing. Machines whose
    // heartbeats have stopped are among them only if `allow_silent_release`.
    std::vector<std::string> plan_scale_in(Time now, const MachineTable& machines,
                                           const ClusterDemand& demand,
                                           bool allow_silent_release) const;
    // Returns the machines whose `cordoned` is to be toggled: machines to cordon because there are
    // more than the demand needs, a few in each round, or cordoned ones to use again because there
    // are too few.
    std::vector<std::string> plan_cordons(Time now, const MachineTable& machines,
                                          ClusterDemand demand);
    // Returns whether the machine may run new tasks, now or when it is up.
    bool is_usable(Time now, const Machine& machine) const;
    // To be called when the machine has been released. The provider's list and delayed heartbeats
    // may still include it for a while; `was_released` tells them apart.
    void on_released(Time now, const std::string& name) { released_[name] = now; }
    bool was_released(Time now, const std::string& name);

    // The time, in seconds, after which a machine that is not up is presumed to have failed.
    double boot_timeout_s(const InstanceType& type) const {
        return policy_.boot_timeout_boots * type.boot_s;
    }

  private:
    struct PendingRequest {
        ScaleOut request;
        Time next = 0; // no retry before this
        bool in_flight = false;
    };
    // Slots by zone: those that exist or are requested, and those that zone-bound work still needs.
    struct ZoneSlots {
        std::map<std::string, double> existing;
        std::map<std::string, double> needed;
    };
    struct CordonCandidate {
        double busy_rank = 0; // lower for machines with a greater fraction of idle slots
        const Machine* machine = nullptr;
    };
    // Slots of one kind.
    struct Surplus {
        double own_slots = 0;      // of this partition's candidates
        double existing_slots = 0; // of all partitions
        double wanted_slots = 0;   // of all partitions
    };
    struct SlotsByKind {
        double on_demand = 0;
        double spot = 0;
    };
    using TypesByZone = std::map<std::string, const InstanceType*>;
    struct MissingCapacity {
        bool spot = false;
        double amount = 0;
        // Returns how much of it a machine of the type provides; 0: the type is of no use.
        std::function<double(const InstanceType&)> per_machine;
        std::function<bool(const std::string&)> allows_zone;
    };
    // What may be cordoned or released.
    struct Releasable {
        SlotsByKind existing;
        SlotsOfPools spare; // see ClusterDemand::spare_slots
    };
    // The types and zones that tasks may run on, and whether they may run on spot machines.
    using Restriction = std::tuple<std::vector<std::string>, std::vector<std::string>, bool>;
    using TasksByRestriction = std::map<Restriction, std::uint32_t>;
    bool is_silent(Time now, const Machine& machine) const;
    void append_retries(Time now, std::vector<ScaleOut>& requests);
    void add_pending(const std::vector<InstanceType>& types, SlotsByKind& slots,
                     ZoneSlots& zones) const;
    TypesByZone cheapest_by_zone(Time now, const std::vector<InstanceType>& types,
                                 const MissingCapacity& missing) const;
    int max_machines_per_zone() const;
    void request_missing(Time now, const std::vector<InstanceType>& types, MissingCapacity missing,
                         ZoneSlots& zones, std::vector<ScaleOut>& requests);
    void request_missing_slots(Time now, const std::vector<InstanceType>& types, bool spot,
                               double lacking_slots, ZoneSlots& zones,
                               std::vector<ScaleOut>& requests);
    std::vector<TaskGroup> confirmed_unplaced_tasks(const std::vector<TaskGroup>& unplaced);
    void request_for_unplaced_tasks(Time now, const std::vector<InstanceType>& types,
                                    const std::vector<TaskGroup>& unplaced, ZoneSlots& zones,
                                    std::vector<ScaleOut>& requests);
    void update_recent_demand(Time now, const Demand& demand, double boot_s);
    double wanted_slots(const ClusterDemand& demand, bool spot) const;
    void plan_cordons_of_kind(Time now, const MachineTable& machines, ClusterDemand& demand,
                              bool spot, bool may_cordon, std::vector<std::string>& changes);
    void cordon_surplus(Time now, std::vector<CordonCandidate> candidates, const Surplus& surplus,
                        SlotsOfPools& spare, std::vector<std::string>& changes);
    static bool is_needed_by_task_groups(const Machine& machine, const SlotsOfPools& spare);
    static void subtract_spare(const Machine& machine, SlotsOfPools& spare);
    static bool take_for_unplaced_tasks(const Machine& machine, std::vector<TaskGroup>& unplaced);
    bool is_presumed_lost(Time now, const Machine& machine) const;
    bool is_silent_release_safe(Time now, const MachineTable& machines) const;
    bool is_surplus(Time now, const Machine& machine, Releasable& releasable) const;
    bool should_release(Time now, const Machine& machine, const ClusterDemand& demand,
                        bool allow_silent_release, Releasable& releasable) const;
    void append_requests(Time now, const InstanceType& type, const std::string& zone, bool spot,
                         int count, std::vector<ScaleOut>& requests);

    ClusterSettings settings_;
    SchedulingPolicy policy_;
    std::uint64_t term_;
    std::uint64_t next_request_number_ = 1;
    std::vector<PendingRequest> pending_;
    TasksByRestriction last_unplaced_; // in the last planning round
    // By offer: the machines of a pool, which the provider may or may not have available.
    std::map<MachinePool, Time> backoff_until_;
    std::map<std::string, Time> released_; // by machine, with the time of the release
    Demand recent_demand_;                 // its peaks decay over some boot times
    Time recent_demand_at_ = 0;
    Time next_cordon_at_ = 0;
};

} // namespace scheduler
