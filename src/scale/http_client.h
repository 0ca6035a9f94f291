// An HTTP client on the event loop, with a connection a request.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "scale/event_loop.h"
#include "scale/http_status.h"

namespace scheduler::scale {

// How the bytes of a request arrive.
struct SlowDelivery {
    enum class Kind { in_two_parts, byte_by_byte, never_whole, closed, reset };
    Kind kind = Kind::in_two_parts;
    double first_part = 0; // sent at once, as a share of the request
    double delay_s = 0;    // before the rest, or the end of the connection
};

struct HttpClientRequest {
    std::string from; // address that the connection is made from; empty: any
    std::string host;
    int port = 0;
    std::string method = "POST"; // or GET
    std::string path;
    std::string body;
    double timeout_s = 4;
    std::optional<SlowDelivery> slow; // nothing: all bytes are sent at once
};

struct HttpResponse {
    int status = 0; // 0: none came
    std::string body;
    double retry_after_s = 0; // 0: not said
    std::size_t sent = 0;     // bytes, with headers, as the next one
    std::size_t received = 0;
};

// Calls `on_response` once, later, on the loop's thread.
void send_request(EventLoop& loop, const HttpClientRequest& request,
                  std::function<void(HttpResponse)> on_response);

} // namespace scheduler::scale
