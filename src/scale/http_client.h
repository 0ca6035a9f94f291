// An HTTP client on the event loop, with a connection a request.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "scale/event_loop.h"
#include "scale/http_status.h"

namespace scheduler::scale {

struct HttpClientRequest {
    std::string from; // address that the connection is made from; empty: any
    std::string host;
    int port = 0;
    std::string method = "POST"; // or GET
    std::string path;
    std::string body;
    double timeout_s = 4;
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
