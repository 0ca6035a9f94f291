// The leaders of all partitions that this controller leads, and the calls that go to all of them.
// Loops over the leaders run in the order of the partition numbers.
#pragma once

#include <map>
#include <memory>

#include "core/local_peer_sync.h"
#include "core/partition_leader.h"

namespace scheduler {

class PartitionLeaders {
  public:
    explicit PartitionLeaders(const std::string& controller_name)
        : local_peer_sync_(controller_name, leaders_) {}
    PartitionLeaders(const PartitionLeaders&) = delete;
    PartitionLeaders& operator=(const PartitionLeaders&) = delete;

    void add(int partition, std::unique_ptr<PartitionLeader> leader) {
        leaders_[partition] = std::move(leader);
    }
    void remove(int partition) { leaders_.erase(partition); }
    // Returns null if the partition is not led here.
    PartitionLeader* find(int partition) const;
    // Returns the first leader that leads `holder`, the partition that holds the shard by the
    // partition map, or that owns the shard already. Returns null if there is none here.
    PartitionLeader* find_for_shard(const ShardId& shard, int holder) const;
    // The shards that the partition holds; empty if it is not led here.
    std::vector<ShardId> shards(int partition) const;
    // Partitions whose leader found that its leadership has ended; see PartitionLeader::deposed.
    std::vector<int> deposed() const;

    // See PartitionLeader for each of these.
    void tick(Time now, double cpu_headroom, bool may_migrate);
    void cancel_job(Time now, const std::string& job);
    void apply_quota(Time now, const TeamQuota& quota);
    void on_map_updated(Time now);
    void worker_responded();
    bool handle_response(Time now, OutboundResponse& response);
    bool task_counts(const std::string& job, std::uint32_t& done, std::uint32_t& running) const;
    std::uint64_t effort() const;
    std::size_t reporting_count() const;
    // The maximum over the leaders.
    int unresponsive_workers() const;

    // Appends the outputs of all leaders to `out`; see LocalPeerSync::collect.
    void collect(Time now, Outputs& out) { local_peer_sync_.collect(now, out); }

  private:
    PartitionLeaderMap leaders_;
    LocalPeerSync local_peer_sync_;
};

} // namespace scheduler
