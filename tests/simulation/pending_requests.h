// Numbers the requests to controllers and keeps the response handlers of the simulation's own ones.
#pragma once

#include <functional>
#include <map>
#include <optional>

#include "core/messaging/messages.h"

namespace scheduler::test {

// Issues request IDs. A response to a user is matched by its ID alone. For heartbeats and messages
// between controllers, a handler is registered here.
class PendingRequests {
  public:
    // Receives the response and the time at which it left the controller.
    using Handler = std::function<void(const Response&, Time sent_at)>;

    // Returns the next ID, for a user's request.
    RequestId next() { return next_++; }
    // Returns the next ID, for a request of the simulation itself.
    RequestId expect(Handler handler);
    // Removes and returns the handler of this request; none if it is a user's request.
    std::optional<Handler> take(RequestId request_id);

  private:
    RequestId next_ = 1;
    std::map<RequestId, Handler> handlers_;
};

} // namespace scheduler::test
