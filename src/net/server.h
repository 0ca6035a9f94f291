// The HTTP interface for users, workers and health checks.
#pragma once

#include <memory>
#include <string>

#include "net/event_loop.h"

namespace scheduler::net {

struct ServerLimits {
    int sockets = 0;
    double heartbeat_interval_s = 0;
};

class Server {
  public:
    // `outside`: for users, workers and health checks; `back`: for the other controllers.
    enum class Side { outside, back };
    Server(EventLoop& loop, ServerLimits limits, Side side = Side::outside);
    ~Server();
    // False: the address cannot be had.
    bool bind(const std::string& host, int port);
    // Tries again for so long: the process of before may not be quite gone when this one starts.
    bool bind_within(const std::string& host, int port, double seconds);
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
