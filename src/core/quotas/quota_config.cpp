#include "core/quotas/quota_config.h"

#include <algorithm>
#include <cmath>

#include "core/leadership/staleness_bound.h"

namespace scheduler {

namespace {
constexpr double kRetryHeartbeats = 1.0 / 6; // heartbeat intervals after a failed read or watch
constexpr std::size_t kMaxNameLength = 180;  // of a team, in bytes: it is part of a key
} // namespace

std::string invalid_quota_reason(const TeamQuota& settings, const TeamQuota& changed) {
    struct Measure {
        const char* key;
        double guarantee;
        double limit;
        bool limited_by_settings;
        bool limited_by_change;
    };
    bool valid_name = !settings.name.empty() && settings.name.size() <= kMaxNameLength &&
                      std::none_of(settings.name.begin(), settings.name.end(),
                                   [](unsigned char c) { return c <= ' ' || c == 127; });
    if (!valid_name) {
        return "team: its name cannot be part of a key";
    }
    for (const Measure& m : {Measure{"cpus", changed.guaranteed_cpus, changed.max_cpus,
                                     settings.limits_cpus(), changed.limits_cpus()},
                             Measure{"gpus", changed.guaranteed_gpus, changed.max_gpus,
                                     settings.limits_gpus(), changed.limits_gpus()}}) {
        std::string key = m.key;
        if (!std::isfinite(m.guarantee) || m.guarantee < 0) {
            return key + ": not a number of 0 or more";
        }
        if (!std::isfinite(m.limit) || m.limit < 0) {
            return key + "_max: not a number of 0 or more";
        }
        if (m.limit > 0 && m.guarantee > m.limit) {
            std::string reason = key;
            reason.append(": above ").append(key).append("_max");
            return reason;
        }
        if (m.limited_by_settings != m.limited_by_change) {
            return key + (m.limited_by_settings
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
      retry_s_(kRetryHeartbeats * settings.heartbeat_interval_s) {
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
    for (const auto& [name, t] : quotas_) {
        if (t.effective_revision > revision) {
            out.push_back({name, t.quota, t.effective_revision});
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
        return; // only teams of the settings may change
    }
    Team& t = it->second;
    if (change.revision <= t.revision) {
        return;
    }
    t.revision = change.revision;
    std::string fault = change.quota ? invalid_quota_reason(t.settings, *change.quota)
                                     : std::string("cannot be read");
    if (!fault.empty()) {
        // The last valid quota stays in force; where none is known, nothing of the team is started.
        t.blocked = t.effective_revision == 0 && !loaded_;
        requests_.log(LogLevel::error,
                      "event=record_unreadable key=" + std::string(kQuotaConfigPrefix) +
                          change.team + " reason=\"" + fault + "\"");
        if (t.blocked) {
            on_effective_(now, t.quota);
        }
        return;
    }
    t.quota = *change.quota;
    t.quota.name = change.team;
    t.effective_revision = change.revision;
    t.effective_since = now;
    t.blocked = false;
    requests_.log(LogLevel::info, "event=quota_updated team=" + change.team +
                                      " revision=" + std::to_string(change.revision) +
                                      " cpus=" + std::to_string(t.quota.guaranteed_cpus) +
                                      " cpus_max=" + std::to_string(t.quota.max_cpus) +
                                      " gpus=" + std::to_string(t.quota.guaranteed_gpus) +
                                      " gpus_max=" + std::to_string(t.quota.max_gpus));
    on_effective_(now, t.quota);
}

void QuotaConfig::apply(Time now, const KeyedRecord& item) {
    QuotaChange change;
    change.team = item.key.substr(sizeof(kQuotaConfigPrefix) - 1);
    change.revision = item.version;
    if (const auto* record = std::get_if<QuotaRecord>(&item.record)) {
        change.quota = record->quota;
    }
    apply(now, change);
}

void QuotaConfig::apply_entries(Time now, const OutboundResponse& response) {
    for (const auto& item : response.entries) {
        apply(now, item);
    }
}

// A key that a read lacks was deleted by the revision of the read: the team is as in the settings.
void QuotaConfig::apply_absent(Time now, const OutboundResponse& response,
                               const std::string& after) {
    std::map<std::string, bool> present;
    for (const auto& item : response.entries) {
        present[item.key] = true;
    }
    for (const auto& [name, t] : quotas_) {
        std::string key = kQuotaConfigPrefix + name;
        bool in_page = key > after && (!response.more || key <= response.entries.back().key);
        if (in_page && !present.contains(key) && t.revision > 0 && t.revision < response.revision) {
            apply(now, {name, t.settings, response.revision});
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
                reading_revision_ = response.revision; // later changes come by watch
            }
            apply_entries(at, response);
            apply_absent(at, response, after);
            if (response.more) {
                read(at, response.entries.back().key, begun);
                if (!reading_) { // refused by the rate limiter
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
                // A read brings what the watch missed at once, a new watch only as it ends.
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
            // Not to the time of the response: it may have been held up while the store refused.
            advance(sent);
            next_ = at;
            tick(at);
        });
}

} // namespace scheduler
