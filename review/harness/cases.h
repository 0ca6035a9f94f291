// The cases. Each returns the exit status of its script: 1 if the rule was broken, 0 if it held, 2
// if the case could not run.
#pragma once

#include "world.h"

namespace review {

struct Case {
    Options options;
    std::function<int(World&, bool trouble)> run;
};
std::map<std::string, Case> cases();

} // namespace review
