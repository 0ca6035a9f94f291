#include "core/sharding/owned_shards.h"

#include <algorithm>

namespace scheduler {

OwnedShards::Changes OwnedShards::update(Time now) {
    Changes changes;
    std::uint64_t revision = partition_map_.revision();
    if (revision <= map_revision_ || revision < leadership_.term() ||
        revision < min_map_revision_) {
        return changes;
    }
    map_revision_ = revision;
    for (const auto& [home, holders] : partition_map_.holders()) {
        if (!partition_map_.is_readable(home)) {
            continue; // the holders kept from an earlier read may be outdated: keep the ownership
        }
        for (int number = 0; number < static_cast<int>(holders.size()); ++number) {
            ShardId id{home, number};
            int holder = holders[static_cast<std::size_t>(number)];
            auto owned = shards_.find(id);
            if (holder == leadership_.partition() && owned == shards_.end()) {
                shards_[id] = {revision, now, State::owned};
                changes.gained.push_back(id);
            } else if (holder != leadership_.partition() && owned != shards_.end()) {
                shards_.erase(owned);
                changes.lost.push_back({id, holder});
            }
        }
    }
    return changes;
}

const OwnedShards::Shard* OwnedShards::find(const ShardId& shard) const {
    auto it = shards_.find(shard);
    return it == shards_.end() ? nullptr : &it->second;
}

bool OwnedShards::may_serve(const ShardId& shard_id) const {
    const Shard* shard = find(shard_id);
    return shard && shard->state != State::transfer_pending;
}

bool OwnedShards::may_lend(const ShardId& shard_id) const {
    const Shard* shard = find(shard_id);
    return shard && shard->state == State::owned;
}

void OwnedShards::on_migrated_out(const ShardId& shard, std::uint64_t revision) {
    shards_.erase(shard);
    migrated_out_at_[shard] = revision;
    min_map_revision_ = std::max(min_map_revision_, revision);
}

bool OwnedShards::accept_transfer(Time now, const ShardTransfer& transfer) {
    if (transfer.term != leadership_.term() || !has_map() || transfer.revision <= map_revision_ ||
        transfer.revision <= migrated_out_at_[transfer.shard] || shards_.contains(transfer.shard)) {
        return false;
    }
    shards_[transfer.shard] = {transfer.revision, now, State::owned};
    min_map_revision_ = std::max(min_map_revision_, transfer.revision);
    return true;
}

} // namespace scheduler
