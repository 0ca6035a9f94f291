#include "core/stealing/slot_borrower.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace scheduler {

namespace {
constexpr double kMaxBatchSlots = 64;               // slots requested in one sync
constexpr std::size_t kMaxRequestsPerSync = 24;     // slot requests, each for a different job
constexpr std::size_t kMaxCommandsPerSync = 256;    // commands for remote tasks
constexpr std::size_t kMaxProvisionedPerSync = 256; // provisioned machines
// Syncs per heartbeat interval while no slots are requested, no remote task is on the peer's
// machines and this partition is reconciled.
constexpr double kIdleSyncsPerHeartbeat = 3;

// Returns the command that tells the lender the resources of a task.
RemoteTaskCommand describe_command(const std::string& machine, const LaunchId& id,
                                   const JobSpec& spec) {
    return {RemoteTaskCommand::Type::describe,
            machine,
            id,
            0,
            spec.kind,
            spec.cpus,
            spec.gpus,
            spec.ram_gb,
            spec.image,
            spec.image_gb};
}
} // namespace

SlotBorrower::SlotBorrower(Leadership& leadership, const ClusterSettings& settings,
                           const SchedulingPolicy& policy, const PartitionMap& partition_map,
                           const OwnedShards& owned_shards, JobStore& jobs, QuotaLedger& quotas,
                           GangTracker& gangs, PendingQueue& queue, DemandTracker& demand,
                           OutboundRequests& requests, Delegate& delegate)
    : leadership_(leadership), settings_(settings), policy_(policy), partition_map_(partition_map),
      owned_shards_(owned_shards), jobs_(jobs), quotas_(quotas), gangs_(gangs), queue_(queue),
      demand_(demand), requests_(requests), delegate_(delegate) {
    int partitions = static_cast<int>(settings_.partitions.size());
    for (int partition = 0; partition < partitions; ++partition) {
        if (partition != leadership_.partition()) {
            peers_[partition].batch = policy_.initial_steal_batch;
        }
    }
}

void SlotBorrower::sync_due_peers(Time now) {
    if (!leadership_.is_active(now)) {
        return;
    }
    for (auto& [partition, peer] : peers_) {
        if (!peer.in_flight && now >= peer.next_sync_at &&
            !partition_map_.at(partition).leader.empty()) {
            sync_peer(now, partition, peer);
        }
    }
}

void SlotBorrower::sync_soon() {
    for (auto& [partition, peer] : peers_) {
        peer.next_sync_at = 0;
    }
}

// Returns whether the first slot of the job is requested from this peer now. It is requested from
// one peer at a time, from each in turn for a heartbeat interval.
bool SlotBorrower::requests_first_task_from(Time now, const Job& job,
                                            std::uint64_t peer_index) const {
    auto turn =
        stable_hash(job.spec.id) + static_cast<std::uint64_t>(now / settings_.heartbeat_interval_s);
    return job.awaits_first_task && turn % peers_.size() == peer_index;
}

// Returns the jobs with tasks to schedule, in the order in which slots are requested for them.
std::vector<const Job*> SlotBorrower::jobs_awaiting_slots(Time now,
                                                          std::uint64_t peer_index) const {
    std::vector<const Job*> waiting;
    for (const auto& [id, job] : jobs_.all()) {
        if (delegate_.has_schedulable_tasks(now, *job)) {
            waiting.push_back(job.get());
        }
    }
    auto rank = [&](const Job* job) {
        bool first =
            requests_first_task_from(now, *job, peer_index) || queue_.is_starving(job->spec);
        return std::tuple(!first, job->spec.priority, !queue_.is_bottleneck(job->spec.team),
                          job->due, job->first_seen);
    };
    std::sort(waiting.begin(), waiting.end(),
              [&](const Job* a, const Job* b) { return rank(a) < rank(b); });
    return waiting;
}

