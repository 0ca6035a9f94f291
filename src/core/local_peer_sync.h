// Delivers peer syncs between two partitions that this controller leads itself, without the
// network.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "core/partition_leader.h"

namespace scheduler {

// The leaders of the partitions that this controller leads, by partition.
using PartitionLeaderMap = std::map<int, std::unique_ptr<PartitionLeader>>;

// Called only from the controller's event loop.
class LocalPeerSync {
  public:
    // Both references must outlive this object.
    LocalPeerSync(const std::string& controller_name, PartitionLeaderMap& leaders)
        : controller_name_(controller_name), leaders_(leaders) {}

    // Appends the outputs of all leaders to `out`. Peer syncs between them are delivered at once,
    // and the outputs that result from them are appended as well.
    void collect(Time now, Outputs& out);

  private:
    struct LocalRequest {
        int from_partition = 0;
        OutboundRequest request;
    };
    void drain_leaders(Outputs& out);
    void deliver(Time now, const LocalRequest& local, Outputs& out);

    const std::string& controller_name_;
    PartitionLeaderMap& leaders_;
    std::deque<LocalRequest> pending_requests_; // empty between calls of `collect`
};

} // namespace scheduler
