#include "core/leadership/leader_election.h"

#include <algorithm>
#include <utility>

#include "core/model/partition_assignment.h"

namespace scheduler {

namespace {
// Writes of a campaign's transaction that are not available for shard reassignments: the
// partition's own key and one spare.
constexpr int kReservedWrites = 2;
// A controller does not campaign for the home partitions of others for this long after its start,
// since all controllers may be starting at the same time.
constexpr double kStartupHeartbeats = 2;
} // namespace

LeaderElection::LeaderElection(const ClusterSettings& settings, OutboundRequests& requests,
                               LeadershipLease& lease, PartitionMap& partition_map,
                               StoreContact& contact, const LeaseExtender& lease_extender,
                               const CampaignSuspension& suspension,
                               const InstanceTypeSource& instance_types, Delegate& delegate)
    : settings_(settings), requests_(requests), lease_(lease), partition_map_(partition_map),
      contact_(contact), lease_extender_(lease_extender), suspension_(suspension),
      instance_types_(instance_types), delegate_(delegate) {}

// ---- The partition map ----

void LeaderElection::follow_partition_map(Time now) {
    if (!reading_map_ && now >= next_read_) {
        read_partition_map(now);
    }
    watch_partition_map(now);
}

void LeaderElection::read_partition_map_now(Time now) {
    if (!reading_map_) {
        read_partition_map(now);
    }
}

void LeaderElection::reread_partition_map(Time now) {
    if (reading_map_) {
        next_read_ = now; // the read in flight may return an older state
    } else {
        read_partition_map(now);
    }
}

// The map is read every third of a heartbeat interval, about once a second, even when the watch
// reports nothing, because the response also shows whether the store serves this controller.
void LeaderElection::read_partition_map(Time now) {
    reading_map_ = true;
    next_read_ = now + settings_.heartbeat_interval_s / 3;
    requests_.send_to_store(now, StoreRateLimiter::Use::renewal,
                            StoreRange{PartitionMap::kPrefix, ""},
                            [this](Time at, OutboundResponse& response) {
                                reading_map_ = false;
                                if (response.status != 200) {
                                    return;
                                }
                                contact_.on_response(at);
                                if (partition_map_.load(response, requests_)) {
                                    campaign(at);
                                }
                            });
}

void LeaderElection::watch_partition_map(Time now) {
    if (watching_map_ || now < next_watch_) {
        return;
    }
    watching_map_ = requests_.send_to_store(
        now, StoreRateLimiter::Use::poll,
        StoreWatch{PartitionMap::kPrefix, watch_revision_, settings_.worker_lease_s},
        [this](Time at, OutboundResponse& response) {
            watching_map_ = false;
            on_watch_response(at, response);
        });
}

void LeaderElection::on_watch_response(Time now, const OutboundResponse& response) {
    if (response.status != 200) {
        watch_revision_ = response.status == 410 ? 0 : watch_revision_;
        next_watch_ = now + settings_.heartbeat_interval_s / 3;
        return;
    }
    watch_revision_ = std::max(watch_revision_, response.revision);
    if (!response.entries.empty() || !response.deleted.empty()) {
        reread_partition_map(now);
    }
}

// ---- Campaigns ----

void LeaderElection::campaign(Time now) {
    delegate_.on_partition_map_read(now);
    for (int partition = 0; partition < partition_map_.count(); ++partition) {
        if (lease_.leads(partition)) {
            bool home_reclaims = partition_map_.at(partition).home_reclaims;
            if (home_reclaims && partition != settings_.home_partition) {
                hand_back(now, partition);
            }
        } else if (may_campaign_for(now, partition)) {
            campaign_for(now, partition);
        }
    }
}

// Returns whether this controller may campaign for the partition now.
//
// If the partition has no leader, its home controller may campaign at once. Others must not have
// started recently, since all controllers may be starting at the same time, and the home controller
// must not reclaim the partition, since it would then pass from one of the others to the next.
//
// If the recorded leader is this controller, the record is from an earlier process. That process
// has ended, since a controller runs one process at a time, so this one may campaign.
bool LeaderElection::may_campaign_for(Time now, int partition) const {
    const PartitionMap::Partition& state = partition_map_.at(partition);
    bool started_long_ago =
        contact_.uptime_s(now) > kStartupHeartbeats * settings_.heartbeat_interval_s;
    bool own_record = state.leader == settings_.node;
    bool vacant = state.version == 0 && (partition == settings_.home_partition ||
                                         (started_long_ago && !state.home_reclaims));
    return (own_record || vacant) && lease_.is_valid(now) && instance_types_.available() &&
           !suspension_.is_suspended(now) && !campaigns_.contains(partition) &&
           lease_extender_.may_campaign(now, partition, contact_.started_at());
}

void LeaderElection::campaign_for(Time now, int partition) {
    campaigns_.insert(partition);
    requests_.send_to_store(
        now, StoreRateLimiter::Use::renewal, campaign_transaction(partition),
        [this, partition, lease = lease_.store_lease()](Time at, OutboundResponse& response) {
            campaigns_.erase(partition);
            next_read_ = at;
            // Without a response the campaign may still have taken effect. Then the key names this
            // controller, and the next read of the map starts a new campaign.
            if (response.status == 200 && lease_.store_lease() == lease) {
                on_elected(at, partition, response.revision);
            }
        });
}

StoreTransaction LeaderElection::campaign_transaction(int partition) const {
    const PartitionMap::Partition& state = partition_map_.at(partition);
    bool is_home = partition == settings_.home_partition;
    StoreTransaction transaction;
    transaction.conditions.push_back({partition_key(partition), state.version});
    transaction.writes.push_back(
        {partition_key(partition), PartitionRecord{settings_.node, true}, lease_.store_lease()});
    if (state.home_reclaims && is_home) {
        transaction.writes.push_back({PartitionMap::reclaim_key(partition), {}, {}});
    }
    if (!is_home && state.version == 0) {
        reassign_shards_of(transaction, partition);
    }
    return transaction;
}

void LeaderElection::on_elected(Time now, int partition, std::uint64_t term) {
    lease_.on_elected(partition, term);
    partition_map_.on_elected(partition, settings_.node, term);
    requests_.log(LogLevel::info, "event=leadership_acquired partition=" +
                                      std::to_string(partition) + " term=" + std::to_string(term));
    delegate_.on_leadership_acquired(now, partition);
    reread_partition_map(now); // the leader serves no shards before it has read the map
}

std::vector<int> LeaderElection::partitions_led_from_home() const {
    std::vector<int> partitions;
    for (int partition = 0; partition < partition_map_.count(); ++partition) {
        if (partition_map_.at(partition).leader ==
            settings_.partitions[static_cast<std::size_t>(partition)].node) {
            partitions.push_back(partition);
        }
    }
    return partitions;
}

// Adds the reassignment of the partition's shards to the campaign's transaction. The machines of a
// partition that has lost its leader are distributed over all partitions led by their home
// controllers, so that the controller that takes over the partition's teams does not get all of
// them. It is the same transaction, so that the shards are never without a leader in between.
// Shards that do not fit into it stay with the partition.
void LeaderElection::reassign_shards_of(StoreTransaction& transaction, int partition) const {
    if (!partition_map_.can_reassign(settings_.store_transaction_limit)) {
        return;
    }
    ShardHolders readable = partition_map_.holders();
    std::erase_if(readable,
                  [&](const auto& home) { return !partition_map_.is_readable(home.first); });
    auto max_writes =
        static_cast<std::size_t>(std::max(0, settings_.store_transaction_limit - kReservedWrites));
    ShardHolders next =
        reassign_shards(readable, partition, partitions_led_from_home(), max_writes);
    if (!next.empty()) {
        transaction.conditions = partition_map_.unchanged_conditions();
    }
    for (auto& [home, holders] : next) {
        partition_map_.add_reassignment(transaction, home, std::move(holders));
    }
}

// ---- Reclaiming and resigning ----

bool LeaderElection::may_reclaim_home(Time now) const {
    const PartitionMap::Partition& home = partition_map_.at(settings_.home_partition);
    bool led_elsewhere = !home.leader.empty() && home.leader != settings_.node;
    return led_elsewhere && !home.home_reclaims && !reclaiming_home_ && now >= next_reclaim_ &&
           lease_.is_valid(now) && contact_.uptime_s(now) >= settings_.worker_lease_s &&
           !suspension_.is_suspended(now) && instance_types_.available();
}

void LeaderElection::reclaim_home_partition(Time now) {
    if (!may_reclaim_home(now)) {
        return;
    }
    StoreTransaction transaction;
    transaction.writes.push_back({PartitionMap::reclaim_key(settings_.home_partition),
                                  PartitionRecord{settings_.node, true}, lease_.store_lease()});
    next_reclaim_ = now + settings_.heartbeat_interval_s;
    reclaiming_home_ =
        requests_.send_to_store(now, StoreRateLimiter::Use::progress, std::move(transaction),
                                [this](Time, OutboundResponse&) { reclaiming_home_ = false; });
}

void LeaderElection::hand_back(Time now, int partition) {
    std::uint64_t term = lease_.term(partition);
    resign(partition, "handed_back");
    StoreTransaction transaction;
    transaction.conditions.push_back({partition_key(partition), term});
    transaction.writes.push_back({partition_key(partition), {}, {}});
    // If this transaction is lost, the key still names this controller, which then campaigns again.
    requests_.send_to_store(now, StoreRateLimiter::Use::renewal, std::move(transaction),
                            [](Time, OutboundResponse&) {});
    campaigns_.erase(partition);
}

void LeaderElection::resign_deposed(Time now, int partition) {
    resign(partition, "deposed");
    next_read_ = now;
}

void LeaderElection::resign_all(Time now, const char* reason) {
    for (int partition : lease_.led_partitions()) {
        resign(partition, reason);
    }
    lease_.on_lost();
    next_read_ = now;
}

void LeaderElection::resign(int partition, const char* reason) {
    requests_.log(LogLevel::info, std::string("event=leadership_resigned reason=") + reason +
                                      " partition=" + std::to_string(partition));
    delegate_.on_leadership_lost(partition);
    lease_.on_resigned(partition);
}

} // namespace scheduler