// Returns a slot request for the job, without the number of slots.
SlotRequest SlotBorrower::make_slot_request(Time now, const Job& job, bool first_task_only) const {
    const JobSpec& spec = job.spec;
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
    request.priority = PendingQueue::effective_priority(job, first_task_only);
    request.bottleneck_team = queue_.is_bottleneck(spec.team);
    request.starving = first_task_only || queue_.is_starving(spec);
    request.over_guarantee = !quotas_.within_guarantee(spec.team, spec.cpus, spec.gpus);
    request.preempt = job.needs_preemption;
    request.age_s = now - job.first_seen;
    request.due_s = std::max(0.0, job.due - now);
    return request;
}

// Completes the request for all waiting tasks of a gang. Every other sync requests only the slots
// that a reservation lacks. Returns false if the team's quota does not suffice or no slots are
// needed.
bool SlotBorrower::request_gang(const Job& job, const Peer& peer, QuotaLedger& quota_left,
                                SlotRequest& request) {
    const JobSpec& spec = job.spec;
    auto tasks = static_cast<double>(job.waiting.size());
    bool remainder = peer.last_sequence % 2 == 1;
    if (!quota_left.fits(spec.team, tasks * spec.cpus, tasks * spec.gpus) ||
        !delegate_.request_gang_slots(job, remainder, request)) {
        return false;
    }
    quota_left.add_usage(spec.team, tasks * spec.cpus, tasks * spec.gpus);
    return true;
}

// Sets how many slots to request for the job, within the batch and its team's quota.
void SlotBorrower::set_slot_count(const Job& job, const Peer& peer, bool first_task_only,
                                  QuotaLedger& quota_left, SlotRequest& request) {
    const JobSpec& spec = job.spec;
    // Only the first task precedes other jobs; afterwards the job is ordered as usual.
    std::size_t max_count = first_task_only ? 1 : job.waiting.size();
    while (request.count < peer.batch && request.count < max_count &&
           quota_left.fits(spec.team, spec.cpus, spec.gpus)) {
        quota_left.add_usage(spec.team, spec.cpus, spec.gpus);
        ++request.count;
    }
}

// Returns requests for several jobs, so that the peer can choose by cached image. The peer grants
// at most the batch in total.
std::vector<SlotRequest> SlotBorrower::slot_requests_for(Time now, int partition,
                                                         const Peer& peer) {
    auto peer_index =
        static_cast<std::uint64_t>(std::distance(peers_.begin(), peers_.find(partition)));
    std::vector<SlotRequest> requests;
    QuotaLedger quota_left = quotas_; // prevents requests for slots beyond a team's limit
    for (const Job* job : jobs_awaiting_slots(now, peer_index)) {
        bool first_task_only = requests_first_task_from(now, *job, peer_index);
        SlotRequest request = make_slot_request(now, *job, first_task_only);
        if (job->spec.kind != JobKind::gang) {
            set_slot_count(*job, peer, first_task_only, quota_left, request);
        } else if (!request_gang(*job, peer, quota_left, request)) {
            continue;
        }
        if (request.count > 0) {
            requests.push_back(std::move(request));
        }
        if (requests.size() == kMaxRequestsPerSync) {
            break;
        }
    }
    return requests;
}

void SlotBorrower::append_commands(const Peer& peer, PeerSyncRequest& request,
                                   SentSync& sent_sync) const {
    for (const auto& [launch, command] : peer.commands) {
        if (sent_sync.commands.size() == kMaxCommandsPerSync) {
            break;
        }
        sent_sync.commands.push_back(launch);
        request.commands.push_back(command);
    }
}

void SlotBorrower::append_provisioned(PeerSyncRequest& request, SentSync& sent_sync) const {
    for (const auto& [name, provisioned] : demand_.provisioned()) {
        const ScaleOut& scale_out = provisioned.request;
        ShardId shard = shard_of_machine(settings_, name, scale_out.zone);
        if (partition_map_.holder(shard) == sent_sync.partition &&
            sent_sync.provisioned.size() < kMaxProvisionedPerSync) {
            sent_sync.provisioned.push_back(name);
            request.provisioned.push_back({name, scale_out.type, scale_out.zone, scale_out.spot});
        }
    }
}

