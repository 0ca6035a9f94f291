// Tells all peers that a job is cancelled before its user is told, so that no partition leader
// launches a task of it afterwards. The store's watch tells the peers too, and the safety rule
// rests on that (see the staleness bound): the broadcast is only sooner. So a peer that does not
// respond is waited for a small part of the time that users wait, and then not waited for again for
// a while. See "Starts after a cancellation" in docs/meetings.md.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/messaging/outbound_requests.h"

namespace scheduler {

// Called only from the controller's event loop. Calls that fail are not retried.
class CancellationBroadcast {
  public:
    CancellationBroadcast(const ClusterSettings& settings, OutboundRequests& requests);

    using OnDelivered = std::function<void(Time)>;
    // `on_delivered` is called once, when every responsive peer knows of the cancellation or the
    // wait is over; possibly before this returns.
    void broadcast(Time now, const std::string& job, OnDelivered on_delivered);
    // Ends the waits that have lasted long enough. To be called after every input.
    void flush(Time now);

  private:
    struct Peer {
        std::deque<std::string> pending; // cancelled jobs that it is to be told of
        bool in_flight = false;
        Time unresponsive_until = -1; // until then it is told, but not waited for
    };
    struct Waiter {
        std::string job;
        std::set<std::string> nodes; // that have not responded
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
