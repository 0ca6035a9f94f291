// Maintains this controller's list of instance types: reads the stored copy at startup, then
// fetches the list from the cloud and stores it. No other component writes the stored copy.
#pragma once

#include "core/messaging/outbound_requests.h"

namespace scheduler {

class InstanceTypeSource {
  public:
    // Called once the list is no longer empty; the controller can lead partitions from then on.
    using OnAvailable = std::function<void(Time)>;

    InstanceTypeSource(const ClusterSettings& settings, OutboundRequests& requests,
                       OnAvailable on_available);

    // Starts the next read or fetch if one is due.
    void tick(Time now);
    // Empty until a list was read or fetched. The reference stays valid, the content may change.
    const std::vector<InstanceType>& types() const { return types_; }
    bool available() const { return !types_.empty(); }
    // Returns whether this process fetched the list from the cloud, rather than read the stored
    // copy.
    bool is_current() const { return is_current_; }

  private:
    void fetch();
    void on_fetched(Time now, const OutboundResponse& response);
    // Returns false if the store rate limiter does not admit the read.
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
