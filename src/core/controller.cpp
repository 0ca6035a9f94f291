#include "core/controller.h"

#include <utility>

namespace scheduler {

namespace {
// If this many workers in a row did not respond to direct commands, the fault is more likely this
// controller's network than the workers'.
constexpr int kMaxUnresponsiveWorkers = 3;
} // namespace

Controller::Controller(const ClusterSettings& settings, const SchedulingPolicy& policy)
    : settings_(settings), policy_(policy),
      rate_limiter_(settings.store_requests_per_s, settings.store_writes_per_s,
                    static_cast<int>(settings.partitions.size())),
      requests_(rate_limiter_, 1), lease_(policy.leadership_lease_s),
      campaign_suspension_(settings_),
      quota_config_(settings_, requests_,
                    [this](Time at, const TeamQuota& quota) { on_quota_changed(at, quota); }),
      job_service_(settings_, requests_, job_cache_, quota_config_, make_task_counts(),
                   [this](Time at, const std::string& job) { on_job_cancelled(at, job); }),
      job_status_reader_(settings_, requests_, job_cache_, make_task_counts()),
      lease_extender_(settings_, policy.leadership_lease_s, requests_, lease_, job_cache_,
                      quota_config_),
      partition_map_(settings_),
      instance_types_(settings_, requests_,
                      [this](Time at) { election_.read_partition_map_now(at); }),
      store_lease_keeper_(settings_, requests_, lease_, store_contact_, campaign_suspension_,
                          *this),
      election_(settings_, requests_, lease_, partition_map_, store_contact_, lease_extender_,
                campaign_suspension_, instance_types_, *this),
      leaders_(settings_.node), cpu_headroom_(settings_, tick_s(settings_)) {}

std::uint64_t Controller::effort() const { return leaders_.effort(); }

bool Controller::migrate_shard(Time now, int partition, const ShardId& shard, int to) {
    PartitionLeader* leader = leaders_.find(partition);
    return leader && leader->migrate_shard(now, shard, to);
}

std::vector<ShardId> Controller::shards(int partition) const { return leaders_.shards(partition); }

Outputs Controller::handle(Time now, Input input) {
    store_contact_.on_input(now);
    std::visit([&](auto& in) { handle_input(now, in); }, input);
    job_status_reader_.flush(now);
    job_service_.flush(now);
    Outputs out;
    collect_outputs(now, out);
    return out;
}

void Controller::collect_outputs(Time now, Outputs& out) {
    leaders_.collect(now, out);
    for (int partition : leaders_.deposed()) {
        election_.resign_deposed(now, partition);
    }
    requests_.drain_into(out);
}

// ---- Inputs ----

void Controller::handle_input(Time now, const TimerTick&) {
    instance_types_.tick(now);
    store_lease_keeper_.tick(now);
    election_.follow_partition_map(now);
    quota_config_.tick(now);
    election_.reclaim_home_partition(now);
    request_lease_extension(now);
    if (workers_unreachable(now)) {
        // Workers cannot reach this controller, so other controllers should lead its partitions: it
        // resigns, lets its lease expire, and does not campaign for a while.
        campaign_suspension_.suspend(now);
        election_.resign_all(now, "deaf");
    }
    tick_leaders(now);
}

void Controller::handle_input(Time now, const SubmitJob& submit) {
    job_service_.submit(now, submit, instance_types_.types(), instance_types_.is_current());
}

void Controller::handle_input(Time now, const PollJob& poll) {
    job_status_reader_.poll(now, poll.request_id, poll.job);
}

void Controller::handle_input(Time now, const CancelJob& cancel) {
    job_service_.cancel(now, cancel);
}

void Controller::handle_input(Time now, const ReadinessProbe& probe) {
    bool ready = can_serve(now);
    requests_.respond(probe.request_id, ready ? 200 : 503, TextBody{ready ? "ready" : "not ready"});
}

void Controller::handle_input(Time now, const HeartbeatReceived& in) {
    last_heartbeat_ = now; // even if the heartbeat is not accepted
    campaign_suspension_.on_heartbeat(now, in.heartbeat.machine);
    leaders_.worker_responded();
    ShardId shard = shard_of_machine(settings_, in.heartbeat.machine, in.heartbeat.zone);
    int holder = partition_map_.holder(shard);
    if (PartitionLeader* leader = leaders_.find_for_shard(shard, holder)) {
        leader->handle_heartbeat(now, in.request_id, in.heartbeat);
        return;
    }
    const std::string leader_name = holder < 0 ? "" : partition_map_.at(holder).leader;
    requests_.respond(in.request_id, 421,
                      LeaderRedirect{leader_name == settings_.node ? "" : leader_name});
}

void Controller::handle_input(Time now, const PeerSyncReceived& in) {
    if (PartitionLeader* leader = leaders_.find(in.sync.to_partition)) {
        leader->handle_peer_sync(now, in.request_id, in.sync);
    } else {
        requests_.respond(in.request_id, 421, TextBody{"not the owner"});
    }
}

void Controller::handle_input(Time now, const LeaseExtensionReceived& in) {
    int partition = in.extension.partition;
    if (partition < 0 || partition >= partition_map_.count()) {
        requests_.respond(in.request_id, 400, TextBody{"no such part"});
        return;
    }
    requests_.respond(in.request_id, 200,
                      lease_extender_.handle_request(
                          now, in.extension, election_.leads_or_campaigns(partition),
                          store_contact_.started_at(), store_contact_.last_response()));
}

void Controller::handle_input(Time now, const CancellationsReceived& in) {
    for (const auto& job : in.jobs) {
        on_job_cancelled(now, job);
    }
    requests_.respond(in.request_id, 200, TextBody{"taken in"});
}

void Controller::handle_input(Time now, const QuotaStatusQuery& query) {
    requests_.respond(query.request_id, 200, quota_config_.status(now, query.team));
}

void Controller::handle_input(Time now, OutboundResponse& response) {
    if (!requests_.handle_response(now, response)) {
        leaders_.handle_response(now, response);
    }
}

// ---- Events of one class that others react to ----

void Controller::on_store_lease_granted(Time now) { election_.reread_partition_map(now); }

void Controller::on_store_lease_ended(Time now) { election_.resign_all(now, "lease_ended"); }

void Controller::on_leadership_acquired(Time now, int partition) {
    last_heartbeat_ = now; // the partition's machines send heartbeats here only from now on
    auto leader = std::make_unique<PartitionLeader>(now, partition, settings_, policy_, lease_,
                                                    partition_map_, rate_limiter_, job_cache_,
                                                    instance_types_.types(), quota_config_);
    leaders_.add(partition, std::move(leader));
    quota_config_.reload(now); // the configuration that the previous leader applied must be known
}

void Controller::on_leadership_lost(int partition) { leaders_.remove(partition); }

void Controller::on_partition_map_read(Time now) { leaders_.on_map_updated(now); }

// Called whenever this controller learns that the job is cancelled, from any source.
void Controller::on_job_cancelled(Time now, const std::string& job) {
    job_cache_.observe_outcome(now, job, Outcome::cancelled);
    leaders_.cancel_job(now, job);
}

// Called when a change of the team's guarantee and limit takes effect at this controller.
void Controller::on_quota_changed(Time now, const TeamQuota& quota) {
    leaders_.apply_quota(now, quota);
}

TaskCounts Controller::make_task_counts() {
    return [this](const std::string& id, std::uint32_t& done, std::uint32_t& running) {
        return leaders_.task_counts(id, done, running);
    };
}

// ---- Functions that involve several classes ----

// Requests lease extensions from the peers while the store does not respond.
void Controller::request_lease_extension(Time now) {
    if (!store_contact_.ever_responded() && store_contact_.uptime_s(now) < tick_s()) {
        return; // the first requests to the store have only just been sent
    }
    Time known_until = advance_cancellations_known(now);
    lease_extender_.tick(now, store_contact_.last_response(), known_until,
                         [this](Time at, const std::string& job) { on_job_cancelled(at, job); });
}

// Tells the leader of the home partition and the quota configuration up to which time all
// cancellations and quota changes are known, according to the lease extensions. Returns the time up
// to which the leader knows every cancellation, or `now` if the home partition is not led here.
Time Controller::advance_cancellations_known(Time now) {
    PartitionLeader* home = leaders_.find(settings_.home_partition);
    if (!home) {
        return now;
    }
    Time known_until =
        lease_extender_.cancellations_known_until(lease_.term(settings_.home_partition));
    home->cancellations_known_until(known_until);
    quota_config_.advance(known_until);
    return home->staleness().known_until();
}

// Returns whether the load balancer should send users here. A controller that the store does not
// respond to cannot serve requests. If only this controller is cut off, other controllers can serve
// them. If all are, none can, and reporting "not ready" would only delay the recovery, as the load
// balancer waits before it uses a controller again.
bool Controller::can_serve(Time now) const {
    if (!instance_types_.available()) {
        return false;
    }
    if (!store_contact_.ever_responded()) { // started in an outage
        return lease_extender_.outage_is_cluster_wide(now);
    }
    if (lease_extender_.store_responsive(now, store_contact_.last_response())) {
        return true;
    }
    if (lease_extender_.is_isolated(now)) {
        return false;
    }
    return store_contact_.responded_within(now, settings_.worker_lease_s / 3) ||
           lease_extender_.outage_is_cluster_wide(now);
}

// Returns whether workers apparently cannot reach this controller. A single machine that stops
// sending heartbeats is no evidence, since it may have failed itself. A controller whose partition
// has no machines is judged by its direct commands: while these do not arrive, slots that peers
// lend it are wasted.
bool Controller::workers_unreachable(Time now) const {
    return (leaders_.reporting_count() > 1 ||
            leaders_.unresponsive_workers() >= kMaxUnresponsiveWorkers) &&
           now - last_heartbeat_ > settings_.worker_lease_s / 3;
}

void Controller::tick_leaders(Time now) {
    cpu_headroom_.tick(now);
    bool may_migrate = lease_extender_.store_responsive(now, store_contact_.last_response());
    leaders_.tick(now, cpu_headroom_.value(), may_migrate);
}

} // namespace scheduler
