#include "scale/job_client.h"

#include <utility>

#include "scale/clock.h"
#include "scale/messages.h"

namespace scheduler::scale {

namespace {
constexpr double kSubmitTimeout_s = 5; // as that of a cancellation
constexpr double kPollTimeout_s = 2;
constexpr int kMostAttempts = 3;
constexpr std::uint64_t kCopySeed = 4;
constexpr std::uint64_t kSlowSeed = 5;
// No response sooner than this: the connection was refused, the request was not carried out.
constexpr double kRefusedWithin_s = 0.5;
} // namespace

JobClient::JobClient(EventLoop& loop, const Plan& plan, LoadBalancer& balancer, Counters& counters,
                     HistoryWriter& history)
    : loop_(loop), plan_(plan), balancer_(balancer),
      copies_(loop, plan.options(), Plan::kLatestCopy_s, kCopySeed),
      slow_deliveries_(plan.options().slow_users, kSlowSeed), counters_(counters),
      history_(history) {}

void JobClient::send(Event::Kind kind, const std::string& job, Handler on_response) {
    send_attempt({kind, job, 1, std::move(on_response)});
}

void JobClient::send_attempt(Request request) {
    if (!balancer_.any_healthy()) {
        loop_.after(0, [on_response = std::move(request.on_response)] { on_response({}); });
        return;
    }
    HttpClientRequest http = http_request(request);
    count(request.kind);
    copies_.carried_out([this, http] { balancer_.send(http, [](const HttpResponse&) {}); });
    Attempt attempt = record_attempt(request);
    http.slow = slow_deliveries_.draw();
    attempt.slow = http.slow.has_value();
    counters_.slow_requests += attempt.slow ? 1 : 0;
    balancer_.send(std::move(http),
                   [this, request = std::move(request), attempt](const HttpResponse& response) {
                       on_attempt_over(request, attempt, response);
                   });
}

void JobClient::on_attempt_over(const Request& request, const Attempt& attempt,
                                const HttpResponse& response) {
    counters_.user_sent += response.sent;
    counters_.user_received += response.received;
    bool connection_refused =
        response.status == 0 && !attempt.slow && now() - attempt.sent < kRefusedWithin_s;
    if (connection_refused && request.attempt < kMostAttempts) {
        Request again = request;
        ++again.attempt;
        send_attempt(std::move(again));
        return;
    }
    request.on_response(record_response(request, attempt, response));
}

HttpClientRequest JobClient::http_request(const Request& request) const {
    HttpClientRequest http;
    http.path = "/work";
    http.timeout_s = kSubmitTimeout_s;
    switch (request.kind) {
    case Event::Kind::submit: http.body = pack_job(*plan_.job(request.job)); break;
    case Event::Kind::poll:
        http.method = "GET";
        http.path += "/" + request.job;
        http.timeout_s = kPollTimeout_s;
        break;
    default: http.path += "/" + request.job + "/withdraw"; break;
    }
    return http;
}

void JobClient::count(Event::Kind kind) {
    switch (kind) {
    case Event::Kind::submit: ++counters_.submissions; break;
    case Event::Kind::poll: ++counters_.polls; break;
    default: ++counters_.cancellations; break;
    }
}

JobClient::Attempt JobClient::record_attempt(const Request& request) {
    Event event;
    event.kind = request.kind;
    event.time = now();
    event.task.job = request.job;
    event.request = ++last_number_;
    history_.write(event);
    return {event.request, event.time, false};
}

JobResponse JobClient::record_response(const Request& request, const Attempt& attempt,
                                       const HttpResponse& response) {
    if (response.status == 0) {
        return {};
    }
    Event event;
    event.kind = Event::Kind::response;
    event.time = now();
    event.task.job = request.job;
    event.request = attempt.number;
    event.status = response.status;
    if (response.status == kHttpOk || response.status == kHttpCreated) {
        event.stage = parse_stage(response.body);
    }
    history_.write(event);
    if (response.status == kHttpTooManyRequests || response.status == kHttpUnavailable) {
        ++counters_.refused;
    }
    return {response.status, response.retry_after_s, event.stage};
}

} // namespace scheduler::scale
