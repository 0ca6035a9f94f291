#include "simulation/queries.h"

#include <utility>

#include "core/model/partition_assignment.h"
#include "simulation/cluster_setup.h"

namespace scheduler::test {

namespace {
using OpenJobs = std::map<std::string, HistoryChecker::WaitingJob>;
// CPUs and GPUs in use by team, in the form that the history checker takes.
using UsedByTeam = std::map<std::string, std::pair<double, double>>;

bool holds(const Worker& worker, const TaskId& task) {
    auto found = worker.tasks.find(task);
    return found != worker.tasks.end() && found->second.stage != TaskStage::exited;
}

OpenJobs open_jobs(const KvStoreModel& store, const HistoryChecker& history_checker) {
    OpenJobs jobs;
    for (const auto& [id, outcome] : job_outcomes(store)) {
        if (outcome != Outcome::none || !history_checker.knows(id)) {
            continue;
        }
        HistoryChecker::WaitingJob& job = jobs[id];
        job = {id, history_checker.spec(id).tasks, {}};
        for (std::uint32_t index = 0; index < history_checker.spec(id).tasks; ++index) {
            job.waiting -= history_checker.done({id, index});
        }
    }
    return jobs;
}

// Returns the free capacity of the machine, and subtracts its tasks from the waiting ones of
// `jobs`.
HistoryChecker::FreeCapacity free_capacity_of(const Worker& worker,
                                              const HistoryChecker& history_checker, OpenJobs& jobs,
                                              UsedByTeam& used) {
    const InstanceType& type = worker.type;
    HistoryChecker::FreeCapacity capacity{worker.zone, worker.spot, &type,
                                          type.cpus,   type.gpus,   type.ram_gb};
    for (const auto& [task, state] : worker.tasks) {
        if (state.stage == TaskStage::exited) {
            continue;
        }
        const JobSpec& spec = history_checker.spec(task.job);
        capacity.cpus -= spec.cpus;
        capacity.gpus -= spec.gpus;
        capacity.ram_gb -= spec.ram_gb;
        used[spec.team].first += spec.cpus;
        used[spec.team].second += spec.gpus;
        if (auto job = jobs.find(task.job); job != jobs.end()) {
            job->second.waiting -= !history_checker.done(task);
            ++job->second.in_zone[worker.zone];
        }
    }
    return capacity;
}

bool usable(const Worker& worker, Time now) {
    return worker.up && !worker.dead && !worker.cut && !worker.cut_inbound &&
           !worker.cut_outbound && now >= worker.hung_until && worker.preempted_at == 0;
}
} // namespace

int leader_of(const KvStoreModel& store, int partition) {
    auto found = store.entries().find("part/" + std::to_string(partition));
    if (found == store.entries().end()) {
        return -1;
    }
    return controller_number(std::get<PartitionRecord>(found->second.record).node);
}

std::map<std::string, Outcome> job_outcomes(const KvStoreModel& store) {
    static const std::string kPrefix = "job/";
    std::map<std::string, Outcome> outcomes;
    for (const auto& [key, entry] : store.entries()) {
        const auto* job = std::get_if<JobRecord>(&entry.record);
        if (job && key.starts_with(kPrefix)) {
            outcomes[key.substr(kPrefix.size())] = job->outcome;
        }
    }
    return outcomes;
}

std::vector<std::string> machines_up(const Workers& workers) {
    std::vector<std::string> up;
    for (const auto& [name, worker] : workers) {
        if (worker.up && !worker.dead) {
            up.push_back(name);
        }
    }
    return up;
}

std::set<std::string> machines_of(const Workers& workers, const TaskId& task) {
    std::set<std::string> machines;
    for (const auto& [name, worker] : workers) {
        if (holds(worker, task)) {
            machines.insert(name);
        }
    }
    return machines;
}

std::uint64_t attempt_of(const Workers& workers, const TaskId& task) {
    for (const auto& [name, worker] : workers) {
        if (holds(worker, task)) {
            return worker.tasks.at(task).attempt;
        }
    }
    return 0;
}

std::string describe(const Workers& workers, const JobSpec& spec) {
    std::string text = " kind " + std::to_string(static_cast<int>(spec.kind)) + " tasks " +
                       std::to_string(spec.tasks) + " cpus " + std::to_string(spec.cpus) +
                       " gpus " + std::to_string(spec.gpus) + (spec.one_zone ? " one_zone" : "") +
                       (spec.spread ? " spread" : "") + (spec.spot ? " spot" : "");
    for (const auto& [name, worker] : workers) {
        text += "\n" + name + " " + worker.zone + (worker.spot ? " spot" : "") +
                (worker.up ? "" : " booting") + (worker.dead ? " dead" : "") +
                (worker.cut ? " cut" : "");
        for (const auto& [task, state] : worker.tasks) {
            text += " " + task.job + "/" + std::to_string(task.index) + ":" +
                    std::to_string(static_cast<int>(state.stage));
        }
    }
    return text;
}

void observe_waiting(Time now, const KvStoreModel& store, const Workers& workers,
                     HistoryChecker& history_checker) {
    OpenJobs jobs = open_jobs(store, history_checker);
    UsedByTeam used;
    std::vector<HistoryChecker::FreeCapacity> free_capacity;
    for (const auto& [name, worker] : workers) {
        HistoryChecker::FreeCapacity capacity =
            free_capacity_of(worker, history_checker, jobs, used);
        if (usable(worker, now)) {
            free_capacity.push_back(capacity);
        }
    }
    std::vector<HistoryChecker::WaitingJob> waiting;
    for (const auto& [id, job] : jobs) {
        if (job.waiting > 0) {
            waiting.push_back(job);
        }
    }
    history_checker.observe_capacity(now, free_capacity, waiting, used);
}

} // namespace scheduler::test
