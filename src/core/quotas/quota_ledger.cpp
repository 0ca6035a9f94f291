#include "core/quotas/quota_ledger.h"

#include <algorithm>
#include <limits>

namespace scheduler {

namespace {
constexpr double kRoundingTolerance = 1e-6;
}

bool TeamQuota::allows(double used_cpus, double used_gpus) const {
    return (max_cpus <= 0 || used_cpus <= max_cpus + kRoundingTolerance) &&
           (max_gpus <= 0 || used_gpus <= max_gpus + kRoundingTolerance);
}

bool TeamQuota::guarantees(double used_cpus, double used_gpus) const {
    return (!limits_cpus() || used_cpus <= guaranteed_cpus + kRoundingTolerance) &&
           (!limits_gpus() || used_gpus <= guaranteed_gpus + kRoundingTolerance);
}

double TeamQuota::limit() const {
    double max_amount = limits_gpus() ? max_gpus : max_cpus;
    return max_amount > 0 ? max_amount : std::numeric_limits<double>::infinity();
}

QuotaLedger::QuotaLedger(const std::vector<TeamQuota>& quotas) {
    for (const auto& quota : quotas) {
        quotas_[quota.name].quota = quota;
    }
}

const TeamQuota* QuotaLedger::quota(const std::string& team) const {
    auto it = quotas_.find(team);
    return it == quotas_.end() ? nullptr : &it->second.quota;
}

void QuotaLedger::configure(const TeamQuota& quota, bool blocked) {
    Team& team = quotas_[quota.name];
    team.quota = quota;
    team.blocked = blocked;
}

double QuotaLedger::total_guarantee() const {
    double sum = 0;
    for (const auto& [name, team] : quotas_) {
        sum += team.quota.amount(team.quota.guaranteed_cpus, team.quota.guaranteed_gpus);
    }
    return sum;
}

QuotaLedger::Excess QuotaLedger::excess(const std::string& team) const {
    auto it = quotas_.find(team);
    if (it == quotas_.end()) {
        return {0, 0};
    }
    const Team& t = it->second;
    auto excess_of = [](double used, double limit) {
        return limit > 0 && used > limit + kRoundingTolerance ? used - limit : 0;
    };
    return {excess_of(t.cpus, t.quota.max_cpus), excess_of(t.gpus, t.quota.max_gpus)};
}

std::vector<std::string> QuotaLedger::teams_over_limit() const {
    std::vector<std::string> out;
    for (const auto& [name, t] : quotas_) {
        if (excess(name).any()) {
            out.push_back(name);
        }
    }
    return out;
}

bool QuotaLedger::fits(const std::string& team, double cpus, double gpus) const {
    auto it = quotas_.find(team);
    if (it == quotas_.end() || !known_ || it->second.blocked) {
        return false;
    }
    const Team& t = it->second;
    return t.quota.allows(t.cpus + t.unreconciled_cpus + cpus, t.gpus + t.unreconciled_gpus + gpus);
}

bool QuotaLedger::within_guarantee(const std::string& team, double cpus, double gpus) const {
    auto it = quotas_.find(team);
    if (it == quotas_.end()) {
        return false;
    }
    const Team& t = it->second;
    return t.quota.guarantees(t.cpus + cpus, t.gpus + gpus);
}

double QuotaLedger::entitled_amount(const std::string& team) const {
    auto it = quotas_.find(team);
    if (it == quotas_.end()) {
        return 0;
    }
    const Team& t = it->second;
    return std::max(t.quota.amount(t.cpus, t.gpus),
                    t.quota.amount(t.quota.guaranteed_cpus, t.quota.guaranteed_gpus));
}

void QuotaLedger::set_unreconciled_usage(
    const std::map<std::string, UnreconciledUsage>& usage_by_team) {
    for (auto& [name, t] : quotas_) {
        auto it = usage_by_team.find(name);
        bool reconciled = it == usage_by_team.end();
        t.unreconciled_cpus = reconciled ? 0 : it->second.cpus;
        t.unreconciled_gpus = reconciled ? 0 : it->second.gpus;
    }
}

void QuotaLedger::add_usage(const std::string& team, double cpus, double gpus) {
    quotas_[team].cpus += cpus;
    quotas_[team].gpus += gpus;
}

void QuotaLedger::remove_usage(const std::string& team, double cpus, double gpus) {
    quotas_[team].cpus -= cpus;
    quotas_[team].gpus -= gpus;
}

} // namespace scheduler
