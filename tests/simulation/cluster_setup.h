// Derives zones, machine types, teams and controller settings from the options of a simulation.
#pragma once

#include <string>
#include <vector>

#include "core/model/types.h"
#include "simulation/options.h"

namespace scheduler::test {

// The default machine type of the cloud.
inline constexpr char kMachineTypeName[] = "m8";
// Seconds that a task of a gang waits for the others to start.
inline constexpr double kGangWaitS = 30;
// Seconds until a task of a gang notices that another one is gone.
inline constexpr double kGangMemberLostS = 5;

// Returns the name of a controller, as it is used in messages.
std::string controller_name(int controller);
// Returns the number of the controller with this name.
int controller_number(const std::string& name);

std::vector<std::string> zone_names(const SimulationOptions& options);
// Returns the zone of each controller, by controller number.
std::vector<std::string> controller_zones(const SimulationOptions& options);
InstanceType machine_type(const SimulationOptions& options);
// Returns all types that the cloud offers: the default one and those of the options.
std::vector<InstanceType> machine_types(const SimulationOptions& options);
std::vector<TeamQuota> team_quotas(const SimulationOptions& options);
ClusterSettings controller_settings(const SimulationOptions& options, int controller);

// Returns a job of the team red with the default requirements, allowed on spot machines.
JobSpec usual_job(const SimulationOptions& options, const std::string& id, std::uint32_t tasks,
                  double cpus);

} // namespace scheduler::test
