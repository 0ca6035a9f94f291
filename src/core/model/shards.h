// Shards are the units in which machines migrate between partitions while jobs run. The shard of a
// machine is a pure function of its name and zone, so that all controllers agree; the partition
// that holds a shard is recorded in the store's shard map. See docs/sharding.md.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/model/types.h"

namespace scheduler {

// Formats the shard as `<home partition>/<number>`, the form used in log lines.
std::string to_string(const ShardId& shard);

// Returns the number of shards of a home partition, chosen so that a shard has at most about 1/20
// of all machines for any distribution of the machines over the zones.
int shards_per_home(const ClusterSettings& settings, int home);
// Returns the shards of all home partitions, in order.
std::vector<ShardId> all_shards(const ClusterSettings& settings);
// Returns the shard of a machine whose home partition is known.
ShardId shard_at_home(const ClusterSettings& settings, int home, const std::string& machine);
// Returns the shard of a machine by its name and zone.
ShardId shard_of_machine(const ClusterSettings& settings, const std::string& machine,
                         const std::string& zone);

// For each home partition, the partitions that hold its shards, by shard number.
using ShardHolders = std::map<int, std::vector<int>>;
// Reassigns the shards of a partition that has lost its leader to the partitions `new_holders`,
// each shard to the one that holds the fewest at that point. Returns only the home partitions whose
// holders change, at most `max_homes` of them.
ShardHolders reassign_shards(const ShardHolders& current, int partition,
                             const std::vector<int>& new_holders, std::size_t max_homes);

} // namespace scheduler
