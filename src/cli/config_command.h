// `cluster-scheduler config put|get|list`: guarantees and limits of teams, changed while the
// service runs. See docs/configuration.md.
#pragma once

#include <optional>

#include "cli/settings.h"

namespace scheduler::cli {

struct QuotaChanges {
    std::string team;
    std::optional<double> cpus; // none: as it is
    std::optional<double> cpus_max;
    std::optional<double> gpus;
    std::optional<double> gpus_max;
    std::optional<std::uint64_t> version; // that the change is to replace; none: what is found
};

// Exit statuses: 0; 1: it was not done, another change has come or nobody answered; 2: bad use,
// with the key and the reason on standard error.
int config_put(const Settings& settings, const QuotaChanges& changes);
int config_get(const Settings& settings, const std::string& team);
int config_list(const Settings& settings);

} // namespace scheduler::cli
