/// @file
/// What the options of a simulation come to: zones, machine types, teams, settings of controllers.
#pragma once

#include <string>
#include <vector>

#include "core/model/types.h"
#include "simulation/options.h"

namespace scheduler::test {

/// The only machine type that the cloud has.
inline constexpr char kMachineTypeName[] = "m8";
/// Seconds that a gang's task waits for the others.
inline constexpr double kGangWaitS = 30;
/// Seconds after which a gang's task has noticed that one of the others is gone.
inline constexpr double kGangPeerS = 5;

/// The name of a controller, as it stands in messages.
std::string controller_name(int controller);
/// The controller of this name.
int controller_number(const std::string& name);

std::vector<std::string> zone_names(const SimulationOptions& options);
/// The zones of the controllers, by their numbers.
std::vector<std::string> controller_zones(const SimulationOptions& options);
InstanceType machine_type(const SimulationOptions& options);
std::vector<TeamQuota> team_quotas(const SimulationOptions& options);
ClusterSettings controller_settings(const SimulationOptions& options, int controller);

/// A job of the team red with usual needs, that may use spot machines.
JobSpec usual_job(const SimulationOptions& options, const std::string& id, std::uint32_t tasks,
                  double cpus);

} // namespace scheduler::test
