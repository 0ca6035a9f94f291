// Collects what an input leads to, and remembers what to do when a call is answered.
#pragma once

#include <functional>
#include <set>

#include "core/io.h"
#include "core/state_budget.h"

namespace orchidlanding {

class Calls {
  public:
    using Then = std::function<void(Time, CallReply&)>;

    // `first`: ids start here, so that calls of different owners never share one.
    Calls(StateBudget& budget, CallId first) : budget_(budget), next_(first) {}

    // Sends a call that is not the state service's, or one that no budget holds back.
    CallId send(CallBody body, Then then);
    // Sends a call to the state service if the budget lets this use have it.
    bool send_state(Time now, StateBudget::Use use, CallBody body, Then then);
    int most_changes(StateBudget::Use use) const { return budget_.most_changes(use); }
    // False: not a call of this one.
    bool answered(Time now, CallReply& reply);
    // Machines that have not answered direct commands, since the last that did and the last report:
    // they tell of a node that is cut off only while nothing else is heard.
    int unanswered() const { return static_cast<int>(unanswered_.size()); }
    void heard_worker() { unanswered_.clear(); }

    void answer(RequestId request, int status, AnswerBody body, double retry_after_s = 0);
    void log(Level level, std::string text);
    void take(Outputs& out);

  private:
    StateBudget& budget_;
    CallId next_;
    std::map<CallId, Then> waiting_;
    Outputs out_;
    std::set<std::string> unanswered_;
};

} // namespace orchidlanding
