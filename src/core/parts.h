// Which part a machine and a team belong to: pure functions, so that no two nodes can disagree.
#pragma once

#include "core/types.h"

namespace orchidlanding {

// Rendezvous hash of the machine's name among the parts whose home node is in its zone; among
// all parts where the zone has none.
int part_of_machine(const Facts& facts, const std::string& machine, const std::string& zone);
// Teams are spread over the parts by their guaranteed share of CPUs and GPUs; -1: unknown team.
int part_of_team(const Facts& facts, const std::string& team);
inline std::string part_key(int part) { return "part/" + std::to_string(part); }

// An attempt carries the part of its job, so that an owner who finds a task on a machine knows
// whom to ask about it: term, counter, part.
inline constexpr int kPartBits = 8;
inline constexpr int kCounterBits = 20;
inline std::uint64_t make_attempt(std::uint64_t term, std::uint64_t counter, int part) {
    return (((term << kCounterBits) + counter) << kPartBits) | static_cast<std::uint64_t>(part);
}
inline int part_of_attempt(std::uint64_t attempt) {
    return static_cast<int>(attempt & ((1U << kPartBits) - 1));
}

} // namespace orchidlanding
