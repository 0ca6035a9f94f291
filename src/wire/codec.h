// Messages as they are on the wire: MessagePack bodies and HTTP lines. Every wire name is here.
#pragma once

#include <stdexcept>
#include <string>

#include "core/messaging/messages.h"

namespace scheduler::wire {

// A message that is not taken, with the reason to tell.
struct MessageError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Paths that this node serves.
inline constexpr char kJobsPath[] = "/work";
inline constexpr char kCancelSuffix[] = "/withdraw";
inline constexpr char kHeartbeatPath[] = "/v1/report";
inline constexpr char kReadyPath[] = "/ready";
// On the address for the other controllers.
inline constexpr char kPeerSyncPath[] = "/exchange";
inline constexpr char kLeaseExtensionPath[] = "/promise";
inline constexpr char kCancellationsPath[] = "/cancelled";
inline constexpr char kQuotaStatusPath[] = "/config";
inline constexpr std::size_t kBodyLimit = std::size_t{64} * 1024;
inline constexpr char kContentType[] = "application/msgpack";

JobSpec parse_job(const std::string& body);
Heartbeat parse_heartbeat(const std::string& body);
PeerSyncRequest parse_peer_sync_request(const std::string& body);
LeaseExtensionRequest parse_lease_extension_request(const std::string& body);
std::vector<std::string> parse_cancellations(const std::string& body);
std::string parse_quota_status_query(const std::string& body);
bool valid_job_id(const std::string& id);
std::string encode_response(const ResponseBody& body);

enum class Service { store, cloud, worker, peer };
struct HttpRequest {
    Service service = Service::store;
    std::string method;
    std::string path;
    std::string body;
    std::string endpoint; // worker: its address; peer: the node's name
    double wait_s = 0;    // what the request itself waits for at the other end
};
HttpRequest encode_request(const OutboundBody& request);
// Reads the answer to `request`; an answer that cannot be read counts as none (status 0).
OutboundResponse decode_response(OutboundRequestId id, const OutboundBody& request, int status,
                                 const std::string& body);

} // namespace scheduler::wire
