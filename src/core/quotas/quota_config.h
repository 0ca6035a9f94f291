// The guarantees and limits of the teams as they are in force at this node: those of the settings
// file, and the changes under config/team/ at the state service. See docs/configuration.md.
#pragma once

#include <functional>

#include "core/messaging/outbound_requests.h"
#include "core/model/partition_assignment.h"
#include "core/quotas/quota_ledger.h"

namespace scheduler {

// Why the settings' team may not be changed so; empty: it may. The key at fault comes first.
std::string invalid_quota_reason(const TeamQuota& settings, const TeamQuota& changed);

class QuotaConfig {
  public:
    // Is told of each change that comes into force.
    using OnEffective = std::function<void(Time, const TeamQuota&)>;
    QuotaConfig(const ClusterSettings& settings, OutboundRequests& requests, OnEffective in_force);

    void tick(Time now);
    // A part was claimed: what its owner before had in force is to be known.
    void reload(Time now);
    // What siblings name, or the state service. Older than what is known: passed over.
    void apply(Time now, const QuotaChange& change);
    void apply(Time now, const KeyedRecord& item); // of config/team/
    // Every change that was written by then is known here.
    void advance(Time to) { known_until_ = std::max(known_until_, to); }
    // May an owner whose claim began then start tasks under what is in force?
    bool is_known(Time now, Time claimed) const;

    // Null: not a team of the settings.
    const TeamQuota* team(const std::string& name) const;
    // As in the settings; null: not a team of these.
    const TeamQuota* settings(const std::string& name) const;
    // The teams whose key has held nothing good since this process started.
    bool is_blocked(const std::string& name) const;
    // Changes above the revision, for siblings.
    std::vector<QuotaChange> changes_since(std::uint64_t revision) const;
    // Every change up to this revision is in force.
    std::uint64_t revision() const { return revision_; }
    // How the team stands, for operators.
    QuotaStatus status(Time now, const std::string& name) const;

  private:
    struct Team {
        TeamQuota settings;
        TeamQuota quota;            // in force
        std::uint64_t revision = 0; // of its last change, good or not; 0: as in the settings
        std::uint64_t effective_revision = 0; // of the change in force
        Time effective_since = 0;             // in force here since then
        bool blocked = false;
    };
    void read(Time now, const std::string& after, Time begun);
    void watch(Time now);
    void apply_entries(Time now, const OutboundResponse& response);
    void apply_absent(Time now, const OutboundResponse& response, const std::string& after);

    OutboundRequests& requests_;
    OnEffective on_effective_;
    double bound_s_;
    double watch_s_;
    double retry_s_;
    std::map<std::string, Team> quotas_;
    std::uint64_t revision_ = 0;
    std::uint64_t reading_revision_ = 0; // of the first page of the read under way
    Time known_until_ = -1e9;
    Time next_ = 0;
    bool reading_ = false;
    bool reload_requested_ = false; // the read under way may be older than what is asked for
    bool loaded_ = false;
    bool watching_ = false;
};

} // namespace scheduler
