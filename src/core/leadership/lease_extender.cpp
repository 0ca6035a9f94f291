#include "core/leadership/lease_extender.h"

#include <algorithm>

namespace scheduler {

namespace {
// The store counts as unresponsive after this fraction of a heartbeat interval without a response.
// In normal operation it responds at least every third of an interval.
constexpr double kStoreTimeoutHeartbeats = 0.5;
// Time between two requests to a peer, as a fraction of the longest extension.
constexpr double kRequestIntervalExtensions = 1.0 / 8;
// A response states whether the peer reaches the store; it is valid for this many heartbeat
// intervals.
constexpr double kPeerStatusHeartbeats = 1.0;
} // namespace

LeaseExtender::LeaseExtender(const ClusterSettings& settings, double max_extension_s,
                             OutboundRequests& requests, LeadershipLease& lease,
                             const JobRecordCache& job_cache, QuotaConfig& quota_config)
    : home_partition_(settings.home_partition),
      heartbeat_interval_s_(settings.heartbeat_interval_s),
      worker_lease_s_(settings.worker_lease_s), max_extension_s_(max_extension_s),
      requests_(requests), lease_(lease), job_cache_(job_cache), quota_config_(quota_config) {
    for (const auto& partition : settings.partitions) {
        if (partition.node != settings.node) {
            peers_[partition.node];
        }
    }
}

bool LeaseExtender::store_responsive(Time now, std::optional<Time> last_response) const {
    return last_response && now - *last_response < kStoreTimeoutHeartbeats * heartbeat_interval_s_;
}

// ---- Requesting extensions ----

void LeaseExtender::tick(Time now, std::optional<Time> last_response, Time known_until,
                         const OnCancelled& cancelled) {
    if (store_responsive(now, last_response) || now < next_request_) {
        return;
    }
    next_request_ = now + kRequestIntervalExtensions * max_extension_s_;
    for (const auto& [node, peer] : peers_) {
        if (!peer.in_flight) {
            request_extension(now, known_until, node, cancelled);
        }
    }
}

void LeaseExtender::request_extension(Time now, Time known_until, const std::string& node,
                                      const OnCancelled& cancelled) {
    peers_.at(node).in_flight = true;
    LeaseExtensionRequest request;
    request.partition = home_partition_;
    request.term = lease_.leads(home_partition_) ? lease_.term(home_partition_) : 0;
    request.duration_s = max_extension_s_;
    request.cancellations_age_s = std::max(0.0, now - known_until);
    request.quota_revision = quota_config_.revision();
    requests_.send(LeaseExtensionCall{node, request}, [this, node, request, cancelled, sent = now](
                                                          Time at, OutboundResponse& response) {
        Peer& peer = peers_.at(node);
        peer.in_flight = false;
        if (response.status == 200 && response.lease_extension) {
            on_response(at, sent, peer, request, *response.lease_extension, cancelled);
        }
    });
}

void LeaseExtender::on_response(Time now, Time sent, Peer& peer,
                                const LeaseExtensionRequest& request,
                                const LeaseExtensionResponse& response,
                                const OnCancelled& cancelled) {
    for (const auto& change : response.quota_changes) { // valid even if the extension was refused
        quota_config_.apply(now, change);
    }
    peer.responded_at = now;
    peer.store_reachable = response.store_reachable;
    bool current = request.term != 0 && lease_.leads(home_partition_) &&
                   lease_.term(home_partition_) == request.term;
    // The peer names cancellations from one worker lease earlier than requested, which allows for
    // a late request. If the round trip took longer than that, the response may lack a
    // cancellation.
    if (!response.granted || !current || now - sent > worker_lease_s_) {
        return;
    }
    for (const auto& job : response.cancelled_jobs) {
        cancelled(now, job);
    }
    if (peer.term != request.term) {
        peer.term = request.term;
        peer.extended_until = 0;
        peer.cancellations_known_until = kNeverKnown;
    }
    peer.cancellations_known_until = std::max(peer.cancellations_known_until, sent);
    // The peer counts from when the request arrived, which was after it was sent.
    peer.extended_until =
        std::max(peer.extended_until, sent + request.duration_s * (1 - kMaxClockDrift));
    update_extension();
}

// Extends the lease until the first of the extensions of all peers expires. Each must have been
// granted for the current term.
void LeaseExtender::update_extension() {
    std::uint64_t term = lease_.term(home_partition_);
    Time until = peers_.empty() ? 0 : peers_.begin()->second.extended_until;
    for (const auto& [node, peer] : peers_) {
        until = peer.term == term ? std::min(until, peer.extended_until) : 0;
    }
    lease_.extend(home_partition_, until);
}

Time LeaseExtender::cancellations_known_until(std::uint64_t term) const {
    Time until = peers_.empty() ? kNeverKnown : peers_.begin()->second.cancellations_known_until;
    for (const auto& [node, peer] : peers_) {
        until = peer.term == term ? std::min(until, peer.cancellations_known_until) : kNeverKnown;
    }
    return until;
}

LeaseExtender::PeerContact LeaseExtender::recent_contact(Time now) const {
    PeerContact contact;
    for (const auto& [node, peer] : peers_) {
        if (peer.responded_at &&
            now - *peer.responded_at <= kPeerStatusHeartbeats * heartbeat_interval_s_) {
            contact.any_responded = true;
            contact.any_reaches_store = contact.any_reaches_store || peer.store_reachable;
        }
    }
    return contact;
}

bool LeaseExtender::is_isolated(Time now) const { return recent_contact(now).any_reaches_store; }

bool LeaseExtender::outage_is_cluster_wide(Time now) const {
    PeerContact contact = recent_contact(now);
    return contact.any_responded && !contact.any_reaches_store;
}

// ---- Granting extensions ----

LeaseExtensionResponse LeaseExtender::handle_request(Time now, const LeaseExtensionRequest& request,
                                                     bool leads_or_campaigns, Time started,
                                                     std::optional<Time> last_response) {
    LeaseExtensionResponse response;
    response.store_reachable = store_responsive(now, last_response);
    response.quota_changes = quota_config_.changes_since(request.quota_revision);
    if (request.term == 0 || response.store_reachable || leads_or_campaigns ||
        request.partition == home_partition_ || request.duration_s > max_extension_s_) {
        return response;
    }
    // Any cancellation confirmed to a user was confirmed by some controller. This one names all
    // that it has seen since the requester's knowledge was complete, and for one worker lease
    // before that, because the request may have arrived late.
    Time since = now - request.cancellations_age_s - worker_lease_s_;
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
        return true; // no other controller leads it under an extension
    }
    auto it = granted_until_.find(partition);
    return now - started > max_extension_s_ * (1 + kMaxClockDrift) &&
           (it == granted_until_.end() || now > it->second);
}

} // namespace scheduler