// Returns the number of slots requested, limited to the batch or, if larger, to the largest gang,
// which is requested as a whole.
std::uint32_t SlotBorrower::max_slots_for(const Peer& peer,
                                          const std::vector<SlotRequest>& requests) {
    std::uint32_t total = 0;
    std::uint32_t largest_gang = 0;
    for (const auto& request : requests) {
        total += request.count;
        largest_gang = std::max(largest_gang, request.kind == JobKind::gang ? request.count : 0);
    }
    return std::min(total, std::max(largest_gang, static_cast<std::uint32_t>(peer.batch)));
}

PeerSyncRequest SlotBorrower::build_request(Time now, Peer& peer, SentSync& sent_sync) {
    PeerSyncRequest request;
    request.from_partition = leadership_.partition();
    request.term = leadership_.term();
    request.to_partition = sent_sync.partition;
    queue_.ordered(now); // updates the due times of jobs
    request.sequence = ++peer.last_sequence;
    if (now >= peer.requests_paused_until) {
        request.slot_requests = slot_requests_for(now, sent_sync.partition, peer);
    }
    append_commands(peer, request, sent_sync);
    append_provisioned(request, sent_sync);
    request.transfers = peer.transfers;
    request.acked_term = peer.acked_term;
    bool wants_full_inventory = peer.resyncs_requested != peer.resyncs_answered;
    request.acked_version = wants_full_inventory ? 0 : peer.acked_version;
    request.demand = demand_.current(now).demand;
    request.capacity = demand_.current(now).capacity;
    request.max_slots = max_slots_for(peer, request.slot_requests);
    sent_sync.max_slots = request.max_slots;
    sent_sync.transfers = peer.transfers.size();
    sent_sync.resyncs_requested = peer.resyncs_requested;
    return request;
}

void SlotBorrower::sync_peer(Time now, int partition, Peer& peer) {
    queue_clears(peer);
    SentSync sent_sync;
    sent_sync.partition = partition;
    PeerSyncRequest request = build_request(now, peer, sent_sync);
    bool busy = sent_sync.max_slots > 0 || peer.tasks > 0 || !delegate_.reconciled();
    double idle_interval_s = settings_.heartbeat_interval_s / kIdleSyncsPerHeartbeat;
    peer.next_sync_at = now + (busy ? policy_.peer_sync_interval_s : idle_interval_s);
    peer.in_flight = true;
    requests_.send(PeerSyncCall{partition_map_.at(partition).leader, std::move(request)},
                   [this, sent_sync](Time at, OutboundResponse& response) {
                       on_sync_response(at, sent_sync, response);
                   });
}

void SlotBorrower::on_sync_response(Time now, const SentSync& sent_sync,
                                    const OutboundResponse& response) {
    Peer& peer = peers_.at(sent_sync.partition);
    peer.in_flight = false;
    if (response.status != 200 || !response.peer_sync || !leadership_.is_active(now)) {
        return;
    }
    peer.resyncs_answered = sent_sync.resyncs_requested;
    for (const auto& launch : sent_sync.commands) {
        peer.commands.erase(launch);
    }
    peer.transfers.erase(peer.transfers.begin(),
                         peer.transfers.begin() + static_cast<std::ptrdiff_t>(sent_sync.transfers));
    for (const auto& name : sent_sync.provisioned) {
        demand_.remove_provisioned(name); // the peer's capacity in this response includes it
    }
    on_response(now, sent_sync.partition, sent_sync.max_slots, *response.peer_sync);
}

