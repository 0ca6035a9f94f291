#include "core/stealing/slot_borrower.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace scheduler {

namespace {
constexpr double kMostBatch = 64;
constexpr std::size_t kMostWants = 24; // jobs named in a call
constexpr std::size_t kMostTold = 256; // words on tasks, and machines bought, in a call
} // namespace

SlotBorrower::SlotBorrower(Leadership& leadership, const ClusterSettings& settings,
                           const SchedulingPolicy& policy, const PartitionMap& partition_map,
                           const OwnedShards& owned_shards, JobStore& jobs, QuotaLedger& quotas,
                           GangTracker& gangs, PendingQueue& queue, DemandTracker& demand,
                           OutboundRequests& requests, Delegate& delegate)
    : leadership_(leadership), settings_(settings), policy_(policy), partition_map_(partition_map),
      owned_shards_(owned_shards), jobs_(jobs), quotas_(quotas), gangs_(gangs), queue_(queue),
      demand_(demand), requests_(requests), delegate_(delegate) {
    for (int p = 0; p < static_cast<int>(settings_.partitions.size()); ++p) {
        if (p != leadership_.partition()) {
            peers_[p].batch = policy_.initial_steal_batch;
        }
    }
}

void SlotBorrower::sync_due_peers(Time now) {
    if (!leadership_.is_active(now)) {
        return;
    }
    for (auto& [partition, peer] : peers_) {
        if (!peer.in_flight && now >= peer.next && !partition_map_.at(partition).leader.empty()) {
            sync_peer(now, partition, peer);
        }
    }
}

void SlotBorrower::sync_soon() {
    for (auto& [partition, peer] : peers_) {
        peer.next = 0;
    }
}

std::vector<SlotRequest> SlotBorrower::slot_requests_for(Time now, int partition,
                                                         const Peer& peer) {
    auto nth = static_cast<std::uint64_t>(
        std::distance(peers_.begin(), peers_.find(partition))); // of the peers
    std::vector<SlotRequest> wants;
    // One slot for a job to begin with, of one peer at a time, each in turn for a report time.
    auto begins = [&](const Job* job) {
        auto turn = stable_hash(job->spec.id) +
                    static_cast<std::uint64_t>(now / settings_.heartbeat_interval_s);
        return job->awaits_first_task && turn % peers_.size() == nth;
    };
    auto first = [&](const Job* job) { return begins(job) || queue_.is_starving(job->spec); };
    std::vector<const Job*> waiting;
    for (const auto& [id, job] : jobs_.all()) {
        if (delegate_.has_schedulable_tasks(now, *job)) {
            waiting.push_back(job.get());
        }
    }
    std::sort(waiting.begin(), waiting.end(), [&](const Job* a, const Job* b) {
        return std::tuple(!first(a), a->spec.priority, !queue_.is_bottleneck(a->spec.team), a->due,
                          a->first_seen) < std::tuple(!first(b), b->spec.priority,
                                                      !queue_.is_bottleneck(b->spec.team), b->due,
                                                      b->first_seen);
    });
    // Many jobs, so that the peer can choose by image; it gives no more than the batch in all.
    QuotaLedger room = quotas_; // so that slots are not asked for beyond a team's limit
    for (const Job* job : waiting) {
        const JobSpec& spec = job->spec;
        SlotRequest request;
        request.job = spec.id;
        request.kind = spec.kind;
        request.cpus = spec.cpus;
        request.gpus = spec.gpus;
        request.ram_gb = spec.ram_gb;
        request.image = spec.image;
        request.image_gb = spec.image_gb;
        request.types = spec.types;
        request.zone = spec.zone;
        request.spot = spec.spot;
        request.priority = PendingQueue::rank(*job, begins(job));
        request.bottleneck_team = queue_.is_bottleneck(spec.team);
        request.starving = first(job);
        request.over_guarantee = !quotas_.within_guarantee(spec.team, spec.cpus, spec.gpus);
        request.preempt = job->needs_preemption;
        request.age_s = now - job->first_seen;
        request.due_s = std::max(0.0, job->due - now);
        if (spec.kind == JobKind::gang) {
            auto n = static_cast<double>(job->waiting.size());
            if (!room.fits(spec.team, n * spec.cpus, n * spec.gpus) ||
                !delegate_.request_gang_slots(*job, peer.calls % 2 == 1, request)) {
                continue;
            }
            room.add_usage(spec.team, n * spec.cpus, n * spec.gpus);
        }
        std::size_t most = begins(job) ? 1 : job->waiting.size(); // then it stands in line again
        while (spec.kind != JobKind::gang && request.count < peer.batch && request.count < most &&
               room.fits(spec.team, spec.cpus, spec.gpus)) {
            room.add_usage(spec.team, spec.cpus, spec.gpus);
            ++request.count;
        }
        if (request.count > 0) {
            wants.push_back(std::move(request));
        }
        if (wants.size() == kMostWants) {
            break;
        }
    }
    return wants;
}

