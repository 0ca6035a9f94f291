// The outputs of the core: responses, outbound requests and log lines. The core never blocks: the
// outcome of an outbound request arrives as a later input.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/messaging/cloud_messages.h"
#include "core/messaging/peer_messages.h"
#include "core/messaging/request_ids.h"
#include "core/messaging/store_messages.h"
#include "core/messaging/user_messages.h"
#include "core/messaging/worker_messages.h"
#include "core/model/quota.h"

namespace scheduler {

// The content of an outbound request to the store, the cloud, a worker or a peer.
using OutboundBody =
    std::variant<StoreGet, StoreRange, StoreTransaction, StoreLeaseGrant, StoreLeaseRenewal,
                 StoreWatch, ListInstanceTypes, ListInstances, ScaleOut, ScaleIn, WorkerCommands,
                 PeerSyncCall, LeaseExtensionCall, CancellationCall, QuotaStatusCall>;

// A request to another service, answered by an OutboundResponse with the same id.
struct OutboundRequest {
    OutboundRequestId id = 0;
    OutboundBody body;
};

using ResponseBody = std::variant<TextBody, JobStatusBody, HeartbeatBody, LeaderRedirect,
                                  PeerSyncResponse, LeaseExtensionResponse, QuotaStatus>;

// The response to a request that this controller received.
struct Response {
    RequestId request_id = 0;
    int status = 0; // of HTTP
    ResponseBody body;
    double retry_after_s = 0; // when the sender should retry; 0: not stated
};

enum class LogLevel { error, info, debug };

// A log line of the form `event=... key=value ...`.
struct LogLine {
    LogLevel level = LogLevel::info;
    std::string text;
};

// The outputs for one input. Each list is to be processed in order.
struct Outputs {
    std::vector<Response> responses;
    std::vector<OutboundRequest> requests;
    std::vector<LogLine> log;
};

} // namespace scheduler
