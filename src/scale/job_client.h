// The client with which users submit, poll and cancel jobs.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "scale/counters.h"
#include "scale/history.h"
#include "scale/http_client.h"
#include "scale/late_copies.h"
#include "scale/load_balancer.h"
#include "scale/plan.h"
#include "scale/slow_request.h"

namespace scheduler::scale {

// The response to a user's request.
struct JobResponse {
    int status = 0;           // 0: none came
    double retry_after_s = 0; // 0: not said
    std::string stage;        // of the job; empty: not said
};

// Sends requests through the load balancer and records each, with its response, in the history. On
// the event loop's thread; what is handed in outlives it.
class JobClient {
  public:
    using Handler = std::function<void(const JobResponse&)>;

    JobClient(EventLoop& loop, const Plan& plan, LoadBalancer& balancer, Counters& counters,
              HistoryWriter& history);

    // `kind`: submit, poll or cancel. A refused connection is tried again at another controller.
    void send(Event::Kind kind, const std::string& job, Handler on_response);

  private:
    // One user's request, over its attempts.
    struct Request {
        Event::Kind kind = Event::Kind::poll;
        std::string job;
        int attempt = 1;
        Handler on_response;
    };
    // An attempt as the history has it.
    struct Attempt {
        std::uint64_t number = 0;
        Time sent = 0;
        bool slow = false;
    };
    void send_attempt(Request request);
    void on_attempt_over(const Request& request, const Attempt& attempt,
                         const HttpResponse& response);
    HttpClientRequest http_request(const Request& request) const;
    void count(Event::Kind kind);
    Attempt record_attempt(const Request& request);
    JobResponse record_response(const Request& request, const Attempt& attempt,
                                const HttpResponse& response);

    EventLoop& loop_;
    const Plan& plan_;
    LoadBalancer& balancer_;
    LateCopies copies_;
    SlowDeliveries slow_deliveries_;
    Counters& counters_;
    HistoryWriter& history_;
    std::uint64_t last_number_ = 0;
};

} // namespace scheduler::scale
