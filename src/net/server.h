// The HTTP interface for users, workers and health checks.
#pragma once

#include <memory>
#include <string>

#include "net/event_loop.h"

namespace scheduler::net {

struct ServerLimits {
    int max_sockets = 0;
    double heartbeat_interval_s = 0;
};

class Server {
  public:
    // `external`: for users, workers and health checks; `peers`: for the other controllers.
    enum class Routes { external, peers };
    Server(EventLoop& loop, ServerLimits limits, Routes routes = Routes::external);
    ~Server();
    // False: the address cannot be had.
    bool bind(const std::string& host, int port);
    // Tries again for so long: the process of before may not be quite gone when this one starts.
    bool bind_with_retries(const std::string& host, int port, double timeout_s);
    void run();
    void stop();
    int port() const { return port_; }

  private:
    class Http;
    EventLoop& loop_;
    std::unique_ptr<Http> http_;
    int port_ = 0;
};

} // namespace scheduler::net
