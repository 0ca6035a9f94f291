// Which partitions this controller may act for: its lease at the store, the partitions it leads
// under that lease, their terms, and when all of it ends. Times in seconds of this controller's
// steady clock.
#pragma once

#include <map>
#include <optional>
#include <vector>

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
    // Whether the lease at the store holds.
    bool is_valid(Time now) const { return store_lease_ != 0 && now < valid_until_; }
    // Whether commands and new answers may go out now for a partition that is led here: under the
    // lease, or under the extensions granted by all peers, which cover one partition only.
    bool is_valid(Time now, int partition) const {
        return is_valid(now) || (store_lease_ != 0 && partition == extended_partition_ &&
                                 leads(partition) && now < extended_until_);
    }

    void on_granted(std::uint64_t lease, Time sent);
    // The time to live counts from the sending of the renewal: the lease cannot end earlier than
    // that.
    void on_renewed(Time sent);
    void on_lost();
    // No peer campaigns for the partition before `until`.
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

// A fencing token: the term of the machine's shard in the upper bits, below it a sequence number
// that the shard's holder raises to fence off commands sent earlier.
inline constexpr int kSequenceBits = 20;
inline std::uint64_t make_fencing_token(std::uint64_t term, std::uint64_t sequence) {
    return (term << kSequenceBits) | sequence;
}
inline std::uint64_t term_of_fencing_token(std::uint64_t token) { return token >> kSequenceBits; }

} // namespace scheduler
