#include "core/sharding/shard_migration.h"

namespace scheduler {

namespace {
// Heartbeat intervals to wait for a shard to become quiescent. A launch appears in a heartbeat
// within one, and a lent slot is fenced after one and a half.
constexpr double kQuiescenceHeartbeats = 2;
// Heartbeat intervals after which a migration is aborted whose transaction the rate limiter delays.
constexpr double kSendHeartbeats = 4;
// Retries of the transaction per heartbeat interval.
constexpr double kRetriesPerHeartbeat = 6;
} // namespace

ShardMigration::ShardMigration(const Leadership& leadership, const ClusterSettings& settings,
                               const PartitionMap& partition_map, OwnedShards& owned_shards,
                               OutboundRequests& requests, Delegate& delegate)
    : leadership_(leadership), settings_(settings), partition_map_(partition_map),
      owned_shards_(owned_shards), requests_(requests), delegate_(delegate) {}

bool ShardMigration::start(Time now, const ShardId& shard, int to_partition) {
    if (migration_ || to_partition == leadership_.partition() || !owned_shards_.may_lend(shard) ||
        !partition_map_.is_readable(shard.home_partition) ||
        !partition_map_.can_reassign(settings_.store_transaction_limit) ||
        partition_map_.at(to_partition).version == 0) {
        return false;
    }
    requests_.log(LogLevel::info, "event=shard_migration_started shard=" + to_string(shard) +
                                      " from=" + std::to_string(leadership_.partition()) +
                                      " to=" + std::to_string(to_partition));
    migration_ = Migration{shard, to_partition, now};
    owned_shards_.set_state(shard, OwnedShards::State::migrating);
    delegate_.update_slot_lists(shard);
    return true;
}

void ShardMigration::tick(Time now) {
    if (!migration_ || migration_->in_flight || now < migration_->next_try) {
        return;
    }
    if (migration_->min_map_revision > 0) {
        if (partition_map_.revision() >= migration_->min_map_revision) {
            abort("refused"); // if it had taken effect, on_shard_lost would have been called
        }
        return;
    }
    if (migration_->transaction || delegate_.is_quiescent(migration_->shard) ||
        now - migration_->started_at > kQuiescenceHeartbeats * settings_.heartbeat_interval_s) {
        send(now);
    }
}

bool ShardMigration::map_allows_reassignment() const {
    return partition_map_.can_reassign(settings_.store_transaction_limit) &&
           partition_map_.is_readable(migration_->shard.home_partition) &&
           partition_map_.at(leadership_.partition()).version == leadership_.term() &&
           partition_map_.holders().contains(migration_->shard.home_partition) &&
           partition_map_.at(migration_->to_partition).version != 0;
}

void ShardMigration::build_transaction() {
    const ShardId& shard = migration_->shard;
    std::vector<int> holders = partition_map_.holders().at(shard.home_partition);
    holders[static_cast<std::size_t>(shard.number)] = migration_->to_partition;
    migration_->transaction = StoreTransaction{partition_map_.unchanged_conditions(), {}};
    partition_map_.add_reassignment(*migration_->transaction, shard.home_partition,
                                    std::move(holders));
}

void ShardMigration::send(Time now) {
    Migration& migration = *migration_;
    if (!migration.transaction) {
        if (!map_allows_reassignment()) {
            abort("map_changed");
            return;
        }
        build_transaction();
    }
    // Once sent, the transaction may transfer the shard at any moment.
    migration.in_flight = requests_.send_to_store(
        now, StoreRateLimiter::Use::progress, *migration.transaction,
        [this, shard = migration.shard,
         started_at = migration.started_at](Time at, OutboundResponse& response) {
            if (migration_ && migration_->shard == shard && migration_->started_at == started_at) {
                on_response(at, response);
            }
        });
    if (migration.in_flight) {
        owned_shards_.set_state(migration.shard, OwnedShards::State::transfer_pending);
    } else if (!migration.outcome_unknown) {
        migration.transaction.reset(); // delayed by the rate limiter: rebuilt at the next try
        if (now - migration.started_at > kSendHeartbeats * settings_.heartbeat_interval_s) {
            abort("budget");
        }
    }
}

void ShardMigration::on_response(Time now, const OutboundResponse& response) {
    Migration& migration = *migration_;
    migration.in_flight = false;
    migration.next_try = now + settings_.heartbeat_interval_s / kRetriesPerHeartbeat;
    if (response.status == 200) {
        complete(now, response.revision);
    } else if (response.status == 0) {
        migration.outcome_unknown = true; // sent again until the store responds
    } else if (!migration.outcome_unknown) {
        // The transaction was not executed, so the shard stays.
        abort(response.status == 409 ? "refused" : "unavailable");
    } else if (response.status == 409) {
        // No copy of the transaction can take effect any more. The map shows whether an earlier one
        // has.
        migration.min_map_revision = std::max<std::uint64_t>(response.revision, 1);
    }
}

// The transaction was committed at this revision.
void ShardMigration::complete(Time now, std::uint64_t revision) {
    ShardId shard = migration_->shard;
    int to_partition = migration_->to_partition;
    // The transaction's conditions are the versions of the partitions' keys, in their order.
    std::uint64_t term =
        migration_->transaction->conditions[static_cast<std::size_t>(to_partition)].version;
    requests_.log(LogLevel::info, "event=shard_migrated shard=" + to_string(shard) +
                                      " from=" + std::to_string(leadership_.partition()) +
                                      " to=" + std::to_string(to_partition) +
                                      " took_s=" + std::to_string(now - migration_->started_at));
    migration_.reset();
    owned_shards_.on_migrated_out(shard, revision);
    delegate_.on_migrated(now, shard, to_partition);
    delegate_.announce_transfer(to_partition, {shard, revision, term});
}

void ShardMigration::abort(const char* reason) {
    ShardId shard = migration_->shard;
    migration_.reset();
    if (owned_shards_.find(shard)) {
        bool was_transfer_pending = !owned_shards_.may_serve(shard);
        owned_shards_.set_state(shard, OwnedShards::State::owned);
        delegate_.update_slot_lists(shard);
        if (was_transfer_pending) {
            delegate_.republish_inventory(shard);
        }
    }
    requests_.log(LogLevel::info, "event=shard_migration_aborted shard=" + to_string(shard) +
                                      " reason=" + std::string(reason));
}

void ShardMigration::on_shard_lost(const ShardId& shard) {
    if (migration_ && migration_->shard == shard) {
        migration_.reset();
    }
}

} // namespace scheduler
