// The key-value store of a region over HTTP: the model, with limits of its rate and watches.
#pragma once

#include <cstdint>
#include <list>
#include <string>

#include "scale/counters.h"
#include "scale/http_server.h"
#include "scale/late_copies.h"
#include "scale/plan.h"
#include "scale/store_model.h"
#include "scale/token_bucket.h"

namespace scheduler::scale {

// On the event loop's thread; what is handed in outlives it.
class StoreServer {
  public:
    // Listens. Throws ScaleTestError.
    StoreServer(EventLoop& loop, const Plan& plan, Counters& counters);

  private:
    // A request for changes that is answered once there are some, or at its deadline.
    struct Watch {
        Responder responder;
        std::string prefix;
        std::uint64_t since = 0; // revision
        Time deadline = 0;
    };
    void respond(Responder to, const StoreModel::Response& answer);
    void serve(const HttpServerRequest& request, Responder to);
    void route(Time at, const HttpServerRequest& request, Responder to);
    void range(const HttpServerRequest& request, Responder to);
    void transact(Time at, const HttpServerRequest& request, Responder to);
    void carry_out_again(std::function<void(Time)> work);
    void change_lease(Time at, const HttpServerRequest& request, Responder to);
    void watch(Time at, const HttpServerRequest& request, Responder to);
    void expire_leases();
    void respond_to_watches(Time at);

    Counters& counters_;
    StoreModel store_;
    LateCopies copies_;
    TokenBucket requests_;
    TokenBucket changes_;
    std::list<Watch> watches_;
    std::uint64_t watched_revision_ = 0; // all watches have been looked at with it
    Time next_watch_check_ = 0;          // for deadlines
    HttpServer server_;
};

} // namespace scheduler::scale
