// The inputs of the core: received requests, responses to its own requests, and timer ticks.
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
    int status = 0;                   // HTTP status; 0: no response, or one that cannot be decoded
    bool never_sent = false;          // the request was not sent and will not be
    std::uint64_t revision = 0;       // of the store at the time of the response
    std::uint64_t lease = 0;          // StoreLeaseGrant: the new lease
    bool more = false;                // StoreRange, ListInstances: further pages exist
    std::vector<KeyedRecord> entries; // records read, or changes seen by a watch
    std::vector<std::string> deleted; // StoreWatch: keys that were deleted
    std::vector<std::string> failed_keys;       // StoreTransaction, 409: see failed_on
    std::vector<InstanceType> instance_types;   // ListInstanceTypes
    std::vector<Instance> instances;            // ListInstances
    std::vector<std::string> accepted_machines; // ScaleOut: names of the new machines
    std::optional<Heartbeat> heartbeat;         // WorkerCommands
    std::optional<PeerSyncResponse> peer_sync;
    std::optional<LeaseExtensionResponse> lease_extension;
    std::optional<QuotaStatus> quota_status;

    // Returns whether the transaction's condition on the key is among the failed ones.
    bool failed_on(const std::string& key) const {
        return std::find(failed_keys.begin(), failed_keys.end(), key) != failed_keys.end();
    }
};

// A periodic input that only advances the time.
struct TimerTick {};

using Input = std::variant<TimerTick, SubmitJob, PollJob, CancelJob, ReadinessProbe,
                           HeartbeatReceived, PeerSyncReceived, LeaseExtensionReceived,
                           CancellationsReceived, QuotaStatusQuery, OutboundResponse>;

} // namespace scheduler