void SlotBorrower::sync_peer(Time now, int partition, Peer& peer) {
    queue_clears(peer);
    PeerSyncRequest out;
    out.from_partition = leadership_.partition();
    out.term = leadership_.term();
    out.to_partition = partition;
    queue_.ordered(now); // due times
    out.sequence = ++peer.calls;
    if (now >= peer.request_again_at) {
        out.slot_requests = slot_requests_for(now, partition, peer);
    }
    std::vector<Peer::RemoteLaunch> told;
    for (const auto& [where, t] : peer.commands) {
        if (told.size() == kMostTold) {
            break;
        }
        told.push_back(where);
        out.commands.push_back(t);
    }
    std::vector<std::string> bought;
    for (const auto& [name, b] : demand_.provisioned()) {
        if (partition_map_.holder(shard_of_machine(settings_, name, b.first.zone)) == partition &&
            bought.size() < kMostTold) {
            bought.push_back(name);
            out.provisioned.push_back({name, b.first.type, b.first.zone, b.first.spot});
        }
    }
    out.transfers = peer.transfers;
    out.acked_term = peer.acked_term;
    out.acked_version = peer.resyncs_requested == peer.resyncs_answered ? peer.acked_version : 0;
    out.demand = demand_.current(now).demand;
    out.capacity = demand_.current(now).capacity;
    std::uint32_t asked = 0;
    std::uint32_t gang = 0; // the largest
    for (const auto& w : out.slot_requests) {
        asked += w.count;
        gang = std::max(gang, w.kind == JobKind::gang ? w.count : 0);
    }
    asked = std::min(asked, std::max(gang, static_cast<std::uint32_t>(peer.batch)));
    out.max_slots = asked;
    bool busy = asked > 0 || peer.tasks > 0 || !delegate_.reconciled();
    peer.next = now + (busy ? policy_.peer_sync_interval_s : settings_.heartbeat_interval_s / 3);
    peer.in_flight = true;
    requests_.send(
        PeerSyncCall{partition_map_.at(partition).leader, std::move(out)},
        [this, partition, asked, told, bought, given = peer.transfers.size(),
         anew = peer.resyncs_requested](Time at, OutboundResponse& response) {
            Peer& p = peers_.at(partition);
            p.in_flight = false;
            if (response.status != 200 || !response.peer_sync || !leadership_.is_active(at)) {
                return;
            }
            p.resyncs_answered = anew;
            for (const auto& where : told) {
                p.commands.erase(where);
            }
            p.transfers.erase(p.transfers.begin(),
                              p.transfers.begin() + static_cast<std::ptrdiff_t>(given));
            for (const auto& name : bought) {
                demand_.remove_provisioned(name); // its owner counts it now, in this very reply
            }
            on_response(at, partition, asked, *response.peer_sync);
        });
}

void SlotBorrower::on_response(Time at, int partition, std::uint32_t asked,
                               const PeerSyncResponse& response) {
    Peer& p = peers_.at(partition);
    apply_response(at, partition, p, response);
    // The first batch is small; while everything asked for is given, the next is twice as large and
    // follows at once.
    if (asked > 0 && response.grants.size() >= asked) {
        p.batch = std::min(kMostBatch, p.batch * 2);
        p.next = at;
    } else {
        p.batch = std::max(policy_.initial_steal_batch, p.batch / 2);
    }
    if (std::any_of(p.commands.begin(), p.commands.end(), [](const auto& t) {
            return t.second.type == RemoteTaskCommand::Type::return_slot;
        })) {
        // The slots go back at once, but asked for again at once they would come and go as fast as
        // calls do.
        p.next = at;
        p.request_again_at = at + policy_.peer_sync_interval_s;
    }
    delegate_.on_peer_response(at);
}

