// The teams' quotas as they are in force at this controller: those of the settings file, and the
// changes under config/team/ in the store. See docs/configuration.md.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/messaging/outbound_requests.h"
#include "core/model/partition_assignment.h"
#include "core/quotas/quota_ledger.h"

namespace scheduler {

// Why the team of the settings may not be changed so; empty: it may. The reason starts with the key
// at fault.
std::string invalid_quota_reason(const TeamQuota& settings, const TeamQuota& changed);

// Follows the store's quota records: reads all of them, then watches for changes, and reads again
// after whatever a watch may have missed. Not thread-safe.
class QuotaConfig {
  public:
    // Called for each change that comes into force.
    using OnEffective = std::function<void(Time, const TeamQuota&)>;
    QuotaConfig(const ClusterSettings& settings, OutboundRequests& requests,
                OnEffective on_effective);

    // Called at every timer tick: starts the next read or watch.
    void tick(Time now);
    // This controller became the leader of a partition and must know what the leader before it had
    // in force.
    void reload(Time now);
    // A change that a peer names. One that is no newer than what is known is ignored.
    void apply(Time now, const QuotaChange& change);
    // A record under config/team/, as the store returned it.
    void apply(Time now, const KeyedRecord& item);
    // Every change that was written by `to` is known here.
    void advance(Time to) { known_until_ = std::max(known_until_, to); }
    // Whether a leader whose leadership began at `leader_since` may start tasks under the quotas in
    // force: they are no older than its leadership, nor than the staleness bound.
    bool is_current(Time now, Time leader_since) const;

    // The quota in force; null: not a team of the settings.
    const TeamQuota* team(const std::string& name) const;
    // The quota of the settings; null: not a team of these.
    const TeamQuota* settings(const std::string& name) const;
    // Whether the team's key has held nothing valid since this process started.
    bool is_blocked(const std::string& name) const;
    // The changes in force above the revision, for peers.
    std::vector<QuotaChange> changes_since(std::uint64_t revision) const;
    // Every change up to this revision is in force.
    std::uint64_t revision() const { return revision_; }
    // How the team's quota stands, for operators.
    QuotaStatus status(Time now, const std::string& name) const;

  private:
    struct Team {
        TeamQuota settings;
        TeamQuota quota;            // in force
        std::uint64_t revision = 0; // of its last change, valid or not; 0: as in the settings
        std::uint64_t effective_revision = 0; // of the change in force
        Time effective_since = 0;
        bool blocked = false; // no valid quota is known: nothing of the team is started
    };
    // Reads the page of records after that key; `begun`: when the read of the first page began.
    void read(Time now, const std::string& after, Time begun);
    void watch(Time now);
    void apply_entries(Time now, const OutboundResponse& response);
    void apply_absent(Time now, const OutboundResponse& response, const std::string& after);

    OutboundRequests& requests_;
    OnEffective on_effective_;
    double bound_s_; // staleness bound
    double watch_s_; // how long a watch waits
    double retry_s_; // between a failure and the next try
    std::map<std::string, Team> quotas_;
    std::uint64_t revision_ = 0;         // up to which every change is in force
    std::uint64_t reading_revision_ = 0; // of the first page of the read under way
    Time known_until_ = -1e9;            // see advance; never yet
    Time next_ = 0;                      // no read or watch before then
    bool reading_ = false;
    bool reload_requested_ = false; // the read under way may be older than what is asked for
    bool loaded_ = false;           // a read has been completed
    bool watching_ = false;
};

} // namespace scheduler
