#include "core/autoscaling/demand_tracker.h"

#include <algorithm>
#include <cmath>

#include "core/machines/slot_lists.h"
#include "core/scheduling/pending_queue.h"

namespace scheduler {

namespace {
// Zone-bound work that has been waiting for more than this many boot times adds to the demand once
// more.
constexpr double kStuckBoots = 1.5;
// Arrivals are remembered for this many worker lease times.
constexpr double kArrivalLeases = 3;
// The work that arrived per boot time is multiplied by this to project that of the next.
constexpr double kProjectionFactor = 1.5;
// Tasks that a group has at least for each of its jobs. Rounded up, the group has one at least.
constexpr double kMinTasks = 1e-3;
// The capacity is updated at most this many times in a heartbeat interval.
constexpr double kCapacityUpdatesPerHeartbeat = 6;
} // namespace

DemandTracker::DemandTracker(const Leadership& leadership, const ClusterSettings& settings,
                             const SchedulingPolicy& policy, const InstanceTypeCatalog& types,
                             const JobStore& jobs, const QuotaLedger& quotas,
                             const MachineTable& machines, const CapacityPlanner& planner)
    : leadership_(leadership), settings_(settings), policy_(policy), types_(types), jobs_(jobs),
      quotas_(quotas), machines_(machines), planner_(planner) {
    int partitions = static_cast<int>(settings_.partitions.size());
    for (int partition = 0; partition < partitions; ++partition) {
        if (partition != leadership_.partition()) {
            peers_[partition];
        }
    }
}

// Work that may only run on on-demand machines, and whose service-level objective for the waiting
// time is shorter than a boot, needs machines that are up before it arrives. They are provisioned
// for 1.5 times the work that recently arrived in a boot time.
void DemandTracker::on_job_arrived(Time now, const JobSpec& spec) {
    if (types_.empty() || spec.spot || now - leadership_.since() < settings_.worker_lease_s) {
        return; // jobs from before this leadership do not show the rate of arrivals
    }
    const InstanceType& type = types_.cheapest_fitting(spec);
    for (const auto& objective : settings_.objectives) {
        if (objective.kind == ServiceLevelObjective::Kind::wait &&
            objective.job_class == spec.job_class && objective.within_s < type.boot_s) {
            double task_s = spec.tasks * type.boot_s;
            double slot_s = task_s * slots_needed(type, spec.cpus, spec.gpus, spec.ram_gb);
            arrivals_.push_back({now, slot_s, task_s, std::nullopt, {}});
            if (!types_.all_fit(spec)) {
                arrivals_.back().places = TaskGroups::Places{types_.fitting(spec), {}};
                arrivals_.back().spec = spec;
            }
            return;
        }
    }
}

void DemandTracker::add_projected(Time now, Demand& demand, TaskGroups& groups) const {
    double observed_s = std::min(kArrivalLeases * settings_.worker_lease_s,
                                 now - leadership_.since() - settings_.worker_lease_s);
    double per_second = kProjectionFactor / std::max(settings_.worker_lease_s, observed_s);
    double slot_s = 0;
    for (const auto& arrival : arrivals_) {
        slot_s += arrival.slot_s;
        if (arrival.places) {
            groups.add(arrival.spec, *arrival.places, arrival.task_s * per_second,
                       arrival.slot_s * per_second);
        }
    }
    demand.on_demand_slots += slot_s * per_second;
}

DemandTracker::PendingTasks DemandTracker::pending_tasks(const Job& job) const {
    const JobSpec& spec = job.spec;
    PendingTasks pending{types_.cheapest_fitting(spec)};
    pending.slots_per_task = slots_needed(pending.type, spec.cpus, spec.gpus, spec.ram_gb);
    pending.count = static_cast<double>(job.waiting.size());
    for (const auto& zone : settings_.zones) {
        if (job.allows_zone(zone)) {
            pending.open_zones.push_back(zone);
        }
    }
    return pending;
}

// Adds the slots that the pending tasks need in certain zones, in addition to the need of their
// team. Returns the number of tasks that were added regardless of the team's quota.
double DemandTracker::add_zone_bound(Time now, const Job& job, const PendingTasks& pending,
                                     Demand& demand) {
    const JobSpec& spec = job.spec;
    const std::vector<std::string>& zones = pending.open_zones;
    double slots = pending.slots_per_task;
    if (zones.size() == 1 && pending.count > 0) {
        demand.zone_bound_slots[zones.front()] += pending.count * slots;
    }
    bool is_bound = spec.kind == JobKind::gang || spec.one_zone || spec.spread || spec.zone;
    std::size_t stuck = stuck_periods(now, job, pending);
    if (!is_bound || stuck == 0) {
        return 0;
    }
    // New machines would be up by now, so there are slots, but not where they are needed. The same
    // number of slots is requested once more, regardless of the team's quota.
    double factor = 1;
    // The slots are requested in one zone at a time, in turn: spread over the zones they may not
    // suffice in any. The same number of slots in the zone may not suffice either, since tasks that
    // do not fill their machines leave up to half of each unused. So the demand grows until there
    // would be twice the slots in every zone. Otherwise a gang can wait for ever: one of 19 tasks
    // of 3 CPUs did so beside 15 empty machines of 8 CPUs, six in one zone and nine in another.
    if (spec.one_zone && zones.size() > 1) {
        factor = static_cast<double>(std::min(stuck, 2 * zones.size()));
        demand.zone_bound_slots[zones[stuck % zones.size()]] += 2 * pending.count * slots;
    }
    (spec.spot ? demand.spot_eligible_slots : demand.on_demand_slots) +=
        factor * pending.count * slots;
    return factor * pending.count;
}

// Returns how many of the pending tasks must run at a time for all to be done within the horizon.
double DemandTracker::concurrent_tasks(const Job& job, const PendingTasks& pending) const {
    const JobSpec& spec = job.spec;
    double horizon_s = policy_.scale_out_horizon_boots * pending.type.boot_s;
    double slots_per_pending = spec.kind == JobKind::service
                                   ? 1
                                   : std::min(1.0, std::max(spec.estimated_run_s, 1.0) / horizon_s);
    return std::ceil(pending.count * slots_per_pending);
}

// Adds the need of the running tasks, and that of as many pending tasks as must run at a time for
// all to be done within the horizon. A task that is longer than the horizon needs its own slots.
void DemandTracker::add_need(const Job& job, const PendingTasks& pending, TeamNeed& need) const {
    const JobSpec& spec = job.spec;
    double tasks = job.placed + concurrent_tasks(job, pending);
    (spec.spot ? need.spot_eligible_slots : need.on_demand_slots) += tasks * pending.slots_per_task;
    need.cpus += tasks * spec.cpus;
    need.gpus += tasks * spec.gpus;
    need.placed_cpus += job.placed * spec.cpus;
    need.placed_gpus += job.placed * spec.gpus;
}

// Returns the fraction of the need that the team's quota admits.
double DemandTracker::quota_fraction(const std::string& team, const TeamNeed& need) const {
    const TeamQuota* quota = quotas_.quota(team);
    double fraction = 1;
    if (quota && quota->max_cpus > 0 && need.cpus > quota->max_cpus) {
        fraction = quota->max_cpus / need.cpus;
    }
    if (quota && quota->max_gpus > 0 && need.gpus > quota->max_gpus) {
        fraction = std::min(fraction, quota->max_gpus / need.gpus);
    }
    return fraction;
}

// Returns the fraction of the pending tasks' need that the team's quota admits beside its placed
// tasks.
double DemandTracker::pending_quota_fraction(const std::string& team, const TeamNeed& need) const {
    const TeamQuota* quota = quotas_.quota(team);
    double fraction = 1;
    if (quota && quota->max_cpus > 0 && need.cpus > quota->max_cpus) {
        fraction = (quota->max_cpus - need.placed_cpus) / (need.cpus - need.placed_cpus);
    }
    if (quota && quota->max_gpus > 0 && need.gpus > quota->max_gpus) {
        fraction = std::min(fraction,
                            (quota->max_gpus - need.placed_gpus) / (need.gpus - need.placed_gpus));
    }
    return std::max(0.0, fraction);
}

// Returns for how many periods, in which a machine boots, the job has had tasks to place.
std::size_t DemandTracker::stuck_periods(Time now, const Job& job, const PendingTasks& pending) {
    double waits_s = job.waiting_since > 0 ? now - job.waiting_since : 0;
    return static_cast<std::size_t>(waits_s / (kStuckBoots * pending.type.boot_s));
}

// Returns whether some of the slots are of no use for the job's pending tasks: of other instance
// types, or whatever slots there are while the tasks wait for longer than a machine boots. The
// tasks of an unreconciled job may be running already.
bool DemandTracker::needs_group(Time now, const Job& job, const PendingTasks& pending) const {
    if (job.unreconciled || pending.count == 0) {
        return false;
    }
    return !types_.all_fit(job.spec) || stuck_periods(now, job, pending) > 0;
}

TaskGroups::Places DemandTracker::places_of(const JobSpec& spec,
                                            const PendingTasks& pending) const {
    TaskGroups::Places places{types_.fitting(spec), {}};
    if (pending.open_zones.size() < settings_.zones.size()) {
        places.zones = pending.open_zones;
        std::sort(places.zones.begin(), places.zones.end());
    }
    return places;
}

// Adds the jobs' pending tasks to the groups, as far as the quotas of their teams admit them, and
// returns the groups.
std::vector<TaskGroup> DemandTracker::task_groups(const std::vector<GroupedJob>& jobs,
                                                  const std::map<std::string, TeamNeed>& needs,
                                                  TaskGroups groups) const {
    for (const auto& job : jobs) {
        const std::string& team = job.spec.team;
        double admitted = job.tasks * pending_quota_fraction(team, needs.at(team));
        double slots = (admitted + job.stuck_tasks) * job.slots_per_task;
        // A team at its limit gets a machine for one task. Without any, each slot of its quota that
        // falls free would go to its other jobs, whose machines are up.
        groups.add(job.spec, job.places, std::max(admitted, kMinTasks) + job.stuck_tasks, slots);
    }
    return groups.all();
}

void DemandTracker::forget_old_arrivals(Time now) {
    while (!arrivals_.empty() &&
           now - arrivals_.front().at > kArrivalLeases * settings_.worker_lease_s) {
        arrivals_.pop_front();
    }
}

Demand DemandTracker::demand(Time now) {
    Demand demand;
    std::map<std::string, TeamNeed> needs;
    std::vector<GroupedJob> grouped_jobs;
    double remaining_slot_s = 0;
    for (const auto& [id, job] : jobs_.all()) {
        if (!job->open() || types_.empty()) {
            continue;
        }
        PendingTasks pending = pending_tasks(*job);
        double stuck_tasks = add_zone_bound(now, *job, pending, demand);
        add_need(*job, pending, needs[job->spec.team]);
        remaining_slot_s += PendingQueue::remaining_s(*job) * pending.slots_per_task;
        if (needs_group(now, *job, pending)) {
            grouped_jobs.push_back({job->spec, places_of(job->spec, pending),
                                    pending.slots_per_task, concurrent_tasks(*job, pending),
                                    stuck_tasks});
        }
    }
    demand.remaining_slot_s = remaining_slot_s;
    forget_old_arrivals(now);
    TaskGroups groups(types_);
    add_projected(now, demand, groups);
    for (const auto& [team, need] : needs) {
        double fraction = quota_fraction(team, need);
        demand.on_demand_slots += need.on_demand_slots * fraction;
        demand.spot_eligible_slots += need.spot_eligible_slots * fraction;
    }
    demand.groups = task_groups(grouped_jobs, needs, std::move(groups));
    return demand;
}

void DemandTracker::update_capacity(Time now) {
    PartitionCapacity& capacity = current_.capacity;
    capacity = {0, 0, cpu_headroom_, accepts_shards_, IdleMachines()};
    for (const auto& [name, machine] : machines_.all()) {
        ++effort_;
        if (!planner_.is_usable(now, machine)) {
            continue;
        }
        (machine.spot ? capacity.spot_slots : capacity.on_demand_slots) += machine.type.slots();
        if (std::size_t parts = idle_parts(machine); parts > 0) {
            ++(*capacity.idle)[pool_of(machine)].at(parts - 1);
        }
    }
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
        capacity_valid_until_ = now + settings_.heartbeat_interval_s / kCapacityUpdatesPerHeartbeat;
        update_capacity(now);
    }
    return current_;
}

