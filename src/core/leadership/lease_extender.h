// Lease extensions between peers, by which leaders outlive a store outage that is longer than their
// leases. While every peer has agreed not to campaign for a controller's home partition for a
// stated time, the controller goes on leading it. See "An outage of the store longer than any
// lease" in docs/design.md for the argument.
//
// The requester's side: it asks every peer again and again while the store does not respond to it,
// and counts each extension from the sending of the request. The granter's side: it grants only
// while the store does not respond to it either, and counts from the arrival of the request; what
// it granted is kept in memory alone, so a controller that has just started campaigns for no peer's
// partition during the longest extension. Times in seconds of this controller's steady clock.
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
    // `max_extension_s`: the duration that is requested, and the longest that is granted.
    LeaseExtender(const ClusterSettings& settings, double max_extension_s,
                  OutboundRequests& requests, LeadershipLease& lease,
                  const JobRecordCache& job_cache, QuotaConfig& quota_config);

    // Whether the store, whose last response came at `last_response`, responded recently. Empty: it
    // has not responded to this process yet.
    bool store_responsive(Time now, std::optional<Time> last_response) const;

    // ---- Requesting extensions ----
    // Asks all peers when the store is not responsive. `known_until`: every cancellation that any
    // controller had seen by then is known here. `cancelled` is called for each job that peers have
    // seen cancelled since, before their extension counts.
    using OnCancelled = std::function<void(Time, const std::string&)>;
    void tick(Time now, std::optional<Time> last_response, Time known_until,
              const OnCancelled& cancelled);
    // Every cancellation that any controller had seen by then has been named to this one, under the
    // leadership of this term: all peers have said so. Negative: not known.
    Time cancellations_known_until(std::uint64_t term) const;
    // A peer reaches the store and this controller does not: it alone is cut off.
    bool is_isolated(Time now) const;
    // Peers have responded recently, and none of them reaches the store either.
    bool outage_is_cluster_wide(Time now) const;

    // ---- Granting extensions ----
    // `leads_or_campaigns`: this controller leads the requested partition or campaigns for it.
    LeaseExtensionResponse handle_request(Time now, const LeaseExtensionRequest& request,
                                          bool leads_or_campaigns, Time started,
                                          std::optional<Time> last_response);
    // Whether the extensions granted so far let this controller campaign for the partition now.
    bool may_campaign(Time now, int partition, Time started) const;

  private:
    static constexpr Time kNeverKnown = -1;
    struct Peer {
        bool in_flight = false; // a request to it
        std::optional<Time> responded_at;
        bool store_reachable = false; // by its last response
        std::uint64_t term = 0;       // that the next two members are about
        Time extended_until = 0;
        // It has named every cancellation that it had seen by then.
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
    // Of the recent responses.
    PeerContact recent_contact(Time now) const;

    int home_partition_;
    double heartbeat_interval_s_;
    double worker_lease_s_; // of workers
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
