// The cloud of a region over HTTP: the model, with a limit of its rate.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "scale/cloud_model.h"
#include "scale/counters.h"
#include "scale/http_server.h"
#include "scale/late_copies.h"
#include "scale/plan.h"
#include "scale/token_bucket.h"

namespace scheduler::scale {

// Tells the workers' process which machines have booted and which were released, and is told by it
// which have died. On the event loop's thread; what is handed in outlives it.
class CloudServer {
  public:
    // Listens. Throws ScaleTestError.
    CloudServer(EventLoop& loop, const Plan& plan, Counters& counters);

  private:
    void tell_workers(const char* path, const std::vector<std::string>& machines,
                      std::function<void()> on_told);
    void tell_of_booted();
    void on_died(const HttpServerRequest& request, Responder to);
    void serve(const HttpServerRequest& request, Responder to);
    void route(const HttpServerRequest& request, Responder to);
    void list(const HttpServerRequest& request, Responder to);
    void provision(const HttpServerRequest& request, Responder to);
    void release(const HttpServerRequest& request, Responder to);

    EventLoop& loop_;
    const Plan& plan_;
    Counters& counters_;
    CloudModel model_;
    LateCopies copies_;
    TokenBucket requests_;
    HttpServer server_;  // for the controllers
    HttpServer control_; // for the workers' process
};

} // namespace scheduler::scale
