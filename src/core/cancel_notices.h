// Tells all siblings that a job is cancelled before its user is told, so that no owner starts a
// task of it afterwards. The watch tells them too, and the rule rests on that (see freshness.h):
// this is only sooner. So a sibling that does not answer is waited for a small part of what users
// wait, and not again for a while. See "Starts after a cancellation" in docs/meetings.md.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/calls.h"

namespace orchidlanding {

class CancelNotices {
  public:
    CancelNotices(const Facts& facts, Calls& calls);

    using Then = std::function<void(Time)>;
    // `then`: every sibling that can be reached has taken it in.
    void tell(Time now, const std::string& job, Then then);
    // Ends the waits that have lasted long enough. To be called after every input.
    void flush(Time now);

  private:
    struct Sibling {
        std::deque<std::string> pending; // to be told
        bool in_flight = false;
        Time unheard_until = -1; // it did not answer: it is told, but not waited for
    };
    struct Wait {
        std::string job;
        std::set<std::string> nodes; // that have not answered
        Time until = 0;
        Then then;
    };
    void send(const std::string& node);
    void answered(Time now, const std::string& node, const std::vector<std::string>& jobs);

    Calls& calls_;
    double longest_wait_s_;
    double unheard_s_;
    std::map<std::string, Sibling> siblings_;
    std::vector<Wait> waits_;
};

} // namespace orchidlanding
