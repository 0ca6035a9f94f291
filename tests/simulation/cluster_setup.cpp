#include "simulation/cluster_setup.h"

#include <cstdlib>

namespace scheduler::test {

std::string controller_name(int controller) { return "n" + std::to_string(controller); }

int controller_number(const std::string& name) { return std::atoi(name.c_str() + 1); }

std::vector<std::string> zone_names(const SimulationOptions& options) {
    return options.one_zone ? std::vector<std::string>{"a"} : std::vector<std::string>{"a", "b"};
}

std::vector<std::string> controller_zones(const SimulationOptions& options) {
    std::vector<std::string> zones;
    for (int controller = 0; controller < options.nodes; ++controller) {
        zones.push_back(controller % 2 && !options.one_zone ? "b" : "a");
    }
    return zones;
}

InstanceType machine_type(const SimulationOptions& options) {
    return {kMachineTypeName,   8, options.gpus ? 4.0 : 0.0, 32, 20, 1, 1.0, 0.4, options.boot_s,
            zone_names(options)};
}

std::vector<InstanceType> machine_types(const SimulationOptions& options) {
    std::vector<InstanceType> types{machine_type(options)};
    types.insert(types.end(), options.further_types.begin(), options.further_types.end());
    return types;
}

std::vector<TeamQuota> team_quotas(const SimulationOptions& options) {
    const double factor = options.limits;
    if (options.gpus) {
        return {{"red", 0, 0, 8 * factor, 12 * factor}, {"blue", 0, 0, 4 * factor, 20 * factor}};
    }
    std::vector<TeamQuota> teams{{"red", 16 * factor, 24 * factor, 0, 0},
                                 {"blue", 8 * factor, 40 * factor, 0, 0}};
    for (int team = 0; team < options.extra_teams; ++team) {
        teams.push_back({"t" + std::to_string(team), 1, 24, 0, 0});
    }
    return teams;
}

ClusterSettings controller_settings(const SimulationOptions& options, int controller) {
    ClusterSettings settings;
    settings.node = controller_name(controller);
    settings.home_partition = controller;
    const std::vector<std::string> zones = controller_zones(options);
    for (int other = 0; other < options.nodes; ++other) {
        settings.partitions.push_back({controller_name(other), zones[other]});
    }
    settings.zones = zone_names(options);
    settings.teams = team_quotas(options);
    settings.objectives = options.objectives;
    settings.heartbeat_interval_s = options.report_s;
    settings.worker_lease_s = options.lease_s;
    settings.cancel_s = options.cancel_s;
    settings.gang_start_timeout_s = kGangWaitS;
    settings.gang_stop_timeout_s = kGangMemberLostS;
    settings.store_requests_per_s = options.state_rps;
    settings.store_writes_per_s = options.state_write_rps;
    settings.store_value_limit_kb = 4;
    settings.store_transaction_limit = 12;
    settings.cloud_requests_per_s = 6;
    settings.list_lag_s = 8;
    settings.max_concurrent_commands = options.max_concurrent_commands;
    return settings;
}

JobSpec usual_job(const SimulationOptions& options, const std::string& id, std::uint32_t tasks,
                  double cpus) {
    JobSpec spec;
    spec.id = id;
    spec.job_class = "scan";
    spec.team = "red";
    spec.tasks = tasks;
    spec.cpus = cpus;
    spec.ram_gb = cpus;
    spec.gpus = options.gpus ? 1 : 0;
    spec.image = "img";
    spec.image_gb = 1;
    spec.spot = true;
    spec.estimated_run_s = options.run_s;
    return spec;
}

} // namespace scheduler::test
