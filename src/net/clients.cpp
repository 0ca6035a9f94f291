#include "net/clients.h"

#include <httplib.h>

#include <algorithm>
#include <memory>

#include "wire/codec.h"

namespace scheduler::net {

namespace {
// Sizes of the pools. A request whose response is lost occupies its thread until the timeout.
constexpr std::size_t kCloudThreads = 3;
// For each peer: the peer syncs of both partitions, a lease extension and a cancellation broadcast.
constexpr std::size_t kPeerThreads = 4;

std::unique_ptr<httplib::Client> connect(const std::string& address, double timeout_s) {
    auto colon = address.rfind(':');
    int port = colon == std::string::npos ? 80 : std::atoi(address.c_str() + colon + 1);
    auto client = std::make_unique<httplib::Client>(address.substr(0, colon), port);
    client->set_tcp_nodelay(true);
    client->set_keep_alive(true);
    client->set_connection_timeout(std::chrono::milliseconds(int(timeout_s * 1000)));
    client->set_write_timeout(std::chrono::milliseconds(int(timeout_s * 1000)));
    return client;
}

OutboundResponse send_on(httplib::Client& client, const OutboundRequest& request,
                         const wire::HttpRequest& http, double timeout_s) {
    client.set_read_timeout(std::chrono::milliseconds(int((timeout_s + http.wait_s) * 1000)));
    httplib::Result result = http.method == "GET"
                                 ? client.Get(http.path)
                                 : client.Post(http.path, http.body, wire::kContentType);
    return result ? wire::decode_response(request.id, request.body, result->status, result->body)
                  : wire::decode_response(request.id, request.body, 0, "");
}
} // namespace

OutboundResponse send_once(const std::string& address, const OutboundBody& request,
                           double timeout_s) {
    return send_on(*connect(address, timeout_s), OutboundRequest{0, request},
                   wire::encode_request(request), timeout_s);
}

Clients::Clients(ClientSettings settings, ResponseHandler on_response)
    : settings_(std::move(settings)), on_response_(std::move(on_response)),
      // The store rate limiter allows bursts of one second's worth of requests.
      store_pool_(static_cast<std::size_t>(settings_.store_threads),
                  10 * settings_.heartbeat_interval_s,
                  static_cast<std::size_t>(std::max<double>(4 * settings_.store_threads,
                                                            settings_.store_requests_per_s))),
      cloud_pool_(kCloudThreads, 2 * settings_.heartbeat_interval_s),
      worker_pool_(static_cast<std::size_t>(settings_.worker_threads),
                   2 * settings_.heartbeat_interval_s),
      peer_pool_(kPeerThreads * std::max<std::size_t>(2, settings_.peers.size()),
                 2 * settings_.heartbeat_interval_s) {}

void Clients::send(const OutboundRequest& request) {
    bool to_worker = std::holds_alternative<WorkerCommands>(request.body);
    bool to_cloud = std::holds_alternative<ListInstanceTypes>(request.body) ||
                    std::holds_alternative<ListInstances>(request.body) ||
                    std::holds_alternative<ScaleOut>(request.body) ||
                    std::holds_alternative<ScaleIn>(request.body);
    bool to_peer = std::holds_alternative<PeerSyncCall>(request.body) ||
                   std::holds_alternative<LeaseExtensionCall>(request.body) ||
                   std::holds_alternative<CancellationCall>(request.body);
    ThreadPool& pool = to_peer     ? peer_pool_
                       : to_worker ? worker_pool_
                       : to_cloud  ? cloud_pool_
                                   : store_pool_;
    if (!pool.enqueue([this, request] { execute(request); })) {
        OutboundResponse not_sent;
        not_sent.request_id = request.id;
        not_sent.never_sent = true;
        on_response_(not_sent);
    }
}

void Clients::stop() {
    store_pool_.stop();
    cloud_pool_.stop();
    worker_pool_.stop();
    peer_pool_.stop();
}

void Clients::execute(const OutboundRequest& request) {
    wire::HttpRequest http = wire::encode_request(request.body);
    // Threads of the store and cloud pools reuse their client; workers and peers get a new one.
    static thread_local std::unique_ptr<httplib::Client> thread_client;
    std::unique_ptr<httplib::Client> new_client;
    httplib::Client* client = nullptr;
    double timeout_s = settings_.heartbeat_interval_s / 2;
    if (http.service == wire::Service::worker) {
        timeout_s = settings_.heartbeat_interval_s / 4;
    }
    if (http.service == wire::Service::worker || http.service == wire::Service::peer) {
        std::string address = http.endpoint;
        if (http.service == wire::Service::peer) {
            auto peer = settings_.peers.find(http.endpoint);
            address = peer == settings_.peers.end() ? "" : peer->second;
        }
        new_client = connect(address, timeout_s);
        client = new_client.get();
    } else {
        if (http.service == wire::Service::cloud) {
            timeout_s = settings_.heartbeat_interval_s * 2;
        }
        if (!thread_client) {
            thread_client =
                connect(http.service == wire::Service::store ? settings_.store : settings_.cloud,
                        timeout_s);
        }
        client = thread_client.get();
    }
    on_response_(send_on(*client, request, http, timeout_s));
}

} // namespace scheduler::net
