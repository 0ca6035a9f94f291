// Who may act for which parts: the node's lease at the state service, its claims under that
// lease, their terms, and when all of it ends.
#pragma once

#include "core/model/types.h"

namespace scheduler {

// The drift that two steady clocks may show against each other, doubled for safety. A safety
// bound, so neither a setting nor a policy.
inline constexpr double kMaxClockDrift = 0.001;

class LeadershipLease {
  public:
    explicit LeadershipLease(double ttl_s) : ttl_s_(ttl_s) {}

    double ttl_s() const { return ttl_s_; }
    std::uint64_t store_lease() const { return store_lease_; }
    bool has_store_lease() const { return store_lease_ != 0; }
    // Does the node's lease hold?
    bool is_valid(Time now) const { return store_lease_ != 0 && now < valid_until_; }
    // May commands and new answers go out now for a part that is held? Under the lease, or under
    // the promises of all siblings, which cover one part only.
    bool is_valid(Time now, int partition) const {
        return is_valid(now) || (store_lease_ != 0 && partition == extended_partition_ &&
                                 leads(partition) && now < extended_until_);
    }

    void on_granted(std::uint64_t lease, Time sent);
    // Counted from the sending of the renewal: the lease cannot end earlier than that.
    void on_renewed(Time sent);
    void on_lost();
    // No sibling claims the part before then, by this node's clock.
    void extend(int partition, Time until);

    bool leads(int partition) const { return terms_.contains(partition); }
    std::uint64_t term(int partition) const { return terms_.at(partition); }
    void on_elected(int partition, std::uint64_t term) { terms_[partition] = term; }
    void on_resigned(int partition) { terms_.erase(partition); }

  private:
    double ttl_s_;
    std::uint64_t store_lease_ = 0;
    Time valid_until_ = 0;
    int extended_partition_ = -1;
    Time extended_until_ = 0;
    std::map<int, std::uint64_t> terms_;
};

// A worker token: the term of the machine's share in the upper bits, below it a sequence that the
// holder raises to fence.
inline constexpr int kSequenceBits = 20;
inline std::uint64_t make_fencing_token(std::uint64_t term, std::uint64_t sequence) {
    return (term << kSequenceBits) | sequence;
}
inline std::uint64_t term_of_fencing_token(std::uint64_t token) { return token >> kSequenceBits; }

} // namespace scheduler
