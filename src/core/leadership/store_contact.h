// When this process started, and when the store last responded to it. Any response from the store
// itself counts, even a refusal. Times are seconds on this controller's steady clock.
#pragma once

#include <optional>

#include "core/model/types.h"

namespace scheduler {

class StoreContact {
  public:
    // Called for every input. The first one sets the start time.
    void on_input(Time now) {
        if (!started_at_) {
            started_at_ = now;
        }
    }
    // Zero before the first input.
    Time started_at() const { return started_at_.value_or(0); }
    double uptime_s(Time now) const { return now - started_at(); }

    void on_response(Time now) { last_response_ = now; }
    // Empty if the store has not responded to this process yet.
    std::optional<Time> last_response() const { return last_response_; }
    bool ever_responded() const { return last_response_.has_value(); }
    bool responded_within(Time now, double duration_s) const {
        return last_response_ && now - *last_response_ < duration_s;
    }

  private:
    std::optional<Time> started_at_;
    std::optional<Time> last_response_;
};

} // namespace scheduler
