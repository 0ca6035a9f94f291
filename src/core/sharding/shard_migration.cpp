#include "core/sharding/shard_migration.h"

namespace scheduler {

namespace {
// Report times that a share's starts and slots on their way have to settle, and that a transaction
// is tried for. A start shows within one, a slot handed over is fenced after one and a half.
constexpr double kSettleReports = 2;
constexpr double kTryReports = 4;
} // namespace

ShardMigration::ShardMigration(const Leadership& leadership, const ClusterSettings& settings,
                               const PartitionMap& partition_map, OwnedShards& owned_shards,
                               OutboundRequests& requests, Delegate& delegate)
    : leadership_(leadership), settings_(settings), partition_map_(partition_map),
      owned_shards_(owned_shards), requests_(requests), delegate_(delegate) {}

bool ShardMigration::begin(Time now, const ShardId& shard, int to) {
    if (migration_ || to == leadership_.partition() || !owned_shards_.may_lend(shard) ||
        !partition_map_.is_readable(shard.home_partition) ||
        !partition_map_.can_reassign(settings_.store_transaction_limit) ||
        partition_map_.at(to).version == 0) {
        return false;
    }
    requests_.log(LogLevel::info, "event=shard_migration_started shard=" + to_string(shard) +
                                      " from=" + std::to_string(leadership_.partition()) +
                                      " to=" + std::to_string(to));
    migration_ = Migration{shard, to, now};
    owned_shards_.set_state(shard, OwnedShards::State::migrating);
    delegate_.update_slot_lists(shard);
    return true;
}

void ShardMigration::tick(Time now) {
    if (!migration_ || migration_->in_flight || now < migration_->next) {
        return;
    }
    if (migration_->min_map_revision > 0) {
        if (partition_map_.revision() >= migration_->min_map_revision) {
            abort("refused"); // else `lost` would have been told
        }
        return;
    }
    if (migration_->transaction || delegate_.is_quiescent(migration_->shard) ||
        now - migration_->since > kSettleReports * settings_.heartbeat_interval_s) {
        send(now);
    }
}

void ShardMigration::send(Time now) {
    Migration& m = *migration_;
    if (!m.transaction) {
        auto holders = partition_map_.holders().find(m.shard.home_partition);
        if (!partition_map_.can_reassign(settings_.store_transaction_limit) ||
            !partition_map_.is_readable(m.shard.home_partition) ||
            partition_map_.at(leadership_.partition()).version != leadership_.term() ||
            holders == partition_map_.holders().end() ||
            partition_map_.at(m.to_partition).version == 0) {
            abort("map_changed");
            return;
        }
        std::vector<int> next = holders->second;
        next[static_cast<std::size_t>(m.shard.number)] = m.to_partition;
        m.transaction = StoreTransaction{partition_map_.unchanged_conditions(), {}};
        partition_map_.add_reassignment(*m.transaction, m.shard.home_partition, std::move(next));
    }
    // From here on the share may be the other part's at any moment.
    m.in_flight = requests_.send_to_store(
        now, StoreRateLimiter::Use::progress, *m.transaction,
        [this, shard = m.shard, since = m.since](Time at, OutboundResponse& response) {
            if (migration_ && migration_->shard == shard && migration_->since == since) {
                on_response(at, response);
            }
        });
    if (m.in_flight) {
        owned_shards_.set_state(m.shard, OwnedShards::State::in_doubt);
    } else if (!m.in_doubt) {
        m.transaction.reset(); // the budget does not let it go: made anew at the next try
        if (now - m.since > kTryReports * settings_.heartbeat_interval_s) {
            abort("budget");
        }
    }
}

void ShardMigration::on_response(Time now, const OutboundResponse& response) {
    Migration& m = *migration_;
    m.in_flight = false;
    m.next = now + settings_.heartbeat_interval_s / 6;
    if (response.status == 200) {
        ShardId shard = m.shard;
        int to = m.to_partition;
        std::uint64_t term = m.transaction->conditions[static_cast<std::size_t>(to)].version;
        requests_.log(LogLevel::info, "event=shard_migrated shard=" + to_string(shard) +
                                          " from=" + std::to_string(leadership_.partition()) +
                                          " to=" + std::to_string(to) +
                                          " took_s=" + std::to_string(now - m.since));
        migration_.reset();
        owned_shards_.migrated_out(shard, response.revision);
        delegate_.on_migrated(now, shard, to);
        delegate_.announce_transfer(to, {shard, response.revision, term});
    } else if (response.status == 0) {
        m.in_doubt = true; // sent again until there is an answer
    } else if (!m.in_doubt) {
        abort(response.status == 409 ? "refused" : "unavailable"); // it was not executed
    } else if (response.status == 409) {
        // No copy can take effect from now on. Has an earlier one?
        m.min_map_revision = std::max<std::uint64_t>(response.revision, 1);
    }
}

void ShardMigration::abort(const char* why) {
    ShardId shard = migration_->shard;
    migration_.reset();
    if (owned_shards_.find(shard)) {
        bool doubt = !owned_shards_.may_serve(shard);
        owned_shards_.set_state(shard, OwnedShards::State::owned);
        delegate_.update_slot_lists(shard);
        if (doubt) {
            delegate_.republish_inventory(shard);
        }
    }
    requests_.log(LogLevel::info, "event=shard_migration_aborted shard=" + to_string(shard) +
                                      " reason=" + std::string(why));
}

void ShardMigration::on_shard_lost(const ShardId& shard) {
    if (migration_ && migration_->shard == shard) {
        migration_.reset();
    }
}

} // namespace scheduler
