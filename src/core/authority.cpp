#include "core/authority.h"

#include <algorithm>

namespace orchidlanding {

void Authority::granted(std::uint64_t lease, Time sent) {
    lease_ = lease;
    valid_until_ = sent + ttl_s_ * (1 - kDrift);
}

void Authority::renewed(Time sent) {
    valid_until_ = std::max(valid_until_, sent + ttl_s_ * (1 - kDrift));
}

void Authority::lost() {
    lease_ = 0;
    valid_until_ = 0;
    promised_until_ = 0;
    terms_.clear();
}

void Authority::promised(int part, Time until) {
    promised_part_ = part;
    promised_until_ = until;
}

} // namespace orchidlanding
