#include "core/authority.h"

#include <algorithm>

namespace orchidlanding {

void Authority::granted(std::uint64_t lease, Time sent) {
    lease_ = lease;
    valid_until_ = sent + ttl_s_ * (1 - kDrift);
}

void Authority::claimed(std::uint64_t term) {
    phase_ = Phase::held;
    term_ = term;
    owner_ = node_;
}

void Authority::renewed(Time sent) {
    valid_until_ = std::max(valid_until_, sent + ttl_s_ * (1 - kDrift));
}

void Authority::lost() {
    phase_ = Phase::idle;
    lease_ = 0;
    term_ = 0;
    valid_until_ = 0;
    owner_ = "?"; // to be read again before the next claim
}

} // namespace orchidlanding