void DemandTracker::add_idle(const PartitionCapacity& capacity, ClusterDemand& cluster_demand) {
    for (const auto& [pool, machines] : capacity.idle.value_or(IdleMachines())) {
        for (std::size_t i = 0; i < kIdleParts; ++i) {
            cluster_demand.idle[pool].at(i) += machines.at(i);
        }
    }
}

ClusterDemand DemandTracker::cluster_demand(Time now) {
    ClusterDemand cluster_demand;
    const PartitionDemand& own = current(now);
    cluster_demand.demand = own.demand;
    cluster_demand.complete = true;
    cluster_demand.on_demand_slots = own.capacity.on_demand_slots;
    cluster_demand.spot_slots = own.capacity.spot_slots;
    add_idle(own.capacity, cluster_demand);
    for (const auto& [partition, peer] : peers_) {
        cluster_demand.demand.on_demand_slots += peer.demand.on_demand_slots;
        cluster_demand.demand.spot_eligible_slots += peer.demand.spot_eligible_slots;
        cluster_demand.demand.remaining_slot_s += peer.demand.remaining_slot_s;
        for (const auto& [zone, slots] : peer.demand.zone_bound_slots) {
            cluster_demand.demand.zone_bound_slots[zone] += slots;
        }
        cluster_demand.complete =
            cluster_demand.complete && now - peer.received_at < settings_.heartbeat_interval_s;
        cluster_demand.on_demand_slots += peer.capacity.on_demand_slots;
        cluster_demand.spot_slots += peer.capacity.spot_slots;
        cluster_demand.demand.groups.insert(cluster_demand.demand.groups.end(),
                                            peer.demand.groups.begin(), peer.demand.groups.end());
        add_idle(peer.capacity, cluster_demand);
        cluster_demand.idle_unknown =
            cluster_demand.idle_unknown || (peer.received_at > 0 && !peer.capacity.idle);
    }
    for (const auto& [name, provisioned] : provisioned_) {
        if (const InstanceType* type = types_.find(provisioned.request.type)) {
            (provisioned.request.spot ? cluster_demand.spot_slots
                                      : cluster_demand.on_demand_slots) += type->slots();
            ++cluster_demand.idle[pool_of(provisioned.request)].back();
        }
    }
    return cluster_demand;
}

void DemandTracker::on_peer_demand(Time now, int partition, const Demand& demand,
                                   const PartitionCapacity& capacity) {
    peers_.at(partition) = {now, demand, capacity};
}

void DemandTracker::add_provisioned(Time now, const std::string& machine, const ScaleOut& request) {
    provisioned_[machine] = {request, now};
}

void DemandTracker::expire_provisioned(Time now) {
    std::erase_if(provisioned_, [&](const auto& entry) {
        const Provisioned& provisioned = entry.second;
        const InstanceType* type = types_.find(provisioned.request.type);
        return !type || now - provisioned.since > planner_.boot_timeout_s(*type);
    });
}

} // namespace scheduler
