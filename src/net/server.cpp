#include "net/server.h"

#include <httplib.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <thread>

#include "net/thread_pool.h"
#include "wire/codec.h"

namespace scheduler::net {

namespace {
constexpr int kMaxPathBytes = 256;
constexpr int kListenBacklog = 128;
constexpr std::size_t kRejectionThreads = 4;
constexpr double kBindAttempts = 300; // within the timeout of bind_with_retries

// True while this thread serves a connection beyond the limit, which is rejected with status 503.
thread_local bool rejecting = false;

// Passes accepted connections to a thread pool, and rejects those that the pool cannot take.
class ConnectionQueue : public httplib::TaskQueue {
  public:
    ConnectionQueue(std::size_t max_threads, double idle_timeout_s)
        : pool_(max_threads, idle_timeout_s), rejection_pool_(kRejectionThreads, idle_timeout_s) {}

    // A connection that is dropped without a response would stay open and keep its client waiting.
    // So connections beyond the pool's capacity are rejected by a second pool, and if that is full
    // too, by the accepting thread. New connections then wait in the listen backlog, and the load
    // balancer tries another controller.
    void enqueue(std::function<void()> work) override {
        if (pool_.enqueue(work)) {
            return;
        }
        auto reject = [work = std::move(work)] {
            rejecting = true;
            work();
            rejecting = false;
        };
        if (!rejection_pool_.enqueue(reject)) {
            reject();
        }
    }
    void shutdown() override {
        pool_.stop();
        rejection_pool_.stop();
    }

  private:
    ThreadPool pool_;
    ThreadPool rejection_pool_;
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
} // namespace

// Wraps a handler so that connections beyond the limit get status 503. httplib has read the whole
// request by then; closing the connection with unread data could discard the response.
httplib::Server::Handler reject_if_overloaded(httplib::Server::Handler handler) {
    return [handler = std::move(handler)](const httplib::Request& req, httplib::Response& res) {
        if (rejecting) {
            send_error(res, 503, "too many connections", 1);
        } else {
            handler(req, res);
        }
    };
}

// httplib listens with a backlog of 5, which is too short for bursts of connections.
class Server::Http : public httplib::Server {
  public:
    void extend_backlog() { ::listen(svr_sock_, kListenBacklog); }
};

Server::Server(EventLoop& loop, ServerLimits limits, Routes routes) : loop_(loop), http_(new Http) {
    // An open connection occupies a thread, and httplib polls an idle connection a hundred times a
    // second. That is too much CPU time with a connection for each worker and user, so a connection
    // serves one request and is closed after the response.
    std::size_t threads = std::clamp(limits.max_sockets / 8, 16, 96);
    double idle_timeout_s = limits.heartbeat_interval_s * 4;
    http_->new_task_queue = [threads, idle_timeout_s] {
        return new ConnectionQueue(threads, idle_timeout_s);
    };
    // SO_REUSEADDR allows a restarted process to bind the port at once, but not while another
    // process listens on it. httplib sets SO_REUSEPORT by default, with which two processes would
    // share the port and each get some of the connections.
    http_->set_socket_options([](socket_t socket) {
        int yes = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    });
    http_->set_keep_alive_max_count(1);
    http_->set_keep_alive_timeout(std::max(1, static_cast<int>(limits.heartbeat_interval_s)));
    http_->set_read_timeout(std::chrono::milliseconds(int(limits.heartbeat_interval_s * 700)));
    http_->set_write_timeout(std::chrono::milliseconds(int(limits.heartbeat_interval_s * 700)));
    http_->set_tcp_nodelay(true);
    http_->set_payload_max_length(wire::kMaxBodyBytes);
    // Routes are regular expressions, and the matcher's recursion depth grows with the path length.
    http_->set_pre_routing_handler([](const httplib::Request& req, httplib::Response& res) {
        if (req.path.size() > kMaxPathBytes) {
            send_error(res, 404, "no such path");
            return httplib::Server::HandlerResponse::Handled;
        }
        return httplib::Server::HandlerResponse::Unhandled;
    });
    http_->set_error_handler([](const httplib::Request&, httplib::Response& res) {
        if (res.status == 413) {
            send_error(res, 400, "body over 64 KiB");
        }
    });
    // Clients time out: users after 5 s for a submission and 2 s for a poll, workers after 4 s.
    double timeout_s = limits.heartbeat_interval_s;
    using Req = const httplib::Request&;
    using Res = httplib::Response&;
    // Registers a POST route that decodes the body and passes the message to the controller.
    auto post_route = [this](const std::string& path, auto submit) {
        http_->Post(path, reject_if_overloaded([submit](Req req, Res res) {
                        try {
                            send_response(res, submit(req.body));
                        } catch (const wire::MessageError& error) {
                            send_error(res, 400, error.what());
                        }
                    }));
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
    auto job_route = [](auto submit) {
        return reject_if_overloaded([submit](Req req, Res res) {
            std::string id = req.matches[1];
            if (!wire::valid_job_id(id)) {
                send_error(res, 404, "no such job");
                return;
            }
            send_response(res, submit(id));
        });
    };
    http_->Get(R"(/work/([^/]+))", job_route([this, timeout_s](const std::string& id) {
                   return loop_.submit(PollJob{0, id}, timeout_s / 2);
               }));
    http_->Post(R"(/work/([^/]+)/withdraw)", job_route([this, timeout_s](const std::string& id) {
                    return loop_.submit(CancelJob{0, id}, timeout_s);
                }));
    http_->Get(wire::kReadyPath, reject_if_overloaded([this](Req, Res res) {
                   send_response(res, loop_.submit(ReadinessProbe{0}, 1));
               }));
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
