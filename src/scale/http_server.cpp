#include "scale/http_server.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <utility>

#include "scale/libevent_helpers.h"
#include "scale/options.h"

namespace scheduler::scale {

namespace {
constexpr int kIdleTimeout_s = 120;
constexpr std::size_t kLargestBody = 4 << 20; // bytes; a watch's response has no limit of its own

const char* method_of(evhttp_request* request) {
    switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET: return "GET";
    case EVHTTP_REQ_POST: return "POST";
    case EVHTTP_REQ_DELETE: return "DELETE";
    default: return "";
    }
}

std::string path_of(const evhttp_uri* uri) {
    const char* path = evhttp_uri_get_path(uri);
    char* decoded = evhttp_uridecode(path ? path : "", 0, nullptr);
    std::string out = decoded ? decoded : "";
    std::free(decoded);
    return out;
}

std::map<std::string, std::string> query_of(const evhttp_uri* uri) {
    std::map<std::string, std::string> out;
    const char* query = evhttp_uri_get_query(uri);
    if (!query) {
        return out;
    }
    evkeyvalq values;
    if (evhttp_parse_query_str(query, &values) == 0) {
        for (const evkeyval* value = values.tqh_first; value; value = value->next.tqe_next) {
            out[value->key] = value->value;
        }
    }
    evhttp_clear_headers(&values);
    return out;
}

// The address that the request came to; empty: not known.
std::string local_host_of(evhttp_request* request) {
    bufferevent* connection =
        evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (::getsockname(bufferevent_getfd(connection), reinterpret_cast<sockaddr*>(&address),
                      &size) != 0) {
        return "";
    }
    char text[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
    return text;
}
} // namespace

std::size_t Responder::send(int status, const std::string& body) {
    evkeyvalq* headers = evhttp_request_get_output_headers(request_);
    evhttp_add_header(headers, "Content-Type", kContentType);
    std::size_t bytes =
        header_bytes(headers) + sizeof "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + body.size();
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(request_, status, status == kHttpOk ? "OK" : "Not", buffer);
    evbuffer_free(buffer);
    return bytes;
}

HttpServer::HttpServer(EventLoop& loop, Handler handler)
    : handler_(std::move(handler)), http_(evhttp_new(loop.base())) {
    evhttp_set_timeout(http_, kIdleTimeout_s);
    evhttp_set_max_body_size(http_, kLargestBody);
    evhttp_set_gencb(http_, on_request, this);
}

HttpServer::~HttpServer() { evhttp_free(http_); }

evhttp_bound_socket* HttpServer::listen(const std::string& host, int port) {
    auto* socket = evhttp_bind_socket_with_handle(http_, host.c_str(), std::uint16_t(port));
    if (!socket) {
        throw ScaleTestError("--port: cannot listen on " + host + ":" + std::to_string(port) +
                             ": " + std::strerror(errno));
    }
    return socket;
}

void HttpServer::close(evhttp_bound_socket* socket) { evhttp_del_accept_socket(http_, socket); }

void HttpServer::on_request(evhttp_request* request, void* self) {
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    HttpServerRequest received;
    received.method = method_of(request);
    received.path = path_of(uri);
    received.query = query_of(uri);
    received.body = contents(evhttp_request_get_input_buffer(request));
    received.local_host = local_host_of(request);
    received.bytes = received.method.size() + std::strlen(evhttp_request_get_uri(request)) +
                     sizeof " HTTP/1.1\r\n" +
                     header_bytes(evhttp_request_get_input_headers(request)) + received.body.size();
    static_cast<HttpServer*>(self)->handler_(std::move(received), Responder(request));
}

} // namespace scheduler::scale