// Adapts the number of slots to request from the peer next. While it grants all requested slots,
// the batch doubles and the next sync follows at once; otherwise the batch is halved, down to the
// initial one.
void SlotBorrower::adapt_batch(Time now, Peer& peer, std::uint32_t max_slots,
                               std::size_t granted) const {
    if (max_slots > 0 && granted >= max_slots) {
        peer.batch = std::min(kMaxBatchSlots, peer.batch * 2);
        peer.next_sync_at = now;
    } else {
        peer.batch = std::max(policy_.initial_steal_batch, peer.batch / 2);
    }
}

void SlotBorrower::on_response(Time now, int partition, std::uint32_t max_slots,
                               const PeerSyncResponse& response) {
    Peer& peer = peers_.at(partition);
    apply_response(now, partition, peer, response);
    adapt_batch(now, peer, max_slots, response.grants.size());
    bool returns_slots =
        std::any_of(peer.commands.begin(), peer.commands.end(), [](const auto& entry) {
            return entry.second.type == RemoteTaskCommand::Type::return_slot;
        });
    if (returns_slots) {
        // Return the slots at once, but wait before requesting others: the peer would grant the
        // same slots again, and they would be passed back and forth with each sync.
        peer.next_sync_at = now;
        peer.requests_paused_until = now + policy_.peer_sync_interval_s;
    }
    delegate_.on_peer_response(now);
}

// Queues the command that lets a machine forget an exited task, once its exit is durable here.
void SlotBorrower::queue_clears(Peer& peer) {
    std::erase_if(peer.unacked_exits, [&](const auto& entry) {
        const RemoteTaskStatus& remote_task = entry.second;
        if (!delegate_.is_exit_durable(remote_task.status)) {
            return false;
        }
        peer.commands[entry.first] = {RemoteTaskCommand::Type::clear, remote_task.machine,
                                      entry.first.id};
        return true;
    });
}

// Queues a command and makes the peer due at once.
void SlotBorrower::queue_command(Peer& peer, RemoteTaskCommand command) {
    RemoteLaunch launch{command.launch, command.machine};
    peer.commands[launch] = std::move(command);
    peer.next_sync_at = 0;
}

