// When a share of machines is to move, and to whom: pure functions of what owners tell each other.
// See "When to move" in docs/shares.md.
#pragma once

#include "core/shares.h"

namespace orchidlanding {

// How much of its work a node's processor keeps up with, reckoned by the node itself: from a tenth
// to one. It falls by a part in each report time in which the timer came late, and rises by a step
// in each lease time in which it did not.
class Capacity {
  public:
    Capacity(const Facts& facts, double tick_s);
    // The timer has come.
    void tick(Time now);
    double value() const { return value_; }

  private:
    double report_s_;
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
struct PartLoad {
    int part = 0;
    double slots = 0; // of usable machines
    double capacity = 1;
    bool takes = false; // heard of lately, by its home node: it can be given shares
};
// A share that its holder could give.
struct ShareLoad {
    ShareId share;
    double slots = 0;
    bool settled = false; // nothing is in the way of a move
};
struct MoveChoice {
    ShareId share;
    int to = 0;
};

class Balance {
  public:
    explicit Balance(const Facts& facts);
    // What `self` should give now, if anything. `machine_slots`: of the largest type.
    std::optional<MoveChoice> choose(Time now, int self, const std::vector<PartLoad>& parts,
                                     const std::vector<ShareLoad>& shares, double machine_slots);
    // A move has begun.
    void began(Time now);

  private:
    double report_s_;
    double most_an_hour_;
    double left_; // moves that the hour's bound leaves
    Time left_at_ = 0;
    Time next_ = 0;
    bool giving_ = false; // the difference has been large, and is not small yet
};

} // namespace orchidlanding
