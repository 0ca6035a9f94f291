#include "core/model/partition_assignment.h"

#include <algorithm>
#include <tuple>

namespace scheduler {

namespace {
// FNV-1a of 64 bits, and the first step of the final mix of MurmurHash3.
constexpr std::uint64_t kFnvOffsetBasis = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
constexpr std::uint64_t kMixMultiplier = 0xff51afd7ed558ccdULL;
constexpr int kMixShift = 33;
} // namespace

std::uint64_t stable_hash(const std::string& text) {
    std::uint64_t hash = kFnvOffsetBasis;
    for (unsigned char c : text) {
        hash = (hash ^ c) * kFnvPrime;
    }
    hash ^= hash >> kMixShift;
    hash *= kMixMultiplier;
    return hash ^ (hash >> kMixShift);
}

int partition_of_machine(const ClusterSettings& settings, const std::string& machine,
                         const std::string& zone) {
    int count = static_cast<int>(settings.partitions.size());
    bool zone_has_partition =
        std::any_of(settings.partitions.begin(), settings.partitions.end(),
                    [&](const PartitionSettings& partition) { return partition.zone == zone; });
    int best = 0;
    std::uint64_t best_hash = 0;
    bool found = false;
    for (int partition = 0; partition < count; ++partition) {
        if (zone_has_partition && settings.partitions[partition].zone != zone) {
            continue;
        }
        std::uint64_t hash = stable_hash(machine + "/" + settings.partitions[partition].node);
        if (!found || hash > best_hash) {
            found = true;
            best = partition;
            best_hash = hash;
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
    // The team's proportion of all guarantees. The last term is a small constant so that teams
    // without a guarantee are balanced as well.
    auto weight = [&](const TeamQuota& quota) {
        return quota.guaranteed_cpus / std::max(1.0, cpus) +
               quota.guaranteed_gpus / std::max(1.0, gpus) + 1 / std::max(1.0, cpus + gpus);
    };
    std::sort(teams.begin(), teams.end(), [&](const TeamQuota* a, const TeamQuota* b) {
        double weight_a = weight(*a);
        double weight_b = weight(*b);
        return std::tie(weight_b, a->name) < std::tie(weight_a, b->name);
    });
    std::vector<double> load(std::max<std::size_t>(1, settings.partitions.size()), 0);
    std::map<std::string, int> out;
    // Greedy: in descending order of weight, each team goes to the partition with the least load.
    for (const auto* quota : teams) {
        auto least = std::min_element(load.begin(), load.end());
        out.emplace(quota->name, static_cast<int>(least - load.begin()));
        *least += weight(*quota);
    }
    return out;
}

int partition_of_team(const ClusterSettings& settings, const std::string& team) {
    auto partitions = partitions_of_teams(settings);
    auto it = partitions.find(team);
    return it == partitions.end() ? -1 : it->second;
}

} // namespace scheduler