// Tasks of ours that ended there: their machine may forget them once that is durable here.
void SlotBorrower::queue_clears(Peer& peer) {
    std::erase_if(peer.exited, [&](const auto& e) {
        const RemoteTaskStatus& remote_task = e.second;
        if (!delegate_.end_is_durable(remote_task.status)) {
            return false;
        }
        peer.commands[e.first] = {RemoteTaskCommand::Type::clear, remote_task.machine,
                                  e.first.first};
        return true;
    });
}

// A word that does not wait for the next regular call.
void SlotBorrower::queue_command(Peer& peer, RemoteTaskCommand command) {
    Peer::RemoteLaunch where{command.launch, command.machine};
    peer.commands[where] = std::move(command);
    peer.next = 0;
}

void SlotBorrower::apply_response(Time now, int partition, Peer& peer,
                                  const PeerSyncResponse& response) {
    if (response.term < peer.heard_term) {
        return;
    }
    peer.heard_term = response.term;
    peer.answered_term = response.term;
    demand_.on_peer_demand(now, partition, response.demand, response.capacity);
    reconcile(now, partition, peer, response);
    std::map<std::uint64_t, std::vector<SlotGrant>> gangs;
    for (const auto& grant : response.grants) {
        ShardId shard = shard_of_machine(settings_, grant.machine, grant.zone);
        if (term_of_fencing_token(grant.fencing_token) < shard_terms_[shard]) {
            return_grant(partition,
                         grant); // its share has passed on since: the start would be refused
        } else if ((grant.launch.attempt & kGangBit) != 0) {
            gangs[grant.launch.attempt].push_back(grant);
        } else {
            use_grant(now, partition, peer, grant);
        }
    }
    for (const auto& [attempt, grants] : gangs) {
        delegate_.on_gang_grants(now, partition, grants);
    }
}

void SlotBorrower::apply_posted_inventory(Time now, int partition,
                                          const PeerSyncResponse& response) {
    Peer& peer = peers_.at(partition);
    if (response.term >= peer.heard_term && response.term != peer.answered_term) {
        peer.heard_term = response.term;
        reconcile(now, partition, peer, response);
    }
}

// What a reply says counts by share: only under the latest term that we know of, and not for shares
// that we hold ourselves. `complete`: nothing has to be listed again.
SlotBorrower::ShardInventories
SlotBorrower::current_inventories(int partition, const PeerSyncResponse& response, bool& complete) {
    std::vector<ShardInventory> listed;
    if (response.shards) {
        listed = *response.shards;
    } else { // a node of the version before: it holds what is at home there
        for (int number = 0; number < shards_per_home(settings_, partition); ++number) {
            listed.push_back(
                {{partition, number}, response.term, response.reconciled, response.complete});
        }
    }
    ShardInventories out;
    for (const auto& l : listed) {
        if (const OwnedShards::Shard* own = owned_shards_.find(l.shard)) {
            // A later holder than we are: we gave it away and have not heard that it is done.
            complete = complete && l.term < own->term;
            continue;
        }
        std::uint64_t& heard = shard_terms_[l.shard];
        if (l.term >= heard) {
            heard = l.term;
            out.emplace(l.shard, l);
        }
    }
    return out;
}

// For each share that it covers, the reply lists every task of ours there and every slot whose
// start has not shown. A task of ours that is in neither is not on that machine, once all of the
// share's machines are accounted for and the share has been listed whole, of late or before.
void SlotBorrower::reconcile(Time now, int partition, Peer& peer,
                             const PeerSyncResponse& response) {
    bool complete = response.no_stale_grants;
    ShardInventories listings = current_inventories(partition, response, complete);
    for (const auto& remote_task : response.tasks) {
        auto l = listings.find(shard_of_machine(settings_, remote_task.machine, remote_task.zone));
        if (l != listings.end()) {
            apply_task_status(now, partition, peer, remote_task, l->second.term);
        }
    }
    apply_absent(now, response, listings);
    if (complete) { // from here on, changes will do
        peer.acked_term = response.term;
        peer.acked_version = response.version;
    }
    std::size_t before = inventoried_.size();
    for (const auto& [shard, l] : listings) {
        if (l.reconciled && response.no_stale_grants) {
            inventoried_.insert(shard);
        }
    }
    if (inventoried_.size() > before) {
        delegate_.try_reconcile(now);
    }
}

