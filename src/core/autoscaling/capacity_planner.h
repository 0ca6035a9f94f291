// How many machines there should be, and of what kind: rent, return, and what to avoid.
#pragma once

#include <set>

#include "core/machines/machine_table.h"
#include "core/machines/slot_lists.h"
#include "core/model/messages.h"

namespace scheduler {

// Of a report time: between two rounds of renting and giving back.
inline constexpr double kPlanningIntervalHeartbeats = 1.0 / 3;

// What all parts have and want together, as far as this owner has heard.
struct ClusterDemand {
    Demand demand;
    double on_demand_slots = 0;
    double spot_slots = 0;
    bool complete = false; // every other part has said lately what it has and wants
};

class CapacityPlanner {
  public:
    CapacityPlanner(const ClusterSettings& settings, const SchedulingPolicy& policy,
                    std::uint64_t term)
        : settings_(settings), policy_(policy), term_(term) {}

    // Rental requests to send now. Those without an answer are sent again under their name.
    std::vector<ScaleOut> plan_scale_out(Time now, const ClusterDemand& demand,
                                         const std::vector<InstanceType>& types,
                                         std::map<std::string, double> in_zone);
    void on_scale_out_response(Time now, const ScaleOut& order, int status, std::size_t got);

    // Machines to give back: idle for long, never up, lost, or at fault.
    std::vector<std::string> plan_scale_in(Time now, const MachineTable& machines,
                                           const ClusterDemand& demand, bool may_suspect) const;
    // Chooses machines that take no more tasks because there are more than are wanted, some at a
    // time, and takes the choice back when there are too few.
    std::vector<std::string> plan_cordons(Time now, const MachineTable& machines,
                                          const ClusterDemand& demand);
    // A machine that can be counted on.
    bool is_usable(Time now, const Machine& machine) const;
    // A name that was released; the list may show it for a while yet.
    void on_released(Time now, const std::string& name) { released_[name] = now; }
    bool was_released(Time now, const std::string& name);

    double boot_timeout_s(const InstanceType& type) const {
        return policy_.boot_timeout_boots * type.boot_s;
    }

  private:
    bool is_silent(Time now, const Machine& machine) const;
    struct Pending {
        ScaleOut order;
        Time next = 0;
        bool in_flight = false;
    };
    void order_lacking(Time now, const std::vector<InstanceType>& types, bool spot, double lack,
                       std::vector<ScaleOut>& out, std::map<std::string, double>& in_zone,
                       std::map<std::string, double>& bound);
    void add_orders(Time now, const InstanceType& type, const std::string& zone, bool spot,
                    int count, std::vector<ScaleOut>& out);

    ClusterSettings settings_;
    SchedulingPolicy policy_;
    std::uint64_t term_;
    std::uint64_t next_order_ = 1;
    std::vector<Pending> pending_;
    std::map<std::pair<SlotKind, std::string>, Time> backoff_until_;
    std::map<std::string, Time> released_;
    Demand recent_demand_; // the demand of late: its peaks fade over the time that a boot takes
    Time recent_demand_at_ = 0;
    Time next_trim_ = 0;
};

} // namespace scheduler
