// Numbers that match responses with requests.
#pragma once

#include <cstdint>

namespace scheduler {

// A request that this controller received, numbered by the server that waits for the response.
using RequestId = std::uint64_t;

// A request that this controller sends, numbered by OutboundRequests.
using OutboundRequestId = std::uint64_t;

} // namespace scheduler
