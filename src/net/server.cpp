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
constexpr int kLongestPath = 256;
constexpr int kBacklog = 128;
constexpr std::size_t kRefusers = 4; // threads
constexpr double kBindTries = 300;

// This thread serves a connection that there is no thread for: it is only told to come back.
thread_local bool overloaded = false;

class Queue : public httplib::TaskQueue {
  public:
    Queue(std::size_t most, double linger_s)
        : pool_(most, linger_s), refusers_(kRefusers, linger_s) {}
    // A connection that is dropped would keep its socket and its user waiting. So what the pool
    // cannot take is refused by a few threads of their own, and when these are taken too by the
    // thread that accepts: what comes then waits in the backlog, and the load balancer tries
    // another node.
    void enqueue(std::function<void()> work) override {
        if (pool_.enqueue(work)) {
            return;
        }
        auto refuse = [work = std::move(work)] {
            overloaded = true;
            work();
            overloaded = false;
        };
        if (!refusers_.enqueue(refuse)) {
            refuse();
        }
    }
    void shutdown() override {
        pool_.stop();
        refusers_.stop();
    }

  private:
    ThreadPool pool_;
    ThreadPool refusers_;
};

void refuse(httplib::Response& res, int status, const std::string& why, int retry_after_s = 0) {
    res.status = status;
    if (retry_after_s > 0) {
        res.set_header("Retry-After", std::to_string(retry_after_s));
    }
    res.set_content(wire::encode_response(TextBody{why}), wire::kContentType);
}

void reply(httplib::Response& res, const std::optional<Response>& answer) {
    if (!answer) {
        refuse(res, 503, "no answer in time", 1);
        return;
    }
    res.status = answer->status;
    if (answer->retry_after_s > 0) {
        res.set_header("Retry-After",
                       std::to_string(static_cast<int>(std::ceil(answer->retry_after_s))));
    }
    res.set_content(wire::encode_response(answer->body), wire::kContentType);
}
} // namespace

// The request is read to its end first, or closing the connection could take the answer with it.
httplib::Server::Handler unless_overloaded(httplib::Server::Handler handler) {
    return [handler = std::move(handler)](const httplib::Request& req, httplib::Response& res) {
        if (overloaded) {
            refuse(res, 503, "too many connections", 1);
        } else {
            handler(req, res);
        }
    };
}

// httplib listens with a backlog of five, too short for the connections of a burst.
class Server::Http : public httplib::Server {
  public:
    void widen_backlog() { ::listen(svr_sock_, kBacklog); }
};

Server::Server(EventLoop& loop, ServerLimits limits, Side side) : loop_(loop), http_(new Http) {
    // A connection has a thread while it is open. Its idle wait in httplib polls a hundred times
    // a second, more than these machines can spare for every worker and user, so a connection
    // serves one request and is closed with its answer.
    std::size_t threads = std::clamp(limits.sockets / 8, 16, 96);
    double linger_s = limits.heartbeat_interval_s * 4;
    http_->new_task_queue = [threads, linger_s] { return new Queue(threads, linger_s); };
    // The port of a process that has just ended can be had at once, that of one that lives cannot:
    // httplib's own option would let two processes share it, each with a part of the connections.
    http_->set_socket_options([](socket_t socket) {
        int yes = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    });
    http_->set_keep_alive_max_count(1);
    http_->set_keep_alive_timeout(std::max(1, static_cast<int>(limits.heartbeat_interval_s)));
    http_->set_read_timeout(std::chrono::milliseconds(int(limits.heartbeat_interval_s * 700)));
    http_->set_write_timeout(std::chrono::milliseconds(int(limits.heartbeat_interval_s * 700)));
    http_->set_tcp_nodelay(true);
    http_->set_payload_max_length(wire::kBodyLimit);
    // The routes are regular expressions, whose matcher recurses by the length of the path.
    http_->set_pre_routing_handler([](const httplib::Request& req, httplib::Response& res) {
        if (req.path.size() > kLongestPath) {
            refuse(res, 404, "no such path");
            return httplib::Server::HandlerResponse::Handled;
        }
        return httplib::Server::HandlerResponse::Unhandled;
    });
    http_->set_error_handler([](const httplib::Request&, httplib::Response& res) {
        if (res.status == 413) {
            refuse(res, 400, "body over 64 KiB");
        }
    });
    // Users give up on a submission after 5 s and on a poll after 2 s, workers after 4 s.
    double timeout_s = limits.heartbeat_interval_s;
    using Req = const httplib::Request&;
    using Res = httplib::Response&;
    // A message from the body of a request, put to the core.
    auto post = [this](const std::string& path, auto ask) {
        http_->Post(path, unless_overloaded([ask](Req req, Res res) {
                        try {
                            reply(res, ask(req.body));
                        } catch (const wire::MessageError& bad) {
                            refuse(res, 400, bad.what());
                        }
                    }));
    };
    if (side == Side::back) {
        post(wire::kPeerSyncPath, [this, timeout_s](const std::string& body) {
            return loop_.submit(PeerSyncReceived{0, wire::parse_peer_sync_request(body)},
                                timeout_s);
        });
        post(wire::kLeaseExtensionPath, [this, timeout_s](const std::string& body) {
            return loop_.submit(
                LeaseExtensionReceived{0, wire::parse_lease_extension_request(body)}, timeout_s);
        });
        post(wire::kQuotaStatusPath, [this, timeout_s](const std::string& body) {
            return loop_.submit(QuotaStatusQuery{0, wire::parse_quota_status_query(body)},
                                timeout_s);
        });
        post(wire::kCancellationsPath, [this, timeout_s](const std::string& body) {
            return loop_.submit(CancellationsReceived{0, wire::parse_cancellations(body)},
                                timeout_s);
        });
        return;
    }
    post(wire::kJobsPath, [this, timeout_s](const std::string& body) {
        return loop_.submit(SubmitJob{0, wire::parse_job(body)}, timeout_s);
    });
    post(wire::kHeartbeatPath, [this, timeout_s](const std::string& body) {
        return loop_.submit(HeartbeatReceived{0, wire::parse_heartbeat(body)}, timeout_s);
    });
    // What the path names a job for.
    auto of_job = [](auto ask) {
        return unless_overloaded([ask](Req req, Res res) {
            std::string id = req.matches[1];
            if (!wire::valid_job_id(id)) {
                refuse(res, 404, "no such job");
                return;
            }
            reply(res, ask(id));
        });
    };
    http_->Get(R"(/work/([^/]+))", of_job([this, timeout_s](const std::string& id) {
                   return loop_.submit(PollJob{0, id}, timeout_s / 2);
               }));
    http_->Post(R"(/work/([^/]+)/withdraw)", of_job([this, timeout_s](const std::string& id) {
                    return loop_.submit(CancelJob{0, id}, timeout_s);
                }));
    http_->Get(wire::kReadyPath, unless_overloaded([this](Req, Res res) {
                   reply(res, loop_.submit(ReadinessProbe{0}, 1));
               }));
}

Server::~Server() = default;

bool Server::bind_within(const std::string& host, int port, double seconds) {
    using Clock = std::chrono::steady_clock;
    auto end = Clock::now() + std::chrono::duration<double>(seconds);
    while (!bind(host, port)) {
        if (Clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds / kBindTries));
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
    http_->widen_backlog();
    return true;
}

void Server::run() { http_->listen_after_bind(); }

void Server::stop() { http_->stop(); }

} // namespace scheduler::net
