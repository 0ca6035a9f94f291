#include "core/leadership/leadership_lease.h"

#include <algorithm>

namespace scheduler {

void LeadershipLease::on_granted(std::uint64_t lease, Time sent) {
    store_lease_ = lease;
    valid_until_ = sent + ttl_s_ * (1 - kMaxClockDrift);
}

void LeadershipLease::on_renewed(Time sent) {
    valid_until_ = std::max(valid_until_, sent + ttl_s_ * (1 - kMaxClockDrift));
}

void LeadershipLease::on_lost() {
    store_lease_ = 0;
    valid_until_ = 0;
    extended_until_ = 0;
    terms_.clear();
}

void LeadershipLease::extend(int partition, Time until) {
    extended_partition_ = partition;
    extended_until_ = until;
}

std::vector<int> LeadershipLease::led_partitions() const {
    std::vector<int> partitions;
    for (const auto& [partition, term] : terms_) {
        partitions.push_back(partition);
    }
    return partitions;
}

} // namespace scheduler
