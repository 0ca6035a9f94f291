// One claim of a part: its term, whether it still may be acted upon, and the attempt numbers that
// are given out under it. Everything that works for the part lives as long as its claim.
#pragma once

#include "core/authority.h"
#include "core/calls.h"
#include "core/parts.h"

namespace orchidlanding {

class Claim {
  public:
    Claim(Time now, int part, const Authority& authority)
        : part_(part), term_(authority.term(part)), since_(now), authority_(authority) {}

    int part() const { return part_; }
    std::uint64_t term() const { return term_; }
    Time since() const { return since_; }
    bool usable(Time now) const { return authority_.valid(now, part_) && !deposed_; }
    // The claim turned out to be gone, or is to be made anew.
    bool deposed() const { return deposed_; }

    // A transaction that takes effect only while the part is ours.
    Txn guarded() const { return Txn{{{part_key(part_), term_}}, {}}; }
    // Did the write take effect? Also notices when it was refused because the part is ours no more.
    bool wrote(Calls& calls, const CallReply& reply, const char* what);
    // A number for tasks of jobs of `part`, never used before.
    std::uint64_t new_attempt(int part, bool gang);
    bool ours(std::uint64_t attempt) const { return part_of_attempt(attempt) == part_; }

  private:
    int part_;
    std::uint64_t term_;
    Time since_;
    const Authority& authority_;
    bool deposed_ = false;
    std::uint64_t next_attempt_ = 1;
};

} // namespace orchidlanding
