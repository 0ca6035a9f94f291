// Shares of machines: the units in which machines pass from one part to another while jobs run.
// Which share a machine falls into is a pure function, so that no two nodes can disagree; which
// part holds a share is what the map at the state service says. See docs/shares.md.
#pragma once

#include "core/types.h"

namespace orchidlanding {

std::string text_of(const ShareId& share);

// How many shares a home has: a share is at most about a twentieth of the machines, however these
// are spread over the zones.
int shares_at(const Facts& facts, int home);
std::vector<ShareId> all_shares(const Facts& facts);
// Of a machine whose home is known.
ShareId share_at(const Facts& facts, int home, const std::string& machine);
ShareId share_of_machine(const Facts& facts, const std::string& machine, const std::string& zone);

// The holders of each home's shares, by number.
using Holders = std::map<int, std::vector<int>>;
// Who is to hold the shares of a part that has lost its owner: the `takers`, each in turn the one
// that holds least. Only homes whose holders change are in the result, and at most `most` of these.
Holders spread(const Holders& now, int part, const std::vector<int>& takers, std::size_t most);

} // namespace orchidlanding
