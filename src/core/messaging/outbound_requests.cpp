#include "core/messaging/outbound_requests.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace scheduler {

namespace {
constexpr int kTooManyRequests = 429; // of HTTP
} // namespace

OutboundRequestId OutboundRequests::send(OutboundBody body, OnResponse then) {
    OutboundRequestId id = next_++;
    if (const auto* commands = std::get_if<WorkerCommands>(&body)) {
        then = [this, machine = commands->machine,
                then = std::move(then)](Time at, OutboundResponse& response) {
            if (response.status != 0) {
                unresponsive_workers_.clear();
            } else if (!response.never_sent) {
                unresponsive_workers_.insert(machine);
            }
            then(at, response);
        };
    }
    pending_.emplace(id, std::move(then));
    out_.requests.push_back({id, std::move(body)});
    return id;
}

bool OutboundRequests::send_to_store(Time now, StoreRateLimiter::Use use, OutboundBody body,
                                     OnResponse then) {
    const auto* transaction = std::get_if<StoreTransaction>(&body);
    int writes = transaction ? static_cast<int>(transaction->writes.size()) : 0;
    if (!rate_limiter_.try_acquire(now, use, writes)) {
        return false;
    }
    send(std::move(body), [this, then = std::move(then)](Time at, OutboundResponse& response) {
        if (response.status == kTooManyRequests) {
            rate_limiter_.on_throttled(at);
        }
        then(at, response);
    });
    return true;
}

bool OutboundRequests::handle_response(Time now, OutboundResponse& response) {
    auto it = pending_.find(response.request_id);
    if (it == pending_.end()) {
        return false;
    }
    OnResponse then = std::move(it->second);
    pending_.erase(it);
    then(now, response);
    return true;
}

void OutboundRequests::respond(RequestId request_id, int status, ResponseBody body,
                               double retry_after_s) {
    out_.responses.push_back({request_id, status, std::move(body), retry_after_s});
}

void OutboundRequests::log(LogLevel level, std::string text) {
    out_.log.push_back({level, std::move(text)});
}

void OutboundRequests::drain_into(Outputs& out) {
    std::move(out_.responses.begin(), out_.responses.end(), std::back_inserter(out.responses));
    std::move(out_.requests.begin(), out_.requests.end(), std::back_inserter(out.requests));
    std::move(out_.log.begin(), out_.log.end(), std::back_inserter(out.log));
    out_ = {};
}

} // namespace scheduler
