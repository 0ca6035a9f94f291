#include "scale/http_client.h"

#include <event2/http.h>

#include <cstdlib>
#include <memory>
#include <utility>

#include "scale/libevent_helpers.h"
#include "scale/slow_request.h"

namespace scheduler::scale {

namespace {
// A request that was sent. Owned by evhttp's callback until that is called.
struct Pending {
    std::function<void(HttpResponse)> on_response;
    std::size_t sent = 0;
};

void on_evhttp_response(evhttp_request* request, void* held) {
    std::unique_ptr<Pending> pending(static_cast<Pending*>(held));
    HttpResponse response;
    response.sent = pending->sent;
    if (request && evhttp_request_get_response_code(request) > 0) {
        response.status = evhttp_request_get_response_code(request);
        response.body = contents(evhttp_request_get_input_buffer(request));
        const evkeyvalq* headers = evhttp_request_get_input_headers(request);
        response.received =
            sizeof "HTTP/1.1 200 OK\r\n" + header_bytes(headers) + response.body.size();
        if (const char* after = evhttp_find_header(headers, "Retry-After")) {
            response.retry_after_s = std::atof(after);
        }
    }
    pending->on_response(std::move(response));
}

evhttp_connection* connect(EventLoop& loop, const HttpClientRequest& request) {
    evhttp_connection* connection = evhttp_connection_base_new(
        loop.base(), nullptr, request.host.c_str(), std::uint16_t(request.port));
    if (!request.from.empty()) {
        evhttp_connection_set_local_address(connection, request.from.c_str());
    }
    timeval timeout = timeval_of(request.timeout_s);
    evhttp_connection_set_timeout_tv(connection, &timeout);
    evhttp_connection_free_on_completion(connection);
    return connection;
}

// Fills in headers and body, and returns the bytes that are sent.
std::size_t write_request(evhttp_request* out, const HttpClientRequest& request) {
    evkeyvalq* headers = evhttp_request_get_output_headers(out);
    std::string host = request.host + ":" + std::to_string(request.port);
    evhttp_add_header(headers, "Host", host.c_str());
    evhttp_add_header(headers, "Connection", "close");
    evhttp_add_header(headers, "Content-Type", kContentType);
    evbuffer_add(evhttp_request_get_output_buffer(out), request.body.data(), request.body.size());
    return request.method.size() + request.path.size() + sizeof " HTTP/1.1\r\n" +
           header_bytes(headers) + sizeof "Content-Length: 1234\r\n" + request.body.size();
}
} // namespace

void send_request(EventLoop& loop, const HttpClientRequest& request,
                  std::function<void(HttpResponse)> on_response) {
    if (request.slow) {
        send_slowly(loop, request, *request.slow, std::move(on_response));
        return;
    }
    evhttp_connection* connection = connect(loop, request);
    auto* pending = new Pending{std::move(on_response), 0};
    evhttp_request* out = evhttp_request_new(on_evhttp_response, pending);
    pending->sent = write_request(out, request);
    evhttp_cmd_type command = request.method == "GET" ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
    if (evhttp_make_request(connection, out, command, request.path.c_str()) != 0) {
        // evhttp has freed the request without calling back.
        std::unique_ptr<Pending> owned(pending);
        loop.after(0, [then = std::move(owned->on_response)] { then(HttpResponse{}); });
    }
}

} // namespace scheduler::scale
