// Requests whose bytes arrive late, in parts, or never all of them.
#pragma once

#include <functional>
#include <optional>
#include <random>

#include "scale/http_client.h"

namespace scheduler::scale {

// Draws which requests are sent slowly, and how.
class SlowDeliveries {
  public:
    // `share` of the requests, from 0 to 1.
    SlowDeliveries(double share, std::uint64_t seed) : share_(share), random_(seed) {}
    std::optional<SlowDelivery> draw();

  private:
    double share_;
    std::mt19937_64 random_;
};

// Like `send_request`, with the bytes sent as `delivery` says.
void send_slowly(EventLoop& loop, const HttpClientRequest& request, const SlowDelivery& delivery,
                 std::function<void(HttpResponse)> on_response);

} // namespace scheduler::scale
