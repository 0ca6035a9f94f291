#include "core/leadership/partition_map.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "core/model/partition_assignment.h"

namespace scheduler {

namespace {
constexpr std::string_view kHomeEnd = "/home";
constexpr std::string_view kSharesEnd = "/shares";
constexpr int kConditionsPerOp = 4; // of a transaction, by the protocol
} // namespace

PartitionMap::PartitionMap(const ClusterSettings& settings)
    : settings_(settings), partitions_(settings.partitions.size()) {}

std::string PartitionMap::reclaim_key(int partition) {
    return partition_key(partition) + std::string(kHomeEnd);
}
std::string PartitionMap::shards_key(int home) {
    return partition_key(home) + std::string(kSharesEnd);
}

bool PartitionMap::valid(int home, const ShardHoldersRecord& record) const {
    return static_cast<int>(record.holders.size()) == shards_per_home(settings_, home) &&
           std::all_of(record.holders.begin(), record.holders.end(),
                       [&](int holder) { return holder >= 0 && holder < count(); });
}

bool PartitionMap::load(const OutboundResponse& response, OutboundRequests& requests) {
    std::vector<Partition> partitions(partitions_.size());
    ShardHolders holders;
    std::map<int, std::uint64_t> versions;
    std::map<int, std::uint64_t> fenced;
    bool readable = !response.more;
    auto unreadable = [&](const KeyedRecord& item) {
        if (std::exchange(logged_unreadable_[item.key], item.version) != item.version) {
            requests.log(LogLevel::error, "event=record_unreadable key=" + item.key);
        }
    };
    for (const auto& item : response.entries) {
        std::string_view rest = std::string_view(item.key).substr(sizeof(kPrefix) - 1);
        std::size_t p = partitions.size();
        auto [end, error] = std::from_chars(rest.data(), rest.data() + rest.size(), p);
        std::string_view kind(end, static_cast<std::size_t>(rest.data() + rest.size() - end));
        bool known = error == std::errc() && p < partitions.size();
        if (known && kind == kSharesEnd) {
            const auto* record = std::get_if<ShardHoldersRecord>(&item.record);
            int home = static_cast<int>(p);
            versions[home] = item.version;
            if (record && valid(home, *record)) {
                holders[home] = record->holders;
            } else {
                unreadable(item);
                fenced[home] = item.version;
            }
            continue;
        }
        const auto* record = std::get_if<PartitionRecord>(&item.record);
        if (!known || !record || (!kind.empty() && kind != kHomeEnd)) {
            unreadable(item);
            readable = readable && !known;
        } else if (kind == kHomeEnd) {
            partitions[p].home_reclaims = true;
        } else {
            partitions[p].leader = record->node;
            partitions[p].version = item.version;
            partitions[p].supports_sharding = record->supports_sharding;
        }
    }
    if (!readable) {
        return false;
    }
    for (int home = 0; home < count(); ++home) {
        if (fenced.contains(home)) {
            if (auto before = holders_.find(home); before != holders_.end()) {
                holders[home] = before->second; // nobody can have changed it validly since
            }
        } else if (!holders.contains(home)) {
            holders[home].assign(static_cast<std::size_t>(shards_per_home(settings_, home)), home);
        }
    }
    partitions_ = std::move(partitions);
    holders_ = std::move(holders);
    versions_ = std::move(versions);
    unreadable_ = std::move(fenced);
    revision_ = response.revision;
    return true;
}

void PartitionMap::on_elected(int partition, const std::string& node, std::uint64_t version) {
    Partition& p = partitions_[static_cast<std::size_t>(partition)];
    p.leader = node;
    p.version = version;
    p.supports_sharding = true;
}

void PartitionMap::on_shard_moved(const ShardId& shard, int to, std::uint64_t revision) {
    auto home = holders_.find(shard.home_partition);
    if (revision > revision_ && home != holders_.end()) {
        home->second[static_cast<std::size_t>(shard.number)] = to;
        versions_[shard.home_partition] = revision;
    }
}

int PartitionMap::holder(const ShardId& shard) const {
    auto home = holders_.find(shard.home_partition);
    return home == holders_.end() ? -1 : home->second[static_cast<std::size_t>(shard.number)];
}

bool PartitionMap::can_reassign(int txn_ops) const {
    bool fits = count() + txn_ops <= kConditionsPerOp * txn_ops;
    return fits && revision_ > 0 &&
           std::all_of(partitions_.begin(), partitions_.end(),
                       [](const Partition& p) { return p.version == 0 || p.supports_sharding; });
}

std::vector<StoreCondition> PartitionMap::unchanged_conditions() const {
    std::vector<StoreCondition> all;
    for (int p = 0; p < count(); ++p) {
        all.push_back({partition_key(p), at(p).version});
    }
    return all;
}

void PartitionMap::add_reassignment(StoreTransaction& transaction, int home,
                                    std::vector<int> holders) const {
    auto version = versions_.find(home);
    transaction.conditions.push_back(
        {shards_key(home), version == versions_.end() ? 0 : version->second});
    transaction.writes.push_back({shards_key(home), ShardHoldersRecord{std::move(holders)}, {}});
}

} // namespace scheduler
