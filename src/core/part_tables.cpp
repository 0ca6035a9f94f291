#include "core/part_tables.h"

#include <algorithm>

namespace orchidlanding {

namespace {
// Delays of this process that a lease bound allows for, as a part of the lease: a safety bound.
constexpr double kMargin = 1.0 / 16;

std::uint32_t chunk_tasks(const Facts& facts) {
    // Four tasks a character of hex, with a quarter of the value left for the rest.
    return static_cast<std::uint32_t>(std::max(64.0, facts.value_kb * 1024 * 0.75 * 4));
}
} // namespace

PartTables::PartTables(Time now, int part, const Facts& facts, const Policy& policy,
                       const Authority& authority, const PartTable& table, StateBudget& budget,
                       const std::vector<MachineType>& types)
    : facts_(facts), all_shares_(all_shares(facts)), policy_(policy), claim_(now, part, authority),
      holdings_(claim_, table), calls_(budget, (claim_.term() << 32) + 1), types_(types),
      jobs_(chunk_tasks(facts)), machines_(facts.lease_s, facts.lease_s * kMargin),
      teams_(facts.teams), gangs_(facts.gang_wait_s), fleet_(facts, policy, claim_.term()) {}

} // namespace orchidlanding
