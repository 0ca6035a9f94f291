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

void GangModel::stop_received(const std::string& job, std::uint64_t attempt) {
    Time& first_stop_at = attempts_[{job, attempt}].first_stop_at;
    first_stop_at = first_stop_at > 0 ? first_stop_at : clock_.now();
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
    Attempt& attempt = attempts_[key];
    bool complete = members.size() == history_checker_.spec(key.job).tasks;
    if (!attempt.ran) {
        assemble(key, attempt, members, complete);
    } else if (complete && all_saved(members)) {
        ++save_counts_[key.job];
        for (const auto& member : members) {
            exit_member(member, ExitReason::stopped);
        }
    } else if (complete && attempt.first_stop_at == 0 && clock_.now() >= attempt.end) {
        for (const auto& member : members) {
            workers_->complete(member.task);
            exit_member(member, ExitReason::done);
        }
    } else if (!complete || attempt.first_stop_at > 0) {
        detect_lost_member(attempt, members);
    }
}

void GangModel::assemble(const AttemptKey& key, Attempt& attempt, const Members& members,
                         bool complete) {
    for (const auto& member : members) {
        if (complete) {
            workers_->run(member.worker->name, member.task);
            changed_.insert(member.worker->name);
        } else if (clock_.now() - member.state().stage_since > kGangWaitS) {
            exit_member(member, ExitReason::gang_incomplete);
        }
    }
    if (complete) {
        attempt.ran = true;
        attempt.end = clock_.now() + options_.run_s;
        ++run_counts_[key.job];
    }
}

void GangModel::detect_lost_member(Attempt& attempt, const Members& members) {
    attempt.member_lost_at = attempt.member_lost_at > 0 ? attempt.member_lost_at : clock_.now();
    Time since = attempt.first_stop_at > 0 ? attempt.first_stop_at : attempt.member_lost_at;
    if (clock_.now() - since > kGangMemberLostS) {
        for (const auto& member : members) {
            exit_member(member, ExitReason::gang_member_lost);
        }
    }
}

bool GangModel::all_saved(const Members& members) const {
    return std::all_of(members.begin(), members.end(), [this](const Member& member) {
        return member.state().stage == TaskStage::saving &&
               clock_.now() >= member.state().next_change;
    });
}

void GangModel::exit_member(const Member& member, ExitReason exit_reason) {
    workers_->exit(member.worker->name, member.task, exit_reason);
    changed_.insert(member.worker->name);
}

} // namespace scheduler::test
