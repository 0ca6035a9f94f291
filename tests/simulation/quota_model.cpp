#include "simulation/quota_model.h"

#include <algorithm>
#include <cstdlib>

#include "core/model/partition_assignment.h"
#include "simulation/cluster_setup.h"

namespace scheduler::test {

namespace {
// Tolerance for rounding errors in sums of CPUs.
constexpr double kRoundingError = 1e-6;
} // namespace

QuotaModel::QuotaModel(const SimulationOptions& options, EventQueue& clock,
                       const WorkerModel& workers, KvStoreModel& store,
                       HistoryChecker& history_checker)
    : options_(options), clock_(clock), workers_(workers), store_(store),
      history_checker_(history_checker) {
    for (const auto& team : team_quotas(options_)) {
        limits_[team.name].quota = team;
    }
}

bool QuotaModel::configure(const TeamQuota& quota, double late_s) {
    if (store_.down()) {
        return false;
    }
    if (late_s > 0) {
        clock_.after(late_s, [this, quota] { configure(quota, 0); });
        return true;
    }
    store_.put(kQuotaConfigPrefix + quota.name, QuotaRecord{quota});
    written(quota, store_.revision());
    store_.fire_watches();
    return true;
}

int QuotaModel::configure_if_version(const TeamQuota& quota, std::uint64_t version) {
    if (store_.down()) {
        return 503;
    }
    std::string key = kQuotaConfigPrefix + quota.name;
    OutboundResponse response =
        store_.transact({{{key, version}}, {{key, QuotaRecord{quota}, {}}}});
    if (response.status == 200) {
        written(quota, response.revision);
        store_.fire_watches();
    }
    return response.status;
}

void QuotaModel::written(const TeamQuota& quota, std::uint64_t revision) {
    Limit& limit = limits_.at(quota.name);
    if (quota.limit() < limit.quota.limit()) {
        double& before = limit.before[clock_.now() - outage_s_ + options_.cancel_s];
        before = std::max(before, limit.quota.limit());
    }
    limit.quota = quota;
    written_[revision] = {quota.name, clock_.now()};
    history_checker_.configured(quota);
}

// Ignores revisions that a later change has replaced: a controller may have applied both at once.
void QuotaModel::record_applied(const std::string& line) {
    static const std::string kRevision = " revision=";
    const char* revision = line.c_str() + line.find(kRevision) + kRevision.size();
    auto found = written_.find(std::strtoull(revision, nullptr, 10));
    if (found != written_.end()) {
        quota_delays_s_.push_back(clock_.now() - found->second.when);
    }
}

void QuotaModel::check() {
    if (store_.down()) {
        outage_s_ += kCheckS;
    }
    for (const auto& [team, amount] : used_by_team()) {
        check(team, amount);
    }
}

void QuotaModel::check(const std::string& team, double used) {
    auto known = limits_.find(team);
    if (known == limits_.end()) {
        return; // not in the settings: the job was accepted under earlier ones
    }
    Limit& limit = known->second;
    // Controllers that had not learned of a change before an outage cannot do so during it, so
    // outages extend the time for which earlier limits count.
    std::erase_if(limit.before,
                  [&](const auto& lowered) { return clock_.now() - outage_s_ > lowered.first; });
    double most = limit.quota.limit();
    for (const auto& [until, before] : limit.before) {
        most = std::max(most, before);
    }
    if (used > most + kRoundingError) {
        history_checker_.broken.push_back("quota " + team + " uses " + std::to_string(used) +
                                          " of " + std::to_string(most));
    }
}

std::map<std::string, double> QuotaModel::used_by_team() const {
    std::map<std::string, double> used;
    for (const auto& [name, worker] : workers_.all()) {
        for (const auto& [task, state] : worker.tasks) {
            if (history_checker_.knows(task.job) && on_machine(state.stage)) {
                const JobSpec& spec = history_checker_.spec(task.job);
                used[spec.team] += options_.gpus ? spec.gpus : spec.cpus;
            }
        }
    }
    return used;
}

double QuotaModel::used(const std::string& team) const {
    auto used = used_by_team();
    auto found = used.find(team);
    return found == used.end() ? 0 : found->second;
}

} // namespace scheduler::test
