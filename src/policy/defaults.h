// The built-in policy: every ratio that is a choice and not a safety bound.
#pragma once

#include "core/types.h"

namespace orchidlanding::policy {

inline Policy defaults(const Facts& facts) {
    Policy p;
    p.part_lease_s = 0.65 * facts.lease_s; // a takeover leaves workers' leases time to go on
    p.idle_return_s = 0.4;                 // of a boot: about what it costs to rent again
    p.rent_horizon_s = 1.0;                // of a boot: waiting work should be done by then
    p.demand_fade_s = 0.4;                 // of a boot: peaks of the demand fade over it
    p.spare_share = 0.1;                   // kept beyond the recent demand
    p.boot_limit_s = 3.0;                  // of the usual boot: then it is given up
    p.capacity_backoff_s = facts.lease_s;  // before a zone that had none is asked again
    p.sick_errors = 3;                     // failed tasks in a row
    p.steal_batch = 4;                     // slots asked for at first
    p.exchange_s = facts.report_s / 12;    // between calls to a peer while tasks wait or run there
    p.warm_patience = 1; // fetch times that a job with the image there may be due later
    // Users expect even the largest job to begin within four minutes, which no setting says. Sooner
    // than this it costs more aims of others than it need: most begin by themselves.
    p.begin_s = 0.6 * 240;
    return p;
}

} // namespace orchidlanding::policy
