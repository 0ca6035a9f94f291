#include "simulation/pending_requests.h"

#include <utility>

namespace scheduler::test {

namespace {
// Separates the simulation's own request IDs from those of users.
constexpr RequestId kOwnRequests = 1ULL << 40;
} // namespace

RequestId PendingRequests::expect(Handler handler) {
    RequestId request_id = next_++ + kOwnRequests;
    handlers_[request_id] = std::move(handler);
    return request_id;
}

std::optional<PendingRequests::Handler> PendingRequests::take(RequestId request_id) {
    auto found = handlers_.find(request_id);
    if (found == handlers_.end()) {
        return std::nullopt;
    }
    Handler handler = std::move(found->second);
    handlers_.erase(found);
    return handler;
}

} // namespace scheduler::test
