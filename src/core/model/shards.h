// Shares of machines: the units in which machines pass from one part to another while jobs run.
// Which share a machine falls into is a pure function, so that no two nodes can disagree; which
// part holds a share is what the map at the state service says. See docs/shares.md.
#pragma once

#include "core/model/types.h"

namespace scheduler {

std::string to_string(const ShardId& shard);

// How many shares a home has: a share is at most about a twentieth of the machines, however these
// are spread over the zones.
int shards_per_home(const ClusterSettings& settings, int home);
std::vector<ShardId> all_shards(const ClusterSettings& settings);
// Of a machine whose home is known.
ShardId shard_at_home(const ClusterSettings& settings, int home, const std::string& machine);
ShardId shard_of_machine(const ClusterSettings& settings, const std::string& machine,
                         const std::string& zone);

// The holders of each home's shares, by number.
using ShardHolders = std::map<int, std::vector<int>>;
// Who is to hold the shares of a part that has lost its owner: the `takers`, each in turn the one
// that holds least. Only homes whose holders change are in the result, and at most `most` of these.
ShardHolders reassign_shards(const ShardHolders& now, int partition, const std::vector<int>& takers,
                             std::size_t most);

} // namespace scheduler
