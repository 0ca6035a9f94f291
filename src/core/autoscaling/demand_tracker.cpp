#include "core/autoscaling/demand_tracker.h"

#include <algorithm>
#include <cmath>

#include "core/scheduling/pending_queue.h"

namespace scheduler {

namespace {
// Bound work that waits longer than this many boots is rented for once more.
constexpr double kStuckBoots = 1.5;
constexpr double kArrivalLeases = 3; // how long arrivals are remembered
constexpr double kAhead = 1.5;       // of what came in a boot time: rented before it comes
} // namespace

DemandTracker::DemandTracker(const Leadership& leadership, const ClusterSettings& settings,
                             const SchedulingPolicy& policy, const InstanceTypeCatalog& types,
                             const JobStore& jobs, const QuotaLedger& quotas,
                             const MachineTable& machines, const CapacityPlanner& planner)
    : leadership_(leadership), settings_(settings), policy_(policy), types_(types), jobs_(jobs),
      quotas_(quotas), machines_(machines), planner_(planner) {
    for (int p = 0; p < static_cast<int>(settings_.partitions.size()); ++p) {
        if (p != leadership_.partition()) {
            peers_[p];
        }
    }
}

// Work that only ordinary machines may run and that is to start sooner than one boots needs
// machines that are there before it: as many as came of late in a boot time, and half as many
// again.
void DemandTracker::on_job_arrived(Time now, const JobSpec& spec) {
    if (types_.empty() || spec.spot || now - leadership_.since() < settings_.worker_lease_s) {
        return; // what was there when we came says nothing about what comes
    }
    const InstanceType& type = types_.cheapest_fitting(spec);
    for (const auto& objective : settings_.objectives) {
        if (objective.kind == ServiceLevelObjective::Kind::wait &&
            objective.job_class == spec.job_class && objective.within_s < type.boot_s) {
            arrivals_.push_back(
                {now,
                 spec.tasks * slots_needed(type, spec.cpus, spec.gpus, spec.ram_gb) * type.boot_s});
            return;
        }
    }
}

double DemandTracker::projected_slots(Time now) const {
    double sum = 0;
    for (const auto& a : arrivals_) {
        sum += a.slots;
    }
    double seen = std::min(kArrivalLeases * settings_.worker_lease_s,
                           now - leadership_.since() - settings_.worker_lease_s);
    return sum > 0 ? kAhead * sum / std::max(settings_.worker_lease_s, seen) : 0;
}

Demand DemandTracker::demand(Time now) {
    // Per team: what runs, and what must run to have the waiting work done within the horizon,
    // up to the team's limit.
    struct Need {
        double ordinary = 0; // slots
        double any = 0;
        double cpus = 0;
        double gpus = 0;
    };
    Demand d;
    std::map<std::string, Need> needs;
    double left = 0;
    for (const auto& [id, job] : jobs_.all()) {
        const JobSpec& spec = job->spec;
        if (!job->open() || types_.empty()) {
            continue;
        }
        const InstanceType& type = types_.cheapest_fitting(spec);
        double slots = slots_needed(type, spec.cpus, spec.gpus, spec.ram_gb);
        double horizon = policy_.scale_out_horizon_boots * type.boot_s;
        double waiting = static_cast<double>(job->waiting.size());
        double pace = spec.kind == JobKind::service
                          ? 1
                          : std::min(1.0, std::max(spec.estimate_s, 1.0) / horizon);
        // A task longer than the horizon needs a place of its own.
        std::vector<std::string> open; // zones that its next task may be placed in
        for (const auto& zone : settings_.zones) {
            if (job->allows_zone(zone)) {
                open.push_back(zone);
            }
        }
        if (open.size() == 1 && waiting > 0) {
            d.zone_bound_slots[open.front()] += waiting * slots;
        }
        bool bound = spec.kind == JobKind::gang || spec.one_zone || spec.spread || spec.zone;
        double waits_s = job->waiting_since > 0 ? now - job->waiting_since : 0;
        if (auto stuck = static_cast<std::size_t>(waits_s / (kStuckBoots * type.boot_s));
            bound && stuck > 0) {
            // New machines would be there by now: there is room, but not where it is needed. So
            // as much again is wanted, whatever the team's limit makes of the rest.
            double again = 1;
            // All of it in one zone, one after the other: spread over the zones it may not be
            // enough in any. Nor are as many slots in the zone always enough: tasks that do not
            // fill their machines leave up to half of each. So it grows until there would be
            // twice as much in every zone. A gang of 19 tasks of 3 CPUs waited for ever beside 15
            // empty machines of 8, six in one zone and nine in the other.
            if (spec.one_zone && open.size() > 1) {
                again = static_cast<double>(std::min(stuck, 2 * open.size()));
                d.zone_bound_slots[open[stuck % open.size()]] += 2 * waiting * slots;
            }
            (spec.spot ? d.any_kind_slots : d.on_demand_slots) += again * waiting * slots;
        }
        double tasks = job->placed + std::ceil(waiting * pace);
        Need& need = needs[spec.team];
        (spec.spot ? need.any : need.ordinary) += tasks * slots;
        need.cpus += tasks * spec.cpus;
        need.gpus += tasks * spec.gpus;
        left += PendingQueue::remaining_s(*job) * slots;
    }
    d.remaining_slot_s = left;
    while (!arrivals_.empty() &&
           now - arrivals_.front().at > kArrivalLeases * settings_.worker_lease_s) {
        arrivals_.pop_front();
    }
    d.on_demand_slots += projected_slots(now);
    for (auto& [team, need] : needs) {
        const TeamQuota* f = quotas_.quota(team);
        double cut = 1;
        if (f && f->max_cpus > 0 && need.cpus > f->max_cpus) {
            cut = f->max_cpus / need.cpus;
        }
        if (f && f->max_gpus > 0 && need.gpus > f->max_gpus) {
            cut = std::min(cut, f->max_gpus / need.gpus);
        }
        d.on_demand_slots += need.ordinary * cut;
        d.any_kind_slots += need.any * cut;
    }
    return d;
}

const DemandTracker::PartitionDemand& DemandTracker::current(Time now) {
    if (now < valid_until_) {
        return current_;
    }
    valid_until_ = now + policy_.peer_sync_interval_s;
    current_.demand = demand(now);
    current_.capacity.cpu_headroom = cpu_headroom_;
    current_.capacity.accepts_shards = accepts_shards_;
    if (now >= capacity_valid_until_) {
        capacity_valid_until_ = now + settings_.heartbeat_interval_s / 6;
        current_.capacity = {0, 0, cpu_headroom_, accepts_shards_};
        for (const auto& [name, m] : machines_.all()) {
            ++effort_;
            if (planner_.is_usable(now, m)) {
                (m.spot ? current_.capacity.spot_slots : current_.capacity.on_demand_slots) +=
                    m.type.slots();
            }
        }
    }
    return current_;
}

ClusterDemand DemandTracker::cluster_demand(Time now) {
    ClusterDemand cluster_demand;
    const PartitionDemand& own = current(now);
    cluster_demand.demand = own.demand;
    cluster_demand.complete = true;
    cluster_demand.on_demand_slots = own.capacity.on_demand_slots;
    cluster_demand.spot_slots = own.capacity.spot_slots;
    for (const auto& [partition, peer] : peers_) {
        cluster_demand.demand.on_demand_slots += peer.demand.on_demand_slots;
        cluster_demand.demand.any_kind_slots += peer.demand.any_kind_slots;
        cluster_demand.demand.remaining_slot_s += peer.demand.remaining_slot_s;
        for (const auto& [zone, slots] : peer.demand.zone_bound_slots) {
            cluster_demand.demand.zone_bound_slots[zone] += slots;
        }
        cluster_demand.complete =
            cluster_demand.complete && now - peer.received_at < settings_.heartbeat_interval_s;
        cluster_demand.on_demand_slots += peer.capacity.on_demand_slots;
        cluster_demand.spot_slots += peer.capacity.spot_slots;
    }
    for (const auto& [name, bought] : provisioned_) {
        if (const InstanceType* type = types_.find(bought.first.type)) {
            (bought.first.spot ? cluster_demand.spot_slots : cluster_demand.on_demand_slots) +=
                type->slots();
        }
    }
    return cluster_demand;
}

void DemandTracker::on_peer_demand(Time now, int partition, const Demand& demand,
                                   const PartitionCapacity& fleet) {
    peers_.at(partition) = {now, demand, fleet};
}

void DemandTracker::add_provisioned(Time now, const std::string& machine, const ScaleOut& order) {
    provisioned_[machine] = {order, now};
}

void DemandTracker::expire_provisioned(Time now) {
    std::erase_if(provisioned_, [&](const auto& b) {
        const InstanceType* type = types_.find(b.second.first.type);
        return !type || now - b.second.second > planner_.boot_timeout_s(*type);
    });
}

} // namespace scheduler