void SlotBorrower::apply_task_status(Time now, int partition, Peer& peer,
                                     const RemoteTaskStatus& remote_task, std::uint64_t term) {
    const TaskStatus& status = remote_task.status;
    LaunchId id = launch_id(status.attempt, status.task.index);
    Job* job = jobs_.find(status.task.job);
    bool ours = job && status.task.index < job->spec.tasks;
    auto it = remote_tasks_.find(status.task);
    bool same = it != remote_tasks_.end() && it->second.attempt == status.attempt &&
                it->second.machine == remote_task.machine;
    if (same) {
        update_location(it->second, id, partition, term);
    }
    bool waits = ours && job->tasks[status.task.index] == TaskState::waiting;
    if (status.stage == TaskStage::exited) {
        if (same) {
            on_task_gone(now, status.task, status.exit_reason);
        } else if (waits && status.exit_reason == ExitReason::done && job->open()) {
            delegate_.on_found_done(now, *job, status.task.index);
        }
        peer.exited[{id, remote_task.machine}] = remote_task;
        return;
    }
    bool gang = ours && job->spec.kind == JobKind::gang;
    if (waits && (!gang || gangs_.adopt(now, status.task.job, status.attempt))) {
        // started by an owner of this part before us
        jobs_.mark_placed(*job, status.task.index, remote_task.zone);
        quotas_.add_usage(job->spec.team, job->spec.cpus, job->spec.gpus);
        on_placed(status.task,
                  {status.attempt, partition, remote_task.machine, remote_task.zone,
                   shard_of_machine(settings_, remote_task.machine, remote_task.zone), term});
        same = true;
    }
    bool moves = remote_task.draining && ours && job->spec.kind == JobKind::service;
    // The word that ends an attempt may have gone to who held the share before.
    const GangTracker::Attempt* attempt = gang ? gangs_.find(status.task.job) : nullptr;
    bool ends = attempt && attempt->ending;
    if (!same || !job->open() || moves || ends) {
        double grace_s = same && ends && attempt->saves ? kSaveGraceFactor * job->spec.save_s : 0;
        peer.commands[{id, remote_task.machine}] = {RemoteTaskCommand::Type::stop,
                                                    remote_task.machine, id, grace_s};
        return;
    }
    if (remote_task.resources_unknown) {
        const JobSpec& spec = job->spec;
        peer.commands[{id, remote_task.machine}] = {RemoteTaskCommand::Type::describe,
                                                    remote_task.machine,
                                                    id,
                                                    0,
                                                    spec.kind,
                                                    spec.cpus,
                                                    spec.gpus,
                                                    spec.ram_gb,
                                                    spec.image,
                                                    spec.image_gb};
    }
    if (gang && status.stage == TaskStage::running) {
        gangs_.on_running(status.task.job);
    }
    if (gang && remote_task.preemption_notice) {
        delegate_.end_attempt(now, status.task.job, true);
    }
}

void SlotBorrower::apply_absent(Time now, const PeerSyncResponse& response,
                                const ShardInventories& listings) {
    std::set<LaunchId> open(response.pending_launches.begin(), response.pending_launches.end());
    std::set<Peer::RemoteLaunch> present;
    for (const auto& remote_task : response.tasks) {
        present.insert({launch_id(remote_task.status.attempt, remote_task.status.task.index),
                        remote_task.machine});
    }
    std::set<TaskId> absent;
    auto look = [&](const std::set<TaskId>& tasks, bool whole) {
        for (const auto& task : tasks) {
            const RemoteTask& remote = remote_tasks_.at(task);
            auto l = listings.find(remote.shard);
            if (l == listings.end() || !l->second.reconciled || remote.term > l->second.term ||
                (whole && !l->second.complete)) {
                continue;
            }
            LaunchId id = launch_id(remote.attempt, task.index);
            if (!open.contains(id) && !present.contains({id, remote.machine})) {
                absent.insert(task);
            }
        }
    };
    if (std::any_of(listings.begin(), listings.end(),
                    [](const auto& l) { return l.second.complete; })) {
        for (const auto& [machine, tasks] : tasks_by_machine_) {
            look(tasks, true);
        }
    }
    for (const auto& machine : response.machines) {
        if (auto there = tasks_by_machine_.find(machine); there != tasks_by_machine_.end()) {
            look(there->second, false);
        }
    }
    for (const auto& task : absent) {
        on_task_gone(now, task, ExitReason::none);
    }
}

