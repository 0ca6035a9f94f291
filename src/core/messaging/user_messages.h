// Requests of users, health checks and operators, and what they are answered with.
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

// An operator asks how a team's quota stands at this controller. The response body is a
// QuotaStatus, see core/model/quota.h.
struct QuotaStatusQuery {
    RequestId request_id = 0;
    std::string team;
};

// The same question as an outbound request to a controller. Only operators' commands send it, never
// the core.
struct QuotaStatusCall {
    std::string team;
};

// The response to PollJob. The counts of tasks are left out where they are not known.
struct JobStatusBody {
    std::string id;
    std::string stage; // as on the wire
    std::optional<std::uint32_t> done;
    std::optional<std::uint32_t> running;
};

// Directs the sender of a request to the controller that leads the partition in question.
struct LeaderRedirect {
    std::string node; // name of that controller; empty: not known
};

// A response of plain text, mostly the reason of a refusal.
struct TextBody {
    std::string text;
};

} // namespace scheduler
