// Which partition a machine, a team and an attempt belong to: pure functions of the settings and of
// names, so that no two controllers can disagree.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/model/types.h"

namespace scheduler {

// Prefixes of keys in the store.
inline constexpr char kJobPrefix[] = "job/";
inline constexpr char kProgressPrefix[] = "done/";
inline constexpr char kQuotaConfigPrefix[] = "config/team/";

// A hash that never changes: FNV-1a with a final mix. Any fixed hash would do, as long as every
// controller has the same.
std::uint64_t stable_hash(const std::string& text);

// The home partition of a machine: rendezvous hash of its name among the partitions whose home
// controller is in its zone, or among all partitions where the zone has none.
int partition_of_machine(const ClusterSettings& settings, const std::string& machine,
                         const std::string& zone);
// The partition of each team, whose leader alone schedules the team's jobs. Teams are spread by
// their guaranteed proportion of CPUs and GPUs. The guarantees are those of the settings, which all
// controllers have alike: a guarantee that is changed while the service runs moves no team, or two
// leaders would schedule the jobs of one.
std::map<std::string, int> partitions_of_teams(const ClusterSettings& settings);
// The partition of one team; -1: not a team of the settings.
int partition_of_team(const ClusterSettings& settings, const std::string& team);
// The store key of a partition's leader, see PartitionRecord.
inline std::string partition_key(int partition) { return "part/" + std::to_string(partition); }

// The layout of an attempt number, from the highest bits: term of the leadership that made it,
// counter, gang flag, partition. An attempt carries the partition of its job so that a leader who
// finds a task on a machine knows whom to ask about it.
inline constexpr int kPartitionBits = 7;
inline constexpr int kMaxPartitions = 1 << kPartitionBits;
inline constexpr std::uint64_t kGangBit = 1U << kPartitionBits;
inline constexpr int kCounterBits = 24;
inline std::uint64_t make_attempt(std::uint64_t term, std::uint64_t counter, int partition,
                                  bool gang = false) {
    return (((term << kCounterBits) + counter) << (kPartitionBits + 1)) | (gang ? kGangBit : 0) |
           static_cast<std::uint64_t>(partition);
}
inline int partition_of_attempt(std::uint64_t attempt) {
    return static_cast<int>(attempt & (kMaxPartitions - 1));
}
// What tells one launch from another: the attempt, and where the tasks of a gang share one, the
// task too.
inline LaunchId launch_id(std::uint64_t attempt, std::uint32_t index) {
    return {attempt, (attempt & kGangBit) != 0 ? index : 0};
}

} // namespace scheduler