// Its share is listed by another part than before, or by the same under a later term: what was said
// of it goes there.
void SlotBorrower::update_location(RemoteTask& remote, const LaunchId& id, int partition,
                                   std::uint64_t term) {
    remote.term = std::max(remote.term, term);
    if (remote.partition == partition) {
        return;
    }
    Peer& from = peers_.at(remote.partition);
    Peer& to = peers_.at(partition);
    if (auto told = from.commands.extract({id, remote.machine}); !told.empty()) {
        to.commands.insert(std::move(told));
    }
    --from.tasks;
    ++to.tasks;
    remote.partition = partition;
}

void SlotBorrower::on_placed(const TaskId& task, RemoteTask remote) {
    tasks_by_machine_[remote.machine].insert(task);
    ++peers_.at(remote.partition).tasks;
    remote_tasks_[task] = std::move(remote);
}

SlotBorrower::RemoteTask SlotBorrower::remove(const TaskId& task) {
    auto it = remote_tasks_.find(task);
    RemoteTask remote = std::move(it->second);
    remote_tasks_.erase(it);
    --peers_.at(remote.partition).tasks;
    auto there = tasks_by_machine_.find(remote.machine);
    there->second.erase(task);
    if (there->second.empty()) {
        tasks_by_machine_.erase(there);
    }
    return remote;
}

void SlotBorrower::on_task_gone(Time now, const TaskId& task, ExitReason why) {
    RemoteTask remote = remove(task);
    delegate_.on_remote_exit(now, task, why, remote.zone);
}

// ---- Moves of shares ----

void SlotBorrower::announce_transfer(int partition, const ShardTransfer& transfer) {
    peers_.at(partition).transfers.push_back(transfer);
    peers_.at(partition).next = 0;
}

void SlotBorrower::migrated_out(const TaskId& task, RemoteTask remote) {
    std::uint64_t& heard = shard_terms_[remote.shard];
    heard = std::max(heard, remote.term);
    on_placed(task, std::move(remote));
}

void SlotBorrower::migrated_in(const ShardId& shard, std::uint64_t term) {
    shard_terms_[shard] = term;
}

bool SlotBorrower::adopt_local(const TaskId& task, std::uint64_t attempt,
                               const std::string& machine) {
    auto it = remote_tasks_.find(task);
    if (it == remote_tasks_.end() || it->second.attempt != attempt ||
        it->second.machine != machine) {
        return false;
    }
    remove(task);
    return true;
}

void SlotBorrower::on_inventory_complete(Time now, const std::string& machine) {
    auto there = tasks_by_machine_.find(machine);
    if (there == tasks_by_machine_.end()) {
        return;
    }
    std::set<TaskId> tasks = there->second;
    for (const auto& task : tasks) {
        on_task_gone(now, task, ExitReason::none);
    }
}

void SlotBorrower::on_inventory_complete(Time now, const ShardId& shard) {
    std::vector<TaskId> tasks;
    for (const auto& [task, r] : remote_tasks_) {
        if (r.shard == shard) {
            tasks.push_back(task);
        }
    }
    for (const auto& task : tasks) {
        on_task_gone(now, task, ExitReason::none);
    }
}

// ---- Slots handed over ----

bool SlotBorrower::grant_suits(const Job& job, const SlotGrant& grant) const {
    const JobSpec& spec = job.spec;
    return spec.cpus <= grant.cpus && spec.gpus <= grant.gpus && spec.ram_gb <= grant.ram_gb &&
           (spec.spot || !grant.spot) && spec.allows_type(grant.type) &&
           job.allows_zone(grant.zone) && quotas_.fits(spec.team, spec.cpus, spec.gpus);
}

