// Which part a machine and a team belong to: pure functions, so that no two nodes can disagree.
#pragma once

#include "core/model/types.h"

namespace scheduler {

// Prefixes of keys at the state service.
inline constexpr char kJobPrefix[] = "job/";
inline constexpr char kProgressPrefix[] = "done/";
inline constexpr char kQuotaConfigPrefix[] = "config/team/";

// Any fixed hash will do, as long as every node has the same: FNV-1a with a final mix.
std::uint64_t stable_hash(const std::string& text);

// Rendezvous hash of the machine's name among the parts whose home node is in its zone; among
// all parts where the zone has none.
int partition_of_machine(const ClusterSettings& settings, const std::string& machine,
                         const std::string& zone);
// Teams are spread over the parts by their guaranteed share of CPUs and GPUs; -1: unknown team.
// They are those of the settings, which all nodes have alike: a guarantee that is changed while the
// service runs moves no team, or two owners would place for one.
std::map<std::string, int> partitions_of_teams(const ClusterSettings& settings);
int partition_of_team(const ClusterSettings& settings, const std::string& team);
inline std::string partition_key(int partition) { return "part/" + std::to_string(partition); }

// An attempt carries the part of its job, so that an owner who finds a task on a machine knows
// whom to ask about it: term, counter, whether it is a gang's, part.
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
// What tells one start from another: the attempt, and where a gang's tasks share it the task too.
inline LaunchId launch_id(std::uint64_t attempt, std::uint32_t index) {
    return {attempt, (attempt & kGangBit) != 0 ? index : 0};
}

} // namespace scheduler
