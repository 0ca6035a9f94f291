#include "core/model/shards.h"

#include <algorithm>

#include "core/model/partition_assignment.h"

namespace scheduler {

namespace {
// A shard has at most 1/20 of all machines and at most 1/4 of the machines of its home partition.
constexpr int kMinShardsOfCluster = 20;
constexpr int kMinShardsOfPartition = 4;
} // namespace

std::string to_string(const ShardId& shard) {
    return std::to_string(shard.home_partition) + "/" + std::to_string(shard.number);
}

int shards_per_home(const ClusterSettings& settings, int home) {
    const std::string& zone = settings.partitions[static_cast<std::size_t>(home)].zone;
    // The number of partitions that share the machines of the zone.
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
    // The prefix keeps the hash independent of the one that selects the home partition.
    std::uint64_t hash = stable_hash("share/" + machine);
    return {home,
            static_cast<int>(hash % static_cast<std::uint64_t>(shards_per_home(settings, home)))};
}

ShardId shard_of_machine(const ClusterSettings& settings, const std::string& machine,
                         const std::string& zone) {
    return shard_at_home(settings, partition_of_machine(settings, machine, zone), machine);
}

ShardHolders reassign_shards(const ShardHolders& current, int partition,
                             const std::vector<int>& new_holders, std::size_t max_homes) {
    std::map<int, int> held;
    for (int new_holder : new_holders) {
        held[new_holder] = 0;
    }
    for (const auto& [home, holders] : current) {
        for (int holder : holders) {
            if (auto it = held.find(holder); it != held.end()) {
                ++it->second;
            }
        }
    }
    ShardHolders changed;
    for (const auto& [home, holders] : current) {
        if (held.empty() || changed.size() == max_homes ||
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
