#include "net/server.h"

#include <httplib.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <thread>

#include "net/buffered_stream.h"
#include "net/incomplete_connections.h"
#include "net/thread_pool.h"
#include "wire/codec.h"

namespace scheduler::net {

namespace {
constexpr int kMaxPathBytes = 256;
constexpr int kListenBacklog = 128;
constexpr double kBindAttempts = 300; // within the timeout of bind_with_retries

// What senders wait for a response: users for that to a submission, and other controllers.
constexpr double kUserTimeout_s = 5;
constexpr double kPeerTimeout_s = 4;

// Shares of the process's sockets and memory. The rest is for outbound requests.
constexpr int kSocketsPerExternalConnection = 2;
constexpr int kSocketsPerPeerConnection = 8;
constexpr double kHeartbeatsPerSample = 4;
constexpr double kHeartbeatsPerWrite = 0.7;
constexpr double kHeartbeatsPerIdleThread = 4;
constexpr std::size_t kSocketsPerThread = 8;
constexpr std::size_t kMinThreads = 16;
constexpr std::size_t kMaxThreads = 96;
constexpr std::size_t kBufferedBytesPerSocket = std::size_t{4} * 1024;

// Runs work at once, on the thread that accepts connections: it only starts to wait for a request.
class AcceptedConnections : public httplib::TaskQueue {
  public:
    explicit AcceptedConnections(std::function<void()> on_shutdown)
        : on_shutdown_(std::move(on_shutdown)) {}
    void enqueue(std::function<void()> work) override { work(); }
    void shutdown() override { on_shutdown_(); }

  private:
    std::function<void()> on_shutdown_;
};

void send_error(httplib::Response& res, int status, const std::string& reason,
                int retry_after_s = 0) {
    res.status = status;
    if (retry_after_s > 0) {
        res.set_header("Retry-After", std::to_string(retry_after_s));
    }
    res.set_content(wire::encode_response(TextBody{reason}), wire::kContentType);
}

void send_response(httplib::Response& res, const std::optional<Response>& response) {
    if (!response) {
        send_error(res, 503, "no answer in time", 1);
        return;
    }
    res.status = response->status;
    if (response->retry_after_s > 0) {
        res.set_header("Retry-After",
                       std::to_string(static_cast<int>(std::ceil(response->retry_after_s))));
    }
    res.set_content(wire::encode_response(response->body), wire::kContentType);
}

ConnectionLimits connection_limits(const ServerLimits& limits, Server::Routes routes) {
    bool external = routes == Server::Routes::external;
    ConnectionLimits connections;
    connections.max_connections =
        static_cast<std::size_t>(limits.max_sockets / (external ? kSocketsPerExternalConnection
                                                                : kSocketsPerPeerConnection));
    connections.max_buffered_bytes =
        kBufferedBytesPerSocket * static_cast<std::size_t>(limits.max_sockets);
    connections.max_body_bytes = wire::kMaxBodyBytes + 1; // one more shows that it is too large
    connections.request_timeout_s = external ? kUserTimeout_s : kPeerTimeout_s;
    return connections;
}
} // namespace

// Passes each connection to a waiting thread until its request is whole, and then to a thread pool,
// where httplib routes the request and writes the response.
class Server::Http : public httplib::Server {
  public:
    Http(const ServerLimits& limits, Routes routes, RequestLog& log)
        : write_timeout_s_(limits.heartbeat_interval_s * kHeartbeatsPerWrite),
          pool_(std::clamp(static_cast<std::size_t>(limits.max_sockets) / kSocketsPerThread,
                           kMinThreads, kMaxThreads),
                limits.heartbeat_interval_s * kHeartbeatsPerIdleThread),
          connections_(
              connection_limits(limits, routes),
              [this](Socket socket, HttpRequest request) {
                  enqueue(std::move(socket), std::move(request));
              },
              [&log](const DroppedRequest& request) { log.on_dropped(request); }) {
        new_task_queue = [this] {
            return new AcceptedConnections([this] {
                connections_.stop();
                pool_.stop();
            });
        };
    }
    // httplib listens with a backlog of 5, which is too short for bursts of connections.
    void extend_backlog() { ::listen(svr_sock_, kListenBacklog); }