void SlotBorrower::use_grant(Time now, int partition, Peer& peer, const SlotGrant& grant) {
    auto suits = [&](const Job& job) {
        return job.spec.kind != JobKind::gang && delegate_.has_schedulable_tasks(now, job) &&
               grant_suits(job, grant);
    };
    Job* job = jobs_.find(grant.job);
    if (!job || !suits(*job)) { // its tasks found slots meanwhile; another job may use these
        job = nullptr;
        for (const auto& [id, other] : jobs_.all()) {
            if (suits(*other) && (!job || std::tie(other->spec.priority, other->first_seen) <
                                              std::tie(job->spec.priority, job->first_seen))) {
                job = other.get();
            }
        }
    }
    if (!job || !leadership_.is_active(now)) {
        queue_command(peer, {RemoteTaskCommand::Type::return_slot, grant.machine, grant.launch});
        return;
    }
    launch(partition, grant, *job, job->waiting.first());
}

// Sends the start of a task of ours to slots that another owner has handed over.
void SlotBorrower::launch(int partition, const SlotGrant& grant, Job& job, std::uint32_t index) {
    TaskId task{job.spec.id, index};
    jobs_.mark_placed(job, index, grant.zone);
    quotas_.add_usage(job.spec.team, job.spec.cpus, job.spec.gpus);
    on_placed(task, {grant.launch.attempt, partition, grant.machine, grant.zone,
                     shard_of_machine(settings_, grant.machine, grant.zone),
                     term_of_fencing_token(grant.fencing_token), grant.endpoint, grant.agent_epoch,
                     grant.fencing_token});
    WorkerCommands orders{grant.machine,
                          grant.endpoint,
                          grant.fencing_token,
                          grant.agent_epoch,
                          {{CommandType::start, task, grant.launch.attempt, 0}}};
    requests_.send(std::move(orders), [this, task, partition, machine = grant.machine,
                                       id = grant.launch](Time at, OutboundResponse& response) {
        auto it = remote_tasks_.find(task);
        if ((response.status != 409 && !response.never_sent) || it == remote_tasks_.end() ||
            it->second.attempt != id.attempt || it->second.machine != machine) {
            return; // executed, or in doubt until the machine's owner lists it or has fenced it
        }
        // Refused or never sent, so it never will be executed: the slots go back.
        queue_command(peers_.at(partition), {RemoteTaskCommand::Type::return_slot, machine, id});
        on_task_gone(at, task, ExitReason::none);
    });
}

void SlotBorrower::return_grant(int partition, const SlotGrant& grant) {
    auto used = remote_tasks_.find({grant.job, grant.launch.index});
    if ((grant.launch.attempt & kGangBit) != 0 && used != remote_tasks_.end() &&
        used->second.attempt == grant.launch.attempt && used->second.machine == grant.machine) {
        return; // the very slot that the task was started on
    }
    queue_command(peers_.at(partition),
                  {RemoteTaskCommand::Type::return_slot, grant.machine, grant.launch});
}

void SlotBorrower::stop_job(const std::string& id, double grace_s) {
    for (auto it = remote_tasks_.lower_bound({id, 0});
         it != remote_tasks_.end() && it->first.job == id; ++it) {
        stop_task(it->first, grace_s);
    }
}

void SlotBorrower::stop_task(const TaskId& task, double grace_s) {
    if (auto it = remote_tasks_.find(task); it != remote_tasks_.end()) {
        const RemoteTask& remote = it->second;
        queue_command(peers_.at(remote.partition),
                      {RemoteTaskCommand::Type::stop, remote.machine,
                       launch_id(remote.attempt, task.index), grace_s});
    }
}

bool SlotBorrower::stop_directly(const TaskId& task, double grace_s) {
    auto it = remote_tasks_.find(task);
    if (it == remote_tasks_.end() || it->second.endpoint.empty()) {
        return false;
    }
    const RemoteTask& remote = it->second;
    if (!peers_.at(remote.partition)
             .commands.contains({launch_id(remote.attempt, task.index), remote.machine})) {
        return false;
    }
    requests_.send(
        WorkerCommands{remote.machine,
                       remote.endpoint,
                       remote.fencing_token,
                       remote.agent_epoch,
                       {{CommandType::stop, task, remote.attempt, grace_s}}},
        [](Time, OutboundResponse&) {}); // that it is gone, only its machine's owner can say
    return true;
}

} // namespace scheduler
