#include "net/clients.h"

#include <httplib.h>

#include <algorithm>
#include <memory>

#include "wire/codec.h"

namespace scheduler::net {

namespace {
// Threads of each pool. A call whose answer is lost holds its thread until its time is up.
constexpr std::size_t kCloudThreads = 3;
constexpr std::size_t kPeerThreads = 4; // to each peer: both parts' exchanges, promise, notice

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
} // namespace

namespace {
OutboundResponse perform_on(httplib::Client& client, const OutboundRequest& call,
                            const wire::HttpRequest& http, double timeout_s) {
    client.set_read_timeout(std::chrono::milliseconds(int((timeout_s + http.wait_s) * 1000)));
    httplib::Result result = http.method == "GET"
                                 ? client.Get(http.path)
                                 : client.Post(http.path, http.body, wire::kContentType);
    return result ? wire::decode_response(call.id, call.body, result->status, result->body)
                  : wire::decode_response(call.id, call.body, 0, "");
}
} // namespace

OutboundResponse send_once(const std::string& address, const OutboundBody& call, double timeout_s) {
    return perform_on(*connect(address, timeout_s), OutboundRequest{0, call},
                      wire::encode_request(call), timeout_s);
}

Clients::Clients(Endpoints endpoints, Deliver deliver)
    : endpoints_(std::move(endpoints)), deliver_(std::move(deliver)),
      // The budget lets a second's worth of requests go at once.
      store_(static_cast<std::size_t>(endpoints_.store_threads),
             10 * endpoints_.heartbeat_interval_s,
             static_cast<std::size_t>(
                 std::max<double>(4 * endpoints_.store_threads, endpoints_.store_requests_per_s))),
      cloud_(kCloudThreads, 2 * endpoints_.heartbeat_interval_s),
      workers_(static_cast<std::size_t>(endpoints_.worker_threads),
               2 * endpoints_.heartbeat_interval_s),
      peers_(kPeerThreads * std::max<std::size_t>(2, endpoints_.peers.size()),
             2 * endpoints_.heartbeat_interval_s) {}

void Clients::send(const OutboundRequest& call) {
    bool orders = std::holds_alternative<WorkerCommands>(call.body);
    bool cloud = std::holds_alternative<ListInstanceTypes>(call.body) ||
                 std::holds_alternative<ListInstances>(call.body) ||
                 std::holds_alternative<ScaleOut>(call.body) ||
                 std::holds_alternative<ScaleIn>(call.body);
    bool peer = std::holds_alternative<PeerSyncCall>(call.body) ||
                std::holds_alternative<LeaseExtensionCall>(call.body) ||
                std::holds_alternative<CancellationCall>(call.body);
    ThreadPool& pool = peer ? peers_ : orders ? workers_ : cloud ? cloud_ : store_;
    if (!pool.enqueue([this, call] { perform(call); })) {
        OutboundResponse none;
        none.request_id = call.id;
        none.never_sent = true;
        deliver_(none);
    }
}

void Clients::stop() {
    store_.stop();
    cloud_.stop();
    workers_.stop();
    peers_.stop();
}

void Clients::perform(const OutboundRequest& call) {
    wire::HttpRequest http = wire::encode_request(call.body);
    // A thread keeps one connection to the state service and one to the cloud.
    static thread_local std::unique_ptr<httplib::Client> kept;
    std::unique_ptr<httplib::Client> once;
    httplib::Client* client = nullptr;
    double timeout_s = endpoints_.heartbeat_interval_s / 2;
    if (http.service == wire::Service::worker) {
        timeout_s = endpoints_.heartbeat_interval_s / 4;
    }
    if (http.service == wire::Service::worker || http.service == wire::Service::peer) {
        std::string address = http.endpoint;
        if (http.service == wire::Service::peer) {
            auto known = endpoints_.peers.find(http.endpoint);
            address = known == endpoints_.peers.end() ? "" : known->second;
        }
        once = connect(address, timeout_s);
        client = once.get();
    } else {
        if (http.service == wire::Service::cloud) {
            timeout_s = endpoints_.heartbeat_interval_s * 2;
        }
        if (!kept) {
            kept =
                connect(http.service == wire::Service::store ? endpoints_.store : endpoints_.cloud,
                        timeout_s);
        }
        client = kept.get();
    }
    deliver_(perform_on(*client, call, http, timeout_s));
}

} // namespace scheduler::net