  private:
    struct Call {
        Socket socket;
        HttpRequest request;
    };

    bool process_and_close_socket(socket_t socket) override {
        connections_.add(Socket(socket));
        return true;
    }
    void enqueue(Socket socket, HttpRequest request) {
        auto call = std::make_shared<Call>(Call{std::move(socket), std::move(request)});
        if (!pool_.enqueue([this, call] { serve(*call); })) {
            send_unavailable(call->socket);
            call->socket = Socket();
            connections_.on_served();
        }
    }
    // Serves one request, after which the connection is closed: httplib would poll an idle
    // connection a hundred times a second on a thread of its own.
    void serve(Call& call) {
        BufferedStream stream(call.socket.descriptor(), canonical_text(call.request),
                              write_timeout_s_);
        bool closed = false;
        process_request(stream, true, closed, nullptr);
        ::shutdown(call.socket.descriptor(), SHUT_RDWR);
        call.socket = Socket();
        connections_.on_served();
    }

    const double write_timeout_s_;
    ThreadPool pool_;
    IncompleteConnections connections_;
};

Server::Server(EventLoop& loop, ServerLimits limits, Routes routes, RequestLog::WriteLog log)
    : loop_(loop), request_log_(
                       routes == Routes::external ? "external" : "peers",
                       limits.heartbeat_interval_s * kHeartbeatsPerSample,
                       log ? std::move(log) : [](const LogLine&) {}),
      http_(new Http(limits, routes, request_log_)) {
    // SO_REUSEADDR allows a restarted process to bind the port at once, but not while another
    // process listens on it. httplib sets SO_REUSEPORT by default, with which two processes would
    // share the port and each get some of the connections.
    http_->set_socket_options([](socket_t socket) {
        int yes = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    });
    http_->set_tcp_nodelay(true);
    http_->set_payload_max_length(wire::kMaxBodyBytes);
    // Routes are regular expressions, and the matcher's recursion depth grows with the path length.
    http_->set_pre_routing_handler([](const httplib::Request& req, httplib::Response& res) {
        if (req.method != "GET" && req.method != "HEAD" && req.method != "POST") {
            send_error(res, 501, "no such method");
            return httplib::Server::HandlerResponse::Handled;
        }
        if (req.path.size() > kMaxPathBytes) {
            send_error(res, 404, "no such path");
            return httplib::Server::HandlerResponse::Handled;
        }
        return httplib::Server::HandlerResponse::Unhandled;
    });
    // httplib has been given the whole request, so this is its decision on a body over the limit.
    http_->set_error_handler([this](const httplib::Request& req, httplib::Response& res) {
        if (res.status == 413) {
            send_error(res, 400, "body over 64 KiB");
            count_refusal(req.path, 400, AnswerOrigin::http, "", "body over 64 KiB");
        }
    });
    double timeout_s = limits.heartbeat_interval_s;
    using Req = const httplib::Request&;
    using Res = httplib::Response&;
    // Registers a POST route that decodes the body and passes the message to the controller.
    auto post_route = [this](const std::string& path, auto submit) {
        http_->Post(path, [this, submit](Req req, Res res) {
            try {
                std::optional<Response> response = submit(req.body);
                send_response(res, response);
                count_answer(req.path, res.status, response);
            } catch (const wire::MessageError& error) {
                send_error(res, 400, error.what());
                count_refusal(req.path, 400, AnswerOrigin::codec, "", error.what());
            }
        });
    };
    if (routes == Routes::peers) {
        post_route(wire::kPeerSyncPath, [this, timeout_s](const std::string& body) {
            return loop_.submit(PeerSyncReceived{0, wire::parse_peer_sync_request(body)},
                                timeout_s);
        });
        post_route(wire::kLeaseExtensionPath, [this, timeout_s](const std::string& body) {
            return loop_.submit(
                LeaseExtensionReceived{0, wire::parse_lease_extension_request(body)}, timeout_s);
        });
        post_route(wire::kQuotaStatusPath, [this, timeout_s](const std::string& body) {
            return loop_.submit(QuotaStatusQuery{0, wire::parse_quota_status_query(body)},
                                timeout_s);
        });
        post_route(wire::kCancellationsPath, [this, timeout_s](const std::string& body) {
            return loop_.submit(CancellationsReceived{0, wire::parse_cancellations(body)},
                                timeout_s);
        });
        return;
    }
    post_route(wire::kJobsPath, [this, timeout_s](const std::string& body) {
        return loop_.submit(SubmitJob{0, wire::parse_job(body)}, timeout_s);
    });
    post_route(wire::kHeartbeatPath, [this, timeout_s](const std::string& body) {
        return loop_.submit(HeartbeatReceived{0, wire::parse_heartbeat(body)}, timeout_s);
    });
    // Wraps a handler of a path that contains a job id; an invalid id gets status 404.
    auto job_route = [this](auto submit) {
        return [this, submit](Req req, Res res) {
            std::string id = req.matches[1];
            if (!wire::valid_job_id(id)) {
                send_error(res, 404, "no such job");
                count_refusal(req.path, 404, AnswerOrigin::http, "", "not a job id");
                return;
            }
            std::optional<Response> response = submit(id);
            send_response(res, response);
            count_answer(req.path, res.status, response);
        };
    };
    http_->Get(R"(/work/([^/]+))", job_route([this, timeout_s](const std::string& id) {
                   return loop_.submit(PollJob{0, id}, timeout_s / 2);
               }));
    http_->Post(R"(/work/([^/]+)/withdraw)", job_route([this, timeout_s](const std::string& id) {
                    return loop_.submit(CancelJob{0, id}, timeout_s);
                }));
    http_->Get(wire::kReadyPath, [this](Req req, Res res) {
        std::optional<Response> response = loop_.submit(ReadinessProbe{0}, 1);
        send_response(res, response);
        count_answer(req.path, res.status, response);
    });
}

void Server::count_answer(const std::string& path, int status,
                          const std::optional<Response>& response) {
    RequestKind kind = request_kind(path);
    request_log_.on_answer(kind, status, response ? AnswerOrigin::core : AnswerOrigin::http);
    if (kind == RequestKind::submission && (status == 400 || status == 422)) {
        const auto* text = std::get_if<TextBody>(&response->body);
        request_log_.on_refusal(kind, status, AnswerOrigin::core, "", text ? text->text : "");
    }
}

void Server::count_refusal(const std::string& path, int status, AnswerOrigin origin,
                           const std::string& job, const std::string& reason) {
    RequestKind kind = request_kind(path);
    request_log_.on_answer(kind, status, origin);
    request_log_.on_refusal(kind, status, origin, job, reason);
}

Server::~Server() = default;

bool Server::bind_with_retries(const std::string& host, int port, double timeout_s) {
    using Clock = std::chrono::steady_clock;
    auto deadline = Clock::now() + std::chrono::duration<double>(timeout_s);
    while (!bind(host, port)) {
        if (Clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::duration<double>(timeout_s / kBindAttempts));
    }
    return true;
}

bool Server::bind(const std::string& host, int port) {
    if (port == 0) {
        port_ = http_->bind_to_any_port(host);
    } else {
        port_ = http_->bind_to_port(host, port) ? port : -1;
    }
    if (port_ <= 0) {
        return false;
    }
    http_->extend_backlog();
    return true;
}

void Server::run() { http_->listen_after_bind(); }

void Server::stop() { http_->stop(); }

} // namespace scheduler::net
