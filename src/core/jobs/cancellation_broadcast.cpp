#include "core/jobs/cancellation_broadcast.h"

#include <algorithm>
#include <utility>

namespace scheduler {

namespace {
constexpr double kLongestWait = 1.0 / 12; // of a report time
constexpr double kUnheard = 1.0;          // report times
constexpr std::size_t kMostJobs = 500;    // in a call: well under 64 KiB
} // namespace

CancellationBroadcast::CancellationBroadcast(const ClusterSettings& settings,
                                             OutboundRequests& requests)
    : requests_(requests), longest_wait_s_(kLongestWait * settings.heartbeat_interval_s),
      unresponsive_s_(kUnheard * settings.heartbeat_interval_s) {
    for (const auto& partition : settings.partitions) {
        if (partition.node != settings.node) {
            peers_[partition.node];
        }
    }
}

void CancellationBroadcast::broadcast(Time now, const std::string& job, OnDelivered then) {
    Waiter wait{job, {}, now + longest_wait_s_, std::move(then)};
    for (auto& [node, sibling] : peers_) {
        if (now >= sibling.unresponsive_until) {
            wait.nodes.insert(node);
        }
        sibling.pending.push_back(job);
        if (sibling.pending.size() > kMostJobs) { // by now its watch has told it of the first ones
            sibling.pending.pop_front();
        }
    }
    waiters_.push_back(std::move(wait));
    for (const auto& [node, sibling] : peers_) {
        if (!sibling.in_flight) {
            send(node);
        }
    }
    flush(now);
}

void CancellationBroadcast::send(const std::string& node) {
    Peer& sibling = peers_.at(node);
    std::vector<std::string> jobs(sibling.pending.begin(), sibling.pending.end());
    sibling.pending.clear();
    sibling.in_flight = true;
    requests_.send(CancellationCall{node, jobs},
                   [this, node, jobs](Time at, OutboundResponse& response) {
                       Peer& s = peers_.at(node);
                       s.in_flight = false;
                       s.unresponsive_until = response.status == 200 ? -1 : at + unresponsive_s_;
                       on_response(at, node, jobs);
                       if (!s.pending.empty()) {
                           send(node);
                       }
                   });
}

// With or without an answer there is nothing more to wait for.
void CancellationBroadcast::on_response(Time now, const std::string& node,
                                        const std::vector<std::string>& jobs) {
    for (auto& wait : waiters_) {
        if (std::find(jobs.begin(), jobs.end(), wait.job) != jobs.end()) {
            wait.nodes.erase(node);
        }
    }
    flush(now);
}

void CancellationBroadcast::flush(Time now) {
    std::vector<Waiter> over;
    std::erase_if(waiters_, [&](Waiter& wait) {
        if (!wait.nodes.empty() && now < wait.until) {
            return false;
        }
        over.push_back(std::move(wait));
        return true;
    });
    for (auto& wait : over) {
        for (const auto& node : wait.nodes) {
            peers_.at(node).unresponsive_until = now + unresponsive_s_;
        }
        wait.on_delivered(now);
    }
}

} // namespace scheduler
