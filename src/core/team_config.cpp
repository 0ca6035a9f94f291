#include "core/team_config.h"

#include <algorithm>
#include <cmath>

#include "core/freshness.h"

namespace orchidlanding {

namespace {
constexpr double kAgain = 1.0 / 6; // report times after a read or watch that failed
constexpr std::size_t kLongestName = 180;
} // namespace

std::string team_fault(const TeamFacts& settings, const TeamFacts& changed) {
    struct Measure {
        const char* key;
        double guarantee;
        double limit;
        bool stated;
        bool states;
    };
    bool name = !settings.name.empty() && settings.name.size() <= kLongestName &&
                std::none_of(settings.name.begin(), settings.name.end(),
                             [](unsigned char c) { return c <= ' ' || c == 127; });
    if (!name) {
        return "team: its name cannot be part of a key";
    }
    for (const Measure& m : {Measure{"cpus", changed.cpus, changed.cpus_max, settings.states_cpus(),
                                     changed.states_cpus()},
                             Measure{"gpus", changed.gpus, changed.gpus_max, settings.states_gpus(),
                                     changed.states_gpus()}}) {
        std::string key = m.key;
        if (!std::isfinite(m.guarantee) || m.guarantee < 0) {
            return key + ": not a number of 0 or more";
        }
        if (!std::isfinite(m.limit) || m.limit < 0) {
            return key + "_max: not a number of 0 or more";
        }
        if (m.limit > 0 && m.guarantee > m.limit) {
            return key + ": above " + key + "_max";
        }
        if (m.stated != m.states) {
            return key + (m.stated ? ": the settings state some, so one of guarantee and limit "
                                     "must be above 0"
                                   : ": the settings state none for this team");
        }
    }
    return "";
}

TeamConfig::TeamConfig(const Facts& facts, Calls& calls, InForce in_force)
    : calls_(calls), in_force_(std::move(in_force)), bound_s_(Freshness::bound_s(facts)),
      watch_s_(Freshness::watch_s(facts)), again_s_(kAgain * facts.report_s) {
    for (const auto& t : facts.teams) {
        Team& team = teams_[t.name];
        team.settings = t;
        team.facts = t;
    }
}

bool TeamConfig::known(Time now, Time claimed) const {
    return complete_to_ >= claimed && now - complete_to_ < bound_s_;
}

const TeamFacts* TeamConfig::team(const std::string& name) const {
    auto it = teams_.find(name);
    return it == teams_.end() ? nullptr : &it->second.facts;
}

const TeamFacts* TeamConfig::settings(const std::string& name) const {
    auto it = teams_.find(name);
    return it == teams_.end() ? nullptr : &it->second.settings;
}

bool TeamConfig::held(const std::string& name) const {
    auto it = teams_.find(name);
    return it != teams_.end() && it->second.held;
}

std::vector<TeamChange> TeamConfig::since(std::uint64_t revision) const {
    std::vector<TeamChange> out;
    for (const auto& [name, t] : teams_) {
        if (t.in_force > revision) {
            out.push_back({name, t.facts, t.in_force});
        }
    }
    return out;
}

TeamStanding TeamConfig::standing(Time now, const std::string& name) const {
    TeamStanding out;
    out.revision = revision_;
    out.age_s = std::max(0.0, now - complete_to_);
    if (auto it = teams_.find(name); it != teams_.end()) {
        out.facts = it->second.facts;
        out.in_force = it->second.in_force;
        out.since_s = std::max(0.0, now - it->second.since);
        out.held = it->second.held;
    }
    return out;
}

void TeamConfig::take(Time now, const TeamChange& change) {
    auto it = teams_.find(change.team);
    if (it == teams_.end()) {
        return; // no team of our settings: those are the ones that may change
    }
    Team& t = it->second;
    if (change.revision <= t.revision) {
        return;
    }
    t.revision = change.revision;
    std::string fault =
        change.facts ? team_fault(t.settings, *change.facts) : std::string("cannot be read");
    if (!fault.empty()) {
        // The last good one stays in force; where none is known, nothing of the team is started.
        t.held = t.in_force == 0 && !has_read_;
        calls_.log(Level::error, "event=unreadable_record key=" + std::string(kTeamConfig) +
                                     change.team + " why=\"" + fault + "\"");
        if (t.held) {
            in_force_(now, t.facts);
        }
        return;
    }
    t.facts = *change.facts;
    t.facts.name = change.team;
    t.in_force = change.revision;
    t.since = now;
    t.held = false;
    calls_.log(Level::info, "event=team_configured team=" + change.team +
                                " revision=" + std::to_string(change.revision) +
                                " cpus=" + std::to_string(t.facts.cpus) +
                                " cpus_max=" + std::to_string(t.facts.cpus_max) +
                                " gpus=" + std::to_string(t.facts.gpus) +
                                " gpus_max=" + std::to_string(t.facts.gpus_max));
    in_force_(now, t.facts);
}

void TeamConfig::take(Time now, const KeyedRecord& item) {
    TeamChange change;
    change.team = item.key.substr(sizeof(kTeamConfig) - 1);
    change.revision = item.version;
    if (const auto* record = std::get_if<TeamRecord>(&item.record)) {
        change.facts = record->facts;
    }
    take(now, change);
}

void TeamConfig::take_items(Time now, const CallReply& reply) {
    for (const auto& item : reply.items) {
        take(now, item);
    }
}

// A key that a read lacks was there no more at its revision: the team is as the settings say.
void TeamConfig::take_absent(Time now, const CallReply& reply, const std::string& after) {
    std::map<std::string, bool> there;
    for (const auto& item : reply.items) {
        there[item.key] = true;
    }
    for (const auto& [name, t] : teams_) {
        std::string key = kTeamConfig + name;
        bool within = key > after && (!reply.more || key <= reply.items.back().key);
        if (within && !there.contains(key) && t.revision > 0 && t.revision < reply.revision) {
            take(now, {name, t.settings, reply.revision});
        }
    }
}

void TeamConfig::tick(Time now) {
    if (reading_ || watching_ || now < next_) {
        return;
    }
    if (read_again_ || !has_read_) {
        read(now, "", now);
    } else {
        watch(now);
    }
}

void TeamConfig::read_anew(Time now) {
    read_again_ = true;
    if (!reading_) {
        read(now, "", now);
    }
}

void TeamConfig::read(Time now, const std::string& after, Time begun) {
    if (after.empty()) {
        read_again_ = false;
    }
    next_ = now + again_s_;
    reading_ =
        calls_.send_state(now, StateBudget::Use::user, Range{kTeamConfig, after},
                          [this, after, begun](Time at, CallReply& reply) {
                              reading_ = false;
                              if (reply.status != 200 || (reply.more && reply.items.empty())) {
                                  read_again_ = true;
                                  next_ = at + again_s_;
                                  return;
                              }
                              if (after.empty()) {
                                  reading_revision_ = reply.revision; // later changes come by watch
                              }
                              take_items(at, reply);
                              take_absent(at, reply, after);
                              if (reply.more) {
                                  read(at, reply.items.back().key, begun);
                                  if (!reading_) { // the budget has none left
                                      read_again_ = true;
                                  }
                                  return;
                              }
                              has_read_ = true;
                              revision_ = std::max(revision_, reading_revision_);
                              complete(begun);
                              next_ = at;
                              tick(at);
                          });
    if (!reading_) {
        read_again_ = true;
    }
}

void TeamConfig::watch(Time now) {
    next_ = now + again_s_;
    watching_ = calls_.send_state(
        now, StateBudget::Use::user, Watch{kTeamConfig, revision_, watch_s_},
        [this, sent = now](Time at, CallReply& reply) {
            watching_ = false;
            if (reply.status != 200) {
                read_again_ = true; // what it missed comes at once, not with the end of the next
                next_ = at + again_s_;
                return;
            }
            take_items(at, reply);
            for (const auto& key : reply.deleted) {
                std::string name = key.substr(sizeof(kTeamConfig) - 1);
                if (auto it = teams_.find(name); it != teams_.end()) {
                    take(at, {name, it->second.settings, reply.revision});
                }
            }
            revision_ = std::max(revision_, reply.revision);
            complete(sent); // not to when the answer came: it may have waited through a refusal
            next_ = at;
            tick(at);
        });
}

} // namespace orchidlanding
