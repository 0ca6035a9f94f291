#include "core/leadership/partition_map.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "core/model/partition_assignment.h"

namespace scheduler {

namespace {
constexpr std::string_view kReclaimSuffix = "/home";
constexpr std::string_view kShardsSuffix = "/shares";
// The store allows this many conditions in a transaction per write that it may have.
constexpr int kConditionsPerWrite = 4;
} // namespace

PartitionMap::PartitionMap(const ClusterSettings& settings)
    : settings_(settings), partitions_(settings.partitions.size()) {}

std::string PartitionMap::reclaim_key(int partition) {
    return partition_key(partition) + std::string(kReclaimSuffix);
}
std::string PartitionMap::shards_key(int home) {
    return partition_key(home) + std::string(kShardsSuffix);
}

bool PartitionMap::is_valid(int home, const ShardHoldersRecord& record) const {
    return static_cast<int>(record.holders.size()) == shards_per_home(settings_, home) &&
           std::all_of(record.holders.begin(), record.holders.end(),
                       [&](int holder) { return holder >= 0 && holder < count(); });
}

bool PartitionMap::load(const OutboundResponse& response, OutboundRequests& requests) {
    Snapshot next;
    next.partitions.resize(partitions_.size());
    bool readable = !response.more;
    for (const auto& item : response.entries) {
        if (!load_record(item, next, requests)) {
            readable = false;
        }
    }
    if (!readable) {
        return false;
    }
    add_absent_holders(next);
    partitions_ = std::move(next.partitions);
    holders_ = std::move(next.holders);
    versions_ = std::move(next.versions);
    unreadable_ = std::move(next.unreadable);
    revision_ = response.revision;
    return true;
}

PartitionMap::ParsedKey PartitionMap::parse(std::string_view key) const {
    std::string_view rest = key.substr(sizeof(kPrefix) - 1);
    std::size_t number = 0;
    auto [end, error] = std::from_chars(rest.data(), rest.data() + rest.size(), number);
    ParsedKey parsed;
    if (error == std::errc() && number < partitions_.size()) {
        parsed.partition = number;
    }
    parsed.suffix =
        std::string_view(end, static_cast<std::size_t>(rest.data() + rest.size() - end));
    return parsed;
}

bool PartitionMap::load_record(const KeyedRecord& item, Snapshot& next,
                               OutboundRequests& requests) {
    ParsedKey key = parse(item.key);
    if (key.partition && key.suffix == kShardsSuffix) {
        load_holders(static_cast<int>(*key.partition), item, next, requests);
        return true;
    }
    const auto* record = std::get_if<PartitionRecord>(&item.record);
    bool known_suffix = key.suffix.empty() || key.suffix == kReclaimSuffix;
    if (!key.partition || !record || !known_suffix) {
        log_unreadable(item, requests);
        return !key.partition; // keys that belong to no partition of the settings are ignored
    }
    Partition& partition = next.partitions[*key.partition];
    if (key.suffix == kReclaimSuffix) {
        partition.home_reclaims = true;
    } else {
        partition.leader = record->node;
        partition.version = item.version;
        partition.supports_sharding = record->supports_sharding;
    }
    return true;
}

void PartitionMap::load_holders(int home, const KeyedRecord& item, Snapshot& next,
                                OutboundRequests& requests) {
    const auto* record = std::get_if<ShardHoldersRecord>(&item.record);
    next.versions[home] = item.version;
    if (record && is_valid(home, *record)) {
        next.holders[home] = record->holders;
    } else {
        log_unreadable(item, requests);
        next.unreadable[home] = item.version;
    }
}

void PartitionMap::log_unreadable(const KeyedRecord& item, OutboundRequests& requests) {
    if (std::exchange(logged_unreadable_[item.key], item.version) != item.version) {
        requests.log(LogLevel::error, "event=record_unreadable key=" + item.key);
    }
}

void PartitionMap::add_absent_holders(Snapshot& next) const {
    for (int home = 0; home < count(); ++home) {
        if (next.unreadable.contains(home)) {
            if (auto before = holders_.find(home); before != holders_.end()) {
                next.holders[home] = before->second; // no controller changes an unreadable record
            }
        } else if (!next.holders.contains(home)) {
            auto shards = static_cast<std::size_t>(shards_per_home(settings_, home));
            next.holders[home].assign(shards, home);
        }
    }
}

void PartitionMap::on_elected(int partition, const std::string& node, std::uint64_t version) {
    Partition& elected = partitions_[static_cast<std::size_t>(partition)];
    elected.leader = node;
    elected.version = version;
    elected.supports_sharding = true;
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

bool PartitionMap::can_reassign(int max_writes) const {
    bool fits = count() + max_writes <= kConditionsPerWrite * max_writes;
    return fits && revision_ > 0 &&
           std::all_of(partitions_.begin(), partitions_.end(), [](const Partition& partition) {
               return partition.version == 0 || partition.supports_sharding;
           });
}

std::vector<StoreCondition> PartitionMap::unchanged_conditions() const {
    std::vector<StoreCondition> all;
    all.reserve(partitions_.size());
    for (int partition = 0; partition < count(); ++partition) {
        all.push_back({partition_key(partition), at(partition).version});
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
