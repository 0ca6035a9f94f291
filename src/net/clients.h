// Calls to the state service, the cloud, the workers and the other controllers: blocking clients on
// pools of threads.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "core/messaging/messages.h"
#include "net/thread_pool.h"

namespace scheduler::net {

struct ClientSettings {
    std::string store;
    std::string cloud;
    std::map<std::string, std::string> peers; // by node
    double heartbeat_interval_s = 0;          // the measure of all timeouts
    int worker_threads = 0;                   // calls to workers at once
    double store_requests_per_s = 0;          // of the state service, for all nodes
    int store_threads = 0;                    // calls to the state service at once
};

// One call on a connection of its own, for commands: to the state service, or to a controller's
// address for the others.
OutboundResponse send_once(const std::string& address, const OutboundBody& request,
                           double timeout_s);

class Clients {
  public:
    using ResponseHandler = std::function<void(OutboundResponse)>;
    Clients(ClientSettings settings, ResponseHandler on_response);
    void send(const OutboundRequest& request);
    void stop();

  private:
    void execute(const OutboundRequest& request);

    ClientSettings settings_;
    ResponseHandler on_response_;
    ThreadPool store_pool_;
    ThreadPool cloud_pool_;
    ThreadPool worker_pool_;
    ThreadPool peer_pool_;
};

} // namespace scheduler::net
