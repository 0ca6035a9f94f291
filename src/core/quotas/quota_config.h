// The quotas of the teams in force at this controller: those of the settings file, with the changes
// under config/team/ in the store. See docs/configuration.md.
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

// Checks a change of the quota that the settings have for a team. Returns an empty string if the
// change is valid, otherwise the reason, which starts with the key at fault.
std::string invalid_quota_reason(const TeamQuota& settings, const TeamQuota& changed);

// Keeps track of the quota records in the store: reads all of them, then watches for changes, and
// reads again whenever a watch may have missed changes. Not thread-safe.
class QuotaConfig {
  public:
    // Called for each change when it comes into force.
    using OnEffective = std::function<void(Time, const TeamQuota&)>;
    QuotaConfig(const ClusterSettings& settings, OutboundRequests& requests,
                OnEffective on_effective);

    // Starts the next read or watch if one is due. To be called on every timer tick.
    void tick(Time now);
    // Reads all records again. To be called when this controller becomes the leader of a partition,
    // because it must apply at least the changes that the previous leader applied.
    void reload(Time now);
    // Applies a change received from a peer. Ignores it if it is not newer than the known one.
    void apply(Time now, const QuotaChange& change);
    // Applies a record under config/team/ as the store returned it.
    void apply(Time now, const KeyedRecord& entry);
    // Records that every change written up to the time `to` is known here.
    void advance(Time to) { known_until_ = std::max(known_until_, to); }
    // Returns whether a leader whose leadership began at `leader_since` may start tasks under the
    // quotas in force: these must be no older than its leadership and than the staleness bound.
    bool is_current(Time now, Time leader_since) const;

    // Returns the quota in force, or null if the settings have no such team.
    const TeamQuota* team(const std::string& name) const;
    // Returns the quota of the settings, or null if they have no such team.
    const TeamQuota* settings(const std::string& name) const;
    // Returns whether the team's key has had no valid record since this process started.
    bool is_blocked(const std::string& name) const;
    // Returns the changes in force with a higher revision, to be sent to peers.
    std::vector<QuotaChange> changes_since(std::uint64_t revision) const;
    // Returns the revision up to which every change is in force.
    std::uint64_t revision() const { return revision_; }
    // Returns the state of the team's quota, for operators.
    QuotaStatus status(Time now, const std::string& name) const;

  private:
    struct Team {
        TeamQuota settings;
        TeamQuota quota;                      // in force
        std::uint64_t revision = 0;           // of the last change, valid or not; 0: no change
        std::uint64_t effective_revision = 0; // of the change in force
        Time effective_since = 0;
        bool blocked = false; // no valid quota is known: no task of the team is started
    };
    // Reads the page of records after the key `after`. `begun`: when the first page was requested.
    void read(Time now, const std::string& after, Time begun);
    void watch(Time now);
    void apply_entries(Time now, const OutboundResponse& response);
    void apply_absent(Time now, const OutboundResponse& response, const std::string& after);

    OutboundRequests& requests_;
    OnEffective on_effective_;
    double bound_s_; // staleness bound
    double watch_s_; // longest wait of a watch
    double retry_s_; // delay after a failure
    std::map<std::string, Team> quotas_;
    std::uint64_t revision_ = 0;         // every change up to it is in force
    std::uint64_t reading_revision_ = 0; // of the first page of the read in flight
    Time known_until_ = -1e9;            // see advance; initially never
    Time next_ = 0;                      // earliest time of the next read or watch
    bool reading_ = false;
    bool reload_requested_ = false; // a read that starts from now on is needed
    bool loaded_ = false;           // a read has completed
    bool watching_ = false;
};

} // namespace scheduler
