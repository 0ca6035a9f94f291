// Collects what an input leads to, and remembers what to do when a call is answered.
#pragma once

#include <functional>
#include <set>

#include "core/messaging/store_rate_limiter.h"
#include "core/model/messages.h"

namespace scheduler {

class OutboundRequests {
  public:
    using OnResponse = std::function<void(Time, OutboundResponse&)>;

    // `first`: ids start here, so that calls of different owners never share one.
    OutboundRequests(StoreRateLimiter& rate_limiter, OutboundRequestId first)
        : rate_limiter_(rate_limiter), next_(first) {}

    // Sends a call that is not the state service's, or one that no budget holds back.
    OutboundRequestId send(OutboundBody body, OnResponse then);
    // Sends a call to the state service if the budget lets this use have it.
    bool send_to_store(Time now, StoreRateLimiter::Use use, OutboundBody body, OnResponse then);
    int max_writes(StoreRateLimiter::Use use) const { return rate_limiter_.max_writes(use); }
    // False: not a call of this one.
    bool handle_response(Time now, OutboundResponse& response);
    // Machines that have not answered direct commands, since the last that did and the last report:
    // they tell of a node that is cut off only while nothing else is heard.
    int unresponsive_workers() const { return static_cast<int>(unresponsive_workers_.size()); }
    void worker_responded() { unresponsive_workers_.clear(); }

    void respond(RequestId request_id, int status, ResponseBody body, double retry_after_s = 0);
    void log(LogLevel level, std::string text);
    void drain_into(Outputs& out);

  private:
    StoreRateLimiter& rate_limiter_;
    OutboundRequestId next_;
    std::map<OutboundRequestId, OnResponse> pending_;
    Outputs out_;
    std::set<std::string> unresponsive_workers_;
};

} // namespace scheduler
