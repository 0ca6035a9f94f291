// The calls to the cloud of a part's owner: it rents, lists and releases machines as Fleet decides.
// The owner of one part rents for all, so that one lack is not made up for several times.
#pragma once

#include "core/demand_book.h"
#include "core/holdings.h"

namespace orchidlanding {

class Renting {
  public:
    struct Part { // what it needs of the part it works for
        virtual ~Part() = default;
        virtual void relist(Machine& machine) = 0;
        // The machine is gone and everything on it; it is in no table any more when this returns.
        virtual void released(Time now, const std::string& machine) = 0;
        virtual void resume(Time now) = 0;
        // Its tasks' ends have not been told to the owners of their jobs yet.
        virtual bool owes_ends(Time now, const Machine& machine) const = 0;
        // Have the owners of all other parts said what they have?
        virtual bool all_heard() const = 0;
    };
    Renting(const Claim& claim, const Facts& facts, const Holdings& holdings,
            const MachineTypes& types, MachineTable& machines, Fleet& fleet, DemandBook& demand,
            Calls& calls, Part& owner);

    bool buys() const { return claim_.part() == kBuyer; }
    // Listings and, a few times in a report time, what to rent and what to give back.
    // `may_suspect`: silent machines may be taken for dead.
    void list(Time now);
    bool due(Time now) const { return now >= next_; }
    void run(Time now, bool may_suspect);
    void release(Time now, std::vector<std::string> names);
    // The owner that rents says that a machine of this part is on its way.
    void expect(Time now, const Bought& bought);

  private:
    static constexpr int kBuyer = 0; // the part whose owner rents for all
    void rent(Time now, const Totals& sum);
    void list_from(Time now, std::string after);
    void saw_host(Time now, const Host& host);

    const Claim& claim_;
    const Facts& facts_;
    const Holdings& holdings_;
    const MachineTypes& types_;
    MachineTable& machines_;
    Fleet& fleet_;
    DemandBook& demand_;
    Calls& calls_;
    Part& owner_;
    bool listing_ = false;
    Time next_ = 0;
    Time next_list_ = 0;
    Time next_release_ = 0;
};

} // namespace orchidlanding
