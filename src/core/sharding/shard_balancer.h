// When a share of machines is to move, and to whom: pure functions of what owners tell each other.
// See "When to move" in docs/shares.md.
#pragma once

#include "core/model/shards.h"

namespace scheduler {

// How much of its work a node's processor keeps up with, reckoned by the node itself: from a tenth
// to one. It falls by a part in each report time in which the timer came late, and rises by a step
// in each lease time in which it did not.
class CpuHeadroom {
  public:
    CpuHeadroom(const ClusterSettings& settings, double tick_s);
    // The timer has come.
    void tick(Time now);
    double value() const { return value_; }

  private:
    double heartbeat_interval_s_;
    double lease_s_;
    double tick_s_;
    double value_ = 1;
    Time last_ = -1;
    Time window_since_ = 0;
    double late_s_ = 0; // in this window
    int ticks_ = 0;
    Time raise_at_ = 0;
};

// What an owner knows of the machines of a part, its own included.
struct PartitionLoad {
    int partition = 0;
    double slots = 0; // of usable machines
    double cpu_headroom = 1;
    bool accepts_shards = false; // heard of lately, by its home node: it can be given shares
};
// A share that its holder could give.
struct ShardLoad {
    ShardId shard;
    double slots = 0;
    bool movable = false; // nothing is in the way of a move
};
struct ShardMove {
    ShardId shard;
    int to_partition = 0;
};

class ShardBalancer {
  public:
    explicit ShardBalancer(const ClusterSettings& settings);
    // What `self` should give now, if anything. `machine_slots`: of the largest type.
    std::optional<ShardMove> choose(Time now, int self,
                                    const std::vector<PartitionLoad>& partitions,
                                    const std::vector<ShardLoad>& shards, double machine_slots);
    // A move has begun.
    void on_migration_started(Time now);

  private:
    double heartbeat_interval_s_;
    double max_moves_per_hour_;
    double moves_left_; // moves that the hour's bound leaves
    Time moves_left_at_ = 0;
    Time next_ = 0;
    bool rebalancing_ = false; // the difference has been large, and is not small yet
};

} // namespace scheduler
