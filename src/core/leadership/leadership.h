// One leadership of a partition: its term, whether it may still be acted upon, and the attempt
// numbers that are issued under it. Everything that works for the partition lives as long as its
// leadership. Times in seconds of this controller's steady clock.
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
    // Whether commands and new answers may go out now.
    bool is_active(Time now) const { return lease_.is_valid(now, partition_) && !deposed_; }
    // The leadership turned out to be gone, or must be renewed under a later term.
    bool deposed() const { return deposed_; }

    // A transaction that takes effect only while this leadership lasts.
    StoreTransaction guarded_transaction() const {
        return StoreTransaction{{{partition_key(partition_), term_}}, {}};
    }
    // Whether the write took effect; a failure is logged, named by `write_name`. Also notices
    // when the store refused it because another leadership has begun.
    bool check_committed(OutboundRequests& requests, const OutboundResponse& response,
                         const char* write_name);
    // An attempt number for tasks of jobs of `partition`, never issued before.
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
