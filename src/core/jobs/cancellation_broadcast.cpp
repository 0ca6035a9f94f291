#include "core/jobs/cancellation_broadcast.h"

#include <algorithm>
#include <utility>

namespace scheduler {

namespace {
// Longest wait for a peer's response, in heartbeat intervals.
constexpr double kMaxWaitHeartbeats = 1.0 / 12;
// Time for which a peer that did not respond is not waited for, in heartbeat intervals.
constexpr double kUnresponsiveHeartbeats = 1.0;
// Keeps a request well under 64 KiB.
constexpr std::size_t kMaxJobsPerRequest = 500;
} // namespace

CancellationBroadcast::CancellationBroadcast(const ClusterSettings& settings,
                                             OutboundRequests& requests)
    : requests_(requests), max_wait_s_(kMaxWaitHeartbeats * settings.heartbeat_interval_s),
      unresponsive_s_(kUnresponsiveHeartbeats * settings.heartbeat_interval_s) {
    for (const auto& partition : settings.partitions) {
        if (partition.node != settings.node) {
            peers_[partition.node];
        }
    }
}

void CancellationBroadcast::broadcast(Time now, const std::string& job, OnDelivered on_delivered) {
    Waiter waiter{job, {}, now + max_wait_s_, std::move(on_delivered)};
    for (auto& [node, peer] : peers_) {
        if (now >= peer.unresponsive_until) {
            waiter.nodes.insert(node);
        }
        peer.pending.push_back(job);
        if (peer.pending.size() > kMaxJobsPerRequest) {
            peer.pending.pop_front(); // the peer's store watch has reported it by now
        }
    }
    waiters_.push_back(std::move(waiter));
    send_to_idle_peers();
    flush(now);
}

void CancellationBroadcast::send_to_idle_peers() {
    for (const auto& [node, peer] : peers_) {
        if (!peer.in_flight) {
            send(node);
        }
    }
}

void CancellationBroadcast::send(const std::string& node) {
    Peer& peer = peers_.at(node);
    std::vector<std::string> jobs(peer.pending.begin(), peer.pending.end());
    peer.pending.clear();
    peer.in_flight = true;
    requests_.send(CancellationCall{node, jobs},
                   [this, node, jobs](Time at, OutboundResponse& response) {
                       Peer& recipient = peers_.at(node);
                       bool responded = response.status == 200;
                       recipient.in_flight = false;
                       recipient.unresponsive_until = responded ? -1 : at + unresponsive_s_;
                       on_response(at, node, jobs);
                       if (!recipient.pending.empty()) {
                           send(node);
                       }
                   });
}

// Ends the wait for the peer whether the request succeeded or failed, because failed requests are
// not retried.
void CancellationBroadcast::on_response(Time now, const std::string& node,
                                        const std::vector<std::string>& jobs) {
    for (auto& waiter : waiters_) {
        if (std::find(jobs.begin(), jobs.end(), waiter.job) != jobs.end()) {
            waiter.nodes.erase(node);
        }
    }
    flush(now);
}

void CancellationBroadcast::flush(Time now) {
    std::vector<Waiter> finished;
    std::erase_if(waiters_, [&](Waiter& waiter) {
        if (!waiter.nodes.empty() && now < waiter.until) {
            return false;
        }
        finished.push_back(std::move(waiter));
        return true;
    });
    for (auto& waiter : finished) {
        for (const auto& node : waiter.nodes) {
            peers_.at(node).unresponsive_until = now + unresponsive_s_;
        }
        waiter.on_delivered(now);
    }
}

} // namespace scheduler
