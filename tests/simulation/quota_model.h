// The quotas of teams as operators change them, and the check that teams keep to them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "simulation/event_queue.h"
#include "simulation/history_checker.h"
#include "simulation/kv_store_model.h"
#include "simulation/options.h"
#include "simulation/worker_model.h"

namespace scheduler::test {

// Writes the quotas of teams into the key-value store, and reports the rule quota as broken when a
// team uses more than every limit that may be in force.
class QuotaModel {
  public:
    QuotaModel(const SimulationOptions& options, EventQueue& clock, const WorkerModel& workers,
               KvStoreModel& store, HistoryChecker& history_checker);

    // Overwrites the team's quota. Returns false if the store is down. With a positive `late_s`,
    // the write is executed that much later and the writer does not learn its outcome.
    bool configure(const TeamQuota& quota, double late_s);
    // Writes the quota if the stored version is `version`, as a concurrent operator does. Returns
    // the status.
    int configure_if_version(const TeamQuota& quota, std::uint64_t version);
    // Returns the quota as last written, or as in the settings.
    const TeamQuota& team(const std::string& name) const { return limits_.at(name).quota; }

    // Checks what the teams use now. Has to be called every kCheckS.
    void check();
    // Called when a controller logs that a change is in force.
    void record_applied(const std::string& line);
    // Returns the seconds from the write of each change until it is in force at each controller.
    const std::vector<double>& quota_delays_s() const { return quota_delays_s_; }
    // Returns what the team's tasks use on machines, in the unit of its quota: CPUs or GPUs.
    double used(const std::string& team) const;

    // Seconds between two checks.
    static constexpr double kCheckS = 0.1;

  private:
    // A team's limit and, for a stated time after each lowering, the limit before it.
    struct Limit {
        TeamQuota quota;
        // Earlier, higher limits by the time until which they may be in force.
        std::map<Time, double> before;
    };
    struct WrittenChange {
        std::string team;
        Time when = 0;
    };

    std::map<std::string, double> used_by_team() const;
    void check(const std::string& team, double used);
    void written(const TeamQuota& quota, std::uint64_t revision);

    const SimulationOptions& options_;
    EventQueue& clock_;
    const WorkerModel& workers_;
    KvStoreModel& store_;
    HistoryChecker& history_checker_;
    std::map<std::string, Limit> limits_;
    // Changes by revision.
    std::map<std::uint64_t, WrittenChange> written_;
    std::vector<double> quota_delays_s_;
    // Total seconds for which the store was down.
    double outage_s_ = 0;
};

} // namespace scheduler::test
