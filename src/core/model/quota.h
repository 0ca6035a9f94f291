// The quotas of the teams and their changes at run time. See quotas/quota_config.h.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace scheduler {

// A team's guarantee and limit, from the settings file or from config/team/<name>.
//
// A value of 0 means "none". A resource with neither guarantee nor limit is not counted for the
// team; a limit of 0 means unlimited.
struct TeamQuota {
    std::string name;
    double guaranteed_cpus = 0;
    double max_cpus = 0;
    double guaranteed_gpus = 0;
    double max_gpus = 0;

    // Returns whether the quota has a guarantee or a limit for the resource.
    bool limits_cpus() const { return guaranteed_cpus > 0 || max_cpus > 0; }
    bool limits_gpus() const { return guaranteed_gpus > 0 || max_gpus > 0; }
    // Returns whether this total usage is within the limit, or within the guarantee.
    bool allows(double used_cpus, double used_gpus) const;
    bool guarantees(double used_cpus, double used_gpus) const;
    // Returns the amount of the resource by which the team's usage is compared: GPUs if the quota
    // covers GPUs, CPUs otherwise.
    double amount(double of_cpus, double of_gpus) const {
        return limits_gpus() ? of_gpus : of_cpus;
    }
    // Returns the limit of that resource; infinity if there is none.
    double limit() const;
};

// A team's quota as of one store revision. Controllers send these to each other while the store is
// unavailable.
struct QuotaChange {
    std::string team;
    std::optional<TeamQuota> quota; // absent: its record cannot be decoded
    std::uint64_t revision = 0;
};

// The quota of a team as one controller applies it; the response to an operator's QuotaStatusQuery.
// Durations are relative to the time of the response.
struct QuotaStatus {
    std::uint64_t revision = 0;           // all changes up to this one are in force, ...
    double age_s = 0;                     // ... and all that were written at least this long ago
    TeamQuota quota;                      // in force; empty name: the settings have no such team
    std::uint64_t effective_revision = 0; // of the change in force; 0: quota of the settings
    double effective_for_s = 0;           // how long it has been in force
    bool blocked = false;                 // no valid quota is known: no task of the team is started
};

} // namespace scheduler
