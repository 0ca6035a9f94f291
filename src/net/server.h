// The HTTP servers of a controller, one for users, workers and health checks, one for its peers.
#pragma once

#include <memory>
#include <string>

#include "net/event_loop.h"
#include "net/request_log.h"

namespace scheduler::net {

struct ServerLimits {
    int max_sockets = 0;             // of the process; sets the numbers of threads and connections
    double heartbeat_interval_s = 0; // within it the controller answers
};

class Server {
  public:
    // The paths to serve. external: users, workers and health checks; peers: other controllers.
    enum class Routes { external, peers };
    Server(EventLoop& loop, ServerLimits limits, Routes routes = Routes::external,
           RequestLog::WriteLog log = nullptr);
    ~Server();
    // Binds the listening socket; port 0 picks a free port. Returns false on failure.
    bool bind(const std::string& host, int port);
    // Retries `bind` for up to `timeout_s`: after a restart the previous process may still hold the
    // port for a moment.
    bool bind_with_retries(const std::string& host, int port, double timeout_s);
    // Serves requests on the calling thread until `stop` is called.
    void run();
    void stop();
    int port() const { return port_; }

  private:
    class Http;
    void count_answer(const std::string& path, int status, const std::optional<Response>& response);
    void count_refusal(const std::string& path, int status, AnswerOrigin origin,
                       const std::string& job, const std::string& reason);

    EventLoop& loop_;
    RequestLog request_log_;
    std::unique_ptr<Http> http_;
    int port_ = 0;
};

} // namespace scheduler::net
