// The load balancer between the users of a region and its controllers.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "scale/http_client.h"
#include "scale/plan.h"

namespace scheduler::scale {

// Sends each request to the healthy controller with the fewest open connections. A controller is
// healthy from its first good probe until it fails several in a row. On the event loop's thread;
// the loop and the plan outlive it.
class LoadBalancer {
  public:
    LoadBalancer(EventLoop& loop, const Plan& plan);

    // Probes all controllers once; `start` does so at intervals too.
    void probe();
    void start();
    bool any_healthy() const { return pick().has_value(); }
    // Sends to the host that it chooses. False: no controller is healthy, nothing was sent.
    bool send(HttpClientRequest request, std::function<void(const HttpResponse&)> on_response);

  private:
    struct Backend {
        bool healthy = false;
        int failed_probes = 0; // in a row
        int open_connections = 0;
    };
    std::optional<int> pick() const; // a controller's number
    void on_probe(int controller, const HttpResponse& response);

    EventLoop& loop_;
    const Plan& plan_;
    std::vector<Backend> backends_; // by the controller's number
};

} // namespace scheduler::scale
