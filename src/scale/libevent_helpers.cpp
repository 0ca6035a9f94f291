#include "scale/libevent_helpers.h"

#include <cstring>

namespace scheduler::scale {

namespace {
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr std::size_t kLineEndBytes = 2;
constexpr std::size_t kHeaderOverheadBytes = 4; // ": " and the end of the line
} // namespace

timeval timeval_of(double seconds) {
    timeval out{};
    out.tv_sec = static_cast<time_t>(seconds);
    out.tv_usec = static_cast<suseconds_t>((seconds - double(out.tv_sec)) * kMicrosecondsPerSecond);
    return out;
}

std::size_t header_bytes(const evkeyvalq* headers) {
    std::size_t sum = kLineEndBytes;
    for (const evkeyval* header = headers->tqh_first; header; header = header->next.tqe_next) {
        sum += std::strlen(header->key) + std::strlen(header->value) + kHeaderOverheadBytes;
    }
    return sum;
}

std::string contents(evbuffer* buffer) {
    std::string out(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, out.data(), out.size());
    return out;
}

} // namespace scheduler::scale
