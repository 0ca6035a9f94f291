#include "core/model/shards.h"

#include <algorithm>

#include "core/model/partition_assignment.h"

namespace scheduler {

namespace {
// A shard is at most a twentieth of all machines, and at most a quarter of a partition's own.
constexpr int kMinShardsOfCluster = 20;
constexpr int kMinShardsOfPartition = 4;
} // namespace

std::string to_string(const ShardId& shard) {
    return std::to_string(shard.home_partition) + "/" + std::to_string(shard.number);
}

int shards_per_home(const ClusterSettings& settings, int home) {
    const std::string& zone = settings.partitions[static_cast<std::size_t>(home)].zone;
    // Partitions that the machines of the zone are divided among.
    auto zone_partitions =
        static_cast<int>(std::count_if(settings.partitions.begin(), settings.partitions.end(),
                                       [&](const auto& p) { return p.zone == zone; }));
    return std::max(kMinShardsOfPartition,
                    (kMinShardsOfCluster + zone_partitions - 1) / zone_partitions);
}

std::vector<ShardId> all_shards(const ClusterSettings& settings) {
    std::vector<ShardId> all;
    for (int home = 0; home < static_cast<int>(settings.partitions.size()); ++home) {
        for (int number = 0; number < shards_per_home(settings, home); ++number) {
            all.push_back({home, number});
        }
    }
    return all;
}

ShardId shard_at_home(const ClusterSettings& settings, int home, const std::string& machine) {
    // Not a text that decides any home, so that shard and home are independent of each other.
    std::uint64_t hash = stable_hash("share/" + machine);
    return {home,
            static_cast<int>(hash % static_cast<std::uint64_t>(shards_per_home(settings, home)))};
}

ShardId shard_of_machine(const ClusterSettings& settings, const std::string& machine,
                         const std::string& zone) {
    return shard_at_home(settings, partition_of_machine(settings, machine, zone), machine);
}

ShardHolders reassign_shards(const ShardHolders& now, int partition, const std::vector<int>& takers,
                             std::size_t most) {
    std::map<int, int> held;
    for (int taker : takers) {
        held[taker] = 0;
    }
    for (const auto& [home, holders] : now) {
        for (int holder : holders) {
            if (auto it = held.find(holder); it != held.end()) {
                ++it->second;
            }
        }
    }
    ShardHolders changed;
    for (const auto& [home, holders] : now) {
        if (held.empty() || changed.size() == most ||
            std::find(holders.begin(), holders.end(), partition) == holders.end()) {
            continue;
        }
        std::vector<int>& next = changed.emplace(home, holders).first->second;
        for (int& holder : next) {
            if (holder != partition) {
                continue;
            }
            auto least =
                std::min_element(held.begin(), held.end(),
                                 [](const auto& a, const auto& b) { return a.second < b.second; });
            holder = least->first;
            ++least->second;
        }
    }
    return changed;
}

} // namespace scheduler
