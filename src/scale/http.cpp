#include "scale/http.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <chrono>
#include <csignal>
#include <cstring>

#include "scale/options.h"

namespace scheduler::scale {

namespace {
constexpr int kIdle_s = 120;
constexpr std::size_t kMostBody = 4 << 20; // a watch's answer has no limit of its own
constexpr char kContentType[] = "application/msgpack";

timeval interval(double seconds) {
    timeval t{};
    t.tv_sec = static_cast<time_t>(seconds);
    t.tv_usec = static_cast<suseconds_t>((seconds - double(t.tv_sec)) * 1e6);
    return t;
}

std::size_t bytes_of(const evkeyvalq* headers) {
    std::size_t sum = 2; // the empty line
    for (const evkeyval* h = headers->tqh_first; h; h = h->next.tqe_next) {
        sum += std::strlen(h->key) + std::strlen(h->value) + 4;
    }
    return sum;
}

std::string text_of(evbuffer* buffer) {
    std::string out(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, out.data(), out.size());
    return out;
}
} // namespace

Time now() {
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

struct Loop::Timer {
    std::function<void()> work;
    event* handle = nullptr;
};

Loop::Loop() : base_(event_base_new()) {}

Loop::~Loop() {
    for (auto& t : timers_) {
        event_free(t->handle);
    }
    event_base_free(base_);
}

void Loop::every(double seconds, std::function<void()> work) {
    timers_.push_back(std::make_unique<Timer>());
    Timer& t = *timers_.back();
    t.work = std::move(work);
    t.handle = event_new(
        base_, -1, EV_PERSIST,
        [](evutil_socket_t, short, void* timer) { static_cast<Timer*>(timer)->work(); }, &t);
    timeval span = interval(seconds);
    event_add(t.handle, &span);
}

void Loop::after(double seconds, std::function<void()> work) {
    timeval span = interval(seconds);
    event_base_once(
        base_, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* held) {
            std::unique_ptr<std::function<void()>> owned(static_cast<std::function<void()>*>(held));
            (*owned)();
        },
        new std::function<void()>(std::move(work)), &span);
}

void Loop::run() {
    event* end = evsignal_new(
        base_, SIGTERM,
        [](evutil_socket_t, short, void* base) {
            event_base_loopbreak(static_cast<event_base*>(base));
        },
        base_);
    event_add(end, nullptr);
    event_base_dispatch(base_);
    event_free(end);
}

std::size_t Responder::send(int status, const std::string& body) {
    evkeyvalq* headers = evhttp_request_get_output_headers(request_);
    evhttp_add_header(headers, "Content-Type", kContentType);
    std::size_t bytes =
        bytes_of(headers) + sizeof "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + body.size();
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(request_, status, status == 200 ? "OK" : "Not", buffer);
    evbuffer_free(buffer);
    return bytes;
}

HttpServer::HttpServer(Loop& loop, Handler handler)
    : handler_(std::move(handler)), http_(evhttp_new(loop.base())) {
    evhttp_set_timeout(http_, kIdle_s);
    evhttp_set_max_body_size(http_, kMostBody);
    evhttp_set_gencb(http_, on_request, this);
}

HttpServer::~HttpServer() { evhttp_free(http_); }

evhttp_bound_socket* HttpServer::listen(const std::string& host, int port) {
    auto* socket = evhttp_bind_socket_with_handle(http_, host.c_str(), std::uint16_t(port));
    if (!socket) {
        throw CannotPlay("--port: cannot listen on " + host + ":" + std::to_string(port) + ": " +
                         std::strerror(errno));
    }
    return socket;
}

void HttpServer::close(evhttp_bound_socket* socket) { evhttp_del_accept_socket(http_, socket); }

void HttpServer::on_request(evhttp_request* request, void* self) {
    HttpRequest r;
    switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET: r.method = "GET"; break;
    case EVHTTP_REQ_POST: r.method = "POST"; break;
    case EVHTTP_REQ_DELETE: r.method = "DELETE"; break;
    default: break;
    }
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    const char* path = evhttp_uri_get_path(uri);
    char* decoded = evhttp_uridecode(path ? path : "", 0, nullptr);
    r.path = decoded ? decoded : "";
    std::free(decoded);
    if (const char* query = evhttp_uri_get_query(uri)) {
        evkeyvalq values;
        if (evhttp_parse_query_str(query, &values) == 0) {
            for (const evkeyval* v = values.tqh_first; v; v = v->next.tqe_next) {
                r.query[v->key] = v->value;
            }
        }
        evhttp_clear_headers(&values);
    }
    r.body = text_of(evhttp_request_get_input_buffer(request));
    r.bytes = r.method.size() + std::strlen(evhttp_request_get_uri(request)) +
              sizeof " HTTP/1.1\r\n" + bytes_of(evhttp_request_get_input_headers(request)) +
              r.body.size();
    bufferevent* connection =
        evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
    sockaddr_in at{};
    socklen_t size = sizeof at;
    if (::getsockname(bufferevent_getfd(connection), reinterpret_cast<sockaddr*>(&at), &size) ==
        0) {
        char text[INET_ADDRSTRLEN] = {};
        ::inet_ntop(AF_INET, &at.sin_addr, text, sizeof text);
        r.local_host = text;
    }
    static_cast<HttpServer*>(self)->handler_(std::move(r), Responder(request));
}

