#include "core/partition_leaders.h"

#include <algorithm>

namespace scheduler {

PartitionLeader* PartitionLeaders::find(int partition) const {
    auto it = leaders_.find(partition);
    return it == leaders_.end() ? nullptr : it->second.get();
}

PartitionLeader* PartitionLeaders::find_for_shard(const ShardId& shard, int holder) const {
    for (const auto& [partition, leader] : leaders_) {
        if (partition == holder || leader->owns_shard(shard)) {
            return leader.get();
        }
    }
    return nullptr;
}

std::vector<ShardId> PartitionLeaders::shards(int partition) const {
    std::vector<ShardId> out;
    if (const PartitionLeader* leader = find(partition)) {
        for (const auto& [id, shard] : leader->shards()) {
            out.push_back(id);
        }
    }
    return out;
}

std::vector<int> PartitionLeaders::deposed() const {
    std::vector<int> partitions;
    for (const auto& [partition, leader] : leaders_) {
        if (leader->deposed()) {
            partitions.push_back(partition);
        }
    }
    return partitions;
}

void PartitionLeaders::tick(Time now, double cpu_headroom, bool may_migrate) {
    for (auto& [partition, leader] : leaders_) {
        leader->tick(now, cpu_headroom, may_migrate);
    }
}

void PartitionLeaders::cancel_job(Time now, const std::string& job) {
    for (auto& [partition, leader] : leaders_) {
        leader->cancel_job(now, job);
    }
}

void PartitionLeaders::apply_quota(Time now, const TeamQuota& quota) {
    for (auto& [partition, leader] : leaders_) {
        leader->apply_quota(now, quota);
    }
}

void PartitionLeaders::on_map_updated(Time now) {
    for (auto& [partition, leader] : leaders_) {
        leader->on_map_updated(now);
    }
}

void PartitionLeaders::worker_responded() {
    for (auto& [partition, leader] : leaders_) {
        leader->worker_responded();
    }
}

bool PartitionLeaders::handle_response(Time now, OutboundResponse& response) {
    return std::any_of(leaders_.begin(), leaders_.end(), [&](const auto& leader) {
        return leader.second->handle_response(now, response);
    });
}

bool PartitionLeaders::task_counts(const std::string& job, std::uint32_t& done,
                                   std::uint32_t& running) const {
    return std::any_of(leaders_.begin(), leaders_.end(), [&](const auto& leader) {
        return leader.second->task_counts(job, done, running);
    });
}

std::uint64_t PartitionLeaders::effort() const {
    std::uint64_t sum = 0;
    for (const auto& [partition, leader] : leaders_) {
        sum += leader->effort();
    }
    return sum;
}

std::size_t PartitionLeaders::reporting_count() const {
    std::size_t sum = 0;
    for (const auto& [partition, leader] : leaders_) {
        sum += leader->reporting_count();
    }
    return sum;
}

int PartitionLeaders::unresponsive_workers() const {
    int most = 0;
    for (const auto& [partition, leader] : leaders_) {
        most = std::max(most, leader->unresponsive_workers());
    }
    return most;
}

} // namespace scheduler
