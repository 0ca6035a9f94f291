// The guarantees and limits of the teams as they are in force at this node: those of the settings
// file, and the changes under config/team/ at the state service. See docs/configuration.md.
#pragma once

#include <functional>

#include "core/calls.h"
#include "core/parts.h"
#include "core/teams.h"

namespace orchidlanding {

// Why the settings' team may not be changed so; empty: it may. The key at fault comes first.
std::string team_fault(const TeamFacts& settings, const TeamFacts& changed);

class TeamConfig {
  public:
    // Is told of each change that comes into force.
    using InForce = std::function<void(Time, const TeamFacts&)>;
    TeamConfig(const Facts& facts, Calls& calls, InForce in_force);

    void tick(Time now);
    // A part was claimed: what its owner before had in force is to be known.
    void read_anew(Time now);
    // What siblings name, or the state service. Older than what is known: passed over.
    void take(Time now, const TeamChange& change);
    void take(Time now, const KeyedRecord& item); // of config/team/
    // Every change that was written by then is known here.
    void complete(Time to) { complete_to_ = std::max(complete_to_, to); }
    // May an owner whose claim began then start tasks under what is in force?
    bool known(Time now, Time claimed) const;

    // Null: not a team of the settings.
    const TeamFacts* team(const std::string& name) const;
    // As in the settings; null: not a team of these.
    const TeamFacts* settings(const std::string& name) const;
    // The teams whose key has held nothing good since this process started.
    bool held(const std::string& name) const;
    // Changes above the revision, for siblings.
    std::vector<TeamChange> since(std::uint64_t revision) const;
    // Every change up to this revision is in force.
    std::uint64_t revision() const { return revision_; }
    // How the team stands, for operators.
    TeamStanding standing(Time now, const std::string& name) const;

  private:
    struct Team {
        TeamFacts settings;
        TeamFacts facts;            // in force
        std::uint64_t revision = 0; // of its last change, good or not; 0: as in the settings
        std::uint64_t in_force = 0; // of the change in force
        Time since = 0;             // in force here since then
        bool held = false;
    };
    void read(Time now, const std::string& after, Time begun);
    void watch(Time now);
    void take_items(Time now, const CallReply& reply);
    void take_absent(Time now, const CallReply& reply, const std::string& after);

    Calls& calls_;
    InForce in_force_;
    double bound_s_;
    double watch_s_;
    double again_s_;
    std::map<std::string, Team> teams_;
    std::uint64_t revision_ = 0;
    std::uint64_t reading_revision_ = 0; // of the first page of the read under way
    Time complete_to_ = -1e9;
    Time next_ = 0;
    bool reading_ = false;
    bool read_again_ = false; // the read under way may be older than what is asked for
    bool has_read_ = false;
    bool watching_ = false;
};

} // namespace orchidlanding
