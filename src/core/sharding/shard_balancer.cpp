#include "core/sharding/shard_balancer.h"

#include <algorithm>

namespace scheduler {

namespace {
constexpr double kLeastCapacity = 0.1;
constexpr double kLate = 1.0 / 12;  // of a report time, on the average of one: the timer comes late
constexpr double kFall = 0.75;      // of the capacity that is left then
constexpr double kRise = 0.1;       // of the whole, for each lease time without
constexpr double kBegin = 1.5;      // times the load of the other, for what each can do
constexpr double kEnd = 1.15;       // ... until it is no more than this
constexpr double kMachines = 8;     // for each part, on the average: below that a machine is a lot
constexpr double kHourly = 4;       // moves in an hour, in shares that a part has at home
constexpr double kPauseReports = 1; // between two moves of one giver
constexpr double kHour = 3600;
} // namespace

CpuHeadroom::CpuHeadroom(const ClusterSettings& settings, double tick_s)
    : heartbeat_interval_s_(settings.heartbeat_interval_s), lease_s_(settings.worker_lease_s),
      tick_s_(tick_s) {}

void CpuHeadroom::tick(Time now) {
    if (last_ < 0) {
        last_ = now;
        window_since_ = now;
        raise_at_ = now + lease_s_;
        return;
    }
    late_s_ += std::max(0.0, now - last_ - tick_s_);
    ++ticks_;
    last_ = now;
    if (now - window_since_ < heartbeat_interval_s_) {
        return;
    }
    if (late_s_ / ticks_ > kLate * heartbeat_interval_s_) {
        value_ = std::max(kLeastCapacity, value_ * kFall);
        raise_at_ = now + lease_s_;
    } else if (now >= raise_at_) {
        value_ = std::min(1.0, value_ + kRise);
        raise_at_ = now + lease_s_;
    }
    window_since_ = now;
    late_s_ = 0;
    ticks_ = 0;
}

ShardBalancer::ShardBalancer(const ClusterSettings& settings)
    : heartbeat_interval_s_(settings.heartbeat_interval_s),
      max_moves_per_hour_(kHourly * shards_per_home(settings, settings.home_partition)),
      moves_left_(shards_per_home(settings, settings.home_partition)) {}

void ShardBalancer::on_migration_started(Time now) {
    moves_left_ -= 1;
    next_ = now + kPauseReports * heartbeat_interval_s_;
}

std::optional<ShardMove> ShardBalancer::choose(Time now, int self,
                                               const std::vector<PartitionLoad>& partitions,
                                               const std::vector<ShardLoad>& shards,
                                               double machine_slots) {
    moves_left_ = std::min(max_moves_per_hour_ / kHourly,
                           moves_left_ + (now - moves_left_at_) * max_moves_per_hour_ / kHour);
    moves_left_at_ = now;
    double total = 0;
    const PartitionLoad* mine = nullptr;
    const PartitionLoad* least = nullptr;
    auto load = [](const PartitionLoad& p) { return p.slots / p.cpu_headroom; };
    for (const auto& p : partitions) {
        total += p.slots;
        if (p.partition == self) {
            mine = &p;
        } else if (p.accepts_shards && (!least || load(p) < load(*least))) {
            least = &p;
        }
    }
    if (!mine || !least ||
        total < kMachines * machine_slots * static_cast<double>(partitions.size())) {
        return std::nullopt;
    }
    double bound = rebalancing_ ? kEnd : kBegin;
    rebalancing_ = load(*mine) > bound * load(*least);
    if (!rebalancing_ || now < next_ || moves_left_ < 1) {
        return std::nullopt;
    }
    // The largest share after which the giver is not below the taker; of equals the one that goes
    // home.
    const ShardLoad* best = nullptr;
    auto rank = [&](const ShardLoad& s) {
        return std::pair(s.slots, s.shard.home_partition == least->partition);
    };
    for (const auto& s : shards) {
        bool fits = s.movable && (mine->slots - s.slots) / mine->cpu_headroom >=
                                     (least->slots + s.slots) / least->cpu_headroom;
        if (fits && (!best || rank(s) > rank(*best))) {
            best = &s;
        }
    }
    if (!best || best->slots <= 0) {
        return std::nullopt;
    }
    return ShardMove{best->shard, least->partition};
}

} // namespace scheduler
