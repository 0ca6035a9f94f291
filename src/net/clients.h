// HTTP clients for the key-value store, the cloud, the workers and the other controllers. Each kind
// of server has a thread pool, whose threads block while a request is open.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "core/messaging/messages.h"
#include "net/thread_pool.h"

namespace scheduler::net {

// Addresses of the servers, and the settings for timeouts and for the sizes of the pools.
struct ClientSettings {
    std::string store;
    std::string cloud;
    std::map<std::string, std::string> peers; // addresses of the other controllers, by name
    double heartbeat_interval_s = 0;          // all timeouts are multiples of it
    int worker_threads = 0;                   // maximum number of concurrent requests to workers
    double store_requests_per_s = 0;          // rate limit of the store, for all controllers
    int store_threads = 0;                    // maximum number of concurrent requests to the store
};

// Sends one request on a new connection and waits for the response. Used by the command line, with
// the address of the store or the peer address of a controller.
OutboundResponse send_once(const std::string& address, const OutboundBody& request,
                           double timeout_s);

// Sends the requests of the controller and passes on the responses to them.
class Clients {
  public:
    using ResponseHandler = std::function<void(OutboundResponse)>;
    // `on_response` is called on a thread of a pool, or by `send` if a pool's queue is full.
    Clients(ClientSettings settings, ResponseHandler on_response);
    // Queues a request and returns at once. Each request gets exactly one response: with status 0
    // if there was no readable response in time, and with `never_sent` if the queue was full.
    void send(const OutboundRequest& request);
    // Completes the queued requests, then stops the pools.
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