void SlotBorrower::apply_response(Time now, int partition, Peer& peer,
                                  const PeerSyncResponse& response) {
    if (response.term < peer.latest_leader_term) {
        return;
    }
    peer.latest_leader_term = response.term;
    peer.synced_term = response.term;
    demand_.on_peer_demand(now, partition, response.demand, response.capacity);
    reconcile(now, partition, peer, response);
    std::map<std::uint64_t, std::vector<SlotGrant>> gangs;
    for (const auto& grant : response.grants) {
        ShardId shard = shard_of_machine(settings_, grant.machine, grant.zone);
        if (term_of_fencing_token(grant.fencing_token) < shard_terms_[shard]) {
            return_grant(partition,
                         grant); // the shard has migrated, so the worker would reject the launch
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
    if (response.term >= peer.latest_leader_term && response.term != peer.synced_term) {
        peer.latest_leader_term = response.term;
        reconcile(now, partition, peer, response);
    }
}

// Returns the shards whose inventory in the response is current: those under the latest known term
// of the shard, and not owned by this partition. Sets `complete` to false if a shard has to be
// reported again.
SlotBorrower::ShardInventories
SlotBorrower::current_inventories(int partition, const PeerSyncResponse& response, bool& complete) {
    std::vector<ShardInventory> reported;
    if (response.shards) {
        reported = *response.shards;
    } else { // a controller of the previous version owns exactly its home shards
        for (int number = 0; number < shards_per_home(settings_, partition); ++number) {
            reported.push_back(
                {{partition, number}, response.term, response.reconciled, response.complete});
        }
    }
    ShardInventories current;
    for (const auto& inventory : reported) {
        if (const OwnedShards::Shard* own = owned_shards_.find(inventory.shard)) {
            // If the reported term is later than this partition's, the shard has migrated out, but
            // the store's response to that transaction has not arrived yet.
            complete = complete && inventory.term < own->term;
            continue;
        }
        std::uint64_t& latest_term = shard_terms_[inventory.shard];
        if (inventory.term >= latest_term) {
            latest_term = inventory.term;
            current.emplace(inventory.shard, inventory);
        }
    }
    return current;
}

// For each shard that it covers, the response reports every task of this partition and every lent
// slot whose launch no heartbeat has reported yet. A remote task that is in neither list is not on
// its machine, provided that all machines of the shard are reconciled and the shard was reported in
// full, now or before.
void SlotBorrower::reconcile(Time now, int partition, Peer& peer,
                             const PeerSyncResponse& response) {
    bool complete = response.no_stale_grants;
    ShardInventories inventories = current_inventories(partition, response, complete);
    for (const auto& remote_task : response.tasks) {
        ShardId shard = shard_of_machine(settings_, remote_task.machine, remote_task.zone);
        if (auto inventory = inventories.find(shard); inventory != inventories.end()) {
            apply_task_status(now, partition, peer, remote_task, inventory->second.term);
        }
    }
    apply_absent(now, response, inventories);
    if (complete) { // later responses only need to report changes
        peer.acked_term = response.term;
        peer.acked_version = response.version;
    }
    std::size_t before = inventoried_shards_.size();
    for (const auto& [shard, inventory] : inventories) {
        if (inventory.reconciled && response.no_stale_grants) {
            inventoried_shards_.insert(shard);
        }
    }
    if (inventoried_shards_.size() > before) {
        delegate_.try_reconcile(now);
    }
}

// Handles the exit of a remote task. `is_recorded`: the task is in `remote_tasks_` with this
// attempt and machine.
void SlotBorrower::apply_exit(Time now, Peer& peer, const RemoteTaskStatus& remote_task,
                              bool is_recorded) {
    const TaskStatus& status = remote_task.status;
    Job* job = jobs_.find(status.task.job);
    bool is_waiting = job && status.task.index < job->spec.tasks &&
                      job->tasks[status.task.index] == TaskState::waiting;
    if (is_recorded) {
        on_task_gone(now, status.task, status.exit_reason);
    } else if (is_waiting && status.exit_reason == ExitReason::done && job->open()) {
        delegate_.on_completion_discovered(now, *job, status.task.index);
    }
    LaunchId id = launch_id(status.attempt, status.task.index);
    peer.unacked_exits[{id, remote_task.machine}] = remote_task;
}

// Records a remote task that an earlier leader of this partition launched. Returns false if it was
// not adopted.
bool SlotBorrower::adopt_remote(Time now, int partition, const RemoteTaskStatus& remote_task,
                                std::uint64_t term) {
    const TaskStatus& status = remote_task.status;
    Job* job = jobs_.find(status.task.job);
    bool is_waiting = job && status.task.index < job->spec.tasks &&
                      job->tasks[status.task.index] == TaskState::waiting;
    if (!is_waiting ||
        (job->spec.kind == JobKind::gang && !gangs_.adopt(now, status.task.job, status.attempt))) {
        return false;
    }
    jobs_.mark_placed(*job, status.task.index, remote_task.zone);
    quotas_.add_usage(job->spec.team, job->spec.cpus, job->spec.gpus);
    add_remote_task(status.task,
                    {status.attempt, partition, remote_task.machine, remote_task.zone,
                     shard_of_machine(settings_, remote_task.machine, remote_task.zone), term});
    return true;
}

// Queues a command to stop the remote task if it must not run, or not on that machine. Returns
// false if it may continue to run.
bool SlotBorrower::stop_unwanted(Peer& peer, const RemoteTaskStatus& remote_task,
                                 bool is_recorded) {
    const TaskStatus& status = remote_task.status;
    Job* job = jobs_.find(status.task.job);
    bool is_known = job && status.task.index < job->spec.tasks;
    bool must_move = remote_task.draining && is_known && job->spec.kind == JobKind::service;
    // The command that ends an attempt may have been sent to an earlier owner of the shard.
    const GangTracker::Attempt* attempt =
        is_known && job->spec.kind == JobKind::gang ? gangs_.find(status.task.job) : nullptr;
    bool attempt_ends = attempt && attempt->ending;
    if (is_recorded && job->open() && !must_move && !attempt_ends) {
        return false;
    }
    double grace_s = is_recorded && attempt_ends && attempt->may_save
                         ? kSaveGraceFactor * job->spec.save_duration_s
                         : 0;
    LaunchId id = launch_id(status.attempt, status.task.index);
    peer.commands[{id, remote_task.machine}] = {RemoteTaskCommand::Type::stop, remote_task.machine,
                                                id, grace_s};
    return true;
}

// Applies the status of one remote task from a current inventory under the shard's `term`.
void SlotBorrower::apply_task_status(Time now, int partition, Peer& peer,
                                     const RemoteTaskStatus& remote_task, std::uint64_t term) {
    const TaskStatus& status = remote_task.status;
    LaunchId id = launch_id(status.attempt, status.task.index);
    auto it = remote_tasks_.find(status.task);
    bool is_recorded = it != remote_tasks_.end() && it->second.attempt == status.attempt &&
                       it->second.machine == remote_task.machine;
    if (is_recorded) {
        update_location(it->second, id, partition, term);
    }
    if (status.stage == TaskStage::exited) {
        apply_exit(now, peer, remote_task, is_recorded);
        return;
    }
    is_recorded = adopt_remote(now, partition, remote_task, term) || is_recorded;
    if (stop_unwanted(peer, remote_task, is_recorded)) {
        return;
    }
    const JobSpec& spec = jobs_.find(status.task.job)->spec;
    if (remote_task.resources_unknown) {
        peer.commands[{id, remote_task.machine}] = describe_command(remote_task.machine, id, spec);
    }
    if (spec.kind == JobKind::gang && status.stage == TaskStage::running) {
        gangs_.on_task_running(status.task.job);
    }
    if (spec.kind == JobKind::gang && remote_task.preemption_notice) {
        delegate_.end_attempt(now, status.task.job, true);
    }
}

// Adds to `absent` the tasks whose shard the response covers but which it does not report. With
// `needs_complete` only shards that were reported in full count.
void SlotBorrower::collect_absent(const std::set<TaskId>& tasks,
                                  const ShardInventories& inventories,
                                  const ReportedLaunches& reported, bool needs_complete,
                                  std::set<TaskId>& absent) const {
    for (const auto& task : tasks) {
        const RemoteTask& remote = remote_tasks_.at(task);
        auto inventory = inventories.find(remote.shard);
        if (inventory == inventories.end() || !inventory->second.reconciled ||
            remote.term > inventory->second.term ||
            (needs_complete && !inventory->second.complete)) {
            continue;
        }
        LaunchId id = launch_id(remote.attempt, task.index);
        if (!reported.pending.contains(id) && !reported.present.contains({id, remote.machine})) {
            absent.insert(task);
        }
    }
}

// Handles as gone the remote tasks that the response covers but does not report.
void SlotBorrower::apply_absent(Time now, const PeerSyncResponse& response,
                                const ShardInventories& inventories) {
    ReportedLaunches reported;
    reported.pending = {response.pending_launches.begin(), response.pending_launches.end()};
    for (const auto& remote_task : response.tasks) {
        const TaskStatus& status = remote_task.status;
        reported.present.insert(
            {launch_id(status.attempt, status.task.index), remote_task.machine});
    }
    std::set<TaskId> absent;
    if (std::any_of(inventories.begin(), inventories.end(),
                    [](const auto& entry) { return entry.second.complete; })) {
        for (const auto& [machine, tasks] : tasks_by_machine_) {
            collect_absent(tasks, inventories, reported, true, absent);
        }
    }
    for (const auto& machine : response.machines) {
        if (auto tasks = tasks_by_machine_.find(machine); tasks != tasks_by_machine_.end()) {
            collect_absent(tasks->second, inventories, reported, false, absent);
        }
    }
    for (const auto& task : absent) {
        on_task_gone(now, task, ExitReason::none);
    }
}

// Updates the term and the partition of the task's shard. If the partition has changed, pending
// commands about the task are moved to it.
void SlotBorrower::update_location(RemoteTask& remote, const LaunchId& id, int partition,
                                   std::uint64_t term) {
    remote.term = std::max(remote.term, term);
    if (remote.partition == partition) {
        return;
    }
    Peer& from = peers_.at(remote.partition);
    Peer& to = peers_.at(partition);
    if (auto command = from.commands.extract({id, remote.machine}); !command.empty()) {
        to.commands.insert(std::move(command));
    }
    --from.tasks;
    ++to.tasks;
    remote.partition = partition;
}

void SlotBorrower::add_remote_task(const TaskId& task, RemoteTask remote) {
    tasks_by_machine_[remote.machine].insert(task);
    ++peers_.at(remote.partition).tasks;
    remote_tasks_[task] = std::move(remote);
}

SlotBorrower::RemoteTask SlotBorrower::remove_remote_task(const TaskId& task) {
    auto it = remote_tasks_.find(task);
    RemoteTask remote = std::move(it->second);
    remote_tasks_.erase(it);
    --peers_.at(remote.partition).tasks;
    auto tasks = tasks_by_machine_.find(remote.machine);
    tasks->second.erase(task);
    if (tasks->second.empty()) {
        tasks_by_machine_.erase(tasks);
    }
    return remote;
}

void SlotBorrower::on_task_gone(Time now, const TaskId& task, ExitReason reason) {
    RemoteTask remote = remove_remote_task(task);
    delegate_.on_remote_exit(now, task, reason, remote.zone);
}

// ---- Migrations of shards ----

void SlotBorrower::announce_transfer(int partition, const ShardTransfer& transfer) {
    peers_.at(partition).transfers.push_back(transfer);
    peers_.at(partition).next_sync_at = 0;
}

void SlotBorrower::on_task_migrated_out(const TaskId& task, RemoteTask remote) {
    std::uint64_t& latest_term = shard_terms_[remote.shard];
    latest_term = std::max(latest_term, remote.term);
    add_remote_task(task, std::move(remote));
}

void SlotBorrower::on_shard_migrated_in(const ShardId& shard, std::uint64_t term) {
    shard_terms_[shard] = term;
}

bool SlotBorrower::adopt_local(const TaskId& task, std::uint64_t attempt,
                               const std::string& machine) {
    auto it = remote_tasks_.find(task);
    if (it == remote_tasks_.end() || it->second.attempt != attempt ||
        it->second.machine != machine) {
        return false;
    }
    remove_remote_task(task);
    return true;
}

void SlotBorrower::on_inventory_complete(Time now, const std::string& machine) {
    auto it = tasks_by_machine_.find(machine);
    if (it == tasks_by_machine_.end()) {
        return;
    }
    std::set<TaskId> tasks = it->second;
    for (const auto& task : tasks) {
        on_task_gone(now, task, ExitReason::none);
    }
}

void SlotBorrower::on_inventory_complete(Time now, const ShardId& shard) {
    std::vector<TaskId> tasks;
    for (const auto& [task, remote] : remote_tasks_) {
        if (remote.shard == shard) {
            tasks.push_back(task);
        }
    }
    for (const auto& task : tasks) {
        on_task_gone(now, task, ExitReason::none);
    }
}

// ---- Granted slots ----

bool SlotBorrower::fits_grant(const Job& job, const SlotGrant& grant) const {
    const JobSpec& spec = job.spec;
    return spec.cpus <= grant.cpus && spec.gpus <= grant.gpus && spec.ram_gb <= grant.ram_gb &&
           (spec.spot || !grant.spot) && spec.allows_type(grant.type) &&
           job.allows_zone(grant.zone) && quotas_.fits(spec.team, spec.cpus, spec.gpus);
}

// Returns the job that the grant was requested for or, if that job needs no slot any more, the
// first other job that may use the slot; null if there is none.
Job* SlotBorrower::job_for_grant(Time now, const SlotGrant& grant) const {
    auto can_use = [&](const Job& job) {
        return job.spec.kind != JobKind::gang && delegate_.has_schedulable_tasks(now, job) &&
               fits_grant(job, grant);
    };
    Job* job = jobs_.find(grant.job);
    if (job && can_use(*job)) {
        return job;
    }
    job = nullptr;
    for (const auto& [id, other] : jobs_.all()) {
        if (can_use(*other) && (!job || std::tie(other->spec.priority, other->first_seen) <
                                            std::tie(job->spec.priority, job->first_seen))) {
            job = other.get();
        }
    }
    return job;
}

void SlotBorrower::use_grant(Time now, int partition, Peer& peer, const SlotGrant& grant) {
    Job* job = job_for_grant(now, grant);
    if (!job || !leadership_.is_active(now)) {
        queue_command(peer, {RemoteTaskCommand::Type::return_slot, grant.machine, grant.launch});
        return;
    }
    launch(partition, grant, *job, job->waiting.first());
}

void SlotBorrower::launch(int partition, const SlotGrant& grant, Job& job, std::uint32_t index) {
    TaskId task{job.spec.id, index};
    jobs_.mark_placed(job, index, grant.zone);
    quotas_.add_usage(job.spec.team, job.spec.cpus, job.spec.gpus);
    add_remote_task(task, {grant.launch.attempt, partition, grant.machine, grant.zone,
                           shard_of_machine(settings_, grant.machine, grant.zone),
                           term_of_fencing_token(grant.fencing_token), grant.endpoint,
                           grant.agent_epoch, grant.fencing_token});
    WorkerCommands commands{grant.machine,
                            grant.endpoint,
                            grant.fencing_token,
                            grant.agent_epoch,
                            {{CommandType::start, task, grant.launch.attempt, 0}}};
    requests_.send(std::move(commands), [this, task, partition, machine = grant.machine,
                                         id = grant.launch](Time at, OutboundResponse& response) {
        auto it = remote_tasks_.find(task);
        if ((response.status != 409 && !response.never_sent) || it == remote_tasks_.end() ||
            it->second.attempt != id.attempt || it->second.machine != machine) {
            return; // executed or possibly running: the lender will report or fence the launch
        }
        // The command was rejected or never sent, so it will never be executed: return the slot.
        queue_command(peers_.at(partition), {RemoteTaskCommand::Type::return_slot, machine, id});
        on_task_gone(at, task, ExitReason::none);
    });
}

void SlotBorrower::return_grant(int partition, const SlotGrant& grant) {
    auto used = remote_tasks_.find({grant.job, grant.launch.index});
    if ((grant.launch.attempt & kGangBit) != 0 && used != remote_tasks_.end() &&
        used->second.attempt == grant.launch.attempt && used->second.machine == grant.machine) {
        return; // the task was launched on this slot
    }
    queue_command(peers_.at(partition),
                  {RemoteTaskCommand::Type::return_slot, grant.machine, grant.launch});
}

void SlotBorrower::stop_job(const std::string& job, double grace_s) {
    for (auto it = remote_tasks_.lower_bound({job, 0});
         it != remote_tasks_.end() && it->first.job == job; ++it) {
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
    requests_.send(WorkerCommands{remote.machine,
                                  remote.endpoint,
                                  remote.fencing_token,
                                  remote.agent_epoch,
                                  {{CommandType::stop, task, remote.attempt, grace_s}}},
                   [](Time, OutboundResponse&) {
                   }); // ignored: only the lender's inventory confirms that the task is gone
    return true;
}

} // namespace scheduler
