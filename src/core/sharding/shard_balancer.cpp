#include "core/sharding/shard_balancer.h"

#include <algorithm>

namespace scheduler {

namespace {
constexpr double kMinHeadroom = 0.1;
// The timer is late if its average delay in a window exceeds this fraction of a heartbeat interval.
constexpr double kLateTickFraction = 1.0 / 12;
// The headroom is multiplied by this after each window with a late timer ...
constexpr double kHeadroomDecrease = 0.75;
// ... and rises by this after each worker lease without one.
constexpr double kHeadroomIncrease = 0.1;
// Rebalancing begins when this partition's slots per headroom exceed those of the least loaded
// partition by the first factor, and ends when they exceed them by no more than the second.
constexpr double kBeginLoadRatio = 1.5;
constexpr double kEndLoadRatio = 1.15;
// Nothing is balanced with fewer machines per partition on average: a single machine would make too
// large a difference.
constexpr double kMinMachinesPerPartition = 8;
// Limit of migrations per hour, as a multiple of the number of shards of a home partition.
constexpr double kMaxHourlyMovesPerShard = 4;
// Heartbeat intervals between two migrations out of one partition.
constexpr double kPauseHeartbeats = 1;
constexpr double kSecondsPerHour = 3600;

double load_of(const PartitionLoad& partition) { return partition.slots / partition.cpu_headroom; }
} // namespace

CpuHeadroom::CpuHeadroom(const ClusterSettings& settings, double tick_s)
    : heartbeat_interval_s_(settings.heartbeat_interval_s),
      worker_lease_s_(settings.worker_lease_s), tick_s_(tick_s) {}

void CpuHeadroom::tick(Time now) {
    if (last_tick_ < 0) {
        last_tick_ = now;
        window_since_ = now;
        next_raise_ = now + worker_lease_s_;
        return;
    }
    total_delay_s_ += std::max(0.0, now - last_tick_ - tick_s_);
    ++ticks_;
    last_tick_ = now;
    if (now - window_since_ >= heartbeat_interval_s_) {
        end_window(now);
    }
}

void CpuHeadroom::end_window(Time now) {
    if (total_delay_s_ / ticks_ > kLateTickFraction * heartbeat_interval_s_) {
        value_ = std::max(kMinHeadroom, value_ * kHeadroomDecrease);
        next_raise_ = now + worker_lease_s_;
    } else if (now >= next_raise_) {
        value_ = std::min(1.0, value_ + kHeadroomIncrease);
        next_raise_ = now + worker_lease_s_;
    }
    window_since_ = now;
    total_delay_s_ = 0;
    ticks_ = 0;
}

ShardBalancer::ShardBalancer(const ClusterSettings& settings)
    : heartbeat_interval_s_(settings.heartbeat_interval_s),
      max_moves_per_hour_(kMaxHourlyMovesPerShard *
                          shards_per_home(settings, settings.home_partition)),
      moves_left_(shards_per_home(settings, settings.home_partition)) {}

void ShardBalancer::on_migration_started(Time now) {
    moves_left_ -= 1;
    next_move_ = now + kPauseHeartbeats * heartbeat_interval_s_;
}

// Adds the moves that the hourly limit permits for the time since the last call.
void ShardBalancer::refill_moves(Time now) {
    double earned = (now - moves_left_at_) * max_moves_per_hour_ / kSecondsPerHour;
    moves_left_ = std::min(max_moves_per_hour_ / kMaxHourlyMovesPerShard, moves_left_ + earned);
    moves_left_at_ = now;
}

ShardBalancer::LoadPair
ShardBalancer::own_and_least_loaded(int self, const std::vector<PartitionLoad>& partitions) {
    LoadPair pair;
    for (const auto& partition : partitions) {
        if (partition.partition == self) {
            pair.own = &partition;
        } else if (partition.accepts_shards &&
                   (!pair.least_loaded || load_of(partition) < load_of(*pair.least_loaded))) {
            pair.least_loaded = &partition;
        }
    }
    return pair;
}

// Returns the largest movable shard after whose migration `from` would still be at least as loaded
// as `to`; among equal ones, prefers one that returns to its home. Null if there is none.
const ShardLoad* ShardBalancer::best_shard(const PartitionLoad& from, const PartitionLoad& to,
                                           const std::vector<ShardLoad>& shards) {
    auto rank = [&](const ShardLoad& shard) {
        return std::pair(shard.slots, shard.shard.home_partition == to.partition);
    };
    const ShardLoad* best = nullptr;
    for (const auto& shard : shards) {
        double from_load = (from.slots - shard.slots) / from.cpu_headroom;
        double to_load = (to.slots + shard.slots) / to.cpu_headroom;
        bool fits = shard.movable && from_load >= to_load;
        if (fits && (!best || rank(shard) > rank(*best))) {
            best = &shard;
        }
    }
    return best;
}

std::optional<ShardMove> ShardBalancer::choose_move(Time now, int self,
                                                    const std::vector<PartitionLoad>& partitions,
                                                    const std::vector<ShardLoad>& shards,
                                                    double machine_slots) {
    refill_moves(now);
    double total_slots = 0;
    for (const auto& partition : partitions) {
        total_slots += partition.slots;
    }
    auto [own, least_loaded] = own_and_least_loaded(self, partitions);
    double min_slots =
        kMinMachinesPerPartition * machine_slots * static_cast<double>(partitions.size());
    if (!own || !least_loaded || total_slots < min_slots) {
        return std::nullopt;
    }
    double max_ratio = rebalancing_ ? kEndLoadRatio : kBeginLoadRatio;
    rebalancing_ = load_of(*own) > max_ratio * load_of(*least_loaded);
    if (!rebalancing_ || now < next_move_ || moves_left_ < 1) {
        return std::nullopt;
    }
    const ShardLoad* best = best_shard(*own, *least_loaded, shards);
    if (!best || best->slots <= 0) {
        return std::nullopt;
    }
    return ShardMove{best->shard, least_loaded->partition};
}

} // namespace scheduler
