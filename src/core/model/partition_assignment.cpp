#include "core/model/partition_assignment.h"

#include <algorithm>
#include <tuple>

namespace scheduler {

std::uint64_t stable_hash(const std::string& text) {
    std::uint64_t h = 14695981039346656037ULL;
    for (unsigned char c : text) {
        h = (h ^ c) * 1099511628211ULL;
    }
    h ^= h >> 33;
    h *= 0xff51afd7ed558ccdULL;
    return h ^ (h >> 33);
}

int partition_of_machine(const ClusterSettings& settings, const std::string& machine,
                         const std::string& zone) {
    int n = static_cast<int>(settings.partitions.size());
    bool near = std::any_of(settings.partitions.begin(), settings.partitions.end(),
                            [&](const PartitionSettings& p) { return p.zone == zone; });
    int best = 0;
    std::uint64_t best_hash = 0;
    bool any = false;
    for (int p = 0; p < n; ++p) {
        if (near && settings.partitions[p].zone != zone) {
            continue;
        }
        std::uint64_t h = stable_hash(machine + "/" + settings.partitions[p].node);
        if (!any || h > best_hash) {
            any = true;
            best = p;
            best_hash = h;
        }
    }
    return best;
}

std::map<std::string, int> partitions_of_teams(const ClusterSettings& settings) {
    std::vector<const TeamQuota*> teams;
    for (const auto& quota : settings.teams) {
        teams.push_back(&quota);
    }
    double cpus = 0;
    double gpus = 0;
    for (const auto* quota : teams) {
        cpus += quota->guaranteed_cpus;
        gpus += quota->guaranteed_gpus;
    }
    // What a team is guaranteed of all that is; a little more, so that teams without a guarantee
    // are spread as well.
    auto shard = [&](const TeamQuota& quota) {
        return quota.guaranteed_cpus / std::max(1.0, cpus) +
               quota.guaranteed_gpus / std::max(1.0, gpus) + 1 / std::max(1.0, cpus + gpus);
    };
    std::sort(teams.begin(), teams.end(), [&](const TeamQuota* a, const TeamQuota* b) {
        double of_a = shard(*a);
        double of_b = shard(*b);
        return std::tie(of_b, a->name) < std::tie(of_a, b->name);
    });
    std::vector<double> load(std::max<std::size_t>(1, settings.partitions.size()), 0);
    std::map<std::string, int> out;
    for (const auto* quota : teams) { // the largest first, each to the part with the least so far
        auto least = std::min_element(load.begin(), load.end());
        out.emplace(quota->name, static_cast<int>(least - load.begin()));
        *least += shard(*quota);
    }
    return out;
}

int partition_of_team(const ClusterSettings& settings, const std::string& team) {
    auto partitions = partitions_of_teams(settings);
    auto it = partitions.find(team);
    return it == partitions.end() ? -1 : it->second;
}

} // namespace scheduler