namespace {
struct Pending {
    std::function<void(HttpAnswer)> then;
    std::size_t sent = 0;
};

void on_answer(evhttp_request* request, void* held) {
    std::unique_ptr<Pending> pending(static_cast<Pending*>(held));
    HttpAnswer a;
    a.sent = pending->sent;
    if (request && evhttp_request_get_response_code(request) > 0) {
        a.status = evhttp_request_get_response_code(request);
        a.body = text_of(evhttp_request_get_input_buffer(request));
        const evkeyvalq* headers = evhttp_request_get_input_headers(request);
        a.received = sizeof "HTTP/1.1 200 OK\r\n" + bytes_of(headers) + a.body.size();
        if (const char* after = evhttp_find_header(headers, "Retry-After")) {
            a.retry_after_s = std::atof(after);
        }
    }
    pending->then(std::move(a));
}
} // namespace

void call(Loop& loop, const HttpCall& what, std::function<void(HttpAnswer)> then) {
    evhttp_connection* connection = evhttp_connection_base_new(
        loop.base(), nullptr, what.host.c_str(), std::uint16_t(what.port));
    if (!what.from.empty()) {
        evhttp_connection_set_local_address(connection, what.from.c_str());
    }
    timeval span = interval(what.timeout_s);
    evhttp_connection_set_timeout_tv(connection, &span);
    evhttp_connection_free_on_completion(connection);
    auto pending = std::make_unique<Pending>();
    pending->then = std::move(then);
    evhttp_request* request = evhttp_request_new(on_answer, pending.get());
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    std::string host = what.host + ":" + std::to_string(what.port);
    evhttp_add_header(headers, "Host", host.c_str());
    evhttp_add_header(headers, "Connection", "close");
    evhttp_add_header(headers, "Content-Type", kContentType);
    evbuffer_add(evhttp_request_get_output_buffer(request), what.body.data(), what.body.size());
    pending->sent = what.method.size() + what.path.size() + sizeof " HTTP/1.1\r\n" +
                    bytes_of(headers) + sizeof "Content-Length: 1234\r\n" + what.body.size();
    Pending* released = pending.release();
    if (evhttp_make_request(connection, request,
                            what.method == "GET" ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
                            what.path.c_str()) != 0) {
        // The request is freed by evhttp, without a word.
        std::unique_ptr<Pending> back(released);
        loop.after(0, [then = std::move(back->then)] { then(HttpAnswer{}); });
    }
}

} // namespace scheduler::scale
