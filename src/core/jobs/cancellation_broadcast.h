// Sends a cancellation to all peers before the user's request is answered, so that no partition
// leader launches a task of the job afterwards. Safety does not depend on the broadcast but on the
// store watch, which reports cancellations to the peers as well, only later (see the staleness
// bound). The wait for an unresponsive peer is therefore limited to a small part of the time that
// users wait, and that peer is not waited for again for a while.
// See "Starts after a cancellation" in docs/meetings.md.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/messaging/outbound_requests.h"

namespace scheduler {

// Called only from the controller's event loop. Failed requests are not retried.
class CancellationBroadcast {
  public:
    CancellationBroadcast(const ClusterSettings& settings, OutboundRequests& requests);

    using OnDelivered = std::function<void(Time)>;
    // Sends the cancellation of a job to all peers. Calls `on_delivered` once, when every
    // responsive peer has confirmed or the wait has timed out; possibly before this function
    // returns.
    void broadcast(Time now, const std::string& job, OnDelivered on_delivered);
    // Ends the waits that have timed out. To be called after every input.
    void flush(Time now);

  private:
    struct Peer {
        std::deque<std::string> pending; // cancelled jobs not sent to this peer yet
        bool in_flight = false;
        Time unresponsive_until = -1; // until then, sent to but not waited for
    };
    struct Waiter {
        std::string job;
        std::set<std::string> nodes; // peers without a response so far
        Time until = 0;
        OnDelivered on_delivered;
    };
    void send(const std::string& node);
    void send_to_idle_peers();
    void on_response(Time now, const std::string& node, const std::vector<std::string>& jobs);

    OutboundRequests& requests_;
    double max_wait_s_;
    double unresponsive_s_;
    std::map<std::string, Peer> peers_;
    std::vector<Waiter> waiters_;
};

} // namespace scheduler
