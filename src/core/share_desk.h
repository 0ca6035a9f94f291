// The shares of machines of a part as they come and go: what follows for its tables when one is
// gained or handed on, and when to give one away. See docs/shares.md.
#pragma once

#include "core/accounts.h"
#include "core/balance.h"
#include "core/borrowing.h"
#include "core/lending.h"
#include "core/mover.h"
#include "core/roster.h"
#include "core/slot_lists.h"

namespace orchidlanding {

// The tables of a part that know machines by their names.
struct MachineBooks {
    MachineTable& machines;
    SlotLists& slots;
    Roster& roster;
    Accounts& accounts;
    Lending& lending;
    Borrowing& borrowing;
    DemandBook& demand;
};

class ShareDesk : Mover::Part {
  public:
    struct Part { // what it needs of the part it works for
        virtual ~Part() = default;
        virtual void relist(Machine& machine) = 0;
        // A start that never went out.
        virtual void gone(Time now, const std::string& machine,
                          const ListingResult::Gone& gone) = 0;
        // Shares have come: the rosters that they stand on are to be read.
        virtual void read_rosters(Time now) = 0;
        virtual bool settled() const = 0;
    };
    ShareDesk(const Claim& claim, const Facts& facts, PartTable& table, Holdings& holdings,
              const MachineTypes& types, const Fleet& fleet, MachineBooks books, Calls& calls,
              Part& owner);

    // The node has read the map of shares.
    void follow(Time now);
    // Another owner says that it gave us a share.
    void take(Time now, const Given& given);
    // Gives the share to another part, if it is ours to give now.
    bool give(Time now, const ShareId& share, int to) { return mover_.begin(now, share, to); }
    void tick(Time now) { mover_.tick(now); }
    // Gives what `Balance` says.
    void balance(Time now);
    // Can the part be given a share? Not while it has one to account for, nor when it does not hear
    // the machines that it has: such an owner looks as if it had little to do.
    bool takes(Time now) const;

  private:
    void gain(Time now, const ShareId& share);
    bool still(const ShareId& share) const override;
    void relist(const ShareId& share) override;
    void list_again(const ShareId& share) override;
    void hand_on(Time now, const ShareId& share, int to) override;
    void tell_given(int to, const Given& given) override;

    const Claim& claim_;
    const Facts& facts_;
    PartTable& table_; // the node's, told of moves before they are read
    Holdings& holdings_;
    const MachineTypes& types_;
    const Fleet& fleet_;
    MachineBooks books_;
    Calls& calls_;
    Part& owner_;
    Mover mover_;
    Balance balance_;
};

} // namespace orchidlanding
