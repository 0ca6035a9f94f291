/// @file
/// The teams' limits as operators configure them, and the rule that teams keep to them.
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

/// Writes the configuration of teams into the state service, and notes the rule quota as broken
/// where a team uses more than any limit that may still be in force.
class QuotaModel {
  public:
    QuotaModel(const SimulationOptions& options, EventQueue& clock, const WorkerModel& workers,
               KvStoreModel& store, HistoryChecker& history_checker);

    /// Writes the team's key over whatever stands there. False: the state service is down. With
    /// `late_s` it is carried out so much later, and the writer knows nothing of its outcome.
    bool configure(const TeamQuota& quota, double late_s);
    /// A write over this version, as a second operator makes it: its status.
    int configure_if_version(const TeamQuota& quota, std::uint64_t version);
    /// As last written, or as in the settings.
    const TeamQuota& team(const std::string& name) const {
        return limits_.at(name).quota;
    }

    /// Judges what the teams use now. To be called every kCheckS.
    void check();
    /// A controller logged that a change came into force.
    void note_in_force(const std::string& line);
    /// From the write of each change to its coming into force at each controller, seconds.
    const std::vector<double>& quota_delays_s() const { return in_force_after_; }
    /// What the team's tasks use on machines now, in what the team states: CPUs or GPUs.
    double used(const std::string& team) const;

    /// Seconds between two checks.
    static constexpr double kCheckS = 0.1;

  private:
    /// What a team may use: its limit, and for a stated time after each lowering the one before.
    struct Limit {
        TeamQuota quota;
        /// Limits that were lowered, by when they end to count.
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
    /// By revision.
    std::map<std::uint64_t, WrittenChange> written_;
    std::vector<double> in_force_after_;
    /// Seconds so far for which the state service was down.
    double outage_s_ = 0;
};

} // namespace scheduler::test
