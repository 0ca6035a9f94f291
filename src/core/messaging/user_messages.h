// Requests of users, health checks and operators, and the bodies of their responses.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/messaging/request_ids.h"
#include "core/model/job.h"

namespace scheduler {

// A user submits a job.
struct SubmitJob {
    RequestId request_id = 0;
    JobSpec spec;
};

// A user asks for the status of a job. The response body is a JobStatusBody.
struct PollJob {
    RequestId request_id = 0;
    std::string job;
};

// A user cancels a job.
struct CancelJob {
    RequestId request_id = 0;
    std::string job;
};

// A load balancer or operator asks whether this controller is ready to serve users.
struct ReadinessProbe {
    RequestId request_id = 0;
};

// An operator queries the quota of a team as this controller applies it. The response body is a
// QuotaStatus, see core/model/quota.h.
struct QuotaStatusQuery {
    RequestId request_id = 0;
    std::string team;
};

// The same query as an outbound request to a controller. Sent only by operators' commands, never by
// the core.
struct QuotaStatusCall {
    std::string team;
};

// The response to PollJob. The task counts are absent if they are unknown.
struct JobStatusBody {
    std::string id;
    std::string stage; // the value of the wire protocol
    std::optional<std::uint32_t> done;
    std::optional<std::uint32_t> running;
};

// Redirects the sender of a request to the controller that leads the requested partition.
struct LeaderRedirect {
    std::string node; // name of that controller; empty: unknown
};

// A plain-text response body, usually the reason for a rejection.
struct TextBody {
    std::string text;
};

} // namespace scheduler
