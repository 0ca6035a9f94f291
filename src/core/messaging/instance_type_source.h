// Keeps this controller's list of instance types: read from the store at a start, then fetched from
// the cloud. Sole writer of that list.
#pragma once

#include "core/messaging/outbound_requests.h"

namespace scheduler {

class InstanceTypeSource {
  public:
    // Called when the list stops being empty: from here on partitions can be led.
    using OnAvailable = std::function<void(Time)>;

    InstanceTypeSource(const ClusterSettings& settings, OutboundRequests& requests,
                       OnAvailable on_available);

    // Starts the next read or fetch when it is due.
    void tick(Time now);
    // Empty until a list was read or fetched. The reference stays valid; the content may change.
    const std::vector<InstanceType>& types() const { return types_; }
    bool available() const { return !types_.empty(); }
    // Whether the list came from the cloud to this process, not from the store's copy of an earlier
    // one.
    bool is_current() const { return is_current_; }

  private:
    void fetch();
    void on_fetched(Time now, const OutboundResponse& response);
    // Returns false when the store's rate limit does not allow the read now.
    bool read_stored(Time now);
    void on_stored_read(Time now, const OutboundResponse& response);
    void set_types(Time now, const std::vector<InstanceType>& types);

    OutboundRequests& requests_;
    OnAvailable on_available_;
    double heartbeat_interval_s_;
    double worker_lease_s_;
    std::vector<InstanceType> types_;
    bool is_current_ = false;
    bool fetching_ = false;
    bool reading_stored_ = false;
    Time next_refresh_ = 0;
};

} // namespace scheduler
