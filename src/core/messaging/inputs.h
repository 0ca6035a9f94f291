// Everything that the core is told: requests that arrive, responses to its own requests, and time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/messaging/peer_messages.h"
#include "core/messaging/request_ids.h"
#include "core/messaging/user_messages.h"
#include "core/messaging/worker_messages.h"
#include "core/model/heartbeat.h"
#include "core/model/machine.h"
#include "core/model/quota.h"
#include "core/model/stored_records.h"

namespace scheduler {

// The response to an outbound request. Which fields are set depends on the request.
struct OutboundResponse {
    OutboundRequestId request_id = 0;
    int status = 0;                       // of HTTP; 0: no response that can be read
    bool never_sent = false;              // the request has not left this process and never will
    std::uint64_t revision = 0;           // of the store, as of the response
    std::uint64_t lease = 0;              // StoreLeaseGrant: the new lease
    bool more = false;                    // StoreRange, ListInstances: there are further pages
    std::vector<KeyedRecord> entries;     // records read, or changed under a watch
    std::vector<std::string> deleted;     // StoreWatch: keys that were deleted
    std::vector<std::string> failed_keys; // StoreTransaction, 409: see failed_on
    std::vector<InstanceType> instance_types;   // ListInstanceTypes
    std::vector<Instance> instances;            // ListInstances
    std::vector<std::string> accepted_machines; // ScaleOut: names of the machines rented
    std::optional<Heartbeat> heartbeat;         // WorkerCommands
    std::optional<PeerSyncResponse> peer_sync;
    std::optional<LeaseExtensionResponse> lease_extension;
    std::optional<QuotaStatus> quota_status;

    // Whether the transaction's condition on the key is among those that did not hold.
    bool failed_on(const std::string& key) const {
        return std::find(failed_keys.begin(), failed_keys.end(), key) != failed_keys.end();
    }
};

// Nothing but time has passed.
struct TimerTick {};

using Input = std::variant<TimerTick, SubmitJob, PollJob, CancelJob, ReadinessProbe,
                           HeartbeatReceived, PeerSyncReceived, LeaseExtensionReceived,
                           CancellationsReceived, QuotaStatusQuery, OutboundResponse>;

} // namespace scheduler
