// The shares of machines that a part holds, each under its term, from when to when: the only writer
// of that. See docs/shares.md, "The argument for each rule", 1.
#pragma once

#include "core/claim.h"
#include "core/part_table.h"

namespace orchidlanding {

class Holdings {
  public:
    enum class State {
        held,
        passing, // no slot of it is given any more: it is about to be given away
        doubt    // a transaction that gives it away is out: nothing may be answered for it
    };
    struct Share {
        std::uint64_t term = 0; // the revision of the first read that showed it to be ours
        Time since = 0;
        State state = State::held;
    };
    struct News {
        std::vector<ShareId> gained;
        std::vector<std::pair<ShareId, int>> lost; // and to whom
    };
    Holdings(const Claim& claim, const PartTable& table) : claim_(claim), table_(table) {}

    // Takes in the map as the node has last read it.
    News follow(Time now);
    // Has a map been seen that was read after the claim?
    bool known() const { return seen_ >= claim_.term(); }
    const std::map<ShareId, Share>& all() const { return shares_; }
    const Share* find(const ShareId& share) const;
    // May the part act for the machines of the share, and give slots of them?
    bool serves(const ShareId& share) const;
    bool gives(const ShareId& share) const;
    std::uint64_t term(const ShareId& share) const { return shares_.at(share).term; }

    void set(const ShareId& share, State state) { shares_.at(share).state = state; }
    // The map says so since this revision: what was read before does not count.
    void gave(const ShareId& share, std::uint64_t revision);
    // The giver says that it gave us the share at this revision: as good as a read of that
    // revision, as nobody but us can have given it away since. False: we know better by now.
    bool take(Time now, const Given& given);

  private:
    const Claim& claim_;
    const PartTable& table_;
    std::map<ShareId, Share> shares_;
    std::uint64_t seen_ = 0;                // the revision of the map taken in
    std::uint64_t after_ = 0;               // maps read before this one are too old
    std::map<ShareId, std::uint64_t> gave_; // the revision at which we last gave it away
};

} // namespace orchidlanding
