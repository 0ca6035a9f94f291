// Lease extensions between peers, which keep leaders active during a store outage that is longer
// than their leases. A controller continues to lead its home partition while every peer has agreed
// not to campaign for it for a stated time. See "An outage of the store longer than any lease" in
// docs/design.md for the argument.
//
// The requester sends requests to all peers repeatedly while the store does not respond to it, and
// counts each extension from when it sent the request. The granter grants only while the store does
// not respond to it either, and counts from when the request arrived. Grants are kept only in
// memory, so a controller that has just started does not campaign for the partitions of its peers
// for as long as the longest extension. Times are seconds on this controller's steady clock.
#pragma once

#include <functional>
#include <optional>

#include "core/jobs/job_record_cache.h"
#include "core/leadership/leadership_lease.h"
#include "core/messaging/outbound_requests.h"
#include "core/quotas/quota_config.h"

namespace scheduler {

class LeaseExtender {
  public:
    // `max_extension_s` is the duration requested, and the longest duration granted.
    LeaseExtender(const ClusterSettings& settings, double max_extension_s,
                  OutboundRequests& requests, LeadershipLease& lease,
                  const JobRecordCache& job_cache, QuotaConfig& quota_config);

    // Whether the store responded recently. `last_response` is the time of its last response; empty
    // if it has not responded to this process yet.
    bool store_responsive(Time now, std::optional<Time> last_response) const;

    // ---- Requesting extensions ----
    // Requests extensions from all peers while the store is not responsive. Every cancellation that
    // any controller had seen by `known_until` is known here. `cancelled` is called for each job
    // that a peer has seen cancelled since, before that peer's extension takes effect.
    using OnCancelled = std::function<void(Time, const std::string&)>;
    void tick(Time now, std::optional<Time> last_response, Time known_until,
              const OnCancelled& cancelled);
    // The time up to which all peers, under the leadership of this term, have named every
    // cancellation that they had seen. Negative: unknown.
    Time cancellations_known_until(std::uint64_t term) const;
    // Whether a peer has recently reported that it reaches the store. While the store does not
    // respond here, that means this controller is cut off from it.
    bool is_isolated(Time now) const;
    // Whether peers have responded recently and none of them reaches the store.
    bool outage_is_cluster_wide(Time now) const;

    // ---- Granting extensions ----
    // Grants or refuses an extension. `leads_or_campaigns`: this controller leads the requested
    // partition or campaigns for it. `started` is when this process started.
    LeaseExtensionResponse handle_request(Time now, const LeaseExtensionRequest& request,
                                          bool leads_or_campaigns, Time started,
                                          std::optional<Time> last_response);
    // Whether the extensions granted so far let this controller campaign for the partition now.
    bool may_campaign(Time now, int partition, Time started) const;

  private:
    static constexpr Time kNeverKnown = -1;
    struct Peer {
        bool in_flight = false; // a request to the peer
        std::optional<Time> responded_at;
        bool store_reachable = false; // according to its last response
        std::uint64_t term = 0;       // to which the next two members apply
        Time extended_until = 0;
        // The peer has named every cancellation that it had seen by then.
        Time cancellations_known_until = kNeverKnown;
    };
    struct PeerContact {
        bool any_responded = false;
        bool any_reaches_store = false;
    };
    void request_extension(Time now, Time known_until, const std::string& node,
                           const OnCancelled& cancelled);
    void on_response(Time now, Time sent, Peer& peer, const LeaseExtensionRequest& request,
                     const LeaseExtensionResponse& response, const OnCancelled& cancelled);
    void update_extension();
    // Summarizes the recent responses of peers.
    PeerContact recent_contact(Time now) const;

    int home_partition_;
    double heartbeat_interval_s_;
    double worker_lease_s_;
    double max_extension_s_;
    OutboundRequests& requests_;
    LeadershipLease& lease_;
    const JobRecordCache& job_cache_;
    QuotaConfig& quota_config_;
    std::map<std::string, Peer> peers_; // by node
    std::map<int, Time> granted_until_; // by partition
    Time next_request_ = 0;
};

} // namespace scheduler
