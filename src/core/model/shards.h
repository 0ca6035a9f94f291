// Shards: the units in which machines migrate from one partition to another while jobs run. Which
// shard a machine falls into is a pure function, so that no two controllers can disagree; which
// partition holds a shard is what the map in the store says. See docs/sharding.md.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/model/types.h"

namespace scheduler {

// `<home partition>/<number>`, as in the log.
std::string to_string(const ShardId& shard);

// How many shards a home partition has: a shard is at most about a twentieth of the machines,
// however these are spread over the zones.
int shards_per_home(const ClusterSettings& settings, int home);
// The shards of all homes, in order.
std::vector<ShardId> all_shards(const ClusterSettings& settings);
// The shard of a machine whose home partition is known.
ShardId shard_at_home(const ClusterSettings& settings, int home, const std::string& machine);
// The shard of a machine, by its name and zone.
ShardId shard_of_machine(const ClusterSettings& settings, const std::string& machine,
                         const std::string& zone);

// The partitions that hold each home's shards, by home and number.
using ShardHolders = std::map<int, std::vector<int>>;
// Who is to hold the shards of a partition that has lost its leader: the `takers`, each in turn the
// one that holds least. The result has only homes whose holders change, and at most `most` of
// these.
ShardHolders reassign_shards(const ShardHolders& now, int partition, const std::vector<int>& takers,
                             std::size_t most);

} // namespace scheduler
