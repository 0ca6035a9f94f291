// One leadership of a partition: its term, whether it is still active, and the attempt numbers
// issued under it. The objects that serve the partition live as long as its leadership. Times are
// seconds on this controller's steady clock.
#pragma once

#include "core/leadership/leadership_lease.h"
#include "core/messaging/outbound_requests.h"
#include "core/model/partition_assignment.h"

namespace scheduler {

class Leadership {
  public:
    Leadership(Time now, int partition, const LeadershipLease& lease)
        : partition_(partition), term_(lease.term(partition)), since_(now), lease_(lease) {}

    int partition() const { return partition_; }
    std::uint64_t term() const { return term_; }
    Time since() const { return since_; }
    // Whether commands and new responses may be sent now.
    bool is_active(Time now) const { return lease_.is_valid(now, partition_) && !deposed_; }
    // Whether another leadership has begun, or this one must be renewed under a later term.
    bool deposed() const { return deposed_; }

    // A transaction that takes effect only while this leadership lasts.
    StoreTransaction guarded_transaction() const {
        return StoreTransaction{{{partition_key(partition_), term_}}, {}};
    }
    // Returns whether the write took effect. Logs a failure under `write_name`. If the store
    // refused the write because another leadership has begun, this one is deposed.
    bool check_committed(OutboundRequests& requests, const OutboundResponse& response,
                         const char* write_name);
    // Returns a new attempt number, unique among all terms, for tasks of jobs of `partition`. Near
    // the end of the term's attempt numbers, this leadership is deposed.
    std::uint64_t next_attempt(int partition, bool gang);
    // Whether the attempt belongs to a job of this partition.
    bool is_own_attempt(std::uint64_t attempt) const {
        return partition_of_attempt(attempt) == partition_;
    }

  private:
    int partition_;
    std::uint64_t term_;
    Time since_;
    const LeadershipLease& lease_;
    bool deposed_ = false;
    std::uint64_t next_attempt_ = 1;
};

} // namespace scheduler
