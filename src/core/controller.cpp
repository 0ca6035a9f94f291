#include "core/controller.h"

#include <algorithm>
#include <deque>

#include "core/model/partition_assignment.h"

namespace scheduler {

namespace {
constexpr char kCatalog[] = "catalog";
constexpr int kUnanswered = 3;         // machines in a row
constexpr std::size_t kHeardAgain = 3; // machines
constexpr RequestId kLocalRequest = 1ULL << 62;
} // namespace

Controller::Controller(const ClusterSettings& settings, const SchedulingPolicy& policy)
    : settings_(settings), policy_(policy),
      rate_limiter_(settings.store_requests_per_s, settings.store_writes_per_s,
                    static_cast<int>(settings.partitions.size())),
      requests_(rate_limiter_, 1), lease_(policy.leadership_lease_s),
      quota_config_(settings_, requests_,
                    [this](Time at, const TeamQuota& quota) { on_quota_changed(at, quota); }),
      job_service_(settings_, requests_, job_cache_, quota_config_, make_task_counts(),
                   [this](Time at, const std::string& job) { on_job_cancelled(at, job); }),
      job_status_reader_(settings_, requests_, job_cache_, make_task_counts()),
      lease_extender_(settings_, policy.leadership_lease_s, requests_, lease_, job_cache_,
                      quota_config_),
      partition_map_(settings_), cpu_headroom_(settings_, tick_s(settings_)) {}

TaskCounts Controller::make_task_counts() {
    return [this](const std::string& id, std::uint32_t& done, std::uint32_t& running) {
        return std::any_of(leaders_.begin(), leaders_.end(), [&](const auto& leader) {
            return leader.second->task_counts(id, done, running);
        });
    };
}

// This node has come to know, by whatever way, that the job is cancelled.
void Controller::on_job_cancelled(Time now, const std::string& job) {
    job_cache_.observe_outcome(now, job, Outcome::cancelled);
    for (auto& [partition, leader] : leaders_) {
        leader->cancel_job(now, job);
    }
}

// A change of the team's guarantee and limit has come into force at this node.
void Controller::on_quota_changed(Time now, const TeamQuota& quota) {
    for (auto& [partition, leader] : leaders_) {
        leader->apply_quota(now, quota);
    }
}

std::uint64_t Controller::effort() const {
    std::uint64_t sum = 0;
    for (const auto& [partition, leader] : leaders_) {
        sum += leader->effort();
    }
    return sum;
}

bool Controller::migrate_shard(Time now, int partition, const ShardId& shard, int to) {
    auto it = leaders_.find(partition);
    return it != leaders_.end() && it->second->migrate_shard(now, shard, to);
}

std::vector<ShardId> Controller::shards(int partition) const {
    std::vector<ShardId> out;
    if (auto it = leaders_.find(partition); it != leaders_.end()) {
        for (const auto& [id, shard] : it->second->shards()) {
            out.push_back(id);
        }
    }
    return out;
}

Outputs Controller::handle(Time now, Input input) {
    if (started_ < 0) {
        started_ = now;
    }
    if (auto* submit = std::get_if<SubmitJob>(&input)) {
        job_service_.submit(now, *submit, types_, catalog_is_current_);
    } else if (auto* poll = std::get_if<PollJob>(&input)) {
        job_status_reader_.poll(now, poll->request_id, poll->job);
    } else if (auto* cancel = std::get_if<CancelJob>(&input)) {
        job_service_.cancel(now, *cancel);
    } else if (auto* ready = std::get_if<ReadinessProbe>(&input)) {
        bool ok = can_serve(now);
        requests_.respond(ready->request_id, ok ? 200 : 503, TextBody{ok ? "ready" : "not ready"});
    } else if (auto* report = std::get_if<HeartbeatReceived>(&input)) {
        on_heartbeat(now, *report);
    } else if (auto* exchange = std::get_if<PeerSyncReceived>(&input)) {
        on_peer_sync(now, *exchange);
    } else if (auto* promise = std::get_if<LeaseExtensionReceived>(&input)) {
        on_lease_extension(now, *promise);
    } else if (auto* told = std::get_if<CancellationsReceived>(&input)) {
        for (const auto& job : told->jobs) {
            on_job_cancelled(now, job);
        }
        requests_.respond(told->request_id, 200, TextBody{"taken in"});
    } else if (auto* standing = std::get_if<QuotaStatusQuery>(&input)) {
        requests_.respond(standing->request_id, 200, quota_config_.status(now, standing->team));
    } else if (auto* reply = std::get_if<OutboundResponse>(&input)) {
        if (!requests_.handle_response(now, *reply)) {
            for (auto& [partition, leader] : leaders_) {
                if (leader->handle_response(now, *reply)) {
                    break;
                }
            }
        }
    } else {
        tick(now);
    }
    job_status_reader_.flush(now);
    job_service_.flush(now);
    Outputs out;
    collect_outputs(now, out);
    return out;
}

// Gathers what the input led to. Calls between two parts of this very node are carried out here.
void Controller::collect_outputs(Time now, Outputs& out) {
    std::deque<std::pair<int, OutboundRequest>> local;
    auto gather = [&] {
        for (auto& [partition, leader] : leaders_) {
            Outputs own;
            leader->drain_into(own);
            for (auto& call : own.requests) {
                const auto* peer = std::get_if<PeerSyncCall>(&call.body);
                if (peer && peer->node == settings_.node) {
                    local.emplace_back(partition, std::move(call));
                } else {
                    out.requests.push_back(std::move(call));
                }
            }
            std::move(own.responses.begin(), own.responses.end(),
                      std::back_inserter(out.responses));
            std::move(own.log.begin(), own.log.end(), std::back_inserter(out.log));
        }
    };
    gather();
    while (!local.empty()) {
        auto [partition, call] = std::move(local.front());
        local.pop_front();
        const PeerSyncRequest& request = std::get<PeerSyncCall>(call.body).sync;
        OutboundResponse response;
        response.request_id = call.id;
        auto callee = leaders_.find(request.to_partition);
        if (callee != leaders_.end()) {
            callee->second->handle_peer_sync(now, kLocalRequest, request);
            gather();
            std::erase_if(out.responses, [&](Response& a) {
                if (a.request_id != kLocalRequest) {
                    return false;
                }
                response.status = a.status;
                if (auto* body = std::get_if<PeerSyncResponse>(&a.body)) {
                    response.peer_sync = std::move(*body);
                }
                return true;
            });
        }
        auto caller = leaders_.find(partition);
        if (caller != leaders_.end()) {
            caller->second->handle_response(now, response);
            gather();
        }
    }
    std::vector<int> deposed;
    for (const auto& [partition, leader] : leaders_) {
        if (leader->deposed()) {
            deposed.push_back(partition);
        }
    }
    for (int partition : deposed) {
        resign(partition, "deposed");
        next_read_ = now;
    }
    requests_.drain_into(out);
}

void Controller::on_heartbeat(Time now, const HeartbeatReceived& in) {
    last_heartbeat_ = now; // whether or not it can be served
    if (now < campaign_suspended_until_) {
        // Several machines reach it again, so it is not deaf any more. When all workers were mute,
        // all nodes took themselves for deaf, and nobody had any part for two leases after the
        // first worker was heard again.
        reconnected_machines_.insert(in.heartbeat.machine);
        if (reconnected_machines_.size() >= kHeardAgain) {
            campaign_suspended_until_ = now;
        }
    }
    campaign_backoff_leases_ = kCampaignBackoffLeases;
    for (auto& [p, leader] : leaders_) {
        leader->worker_responded();
    }
    ShardId shard = shard_of_machine(settings_, in.heartbeat.machine, in.heartbeat.zone);
    int partition = partition_map_.holder(shard);
    auto it = std::find_if(leaders_.begin(), leaders_.end(), [&](const auto& leader) {
        return leader.first == partition || leader.second->owns_shard(shard);
    });
    if (it != leaders_.end()) {
        it->second->handle_heartbeat(now, in.request_id, in.heartbeat);
        return;
    }
    const std::string node = partition < 0 ? "" : partition_map_.at(partition).leader;
    requests_.respond(in.request_id, 421, LeaderRedirect{node == settings_.node ? "" : node});
}

void Controller::on_peer_sync(Time now, const PeerSyncReceived& in) {
    auto it = leaders_.find(in.sync.to_partition);
    if (it != leaders_.end()) {
        it->second->handle_peer_sync(now, in.request_id, in.sync);
    } else {
        requests_.respond(in.request_id, 421, TextBody{"not the owner"});
    }
}

void Controller::on_lease_extension(Time now, const LeaseExtensionReceived& in) {
    int partition = in.extension.partition;
    if (partition < 0 || partition >= partition_map_.count()) {
        requests_.respond(in.request_id, 400, TextBody{"no such part"});
        return;
    }
    bool after = lease_.leads(partition) || campaigns_.contains(partition);
    requests_.respond(
        in.request_id, 200,
        lease_extender_.handle_request(now, in.extension, after, started_, last_store_response_));
}

// While the state service does not answer: what do the siblings say?
void Controller::request_lease_extension(Time now) {
    if (last_store_response_ < 0 && now - started_ < tick_s()) {
        return; // it has only just asked
    }
    auto home = leaders_.find(settings_.home_partition);
    Time complete = now; // without the part there is nothing to know
    if (home != leaders_.end()) {
        home->second->cancellations_known_until(
            lease_extender_.cancellations_known_until(lease_.term(settings_.home_partition)));
        complete = home->second->staleness().known_until();
        quota_config_.advance(
            lease_extender_.cancellations_known_until(lease_.term(settings_.home_partition)));
    }
    lease_extender_.tick(now, last_store_response_, complete,
                         [this](Time at, const std::string& job) { on_job_cancelled(at, job); });
}

// A node that the state service does not answer can serve nobody, and users are better off
// elsewhere if it alone is cut off. If all are, there is no elsewhere: a node that says so would
// only be slow to come back, as the load balancer lets it wait.
bool Controller::can_serve(Time now) const {
    if (types_.empty()) {
        return false;
    }
    if (last_store_response_ < 0) { // started in an outage
        return lease_extender_.outage_is_cluster_wide(now);
    }
    if (lease_extender_.store_responsive(now, last_store_response_)) {
        return true;
    }
    if (lease_extender_.is_isolated(now)) {
        return false;
    }
    return now - last_store_response_ < settings_.worker_lease_s / 3 ||
           lease_extender_.outage_is_cluster_wide(now);
}

void Controller::tick(Time now) {
    refresh_instance_types(now);
    if (lease_.has_store_lease()) {
        renew_store_lease(now);
    } else {
        acquire_store_lease(now);
    }
    if (!reading_map_ && now >= next_read_) {
        read_partition_map(now);
    }
    watch_partition_map(now);
    quota_config_.tick(now);
    reclaim_home_partition(now);
    request_lease_extension(now);
    std::size_t reporting = 0;
    int unanswered = 0;
    for (const auto& [partition, leader] : leaders_) {
        reporting += leader->reporting_count();
        unanswered = std::max(unanswered, leader->unresponsive_workers());
    }
    // A single machine may well be gone by itself. A node whose part has no machines may be deaf
    // too: slots that others hand it are wasted on it, as its starts do not arrive.
    if ((reporting > 1 || unanswered >= kUnanswered) &&
        now - last_heartbeat_ > settings_.worker_lease_s / 3) {
        // Workers cannot reach this node, so others should have its parts: left alone, the
        // lease ends by itself, and this node does not come back to them for a while.
        campaign_suspended_until_ = now + campaign_backoff_leases_ * settings_.worker_lease_s;
        campaign_backoff_leases_ *= 2;
        reconnected_machines_.clear();
        resign_all(now, "deaf");
    }
    cpu_headroom_.tick(now);
    bool may_move = lease_extender_.store_responsive(now, last_store_response_);
    for (auto& [partition, leader] : leaders_) {
        leader->tick(now, cpu_headroom_.value(), may_move);
    }
}

// What the cloud said at an earlier start is read from the state service: it is there much sooner,
// and without types a node can neither take a job nor claim a part. The cloud is asked at once only
// when that cannot be had, so that a process that ends again and again does not use up its
// requests.
void Controller::refresh_instance_types(Time now) {
    if (catalog_is_current_ || now < next_catalog_) {
        return;
    }
    next_catalog_ =
        now + (types_.empty() ? settings_.heartbeat_interval_s / 3 : settings_.worker_lease_s);
    if (!types_.empty()) {
        fetch_catalog();
    } else if (!reading_catalog_ && !read_catalog(now)) {
        fetch_catalog();
    }
}

void Controller::fetch_catalog() {
    if (fetching_catalog_) {
        return;
    }
    fetching_catalog_ = true;
    requests_.send(ListInstanceTypes{}, [this](Time at, OutboundResponse& response) {
        fetching_catalog_ = false;
        if (response.status == 200 && !response.instance_types.empty()) {
            catalog_is_current_ = true;
            set_instance_types(at, response.instance_types);
            StoreTransaction transaction;
            transaction.writes.push_back({kCatalog, CatalogRecord{types_}, {}});
            requests_.send_to_store(at, StoreRateLimiter::Use::progress, std::move(transaction),
                                    [](Time, OutboundResponse&) {});
        }
    });
}

bool Controller::read_catalog(Time now) {
    reading_catalog_ = requests_.send_to_store(
        now, StoreRateLimiter::Use::user, StoreGet{kCatalog},
        [this](Time at, OutboundResponse& response) {
            reading_catalog_ = false;
            const auto* catalog = response.status == 200 && !response.entries.empty()
                                      ? std::get_if<CatalogRecord>(&response.entries[0].record)
                                      : nullptr;
            if (!catalog) {
                fetch_catalog();
            } else if (types_.empty()) {
                next_catalog_ =
                    at + settings_.heartbeat_interval_s; // its prices are those of another day
                set_instance_types(at, catalog->types);
            }
        });
    return reading_catalog_;
}

void Controller::set_instance_types(Time now, const std::vector<InstanceType>& types) {
    bool first = types_.empty();
    types_ = types;
    if (first && !reading_map_) {
        read_partition_map(now); // parts can be claimed from here on
    }
}

// ---- The lease ----

void Controller::acquire_store_lease(Time now) {
    if (acquiring_lease_ || now < next_grant_ || now < campaign_suspended_until_) {
        return;
    }
    acquiring_lease_ = true;
    next_grant_ = now + settings_.heartbeat_interval_s / 3;
    requests_.send_to_store(now, StoreRateLimiter::Use::renewal, StoreLeaseGrant{lease_.ttl_s()},
                            [this, sent = now](Time at, OutboundResponse& response) {
                                acquiring_lease_ = false;
                                if (response.status == 200) {
                                    last_store_response_ = at;
                                    lease_.on_granted(response.lease, sent);
                                    next_renew_ = sent + lease_.ttl_s() / 8;
                                    reread_partition_map(at);
                                }
                            });
}

void Controller::renew_store_lease(Time now) {
    if (renewing_lease_ || now < next_renew_) {
        return;
    }
    renewing_lease_ = true;
    requests_.send_to_store(
        now, StoreRateLimiter::Use::renewal, StoreLeaseRenewal{lease_.store_lease()},
        [this, sent = now, lease = lease_.store_lease()](Time at, OutboundResponse& response) {
            renewing_lease_ = false;
            if (lease_.store_lease() != lease) {
                return;
            }
            if (response.status == 200) {
                lease_.on_renewed(sent);
                last_store_response_ = at;
                next_renew_ = sent + lease_.ttl_s() / 8;
            } else if (response.status == 404) {
                last_store_response_ = at;
                resign_all(at, "lease_ended");
            } else {
                next_renew_ = at + lease_.ttl_s() / 24;
            }
        });
}

// ---- The claims ----

// Who owns the parts, and who holds which shares? Asked about once a second even when the watch is
// silent; the answer also shows whether the state service serves this node.
void Controller::read_partition_map(Time now) {
    reading_map_ = true;
    next_read_ = now + settings_.heartbeat_interval_s / 3;
    requests_.send_to_store(now, StoreRateLimiter::Use::renewal,
                            StoreRange{PartitionMap::kPrefix, ""},
                            [this](Time at, OutboundResponse& response) {
                                reading_map_ = false;
                                if (response.status != 200) {
                                    return;
                                }
                                last_store_response_ = at;
                                if (partition_map_.load(response, requests_)) {
                                    campaign(at);
                                }
                            });
}

void Controller::reread_partition_map(Time now) {
    if (reading_map_) {
        next_read_ = now; // the one under way may be older
    } else {
        read_partition_map(now);
    }
}

void Controller::campaign(Time now) {
    for (auto& [partition, leader] : leaders_) {
        leader->on_map_updated(now);
    }
    for (int partition = 0; partition < partition_map_.count(); ++partition) {
        const PartitionMap::Partition& state = partition_map_.at(partition);
        if (lease_.leads(partition)) {
            if (state.home_reclaims && partition != settings_.home_partition) {
                hand_back(now, partition);
            }
            continue;
        }
        // A part may be claimed when its key is gone: by its home node at once, by others too
        // unless they have only just started, perhaps all together, or the home node is
        // waiting for it (else the part would go round among the others); or when the owner of
        // record is this very node, whose process of before is dead, since a node runs one process
        // at a time.
        bool mine = state.leader == settings_.node;
        bool gone = state.version == 0 &&
                    (partition == settings_.home_partition ||
                     (now - started_ > 2 * settings_.heartbeat_interval_s && !state.home_reclaims));
        if ((mine || gone) && lease_.is_valid(now) && !types_.empty() &&
            now >= campaign_suspended_until_ && !campaigns_.contains(partition) &&
            lease_extender_.may_campaign(now, partition, started_)) {
            campaign_for(now, partition);
        }
    }
}

void Controller::watch_partition_map(Time now) {
    if (watching_map_ || now < next_watch_) {
        return;
    }
    watching_map_ = requests_.send_to_store(
        now, StoreRateLimiter::Use::poll,
        StoreWatch{PartitionMap::kPrefix, watch_from_, settings_.worker_lease_s},
        [this](Time at, OutboundResponse& response) {
            watching_map_ = false;
            if (response.status == 200) {
                bool news = !response.entries.empty() || !response.deleted.empty();
                watch_from_ = std::max(watch_from_, response.revision);
                if (news) {
                    reread_partition_map(at);
                }
            } else {
                watch_from_ = response.status == 410 ? 0 : watch_from_;
                next_watch_ = at + settings_.heartbeat_interval_s / 3;
            }
        });
}

void Controller::campaign_for(Time now, int partition) {
    const PartitionMap::Partition& state = partition_map_.at(partition);
    campaigns_.insert(partition);
    StoreTransaction transaction;
    transaction.conditions.push_back({partition_key(partition), state.version});
    transaction.writes.push_back(
        {partition_key(partition), PartitionRecord{settings_.node, true}, lease_.store_lease()});
    if (state.home_reclaims && partition == settings_.home_partition) {
        transaction.writes.push_back({PartitionMap::reclaim_key(partition), {}, {}});
    }
    if (partition != settings_.home_partition && state.version == 0) {
        reassign_shards_of(transaction, partition);
    }
    requests_.send_to_store(
        now, StoreRateLimiter::Use::renewal, std::move(transaction),
        [this, partition, lease = lease_.store_lease()](Time at, OutboundResponse& response) {
            campaigns_.erase(partition);
            next_read_ = at;
            // Without an answer the claim may take effect yet: then the key names this node,
            // and the next read leads to a new claim over it.
            if (response.status != 200 || lease_.store_lease() != lease) {
                return;
            }
            lease_.on_elected(partition, response.revision);
            last_heartbeat_ = at; // its machines have only now reason to come to this node
            partition_map_.on_elected(partition, settings_.node, response.revision);
            requests_.log(LogLevel::info,
                          "event=leadership_acquired partition=" + std::to_string(partition) +
                              " term=" + std::to_string(response.revision));
            leaders_[partition] = std::make_unique<PartitionLeader>(
                at, partition, settings_, policy_, lease_, partition_map_, rate_limiter_,
                job_cache_, types_, quota_config_);
            quota_config_.reload(at); // what the owner before had in force
            reread_partition_map(at); // it acts for nothing before it has seen the map
        });
}

// The machines of a part whose owner is gone go to all who are there, not to the one that takes the
// part's teams up: in the claim itself, so that there is no moment between. What does not fit into
// it stays with the part.
void Controller::reassign_shards_of(StoreTransaction& transaction, int partition) const {
    std::vector<int> takers;
    for (int p = 0; p < partition_map_.count(); ++p) {
        if (partition_map_.at(p).leader == settings_.partitions[static_cast<std::size_t>(p)].node) {
            takers.push_back(p);
        }
    }
    if (!partition_map_.can_reassign(settings_.store_transaction_limit)) {
        return;
    }
    ShardHolders readable = partition_map_.holders();
    std::erase_if(readable, [&](const auto& h) { return !partition_map_.is_readable(h.first); });
    std::size_t most = static_cast<std::size_t>(std::max(0, settings_.store_transaction_limit - 2));
    ShardHolders next = reassign_shards(readable, partition, takers, most);
    if (!next.empty()) {
        transaction.conditions = partition_map_.unchanged_conditions();
    }
    for (auto& [home, holders] : next) {
        partition_map_.add_reassignment(transaction, home, std::move(holders));
    }
}

// A node that has been up for a while asks for its home part back.
void Controller::reclaim_home_partition(Time now) {
    const PartitionMap::Partition& partition = partition_map_.at(settings_.home_partition);
    bool elsewhere = !partition.leader.empty() && partition.leader != settings_.node;
    if (!elsewhere || partition.home_reclaims || reclaiming_home_ || now < next_reclaim_ ||
        !lease_.is_valid(now) || now - started_ < settings_.worker_lease_s ||
        now < campaign_suspended_until_ || types_.empty()) {
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

void Controller::hand_back(Time now, int partition) {
    std::uint64_t term = lease_.term(partition);
    resign(partition, "handed_back");
    StoreTransaction transaction;
    transaction.conditions.push_back({partition_key(partition), term});
    transaction.writes.push_back({partition_key(partition), {}, {}});
    // Lost, the key still names this node, which then claims the part anew.
    requests_.send_to_store(now, StoreRateLimiter::Use::renewal, std::move(transaction),
                            [](Time, OutboundResponse&) {});
    campaigns_.erase(partition);
}

void Controller::resign(int partition, const char* why) {
    requests_.log(LogLevel::info, std::string("event=leadership_resigned reason=") + why +
                                      " partition=" + std::to_string(partition));
    leaders_.erase(partition);
    lease_.on_resigned(partition);
}

void Controller::resign_all(Time now, const char* why) {
    while (!leaders_.empty()) {
        resign(leaders_.begin()->first, why);
    }
    lease_.on_lost();
    next_read_ = now;
}

} // namespace scheduler
