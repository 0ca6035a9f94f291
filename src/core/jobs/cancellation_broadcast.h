// Tells all siblings that a job is cancelled before its user is told, so that no owner starts a
// task of it afterwards. The watch tells them too, and the rule rests on that (see freshness.h):
// this is only sooner. So a sibling that does not answer is waited for a small part of what users
// wait, and not again for a while. See "Starts after a cancellation" in docs/meetings.md.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/messaging/outbound_requests.h"

namespace scheduler {

class CancellationBroadcast {
  public:
    CancellationBroadcast(const ClusterSettings& settings, OutboundRequests& requests);

    using OnDelivered = std::function<void(Time)>;
    // `then`: every sibling that can be reached has taken it in.
    void broadcast(Time now, const std::string& job, OnDelivered then);
    // Ends the waits that have lasted long enough. To be called after every input.
    void flush(Time now);

  private:
    struct Peer {
        std::deque<std::string> pending; // to be told
        bool in_flight = false;
        Time unresponsive_until = -1; // it did not answer: it is told, but not waited for
    };
    struct Waiter {
        std::string job;
        std::set<std::string> nodes; // that have not answered
        Time until = 0;
        OnDelivered on_delivered;
    };
    void send(const std::string& node);
    void on_response(Time now, const std::string& node, const std::vector<std::string>& jobs);

    OutboundRequests& requests_;
    double longest_wait_s_;
    double unresponsive_s_;
    std::map<std::string, Peer> peers_;
    std::vector<Waiter> waiters_;
};

} // namespace scheduler
