// Decides when a shard of machines should migrate, and to which partition, from the loads that
// partition leaders report to each other. See "When to migrate" in docs/sharding.md.
#pragma once

#include "core/model/shards.h"

namespace scheduler {

// The fraction of its work that the controller's processor keeps up with, from 0.1 to 1, estimated
// from the delays of the controller's timer. The estimate is multiplied by a factor below 1 after
// each heartbeat interval in which the timer fired late, and rises by a step after each worker
// lease in which it did not.
class CpuHeadroom {
  public:
    // `tick_s` is the period of the timer in seconds.
    CpuHeadroom(const ClusterSettings& settings, double tick_s);
    // Called each time the timer fires.
    void tick(Time now);
    double value() const { return value_; }

  private:
    void end_window(Time now);

    double heartbeat_interval_s_;
    double worker_lease_s_;
    double tick_s_;
    double value_ = 1;
    Time last_tick_ = -1; // negative: none yet
    Time window_since_ = 0;
    double total_delay_s_ = 0; // of the ticks in this window
    int ticks_ = 0;            // in this window
    Time next_raise_ = 0;
};

// The load of a partition, either the leader's own or that of a peer as last reported.
struct PartitionLoad {
    int partition = 0;
    double slots = 0; // of usable machines
    double cpu_headroom = 1;
    bool accepts_shards = false; // it recently reported so, and is led by its home controller
};

// A shard of this partition that could migrate.
struct ShardLoad {
    ShardId shard;
    double slots = 0;
    bool movable = false; // reconciled, and its home's shard holders are readable
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
    // Returns the migration that partition `self` should start now, if any. `machine_slots` is the
    // number of slots of the largest instance type.
    std::optional<ShardMove> choose_move(Time now, int self,
                                         const std::vector<PartitionLoad>& partitions,
                                         const std::vector<ShardLoad>& shards,
                                         double machine_slots);
    // Records that the chosen migration has started.
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
    double moves_left_; // within the hourly limit
    Time moves_left_at_ = 0;
    Time next_move_ = 0; // no migration starts before this
    // The load ratio has exceeded the factor to begin, and has not yet fallen to the one to end.
    bool rebalancing_ = false;
};

} // namespace scheduler
