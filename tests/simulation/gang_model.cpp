/// @file
/// Gangs: see gang_model.h.
#include "simulation/gang_model.h"

#include <algorithm>
#include <utility>

#include "simulation/cluster_setup.h"
#include "simulation/worker_model.h"

namespace scheduler::test {

namespace {
int count_of(const std::map<std::string, int>& counts, const std::string& job) {
    auto found = counts.find(job);
    return found == counts.end() ? 0 : found->second;
}
} // namespace

GangModel::GangModel(const SimulationOptions& options, const EventQueue& clock,
                     const HistoryChecker& history_checker)
    : options_(options), clock_(clock), history_checker_(history_checker) {}

int GangModel::runs(const std::string& job) const { return count_of(run_counts_, job); }

int GangModel::saves(const std::string& job) const { return count_of(save_counts_, job); }

void GangModel::stop_seen(const std::string& job, std::uint64_t attempt) {
    Run& run = runs_[{job, attempt}];
    run.first_stop = run.first_stop > 0 ? run.first_stop : clock_.now();
}

std::set<std::string> GangModel::step(WorkerModel& workers) {
    workers_ = &workers;
    for (const auto& [key, members] : members_by_attempt(workers.all())) {
        advance(key, members);
    }
    workers_ = nullptr;
    return std::exchange(changed_, {});
}

std::map<GangModel::AttemptKey, GangModel::Members>
GangModel::members_by_attempt(const Workers& workers) const {
    std::map<AttemptKey, Members> gangs;
    for (const auto& [name, worker] : workers) {
        for (const auto& [task, state] : worker.tasks) {
            bool runs_here =
                !worker.dead && on_machine(state.stage) && clock_.now() >= worker.hung_until;
            if (runs_here && history_checker_.spec(task.job).kind == JobKind::gang) {
                gangs[{task.job, state.attempt}].push_back({&worker, task});
            }
        }
    }
    return gangs;
}

void GangModel::advance(const AttemptKey& key, const Members& members) {
    Run& run = runs_[key];
    bool whole = members.size() == history_checker_.spec(key.job).tasks;
    if (!run.ran) {
        assemble(key, run, members, whole);
    } else if (whole && all_saved(members)) {
        ++save_counts_[key.job];
        for (const auto& member : members) {
            leave(member, ExitReason::stopped);
        }
    } else if (whole && run.first_stop == 0 && clock_.now() >= run.end) {
        for (const auto& member : members) {
            workers_->complete(member.task);
            leave(member, ExitReason::done);
        }
    } else if (!whole || run.first_stop > 0) {
        notice_loss(run, members);
    }
}

void GangModel::assemble(const AttemptKey& key, Run& run, const Members& members, bool whole) {
    for (const auto& member : members) {
        if (whole) {
            workers_->run(member.worker->name, member.task);
            changed_.insert(member.worker->name);
        } else if (clock_.now() - member.state().since > kGangWaitS) {
            leave(member, ExitReason::gang_incomplete);
        }
    }
    if (whole) {
        run.ran = true;
        run.end = clock_.now() + options_.run_s;
        ++run_counts_[key.job];
    }
}

void GangModel::notice_loss(Run& run, const Members& members) {
    run.mate_lost = run.mate_lost > 0 ? run.mate_lost : clock_.now();
    Time since = run.first_stop > 0 ? run.first_stop : run.mate_lost;
    if (clock_.now() - since > kGangPeerS) {
        for (const auto& member : members) {
            leave(member, ExitReason::gang_member_lost);
        }
    }
}

bool GangModel::all_saved(const Members& members) const {
    return std::all_of(members.begin(), members.end(), [this](const Member& member) {
        return member.state().stage == TaskStage::saving && clock_.now() >= member.state().next;
    });
}

void GangModel::leave(const Member& member, ExitReason why) {
    workers_->exit(member.worker->name, member.task, why);
    changed_.insert(member.worker->name);
}

} // namespace scheduler::test
