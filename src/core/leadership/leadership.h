// One claim of a part: its term, whether it still may be acted upon, and the attempt numbers that
// are given out under it. Everything that works for the part lives as long as its claim.
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
    bool is_active(Time now) const { return lease_.is_valid(now, partition_) && !deposed_; }
    // The claim turned out to be gone, or is to be made anew.
    bool deposed() const { return deposed_; }

    // A transaction that takes effect only while the part is ours.
    StoreTransaction guarded_transaction() const {
        return StoreTransaction{{{partition_key(partition_), term_}}, {}};
    }
    // Did the write take effect? Also notices when it was refused because the part is ours no more.
    bool committed(OutboundRequests& requests, const OutboundResponse& response, const char* what);
    // A number for tasks of jobs of `part`, never used before.
    std::uint64_t next_attempt(int partition, bool gang);
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
