#include "core/claim.h"

namespace orchidlanding {

namespace {
// Attempts left in a term when the part is claimed anew, under a later one.
constexpr std::uint64_t kAttemptsLeft = 4096;
} // namespace

bool Claim::wrote(Calls& calls, const CallReply& reply, const char* what) {
    if (reply.status == 200) {
        return true;
    }
    if (reply.failed_by(part_key(part_))) {
        deposed_ = true;
    }
    calls.log(Level::info, std::string("event=write_failed what=") + what +
                               " status=" + std::to_string(reply.status));
    return false;
}

std::uint64_t Claim::new_attempt(int part, bool gang) {
    if (next_attempt_ + kAttemptsLeft >= 1ULL << kCounterBits) {
        deposed_ = true;
    }
    return make_attempt(term_, next_attempt_++, part, gang);
}

} // namespace orchidlanding
