// Collects the outputs of an input, and keeps the callbacks of outbound requests under way.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "core/messaging/messages.h"
#include "core/messaging/store_rate_limiter.h"

namespace scheduler {

// The outputs of one module of the core: requests with their callbacks, responses and log lines.
// Not thread-safe.
class OutboundRequests {
  public:
    // Called once with the moment and the response; its status 0: the outcome is not known.
    using OnResponse = std::function<void(Time, OutboundResponse&)>;

    // `first`: ids start here, so that requests of different objects never share one.
    OutboundRequests(StoreRateLimiter& rate_limiter, OutboundRequestId first)
        : rate_limiter_(rate_limiter), next_(first) {}

    // Sends a request to another service than the store, or one to the store that no rate limit
    // holds back.
    OutboundRequestId send(OutboundBody body, OnResponse then);
    // Sends a request to the store if the rate limiter admits it for this use; false: not now.
    bool send_to_store(Time now, StoreRateLimiter::Use use, OutboundBody body, OnResponse then);
    // See StoreRateLimiter::max_writes.
    int max_writes(StoreRateLimiter::Use use) const { return rate_limiter_.max_writes(use); }
    // Runs the callback of the request; false: not a request of this object.
    bool handle_response(Time now, OutboundResponse& response);
    // How many machines have not answered direct commands since the last response of any machine
    // and the last heartbeat: they are a sign that this controller is cut off only while nothing
    // else is heard.
    int unresponsive_workers() const { return static_cast<int>(unresponsive_workers_.size()); }
    // A heartbeat has arrived.
    void worker_responded() { unresponsive_workers_.clear(); }

    // `status` of HTTP; `retry_after_s` 0: the sender is not told when to try again.
    void respond(RequestId request_id, int status, ResponseBody body, double retry_after_s = 0);
    void log(LogLevel level, std::string text);
    // Moves what was collected to the end of `out`.
    void drain_into(Outputs& out);

  private:
    StoreRateLimiter& rate_limiter_;
    OutboundRequestId next_;
    std::map<OutboundRequestId, OnResponse> pending_;
    Outputs out_;
    std::set<std::string> unresponsive_workers_;
};

} // namespace scheduler
