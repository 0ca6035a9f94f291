// What the state service says of the parts, as this node has last read it: who owns each, and the
// map of shares. All of it stands under one prefix and is read at one revision. The node's; owners
// of parts only look at it.
#pragma once

#include "core/calls.h"
#include "core/shares.h"

namespace orchidlanding {

class PartTable {
  public:
    struct Part {
        std::string node;          // its owner, empty: none
        std::uint64_t version = 0; // of the key, 0: absent
        bool home_waits = false;   // its home node asks to have it back
        bool knows_shares = false; // its owner follows the map
    };
    explicit PartTable(const Facts& facts);

    static constexpr char kPrefix[] = "part/";
    static std::string home_key(int part);
    static std::string shares_key(int home);

    // Takes in a read of all keys. False: what it says of the parts cannot be read, and nothing is
    // taken in. Unreadable records are logged; those of the map fence their home's shares.
    bool take(const CallReply& reply, Calls& calls);
    const Part& at(int part) const { return parts_[static_cast<std::size_t>(part)]; }
    int count() const { return static_cast<int>(parts_.size()); }
    // This node has claimed the part.
    void claimed(int part, const std::string& node, std::uint64_t version);

    // A share has been given to another part at this revision, which is later than the last read:
    // until the next one, this is what is known.
    void moved(const ShareId& share, int to, std::uint64_t revision);

    // Of the last read taken in; 0: there was none yet.
    std::uint64_t revision() const { return revision_; }
    // -1: not known, as the record is not readable and none was before.
    int holder(const ShareId& share) const;
    const Holders& holders() const { return holders_; }
    // May the map be changed? Only while every owner follows it, and where the conditions for that
    // fit into a transaction.
    bool may_change(int txn_ops) const;
    // A change of the map is made under these: nobody owns a part that did not when it was read.
    std::vector<Condition> unchanged() const;
    // The change by which the home's shares come to have these holders, with its condition.
    void change(Txn& txn, int home, std::vector<int> holders) const;
    // Can the holders of the home's shares be read?
    bool readable(int home) const { return !fenced_.contains(home); }

  private:
    bool valid(int home, const ShareRecord& record) const;

    const Facts& facts_;
    std::vector<Part> parts_;
    std::uint64_t revision_ = 0;
    Holders holders_;                           // absent: fenced, and never seen readable
    std::map<int, std::uint64_t> versions_;     // of the keys that exist, by home
    std::map<int, std::uint64_t> fenced_;       // homes whose record is not readable, its version
    std::map<std::string, std::uint64_t> said_; // unreadable keys named in the log, their versions
};

} // namespace orchidlanding
