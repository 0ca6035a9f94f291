// Ids that match responses with requests.
#pragma once

#include <cstdint>

namespace scheduler {

// Id of a request that this controller received, assigned by the server that awaits the response.
using RequestId = std::uint64_t;

// Id of a request that this controller sends, assigned by OutboundRequests.
using OutboundRequestId = std::uint64_t;

} // namespace scheduler
