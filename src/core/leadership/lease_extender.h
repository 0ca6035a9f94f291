// Promises between siblings, by which owners outlive an outage of the state service that is longer
// than their leases. While every sibling has promised not to claim a node's home part for a stated
// time, the node goes on with it. See "A state outage longer than any lease" in docs/design.md for
// the argument.
//
// The node's side: it asks every sibling again and again while the state service does not answer
// it, and counts each promise from the sending of the question. The sibling's side: it promises
// only while the state service does not answer it either, and counts from the coming of the
// question; a promise is kept in memory alone, so a node that has just started claims no sibling's
// part for the longest one.
#pragma once

#include <functional>

#include "core/jobs/job_record_cache.h"
#include "core/leadership/leadership_lease.h"
#include "core/messaging/outbound_requests.h"
#include "core/quotas/quota_config.h"

namespace scheduler {

class LeaseExtender {
  public:
    // `longest_s`: what a promise is asked for, and the most that one is given for.
    LeaseExtender(const ClusterSettings& settings, double longest_s, OutboundRequests& requests,
                  LeadershipLease& lease, const JobRecordCache& job_cache, QuotaConfig& config);

    // Has the state service, which answered last at `contact`, answered of late?
    bool store_responsive(Time now, Time contact) const;

    // ---- As the one who asks ----
    // `contact`: when the state service last answered this node. `complete_to`: every cancellation
    // that any node had seen by then is known here. `cancelled` is told of each job that siblings
    // have seen cancelled since, before their promise counts.
    using OnCancelled = std::function<void(Time, const std::string&)>;
    void tick(Time now, Time contact, Time complete_to, const OnCancelled& cancelled);
    // Every cancellation that any node had seen by then has been named to this node, under the
    // claim of this term: all siblings have said so.
    Time cancellations_known_until(std::uint64_t term) const;
    // A sibling has the state service and this node has not: it alone is cut off.
    bool is_isolated(Time now) const;
    // Siblings have answered of late, and none of them has the state service either.
    bool outage_is_cluster_wide(Time now) const;

    // ---- As the one who promises ----
    // `owns_or_claims`: this node has the part or is after it.
    LeaseExtensionResponse handle_request(Time now, const LeaseExtensionRequest& request,
                                          bool owns_or_claims, Time started, Time contact);
    // May this node claim the part now, as far as promises go?
    bool may_campaign(Time now, int partition, Time started) const;

  private:
    struct Peer {
        bool in_flight = false;
        Time responded_at = -1; // never
        bool store_reachable = false;
        std::uint64_t term = 0;
        Time extended_until = 0; // of its promise for that term
        Time cancellations_known_until =
            -1; // what it had seen cancelled by then, it has named under that term
    };
    void request_extension(Time now, Time complete_to, const std::string& node,
                           const OnCancelled& cancelled);
    void update_extension();
    std::pair<bool, bool>
    recent_peers(Time now) const; // some sibling answered; one has the service

    int home_partition_;
    double heartbeat_interval_s_;
    double lease_s_;
    double max_extension_s_;
    OutboundRequests& requests_;
    LeadershipLease& lease_;
    const JobRecordCache& job_cache_;
    QuotaConfig& quotas_;
    std::map<std::string, Peer> peers_; // by node
    std::map<int, Time> granted_until_; // until when, by part
    Time next_request_ = 0;
};

} // namespace scheduler
