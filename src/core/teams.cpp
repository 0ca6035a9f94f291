#include "core/teams.h"

#include <algorithm>

namespace orchidlanding {

namespace {
constexpr double kRounding = 1e-6;
}

Teams::Teams(const std::vector<TeamFacts>& facts) {
    for (const auto& f : facts) {
        teams_[f.name].facts = f;
    }
}

const TeamFacts* Teams::facts(const std::string& team) const {
    auto it = teams_.find(team);
    return it == teams_.end() ? nullptr : &it->second.facts;
}

bool Teams::fits(const std::string& team, double cpus, double gpus) const {
    auto it = teams_.find(team);
    if (it == teams_.end()) {
        return false;
    }
    const Team& t = it->second;
    return t.cpus + cpus <= t.facts.cpus_max + kRounding &&
           t.gpus + gpus <= t.facts.gpus_max + kRounding;
}

bool Teams::within_guarantee(const std::string& team, double cpus, double gpus) const {
    auto it = teams_.find(team);
    if (it == teams_.end()) {
        return false;
    }
    const Team& t = it->second;
    return t.cpus + cpus <= t.facts.cpus + kRounding && t.gpus + gpus <= t.facts.gpus + kRounding;
}

double Teams::expected_cpus(const std::string& team) const {
    auto it = teams_.find(team);
    return it == teams_.end() ? 0 : std::max(it->second.cpus, it->second.facts.cpus);
}

void Teams::use(const std::string& team, double cpus, double gpus) {
    teams_[team].cpus += cpus;
    teams_[team].gpus += gpus;
}

void Teams::free(const std::string& team, double cpus, double gpus) {
    teams_[team].cpus -= cpus;
    teams_[team].gpus -= gpus;
}

} // namespace orchidlanding
