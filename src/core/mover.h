// Gives a share of machines to another part while jobs run: one at a time, by one transaction. See
// "A move" in docs/shares.md for the steps and the argument.
#pragma once

#include "core/holdings.h"

namespace orchidlanding {

class Mover {
  public:
    struct Part { // what it needs of the part it works for
        virtual ~Part() = default;
        // No start and no slot handed over is on its way to machines of the share.
        virtual bool still(const ShareId& share) const = 0;
        // Slots of the share are given no more, or again.
        virtual void relist(const ShareId& share) = 0;
        // The share's state went back to held from a doubt: listings have left it out meanwhile.
        virtual void list_again(const ShareId& share) = 0;
        // It is the other part's now.
        virtual void hand_on(Time now, const ShareId& share, int to) = 0;
        // Its owner is to hear so from us too.
        virtual void tell_given(int to, const Given& given) = 0;
    };
    Mover(const Claim& claim, const Facts& facts, const PartTable& table, Holdings& holdings,
          Calls& calls, Part& owner);

    bool busy() const { return move_.has_value(); }
    // Begins to give the share away. False: it is not ours to give now, or nobody is there to take
    // it.
    bool begin(Time now, const ShareId& share, int to);
    void tick(Time now);
    // The map says that the share is another's: the move is over.
    void lost(const ShareId& share);

  private:
    struct Move {
        ShareId share;
        int to = 0;
        Time since = 0;
        std::optional<Txn> txn; // as it was sent first
        bool in_flight = false;
        bool doubt = false;        // a copy of it may take effect yet
        std::uint64_t read_at = 0; // a map of this revision or later decides
        Time next = 0;
    };
    void send(Time now);
    void answered(Time now, const CallReply& reply);
    void keep(const char* why);

    const Claim& claim_;
    const Facts& facts_;
    const PartTable& table_;
    Holdings& holdings_;
    Calls& calls_;
    Part& owner_;
    std::optional<Move> move_;
};

} // namespace orchidlanding
