// Encodes and decodes the messages between the controllers, the workers, the users, the key-value
// store and the cloud: MessagePack bodies and HTTP request lines. All names on the wire are in
// src/wire.
#pragma once

#include <stdexcept>
#include <string>

#include "core/messaging/messages.h"

namespace scheduler::wire {

// Thrown if a message is malformed. what() gives the field and the reason and is sent to the
// client in a 400 response.
struct MessageError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Paths served to users, workers and health checks.
inline constexpr char kJobsPath[] = "/work";
inline constexpr char kCancelSuffix[] = "/withdraw";
inline constexpr char kHeartbeatPath[] = "/v1/report";
inline constexpr char kReadyPath[] = "/ready";
// Paths served to the other controllers, on a separate address.
inline constexpr char kPeerSyncPath[] = "/exchange";
inline constexpr char kLeaseExtensionPath[] = "/promise";
inline constexpr char kCancellationsPath[] = "/cancelled";
inline constexpr char kQuotaStatusPath[] = "/config";
inline constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;
inline constexpr char kContentType[] = "application/msgpack";

// Each of these decodes the body of a request and throws MessageError if it is malformed.
JobSpec parse_job(const std::string& body);
Heartbeat parse_heartbeat(const std::string& body);
PeerSyncRequest parse_peer_sync_request(const std::string& body);
LeaseExtensionRequest parse_lease_extension_request(const std::string& body);
std::vector<std::string> parse_cancellations(const std::string& body);
std::string parse_quota_status_query(const std::string& body); // returns the team's name

// Returns true if `id` is "req-" followed by digits, with at most 64 characters in all.
bool valid_job_id(const std::string& id);

// Encodes the body of a response of this controller.
std::string encode_response(const ResponseBody& body);

// The kind of server that a request goes to.
enum class Service { store, cloud, worker, peer };

// A request to another process, ready to be sent over HTTP.
struct HttpRequest {
    Service service = Service::store;
    std::string method;
    std::string path;
    std::string body;
    std::string endpoint; // for a worker: its address; for a peer: the controller's name
    double wait_s = 0;    // how long the server may hold the request open (long polling)
};

// Encodes a request to the key-value store, the cloud, a worker or another controller.
HttpRequest encode_request(const OutboundBody& request);

// Decodes the response to `request`. A malformed response counts as no response (status 0).
OutboundResponse decode_response(OutboundRequestId id, const OutboundBody& request, int status,
                                 const std::string& body);

} // namespace scheduler::wire
