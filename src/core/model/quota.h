// Quotas of the teams and how they change while the service runs. See quotas/quota_config.h.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace scheduler {

// A team's guarantee and limit, from the settings file or from config/team/<name>.
//
// A 0 means none: a resource for which neither guarantee nor limit is stated does not count for the
// team, and a limit of 0 is no limit.
struct TeamQuota {
    std::string name;
    double guaranteed_cpus = 0;
    double max_cpus = 0;
    double guaranteed_gpus = 0;
    double max_gpus = 0;

    // Whether the quota states a guarantee or a limit of that resource.
    bool limits_cpus() const { return guaranteed_cpus > 0 || max_cpus > 0; }
    bool limits_gpus() const { return guaranteed_gpus > 0 || max_gpus > 0; }
    // Whether a usage of so much in all is within the limit, or within the guarantee.
    bool allows(double used_cpus, double used_gpus) const;
    bool guarantees(double used_cpus, double used_gpus) const;
    // The resource that the team's usage is compared by: GPUs where the quota states some, else
    // CPUs.
    double amount(double of_cpus, double of_gpus) const {
        return limits_gpus() ? of_gpus : of_cpus;
    }
    // The limit of that amount; infinity: none.
    double limit() const;
};

// A team's quota as of one revision of the store. Controllers exchange these while the store is
// down.
struct QuotaChange {
    std::string team;
    std::optional<TeamQuota> quota; // none: its record cannot be read
    std::uint64_t revision = 0;
};

// How a team's quota stands at one controller: its response to an operator's QuotaStatusQuery.
// Durations end when the response is made.
struct QuotaStatus {
    std::uint64_t revision = 0; // every change up to it is in force ...
    double age_s = 0;           // ... and every one that was written at least so long ago
    TeamQuota quota;            // in force; without a name: the settings have no such team
    std::uint64_t effective_revision = 0; // of the change in force, 0: as in the settings
    double effective_for_s = 0;           // how long it has been in force
    bool blocked = false;                 // no valid quota is known, so no task of it is started
};

} // namespace scheduler
