// The subcommands `config put|get|list`, which read and change the quotas of teams in the key-value
// store while the controllers run. See docs/configuration.md.
#pragma once

#include <optional>

#include "cli/settings.h"

namespace scheduler::cli {

// The changes that `config put` makes to a team's quota. Missing values stay as they are.
struct QuotaChanges {
    std::string team;
    std::optional<double> cpus;
    std::optional<double> cpus_max;
    std::optional<double> gpus;
    std::optional<double> gpus_max;
    // The version that the change replaces, 0 if there must be none yet; by default the version
    // that is stored when the command runs.
    std::optional<std::uint64_t> version;
};

// These run a subcommand and return its exit status: 0 on success; 1 if the store did not respond
// or the change was not made; 2 for bad usage. Errors go to standard error.
int config_put(const Settings& settings, const QuotaChanges& changes);
int config_get(const Settings& settings, const std::string& name);
int config_list(const Settings& settings);

} // namespace scheduler::cli
