#include "core/sharding/owned_shards.h"

#include <algorithm>

namespace scheduler {

OwnedShards::Changes OwnedShards::update(Time now) {
    Changes news;
    std::uint64_t read = partition_map_.revision();
    if (read <= map_revision_ || read < leadership_.term() || read < min_map_revision_) {
        return news;
    }
    map_revision_ = read;
    for (const auto& [home, holders] : partition_map_.holders()) {
        if (!partition_map_.is_readable(home)) {
            continue; // what was read before may be older than the last change: ours stay ours
        }
        for (int number = 0; number < static_cast<int>(holders.size()); ++number) {
            ShardId id{home, number};
            int holder = holders[static_cast<std::size_t>(number)];
            auto mine = shards_.find(id);
            if (holder == leadership_.partition() && mine == shards_.end()) {
                shards_[id] = {read, now, State::owned};
                news.gained.push_back(id);
            } else if (holder != leadership_.partition() && mine != shards_.end()) {
                shards_.erase(mine);
                news.lost.emplace_back(id, holder);
            }
        }
    }
    return news;
}

const OwnedShards::Shard* OwnedShards::find(const ShardId& shard) const {
    auto it = shards_.find(shard);
    return it == shards_.end() ? nullptr : &it->second;
}

bool OwnedShards::may_serve(const ShardId& shard) const {
    const Shard* s = find(shard);
    return s && s->state != State::in_doubt;
}

bool OwnedShards::may_lend(const ShardId& shard) const {
    const Shard* s = find(shard);
    return s && s->state == State::owned;
}

void OwnedShards::migrated_out(const ShardId& shard, std::uint64_t revision) {
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
