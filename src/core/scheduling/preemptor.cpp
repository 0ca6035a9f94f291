#include "core/scheduling/preemptor.h"

#include <algorithm>
#include <cmath>

#include "core/stealing/slot_lender.h"

namespace scheduler {

namespace {

struct Victim { // a task that may be stopped, ordered by its run time so far
    double run_s = 0;
    TaskId task;
    auto operator<=>(const Victim&) const = default;
};

struct FreeResources {
    double cpus = 0;
    double gpus = 0;
    double ram_gb = 0;

    bool covers(const JobSpec& spec) const {
        return cpus >= spec.cpus && gpus >= spec.gpus && ram_gb >= spec.ram_gb;
    }
    void subtract(const JobSpec& spec) {
        cpus -= spec.cpus;
        gpus -= spec.gpus;
        ram_gb -= spec.ram_gb;
    }
    void add(const Placement& placement) {
        cpus += placement.cpus;
        gpus += placement.gpus;
        ram_gb += placement.ram_gb;
    }
};

// Returns the tasks on the machine that may be stopped for the job, shortest run time so far first.
std::vector<Victim> find_victims(Time now, const Machine& machine, const JobSpec& spec,
                                 bool within_guarantee) {
    std::vector<Victim> victims;
    for (const auto& [task, placement] : machine.tasks) {
        bool is_preemptible =
            placement.priority > spec.priority || (within_guarantee && placement.over_guarantee);
        bool must_stay = placement.launch_state != Placement::LaunchState::reported ||
                         placement.kind != JobKind::array || placement.stage == TaskStage::saving ||
                         placement.resources_unknown;
        if (is_preemptible && !must_stay) {
            bool is_running = placement.stage == TaskStage::running;
            victims.push_back({is_running ? now - placement.running_since : 0, task});
        }
    }
    std::sort(victims.begin(), victims.end());
    return victims;
}

// Returns up to `max_options` options on the machine, each for one task. An option lists only the
// victims that it needs in addition to those of the options before it.
std::vector<PreemptionOption> options_on(Machine& machine, const JobSpec& spec,
                                         const std::vector<Victim>& victims,
                                         std::size_t max_options) {
    FreeResources free{machine.free_cpus(), machine.free_gpus(), machine.free_ram()};
    double fetch_s = machine.fetch_s(spec.image, spec.image_gb);
    std::vector<PreemptionOption> options;
    PreemptionOption option{fetch_s, &machine, {}};
    auto next = victims.begin();
    while (options.size() < max_options) {
        if (free.covers(spec)) {
            free.subtract(spec);
            options.push_back(std::move(option));
            option = PreemptionOption{fetch_s, &machine, {}};
            continue;
        }
        if (next == victims.end()) {
            break;
        }
        free.add(machine.tasks.at(next->task));
        option.cost_s += next->run_s;
        option.victims.push_back(next->task);
        ++next;
    }
    return options;
}

bool is_cheaper(const PreemptionOption& a, const PreemptionOption& b) {
    if (a.cost_s != b.cost_s) {
        return a.cost_s < b.cost_s;
    }
    return a.victims.size() < b.victims.size();
}

const std::string& job_id(const PendingJob& candidate) {
    return candidate.slot_request ? candidate.slot_request->job : candidate.job->spec.id;
}
} // namespace

void Preemptor::preempt_for_pending_jobs(Time now) {
    std::erase_if(retry_at_, [&](const auto& entry) { return now > entry.second; });
    for (const PendingJob& candidate : queue_.ordered(now)) {
        const std::string& id = job_id(candidate);
        if (!may_preempt_for(candidate) || retry_at_.contains(id)) {
            continue;
        }
        retry_at_[id] = now + settings_.heartbeat_interval_s;
        preempt_for_candidate(now, candidate);
    }
}

// Returns whether tasks may be stopped for the pending job. Jobs beyond their team's guarantee
// qualify only with production priority.
bool Preemptor::may_preempt_for(const PendingJob& candidate) {
    if (candidate.kind == JobKind::array ||
        (candidate.over_guarantee && candidate.priority != Priority::production)) {
        return false;
    }
    const SlotRequest* request = candidate.slot_request;
    return !request || (request->preempt && !request->accepts_partial && request->count > 0);
}

void Preemptor::preempt_for_candidate(Time now, const PendingJob& candidate) {
    bool within_guarantee = !candidate.over_guarantee;
    if (const SlotRequest* request = candidate.slot_request) {
        JobSpec spec = requested_resources(*request);
        preempt_for(now, {spec, request->count, within_guarantee, nullptr});
        return;
    }
    Job& job = *candidate.job;
    const JobSpec& spec = job.spec;
    bool fits_quota = spec.kind == JobKind::gang ? gang_fits_quota(quotas_, job)
                                                 : quotas_.fits(spec.team, spec.cpus, spec.gpus);
    if (fits_quota) {
        bool preempted = preempt_for(now, {spec, job.waiting.size(), within_guarantee, &job});
        job.needs_preemption = !preempted || spec.spread;
    }
}

// Stops the tasks of the cheapest plan and reserves the machines for the job for one heartbeat
// interval. Returns false if there is no plan. If the job requires one zone, all machines of a plan
// are in the same zone.
bool Preemptor::preempt_for(Time now, const Demand& demand) {
    std::optional<Plan> plan = cheapest_plan(demand, options_by_zone(now, demand));
    if (!plan) {
        return false;
    }
    std::size_t stopped = stop_victims(now, demand.spec, *plan);
    requests_.log(LogLevel::info, "event=tasks_preempted job=" + demand.spec.id +
                                      " tasks=" + std::to_string(demand.tasks) +
                                      " stopped=" + std::to_string(stopped) +
                                      " cost_s=" + std::to_string(std::llround(plan->cost_s)));
    return true;
}

bool Preemptor::is_eligible(const Machine& machine, const Demand& demand) const {
    const JobSpec& spec = demand.spec;
    return slot_finder_.is_schedulable(machine) && machine.command_in_flight == 0 &&
           machine.reserved_for.empty() && (!machine.spot || spec.spot) &&
           spec.allows_type(machine.type.name) && (!spec.zone || *spec.zone == machine.zone) &&
           (!demand.job || demand.job->allows_zone(machine.zone));
}

// Returns the options by zone, or all of them under an empty zone name if the job's tasks need not
// share a zone.
Preemptor::OptionsByZone Preemptor::options_by_zone(Time now, const Demand& demand) {
    OptionsByZone by_zone;
    for (auto& [name, machine] : machines_.all()) {
        ++effort_;
        if (!is_eligible(machine, demand)) {
            continue;
        }
        auto victims = find_victims(now, machine, demand.spec, demand.within_guarantee);
        auto options = options_on(machine, demand.spec, victims, demand.tasks);
        auto& in_zone = by_zone[demand.spec.one_zone ? machine.zone : ""];
        std::move(options.begin(), options.end(), std::back_inserter(in_zone));
    }
    return by_zone;
}

// Returns the plan with the lowest cost. A plan for a gang covers all of its tasks.
std::optional<Preemptor::Plan> Preemptor::cheapest_plan(const Demand& demand,
                                                        OptionsByZone&& by_zone) {
    std::optional<Plan> best;
    bool all_or_nothing = demand.spec.kind == JobKind::gang;
    for (auto& [zone, options] : by_zone) {
        // A machine's options are in the order of their cost and depend on the ones before them, so
        // that taking the cheapest of all machines never skips one.
        std::stable_sort(options.begin(), options.end(), is_cheaper);
        if (options.size() > demand.tasks) {
            options.resize(demand.tasks);
        }
        double cost_s = 0;
        for (const auto& option : options) {
            cost_s += option.cost_s;
        }
        bool enough = all_or_nothing ? options.size() == demand.tasks : true;
        if (enough && !options.empty() && (!best || cost_s < best->cost_s)) {
            best = Plan{std::move(options), cost_s};
        }
    }
    return best;
}

// Reserves the machines of the plan and queues the stop commands. Returns the number of stopped
// tasks.
std::size_t Preemptor::stop_victims(Time now, const JobSpec& spec, const Plan& plan) {
    std::size_t stopped = 0;
    for (const auto& option : plan.options) {
        Machine& machine = *option.machine;
        machine.reserved_for = spec.id;
        machine.reserved_until = now + settings_.heartbeat_interval_s;
        reserved_machines_.insert(machine.name);
        for (const auto& task : option.victims) {
            machines_.queue_stop(machine, task, machine.tasks.at(task).attempt, 0);
            ++stopped;
        }
    }
    return stopped;
}

void Preemptor::expire_reservations(Time now) {
    std::erase_if(reserved_machines_, [&](const std::string& name) {
        Machine* machine = machines_.find(name);
        if (machine && now <= machine->reserved_until) {
            return false;
        }
        if (machine) {
            machine->reserved_for.clear();
        }
        return true;
    });
}

} // namespace scheduler
