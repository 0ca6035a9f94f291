// Collects the outputs of the core, and keeps the callbacks of outbound requests in flight.
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
    // Called once, with the time and the response. Status 0: the outcome is unknown.
    using OnResponse = std::function<void(Time, OutboundResponse&)>;

    // `first`: the first request id; objects use disjoint ranges of ids.
    OutboundRequests(StoreRateLimiter& rate_limiter, OutboundRequestId first)
        : rate_limiter_(rate_limiter), next_(first) {}

    // Sends a request without rate limiting: to a service other than the store, or to the store for
    // a request that must not be delayed.
    OutboundRequestId send(OutboundBody body, OnResponse then);
    // Sends a request to the store. Returns false, without sending it, if the rate limiter does not
    // admit it for this use now.
    bool send_to_store(Time now, StoreRateLimiter::Use use, OutboundBody body, OnResponse then);
    // See StoreRateLimiter::max_writes.
    int max_writes(StoreRateLimiter::Use use) const { return rate_limiter_.max_writes(use); }
    // Calls the callback of the request. Returns false if this object did not send the request.
    bool handle_response(Time now, OutboundResponse& response);
    // Returns the number of machines that did not respond to direct commands since the latest
    // response or heartbeat of any machine. They suggest that this controller is disconnected from
    // the network only as long as no machine can reach it.
    int unresponsive_workers() const { return static_cast<int>(unresponsive_workers_.size()); }
    // Records that a heartbeat was received: resets unresponsive_workers.
    void worker_responded() { unresponsive_workers_.clear(); }

    // Adds a response with the HTTP status. `retry_after_s` 0: no Retry-After header.
    void respond(RequestId request_id, int status, ResponseBody body, double retry_after_s = 0);
    void log(LogLevel level, std::string text);
    // Appends the collected outputs to `out` and clears them here.
    void drain_into(Outputs& out);

  private:
    StoreRateLimiter& rate_limiter_;
    OutboundRequestId next_;
    std::map<OutboundRequestId, OnResponse> pending_;
    Outputs out_;
    std::set<std::string> unresponsive_workers_;
};

} // namespace scheduler
