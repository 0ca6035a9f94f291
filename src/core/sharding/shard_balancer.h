// Decides when a shard of machines is to migrate, and to which partition: a pure function of what
// partition leaders tell each other. See "When to migrate" in docs/sharding.md.
#pragma once

#include "core/model/shards.h"

namespace scheduler {

// How much of its work a controller's processor keeps up with, as estimated by the controller
// itself: from 0.1 to 1. The estimate falls by a factor in each heartbeat interval in which the
// timer fired late, and rises by a step in each lease time in which it did not.
class CpuHeadroom {
  public:
    // `tick_s`: the period of the timer in seconds.
    CpuHeadroom(const ClusterSettings& settings, double tick_s);
    // The timer has fired.
    void tick(Time now);
    double value() const { return value_; }

  private:
    void end_window(Time now);

    double heartbeat_interval_s_;
    double lease_s_;
    double tick_s_;
    double value_ = 1;
    Time last_tick_ = -1; // below 0: none yet
    Time window_since_ = 0;
    double total_delay_s_ = 0; // total delay of the ticks in this window
    int ticks_ = 0;            // in this window
    Time next_raise_ = 0;
};

// What a leader knows of the machines of a partition, its own included.
struct PartitionLoad {
    int partition = 0;
    double slots = 0; // of usable machines
    double cpu_headroom = 1;
    bool accepts_shards = false; // heard from lately, and led by its home controller
};

// A shard of this partition that could migrate.
struct ShardLoad {
    ShardId shard;
    double slots = 0;
    bool movable = false; // nothing prevents a migration
};

struct ShardMove {
    ShardId shard;
    int to_partition = 0;
};

// Chooses migrations, with hysteresis and a bound on their number per hour. Called only from the
// controller's event loop.
class ShardBalancer {
  public:
    explicit ShardBalancer(const ClusterSettings& settings);
    // The migration that partition `self` should begin now, if any. `machine_slots`: the slots of
    // the largest instance type.
    std::optional<ShardMove> choose_move(Time now, int self,
                                         const std::vector<PartitionLoad>& partitions,
                                         const std::vector<ShardLoad>& shards,
                                         double machine_slots);
    // The chosen migration has begun.
    void on_migration_started(Time now);

  private:
    struct LoadPair {
        const PartitionLoad* own = nullptr;
        const PartitionLoad* least_loaded = nullptr; // of those that accept shards
    };
    void refill_moves(Time now);
    static LoadPair own_and_least_loaded(int self, const std::vector<PartitionLoad>& partitions);
    static const ShardLoad* best_shard(const PartitionLoad& from, const PartitionLoad& to,
                                       const std::vector<ShardLoad>& shards);

    double heartbeat_interval_s_;
    double max_moves_per_hour_;
    double moves_left_; // that the bound per hour leaves
    Time moves_left_at_ = 0;
    Time next_move_ = 0;       // no migration before this
    bool rebalancing_ = false; // the difference has been large, and is not small yet
};

} // namespace scheduler
