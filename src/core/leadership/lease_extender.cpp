#include "core/leadership/lease_extender.h"

#include <algorithm>

namespace scheduler {

namespace {
// Without an answer of the state service for this part of a report time, a node is out of contact:
// while all is well it is answered once in a third of one.
constexpr double kSilent = 0.5;
constexpr double kAskAgain = 1.0 / 8; // of the longest promise
constexpr double kLately = 1.0;       // report times for which an answer tells how a sibling fares
} // namespace

LeaseExtender::LeaseExtender(const ClusterSettings& settings, double longest_s,
                             OutboundRequests& requests, LeadershipLease& lease,
                             const JobRecordCache& job_cache, QuotaConfig& config)
    : home_partition_(settings.home_partition),
      heartbeat_interval_s_(settings.heartbeat_interval_s), lease_s_(settings.worker_lease_s),
      max_extension_s_(longest_s), requests_(requests), lease_(lease), job_cache_(job_cache),
      quotas_(config) {
    for (const auto& partition : settings.partitions) {
        if (partition.node != settings.node) {
            peers_[partition.node];
        }
    }
}

bool LeaseExtender::store_responsive(Time now, Time contact) const {
    return now - contact < kSilent * heartbeat_interval_s_;
}

// ---- As the one who asks ----

void LeaseExtender::tick(Time now, Time contact, Time complete_to, const OnCancelled& cancelled) {
    if (store_responsive(now, contact) || now < next_request_) {
        return;
    }
    next_request_ = now + kAskAgain * max_extension_s_;
    for (const auto& [node, sibling] : peers_) {
        if (!sibling.in_flight) {
            request_extension(now, complete_to, node, cancelled);
        }
    }
}

void LeaseExtender::request_extension(Time now, Time complete_to, const std::string& node,
                                      const OnCancelled& cancelled) {
    peers_.at(node).in_flight = true;
    LeaseExtensionRequest request;
    request.partition = home_partition_;
    request.term = lease_.leads(home_partition_) ? lease_.term(home_partition_) : 0;
    request.duration_s = max_extension_s_;
    request.cancellations_age_s = std::max(0.0, now - complete_to);
    request.quota_revision = quotas_.revision();
    requests_.send(LeaseExtensionCall{node, request}, [this, node, request, cancelled, sent = now](
                                                          Time at, OutboundResponse& response) {
        Peer& sibling = peers_.at(node);
        sibling.in_flight = false;
        if (response.status != 200 || !response.lease_extension) {
            return;
        }
        for (const auto& change : response.lease_extension->quota_changes) { // promised or not
            quotas_.apply(at, change);
        }
        sibling.responded_at = at;
        sibling.store_reachable = response.lease_extension->store_reachable;
        bool current = request.term != 0 && lease_.leads(home_partition_) &&
                       lease_.term(home_partition_) == request.term;
        // It looked back by one lease more than it was asked to, for what came late.
        if (!response.lease_extension->granted || !current || at - sent > lease_s_) {
            return;
        }
        for (const auto& job : response.lease_extension->cancelled_jobs) {
            cancelled(at, job);
        }
        if (sibling.term != request.term) {
            sibling.term = request.term;
            sibling.extended_until = 0;
            sibling.cancellations_known_until = -1;
        }
        sibling.cancellations_known_until = std::max(sibling.cancellations_known_until, sent);
        // Its clock began to count when the question came, after it was sent.
        sibling.extended_until =
            std::max(sibling.extended_until, sent + request.duration_s * (1 - kMaxClockDrift));
        update_extension();
    });
}

// The earliest end of the promises of all siblings, each for the claim as it stands.
void LeaseExtender::update_extension() {
    std::uint64_t term = lease_.term(home_partition_);
    Time until = peers_.empty() ? 0 : peers_.begin()->second.extended_until;
    for (const auto& [node, sibling] : peers_) {
        until = sibling.term == term ? std::min(until, sibling.extended_until) : 0;
    }
    lease_.extend(home_partition_, until);
}

Time LeaseExtender::cancellations_known_until(std::uint64_t term) const {
    Time to = peers_.empty() ? -1 : peers_.begin()->second.cancellations_known_until;
    for (const auto& [node, sibling] : peers_) {
        to = sibling.term == term ? std::min(to, sibling.cancellations_known_until) : -1;
    }
    return to;
}

std::pair<bool, bool> LeaseExtender::recent_peers(Time now) const {
    bool any = false;
    bool reaches = false;
    for (const auto& [node, sibling] : peers_) {
        bool late = sibling.responded_at < 0 ||
                    now - sibling.responded_at > kLately * heartbeat_interval_s_;
        any = any || !late;
        reaches = reaches || (!late && sibling.store_reachable);
    }
    return {any, reaches};
}

bool LeaseExtender::is_isolated(Time now) const { return recent_peers(now).second; }

bool LeaseExtender::outage_is_cluster_wide(Time now) const {
    auto [any, reaches] = recent_peers(now);
    return any && !reaches;
}

// ---- As the one who promises ----

LeaseExtensionResponse LeaseExtender::handle_request(Time now, const LeaseExtensionRequest& request,
                                                     bool owns_or_claims, Time started,
                                                     Time contact) {
    LeaseExtensionResponse response;
    response.store_reachable = store_responsive(now, contact);
    response.quota_changes = quotas_.changes_since(request.quota_revision);
    if (request.term == 0 || response.store_reachable || owns_or_claims ||
        request.partition == home_partition_ || request.duration_s > max_extension_s_) {
        return response;
    }
    // Every user that was told of a cancelled job was told by some node; this one names all that it
    // has seen since the asking node's knowledge was complete, and one lease more, as the question
    // may have come late.
    Time since = now - request.cancellations_age_s - lease_s_;
    auto cancelled = job_cache_.cancelled_since(since);
    if (started > since || !cancelled) {
        return response;
    }
    response.granted = true;
    response.cancelled_jobs = std::move(*cancelled);
    Time& until = granted_until_[request.partition];
    until = std::max(until, now + request.duration_s * (1 + kMaxClockDrift));
    return response;
}

bool LeaseExtender::may_campaign(Time now, int partition, Time started) const {
    if (partition == home_partition_) {
        return true; // nobody else goes on with it on promises
    }
    auto it = granted_until_.find(partition);
    return now - started > max_extension_s_ * (1 + kMaxClockDrift) &&
           (it == granted_until_.end() || now > it->second);
}

} // namespace scheduler
