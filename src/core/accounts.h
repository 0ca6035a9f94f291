// What a new owner does not know yet: the machines of the roster that may carry tasks which an
// owner before it started. Each is asked at once, and accounted for when it is fenced and has
// listed what it carries, when it is gone by a release, or when its lease is over by the clock. See
// "Takeover" in docs/design.md.
#pragma once

#include <deque>

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

    void begin(Time now, const ShareId& share) { shares_[share] = {now, false, false, {}}; }
    void end(const ShareId& share) { shares_.erase(share); }
    // The machine may carry tasks that are not known.
    void expect(const Machine& machine) { shares_.at(machine.share).open.insert(machine.name); }
    // So may one of the share that is not known by more than its name.
    void expect(const ShareId& share, const std::string& name) {
        shares_.at(share).open.insert(name);
    }
    // From here on its listings are all there is; or it is gone.
    void seen(const Machine& machine);
    // The share's roster has been read: its machines are asked.
    void read(const ShareId& share);
    // Asks those whose turn it is.
    void ask();
    // A listing of this machine is waited for.
    void ask(const std::string& machine);
    bool is_read(const ShareId& share) const { return shares_.at(share).read; }
    // Shares that are accounted for from now on.
    std::vector<ShareId> look(Time now);
    bool done(const ShareId& share) const;
    bool all_done() const;
    // The few machines that neither answer nor come to this owner while the rest do are most likely
    // gone. A release makes that certain long before their leases run out, and until it is certain
    // no older task can be placed. Few, that is of those that came to us at the same time: if most
    // of these are silent, it is more likely that something lies between.
    void release_missing(Time now);

  private:
    struct Question {
        std::string machine;
        int tries = 0; // that are left
    };
    void probe(const Question& question);

    const Claim& claim_;
    const Facts& facts_;
    MachineTable& machines_;
    Calls& calls_;
    Part& owner_;
    struct Share {
        Time since = 0;
        bool read = false;
        bool done = false;
        std::set<std::string> open;
    };
    std::map<ShareId, Share> shares_;
    std::deque<Question> to_ask_;
    int asking_ = 0;
    Time next_release_ = 0;
};

} // namespace orchidlanding
