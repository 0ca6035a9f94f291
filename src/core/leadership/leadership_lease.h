// This controller's lease at the store, the partitions that it leads under the lease, their terms,
// and when the lease expires. Times are seconds on this controller's steady clock.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/model/types.h"

namespace scheduler {

// Twice the largest assumed drift between two steady clocks, as a fraction. A safety bound, so it
// is neither a setting nor part of the policy.
inline constexpr double kMaxClockDrift = 0.001;

class LeadershipLease {
  public:
    explicit LeadershipLease(double ttl_s) : ttl_s_(ttl_s) {}

    double ttl_s() const { return ttl_s_; }
    std::uint64_t store_lease() const { return store_lease_; }
    bool has_store_lease() const { return store_lease_ != 0; }
    // Whether the lease at the store is valid.
    bool is_valid(Time now) const { return store_lease_ != 0 && now < valid_until_; }
    // Whether commands and new responses may be sent now for a partition that this controller
    // leads: under the lease, or under the extensions granted by all peers, which cover only one
    // partition.
    bool is_valid(Time now, int partition) const {
        return is_valid(now) || (store_lease_ != 0 && partition == extended_partition_ &&
                                 leads(partition) && now < extended_until_);
    }

    void on_granted(std::uint64_t lease, Time sent);
    // The time to live counts from when the renewal was sent: the store counts from when it
    // arrived, so the lease cannot expire at the store earlier than here.
    void on_renewed(Time sent);
    void on_lost();
    // Extends the leadership of the partition: no peer campaigns for it before `until`.
    void extend(int partition, Time until);

    bool leads(int partition) const { return terms_.contains(partition); }
    // In ascending order.
    std::vector<int> led_partitions() const;
    std::uint64_t term(int partition) const { return terms_.at(partition); }
    void on_elected(int partition, std::uint64_t term) { terms_[partition] = term; }
    void on_resigned(int partition) { terms_.erase(partition); }

  private:
    double ttl_s_;
    std::uint64_t store_lease_ = 0;
    Time valid_until_ = 0;
    std::optional<int> extended_partition_;
    Time extended_until_ = 0;
    std::map<int, std::uint64_t> terms_;
};

// A fencing token has the term of the machine's shard in its upper bits and, below these, a
// sequence number that the shard's holder increments to fence off earlier commands.
inline constexpr int kSequenceBits = 20;
inline constexpr std::uint64_t kMaxFencingSequence = (std::uint64_t{1} << kSequenceBits) - 1;
inline std::uint64_t make_fencing_token(std::uint64_t term, std::uint64_t sequence) {
    return (term << kSequenceBits) | sequence;
}
inline std::uint64_t term_of_fencing_token(std::uint64_t token) { return token >> kSequenceBits; }

} // namespace scheduler
