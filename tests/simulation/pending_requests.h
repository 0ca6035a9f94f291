// Numbers of requests to controllers, and those of them whose answer the simulation awaits itself.
#pragma once

#include <functional>
#include <map>
#include <optional>

#include "core/messaging/messages.h"

namespace scheduler::test {

// Gives out request numbers. Users' answers come back by the number alone; reports of workers and
// messages between controllers exit_member a handler here.
class PendingRequests {
  public:
    // Takes the answer, and when it left the controller.
    using Handler = std::function<void(const Response&, Time sent_at)>;

    // The next number, for a user's request.
    RequestId next() { return next_++; }
    // The next number, for a request of the simulation itself.
    RequestId expect(Handler handler);
    // The handler that waits for this request, which it forgets; none: it is a user's.
    std::optional<Handler> take(RequestId request_id);

  private:
    RequestId next_ = 1;
    std::map<RequestId, Handler> handlers_;
};

} // namespace scheduler::test
