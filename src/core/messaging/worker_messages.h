// Messages between the leader of a machine's partition and the agent on the machine.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/messaging/request_ids.h"
#include "core/model/heartbeat.h"

namespace scheduler {

// A worker's heartbeat has arrived.
struct HeartbeatReceived {
    RequestId request_id = 0;
    Heartbeat heartbeat;
};

// The response to a heartbeat. With status 200 it renews the worker's lease.
struct HeartbeatBody {
    std::uint64_t fencing_token = 0; // the worker refuses commands with a lower one from now on
    std::vector<WorkerCommand> commands;
};

// Commands sent to a worker directly, without waiting for its next heartbeat. The response holds a
// heartbeat; 409 is the worker's refusal, for a stale token or another agent epoch, with one too.
struct WorkerCommands {
    std::string machine;
    std::string endpoint;
    std::uint64_t fencing_token = 0;
    std::uint64_t agent_epoch = 0; // the incarnation of the agent that is meant
    std::vector<WorkerCommand> commands;
};

} // namespace scheduler
