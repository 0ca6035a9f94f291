// Assigns machines, teams and attempts to partitions by pure functions of the settings and of
// names, so that all controllers agree.
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

// Hashes the text with FNV-1a and a final mix. The function must never change, because all
// controllers, including those of other versions, must compute the same assignments.
std::uint64_t stable_hash(const std::string& text);

// Returns the home partition of a machine, by rendezvous hashing of its name over the partitions
// whose home controller is in the machine's zone, or over all partitions if the zone has none.
int partition_of_machine(const ClusterSettings& settings, const std::string& machine,
                         const std::string& zone);
// Returns the partition of each team. Only the leader of that partition schedules the team's jobs.
// Teams are balanced by their proportion of the guaranteed CPUs and GPUs. The guarantees are those
// of the settings, which are the same on all controllers. Quota changes at run time do not move a
// team; otherwise two leaders could schedule the jobs of the same team.
std::map<std::string, int> partitions_of_teams(const ClusterSettings& settings);
// Returns the partition of one team, or -1 if the settings have no such team.
int partition_of_team(const ClusterSettings& settings, const std::string& team);
// Returns the store key that names the partition's leader, see PartitionRecord.
inline std::string partition_key(int partition) { return "part/" + std::to_string(partition); }

// The layout of an attempt number, from the highest bits: term of the leader that created it,
// counter, gang flag, partition. The attempt includes the partition of its job so that a leader who
// finds a task on a machine knows which leader is responsible for it.
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
// Returns the identity of one launch: the attempt, and for gangs, whose tasks share an attempt,
// also the task index.
inline LaunchId launch_id(std::uint64_t attempt, std::uint32_t index) {
    return {attempt, (attempt & kGangBit) != 0 ? index : 0};
}

} // namespace scheduler
