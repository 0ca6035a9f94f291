// The owner of machines and those who have tasks there, the owners of other parts: slots struck
// from our lists and handed over, what each wants, and the listing by which each learns what became
// of its tasks. "Stolen slots" and "What owners list for each other" in docs/design.md say why no
// task runs twice. The paper's idle core taken from another scheduler core's list, as a call.
#pragma once

#include "core/demand_book.h"
#include "core/holdings.h"
#include "core/waiting_order.h"

namespace orchidlanding {

// The slots that a want asks for, as a job of that shape.
JobSpec shape_wanted(const Want& want);

class Lending {
  public:
    struct Part { // what it needs of the part it works for
        virtual ~Part() = default;
        virtual void relist(Machine& machine) = 0;
        // A listing of the machine is waited for: it is asked for one at once.
        virtual void ask(const std::string& machine) = 0;
        // The wants have come, or changed: our idle slots go to whoever is first in order.
        virtual void serve(Time now) = 0;
        // A machine of this part was rented by the caller for all.
        virtual void expect(Time now, const Bought& bought) = 0;
        // The caller has given us a share.
        virtual void take_given(Time now, const Given& given) = 0;
    };
    Lending(Claim& claim, const Facts& facts, const Holdings& holdings, MachineTable& machines,
            WaitingOrder& order, DemandBook& demand, Calls& calls, Part& owner);

    // The owner of another part calls as the owner of its jobs.
    void exchange(Time now, RequestId request, const Exchange& in);
    // What they want, for the waiting order.
    std::vector<PeerWants> wanted();
    // Slots that the thief takes at most before it calls again.
    std::uint32_t left(int thief) const { return thieves_.at(thief).left; }
    // Strikes slots for one task of the want on the machine, which must have them.
    void lend(Time now, Machine& machine, int thief, Want& want, std::uint32_t member = 0);
    // The machine's listing may have changed.
    void note(Machine& machine);
    // All machines of the share are accounted for: from here on its listing says all there is.
    void cover(const ShareId& share) { covered_[share] = ++version_; }
    // The share is another part's, or about to be.
    void uncover(const ShareId& share) { covered_.erase(share); }
    // It goes with its share, to be listed by who holds that.
    void forget(const Machine& machine) { log_.erase(machine.guests_version); }
    // It is about to be taken off the table. A thief may not have seen yet that its tasks there are
    // gone, so the word stays.
    void note_gone(const Machine& machine);
    // Raises the token of machines with slots whose start does not show.
    void fence_lots(Time now);
    // A task that ended on the machine is not known yet to the owner of its job.
    bool owes_ends(const Machine& machine) const;
    bool called_by_all() const;
    // The term under which the owner of the part last called; 0: it has not.
    std::uint64_t heard_from(int part) const { return thieves_.at(part).called; }
    // The whole listing for the owner of the part under that term, as if it had called; none while
    // it would not be complete. From then on calls of earlier owners are refused.
    std::optional<ExchangeReply> listing_for(Time now, int part, std::uint64_t term);
    std::uint64_t effort() const { return effort_; }

  private:
    struct Thief {
        std::uint64_t term = 0;   // the latest that is known of
        std::uint64_t called = 0; // ... and that it has called under
        std::uint64_t number = 0; // of that call
        std::uint64_t acked = 0;  // the version of our listing that it has taken in
        std::vector<Want> wants;
        Time wants_at = 0;
        std::uint32_t left = 0;
        std::vector<Grant> grants;
    };
    void take_told(Machine& machine, const Told& told, int thief);
    void take_shape(Machine& machine, const Told& told);
    ExchangeReply listing(Time now, const Exchange& in);
    void know_term(Time now, Thief& thief, std::uint64_t term);
    void enter(const std::string& machine);
    void list_guests(const Machine& machine, int thief, ExchangeReply& reply);

    Claim& claim_;
    const Facts& facts_;
    const Holdings& holdings_;
    MachineTable& machines_;
    WaitingOrder& order_;
    DemandBook& demand_;
    Calls& calls_;
    Part& owner_;
    std::map<int, Thief> thieves_;
    // Machines by when their listing of guests last changed, so that a thief is told of changes
    // only.
    std::map<std::uint64_t, std::string> log_;
    std::uint64_t version_ = 1;
    std::set<std::string> lent_;               // machines that may have lots
    std::map<ShareId, std::uint64_t> covered_; // and since which version
    std::uint64_t floor_ = 0; // changes up to here may have been dropped from the log
    std::uint64_t effort_ = 0;
};

} // namespace orchidlanding
