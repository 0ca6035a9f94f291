// Messages between the leader of a machine's partition and the agent on the machine.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/messaging/request_ids.h"
#include "core/model/heartbeat.h"

namespace scheduler {

// A received heartbeat of a worker.
struct HeartbeatReceived {
    RequestId request_id = 0;
    Heartbeat heartbeat;
};

// The response to a heartbeat. With status 200 it renews the worker's lease.
struct HeartbeatBody {
    std::uint64_t fencing_token = 0; // the worker rejects commands with a lower token from now on
    std::vector<WorkerCommand> commands;
};

// Commands sent to a worker directly, without waiting for its next heartbeat. The response contains
// a heartbeat. Status 409: the worker rejects the commands because of a stale fencing token or
// another agent epoch; this response contains a heartbeat as well.
struct WorkerCommands {
    std::string machine;
    std::string endpoint;
    std::uint64_t fencing_token = 0;
    std::uint64_t agent_epoch = 0; // incarnation of the agent that the commands are for
    std::vector<WorkerCommand> commands;
};

} // namespace scheduler
