#include "core/leadership/leadership.h"

namespace scheduler {

namespace {
// When a term has no more than this many attempt numbers left, the leader campaigns for a new term.
constexpr std::uint64_t kMinAttemptsLeft = 4096;
} // namespace

bool Leadership::check_committed(OutboundRequests& requests, const OutboundResponse& response,
                                 const char* write_name) {
    if (response.status == 200) {
        return true;
    }
    if (response.failed_on(partition_key(partition_))) {
        deposed_ = true;
    }
    requests.log(LogLevel::info, std::string("event=store_write_failed write=") + write_name +
                                     " status=" + std::to_string(response.status));
    return false;
}

std::uint64_t Leadership::next_attempt(int partition, bool gang) {
    if (next_attempt_ + kMinAttemptsLeft >= 1ULL << kCounterBits) {
        deposed_ = true;
    }
    return make_attempt(term_, next_attempt_++, partition, gang);
}

} // namespace scheduler
