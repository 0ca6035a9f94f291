// What a new owner does not know yet: the machines of the roster that may carry tasks which an
// owner before it started. Each is asked at once, and accounted for when it is fenced and has
// listed what it carries, when it is gone by a release, or when its lease is over by the clock. See
// "Takeover" in docs/design.md.
#pragma once

#include "core/claim.h"
#include "core/machine_table.h"

namespace orchidlanding {

class Accounts {
  public:
    struct Part { // what it needs of the part it works for
        virtual ~Part() = default;
        // The machine's own answer to a direct command.
        virtual void apply(Time now, Machine& machine, const Report& report, CallId orders) = 0;
        virtual void settle(Time now) = 0;
        virtual void release(Time now, std::vector<std::string> machines) = 0;
    };
    Accounts(const Claim& claim, const Facts& facts, MachineTable& machines, Calls& calls,
             Part& owner);

    // The machine may carry tasks that are not known.
    void expect(const std::string& machine) { open_.insert(machine); }
    // From here on its listings are all there is; or it is gone.
    void seen(const std::string& machine) { open_.erase(machine); }
    // Asks all that are open.
    void ask(Time now);
    // Looks whether all are accounted for.
    bool look(Time now);
    bool done() const { return done_; }
    // The few machines that neither answer nor come to this owner while the rest do are most likely
    // gone. A release makes that certain long before their leases run out, and until it is certain
    // no older task can be placed.
    void release_missing(Time now);

  private:
    void probe(const std::string& machine, int tries);

    const Claim& claim_;
    const Facts& facts_;
    MachineTable& machines_;
    Calls& calls_;
    Part& owner_;
    std::set<std::string> open_;
    bool done_ = false;
    Time next_release_ = 0;
};

} // namespace orchidlanding
