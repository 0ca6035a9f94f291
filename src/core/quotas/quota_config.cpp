#include "core/quotas/quota_config.h"

#include <algorithm>
#include <cmath>

#include "core/leadership/staleness_bound.h"

namespace scheduler {

namespace {
// Delay after a failed read or watch, in heartbeat intervals.
constexpr double kRetryDelayHeartbeats = 1.0 / 6;
constexpr std::size_t kMaxTeamNameBytes = 180; // the name is part of a key
} // namespace

std::string invalid_quota_reason(const TeamQuota& settings, const TeamQuota& changed) {
    struct Resource {
        const char* key;
        double guarantee;
        double limit;
        bool limited_by_settings;
        bool limited_by_change;
    };
    bool valid_name = !settings.name.empty() && settings.name.size() <= kMaxTeamNameBytes &&
                      std::none_of(settings.name.begin(), settings.name.end(),
                                   [](unsigned char c) { return c <= ' ' || c == 127; });
    if (!valid_name) {
        return "team: its name cannot be part of a key";
    }
    for (const Resource& resource : {Resource{"cpus", changed.guaranteed_cpus, changed.max_cpus,
                                              settings.limits_cpus(), changed.limits_cpus()},
                                     Resource{"gpus", changed.guaranteed_gpus, changed.max_gpus,
                                              settings.limits_gpus(), changed.limits_gpus()}}) {
        std::string key = resource.key;
        if (!std::isfinite(resource.guarantee) || resource.guarantee < 0) {
            return key + ": not a number of 0 or more";
        }
        if (!std::isfinite(resource.limit) || resource.limit < 0) {
            return key + "_max: not a number of 0 or more";
        }
        if (resource.limit > 0 && resource.guarantee > resource.limit) {
            std::string reason = key;
            reason.append(": above ").append(key).append("_max");
            return reason;
        }
        if (resource.limited_by_settings != resource.limited_by_change) {
            return key + (resource.limited_by_settings
                              ? ": the settings state some, so one of guarantee and limit "
                                "must be above 0"
                              : ": the settings state none for this team");
        }
    }
    return "";
}

QuotaConfig::QuotaConfig(const ClusterSettings& settings, OutboundRequests& requests,
                         OnEffective on_effective)
    : requests_(requests), on_effective_(std::move(on_effective)),
      bound_s_(StalenessBound::bound_s(settings)), watch_s_(StalenessBound::max_watch_s(settings)),
      retry_s_(kRetryDelayHeartbeats * settings.heartbeat_interval_s) {
    for (const auto& quota : settings.teams) {
        Team& team = quotas_[quota.name];
        team.settings = quota;
        team.quota = quota;
    }
}

bool QuotaConfig::is_current(Time now, Time leader_since) const {
    return known_until_ >= leader_since && now - known_until_ < bound_s_;
}

const TeamQuota* QuotaConfig::team(const std::string& name) const {
    auto it = quotas_.find(name);
    return it == quotas_.end() ? nullptr : &it->second.quota;
}

const TeamQuota* QuotaConfig::settings(const std::string& name) const {
    auto it = quotas_.find(name);
    return it == quotas_.end() ? nullptr : &it->second.settings;
}

bool QuotaConfig::is_blocked(const std::string& name) const {
    auto it = quotas_.find(name);
    return it != quotas_.end() && it->second.blocked;
}

std::vector<QuotaChange> QuotaConfig::changes_since(std::uint64_t revision) const {
    std::vector<QuotaChange> out;
    for (const auto& [name, team] : quotas_) {
        if (team.effective_revision > revision) {
            out.push_back({name, team.quota, team.effective_revision});
        }
    }
    return out;
}

QuotaStatus QuotaConfig::status(Time now, const std::string& name) const {
    QuotaStatus out;
    out.revision = revision_;
    out.age_s = std::max(0.0, now - known_until_);
    if (auto it = quotas_.find(name); it != quotas_.end()) {
        out.quota = it->second.quota;
        out.effective_revision = it->second.effective_revision;
        out.effective_for_s = std::max(0.0, now - it->second.effective_since);
        out.blocked = it->second.blocked;
    }
    return out;
}

void QuotaConfig::apply(Time now, const QuotaChange& change) {
    auto it = quotas_.find(change.team);
    if (it == quotas_.end()) {
        return; // only teams of the settings have quotas
    }
    Team& team = it->second;
    if (change.revision <= team.revision) {
        return;
    }
    team.revision = change.revision;
    std::string invalid_reason = change.quota ? invalid_quota_reason(team.settings, *change.quota)
                                              : std::string("cannot be read");
    if (!invalid_reason.empty()) {
        // The last valid quota stays in force. If none is known, no task of the team is started.
        team.blocked = team.effective_revision == 0 && !loaded_;
        requests_.log(LogLevel::error,
                      "event=record_unreadable key=" + std::string(kQuotaConfigPrefix) +
                          change.team + " reason=\"" + invalid_reason + "\"");
        if (team.blocked) {
            on_effective_(now, team.quota);
        }
        return;
    }
    team.quota = *change.quota;
    team.quota.name = change.team;
    team.effective_revision = change.revision;
    team.effective_since = now;
    team.blocked = false;
    requests_.log(LogLevel::info, "event=quota_updated team=" + change.team +
                                      " revision=" + std::to_string(change.revision) +
                                      " cpus=" + std::to_string(team.quota.guaranteed_cpus) +
                                      " cpus_max=" + std::to_string(team.quota.max_cpus) +
                                      " gpus=" + std::to_string(team.quota.guaranteed_gpus) +
                                      " gpus_max=" + std::to_string(team.quota.max_gpus));
    on_effective_(now, team.quota);
}

void QuotaConfig::apply(Time now, const KeyedRecord& entry) {
    QuotaChange change;
    change.team = entry.key.substr(sizeof(kQuotaConfigPrefix) - 1);
    change.revision = entry.version;
    if (const auto* record = std::get_if<QuotaRecord>(&entry.record)) {
        change.quota = record->quota;
    }
    apply(now, change);
}

void QuotaConfig::apply_entries(Time now, const OutboundResponse& response) {
    for (const auto& entry : response.entries) {
        apply(now, entry);
    }
}

// Handles teams without a key in a page that was read: if they had one, it was deleted before the
// revision of the read, and the quota of the settings applies again.
void QuotaConfig::apply_absent(Time now, const OutboundResponse& response,
                               const std::string& after) {
    std::map<std::string, bool> present;
    for (const auto& entry : response.entries) {
        present[entry.key] = true;
    }
    for (const auto& [name, team] : quotas_) {
        std::string key = kQuotaConfigPrefix + name;
        bool in_page = key > after && (!response.more || key <= response.entries.back().key);
        if (in_page && !present.contains(key) && team.revision > 0 &&
            team.revision < response.revision) {
            apply(now, {name, team.settings, response.revision});
        }
    }
}

void QuotaConfig::tick(Time now) {
    if (reading_ || watching_ || now < next_) {
        return;
    }
    if (reload_requested_ || !loaded_) {
        read(now, "", now);
    } else {
        watch(now);
    }
}

void QuotaConfig::reload(Time now) {
    reload_requested_ = true;
    if (!reading_) {
        read(now, "", now);
    }
}

void QuotaConfig::read(Time now, const std::string& after, Time begun) {
    if (after.empty()) {
        reload_requested_ = false;
    }
    next_ = now + retry_s_;
    reading_ = requests_.send_to_store(
        now, StoreRateLimiter::Use::user, StoreRange{kQuotaConfigPrefix, after},
        [this, after, begun](Time at, OutboundResponse& response) {
            reading_ = false;
            if (response.status != 200 || (response.more && response.entries.empty())) {
                reload_requested_ = true;
                next_ = at + retry_s_;
                return;
            }
            if (after.empty()) {
                reading_revision_ = response.revision; // the watch reports later changes
            }
            apply_entries(at, response);
            apply_absent(at, response, after);
            if (response.more) {
                read(at, response.entries.back().key, begun);
                if (!reading_) { // rejected by the rate limiter
                    reload_requested_ = true;
                }
                return;
            }
            loaded_ = true;
            revision_ = std::max(revision_, reading_revision_);
            advance(begun);
            next_ = at;
            tick(at);
        });
    if (!reading_) {
        reload_requested_ = true;
    }
}

void QuotaConfig::watch(Time now) {
    next_ = now + retry_s_;
    watching_ = requests_.send_to_store(
        now, StoreRateLimiter::Use::user, StoreWatch{kQuotaConfigPrefix, revision_, watch_s_},
        [this, sent = now](Time at, OutboundResponse& response) {
            watching_ = false;
            if (response.status != 200) {
                // A read returns missed changes at once, a new watch only when it ends.
                reload_requested_ = true;
                next_ = at + retry_s_;
                return;
            }
            apply_entries(at, response);
            for (const auto& key : response.deleted) {
                std::string name = key.substr(sizeof(kQuotaConfigPrefix) - 1);
                if (auto it = quotas_.find(name); it != quotas_.end()) {
                    apply(at, {name, it->second.settings, response.revision});
                }
            }
            revision_ = std::max(revision_, response.revision);
            // Not to the time of the response, which may have been delayed while the store
            // rejected requests.
            advance(sent);
            next_ = at;
            tick(at);
        });
}

} // namespace scheduler
