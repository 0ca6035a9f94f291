// Who may act for which parts: the node's lease at the state service, its claims under that
// lease, their terms, and when all of it ends.
#pragma once

#include "core/types.h"

namespace orchidlanding {

// The drift that two steady clocks may show against each other, doubled for safety. A safety
// bound, so neither a setting nor a policy.
inline constexpr double kDrift = 0.001;

class Authority {
  public:
    explicit Authority(double ttl_s) : ttl_s_(ttl_s) {}

    double ttl_s() const { return ttl_s_; }
    std::uint64_t lease() const { return lease_; }
    bool has_lease() const { return lease_ != 0; }
    // Does the node's lease hold?
    bool valid(Time now) const { return lease_ != 0 && now < valid_until_; }
    // May commands and new answers go out now for a part that is held? Under the lease, or under
    // the promises of all siblings, which cover one part only.
    bool valid(Time now, int part) const {
        return valid(now) ||
               (lease_ != 0 && part == promised_part_ && holds(part) && now < promised_until_);
    }

    void granted(std::uint64_t lease, Time sent);
    // Counted from the sending of the renewal: the lease cannot end earlier than that.
    void renewed(Time sent);
    void lost();
    // No sibling claims the part before then, by this node's clock.
    void promised(int part, Time until);

    bool holds(int part) const { return terms_.contains(part); }
    std::uint64_t term(int part) const { return terms_.at(part); }
    void claimed(int part, std::uint64_t term) { terms_[part] = term; }
    void dropped(int part) { terms_.erase(part); }

  private:
    double ttl_s_;
    std::uint64_t lease_ = 0;
    Time valid_until_ = 0;
    int promised_part_ = -1;
    Time promised_until_ = 0;
    std::map<int, std::uint64_t> terms_;
};

// A worker token: the term of the machine's share in the upper bits, below it a sequence that the
// holder raises to fence.
inline constexpr int kSequenceBits = 20;
inline std::uint64_t make_token(std::uint64_t term, std::uint64_t sequence) {
    return (term << kSequenceBits) | sequence;
}
inline std::uint64_t term_of_token(std::uint64_t token) { return token >> kSequenceBits; }

} // namespace orchidlanding
