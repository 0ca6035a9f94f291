// Who may act for a part: the claim under a state-service lease, its term, and when it ends.
#pragma once

#include "core/types.h"

namespace orchidlanding {

// The drift that two steady clocks may show against each other, doubled for safety. A safety
// bound, so neither a setting nor a policy.
inline constexpr double kDrift = 0.001;

class Authority {
  public:
    enum class Phase { idle, granting, claiming, held };

    Authority(std::string node, double ttl_s) : node_(std::move(node)), ttl_s_(ttl_s) {}

    Phase phase() const { return phase_; }
    double ttl_s() const { return ttl_s_; }
    std::uint64_t lease() const { return lease_; }
    std::uint64_t term() const { return term_; }
    const std::string& owner() const { return owner_; }
    bool held() const { return phase_ == Phase::held; }
    // May commands and new answers go out now?
    bool valid(Time now) const { return held() && now < valid_until_; }
    Time valid_until() const { return valid_until_; }

    // The part's key as last seen. `owner` empty: the key does not exist.
    void saw_owner(std::string owner) { owner_ = std::move(owner); }
    // A claim may be tried when nobody owns the part, or when the owner of record is this very
    // node: then its process of before is dead, since a node runs one process at a time.
    bool may_claim() const { return !held() && (owner_.empty() || owner_ == node_); }

    void granting() { phase_ = Phase::granting; }
    void granted(std::uint64_t lease, Time sent);
    void claiming() { phase_ = Phase::claiming; }
    void claimed(std::uint64_t term);
    void renewed(Time sent);
    // The lease or the claim is gone, or could not be had.
    void lost();

  private:
    std::string node_;
    double ttl_s_;
    Phase phase_ = Phase::idle;
    std::string owner_ = "?"; // unknown until read
    std::uint64_t lease_ = 0;
    std::uint64_t term_ = 0;
    Time valid_until_ = 0;
};

// A worker token: the term in the upper bits, a sequence that the owner raises to fence below.
inline constexpr int kSequenceBits = 20;
inline std::uint64_t make_token(std::uint64_t term, std::uint64_t sequence) {
    return (term << kSequenceBits) | sequence;
}

} // namespace orchidlanding
