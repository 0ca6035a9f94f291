// The roster: a key for every machine that may carry a task, which a new owner of the part reads.
// Many machines come up or go together, so entries are written and dropped several to a
// transaction, one transaction at a time, and again until they are: see "What is durable" in
// docs/design.md.
#pragma once

#include <functional>
#include <set>

#include "core/calls.h"

namespace orchidlanding {

class Roster {
  public:
    // `guard`: the condition that the part is still this owner's. `answered` is told of each answer
    // and, if it was 200, of the machines that stand on the roster now.
    using Answered = std::function<void(Time, const CallReply&, const std::vector<std::string>&)>;
    Roster(std::string prefix, Condition guard, const Facts& facts, Calls& calls,
           Answered answered);

    const std::string& prefix() const { return prefix_; }
    void write(Time now, const std::string& machine, MachineRecord record);
    void drop(Time now, const std::string& machine);
    // Sends what is due if nothing is under way; to be called on the timer as well.
    void flush(Time now);

  private:
    // One transaction of at most so many changes; false: the budget does not let it go.
    bool send(Time now, std::size_t most);

    std::string prefix_;
    Condition guard_;
    double report_s_;
    std::size_t most_; // changes in a transaction
    Calls& calls_;
    Answered answered_;
    std::map<std::string, MachineRecord> writes_; // not sent yet, or sent in vain
    std::set<std::string> drops_;
    bool in_flight_ = false;
    Time next_ = 0;
};

} // namespace orchidlanding
