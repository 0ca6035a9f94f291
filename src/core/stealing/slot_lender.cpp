#include "core/stealing/slot_lender.h"

#include <algorithm>
#include <utility>

namespace scheduler {

namespace {
// A launch on a lent slot is usually reported within one heartbeat interval. After this many
// intervals the slot is fenced.
constexpr double kLaunchTimeoutHeartbeats = 1.5;
// The change log holds at most twice as many entries as there are machines, plus this many.
constexpr std::size_t kExtraLoggedChanges = 64;
// Bits for the states of a remote task that are part of its hash.
constexpr std::uint64_t kDrainingState = 1;
constexpr std::uint64_t kResourcesUnknownState = 2;
constexpr std::uint64_t kFinishedState = 4;
constexpr std::uint64_t kPreemptionNoticeState = 8;

// Hashes a launch and the state of its task with the finalizer of SplitMix64.
std::uint64_t hash_launch(const LaunchId& id, std::uint64_t state) {
    std::uint64_t hash = (id.attempt * 16 + state) * 31 + id.index + 0x9e3779b97f4a7c15ULL;
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31);
}
} // namespace

JobSpec requested_resources(const SlotRequest& request) {
    JobSpec spec;
    spec.id = request.job;
    spec.kind = request.kind;
    spec.spread = request.spread;
    spec.tasks = request.gang_size;
    spec.cpus = request.cpus;
    spec.gpus = request.gpus;
    spec.ram_gb = request.ram_gb;
    spec.image = request.image;
    spec.image_gb = request.image_gb;
    spec.priority = request.priority;
    spec.one_zone = request.one_zone;
    spec.types = request.types;
    spec.zone = request.zone;
    spec.spot = request.spot;
    return spec;
}

SlotLender::SlotLender(Leadership& leadership, const ClusterSettings& settings,
                       const OwnedShards& owned_shards, MachineTable& machines, PendingQueue& queue,
                       DemandTracker& demand, OutboundRequests& requests, Delegate& delegate)
    : leadership_(leadership), settings_(settings), owned_shards_(owned_shards),
      machines_(machines), queue_(queue), demand_(demand), requests_(requests),
      delegate_(delegate) {
    int partitions = static_cast<int>(settings_.partitions.size());
    for (int partition = 0; partition < partitions; ++partition) {
        if (partition != leadership_.partition()) {
            borrowers_[partition];
        }
    }
}

std::vector<PeerSlotRequests> SlotLender::slot_requests() {
    std::vector<PeerSlotRequests> requests;
    for (auto& [partition, borrower] : borrowers_) {
        requests.push_back({partition, borrower.requested_at, &borrower.requests});
    }
    return requests;
}

bool SlotLender::all_borrowers_synced() const {
    return std::all_of(borrowers_.begin(), borrowers_.end(),
                       [](const auto& entry) { return entry.second.synced_term > 0; });
}

bool SlotLender::has_unacked_exits(const Machine& machine) const {
    return std::any_of(
        machine.finished.begin(), machine.finished.end(), [&](const TaskStatus& status) {
            auto borrower = borrowers_.find(partition_of_attempt(status.attempt));
            return borrower != borrowers_.end() && status.exit_reason == ExitReason::done &&
                   borrower->second.acked_version < machine.remote_tasks_version &&
                   !machine.remote_clears.contains(launch_id(status.attempt, status.task.index));
        });
}

void SlotLender::handle_sync(Time now, RequestId request_id, const PeerSyncRequest& request) {
    auto it = borrowers_.find(request.from_partition);
    if (it == borrowers_.end()) {
        requests_.respond(request_id, 503, TextBody{"not entitled"}, 1);
        return;
    }
    Borrower& borrower = it->second;
    if (reject_outdated(request_id, request, borrower)) {
        return;
    }
    apply_request(now, request, borrower);
    delegate_.on_slot_requests(now);

    PeerSyncResponse response = build_response(now, request);
    append_grants(borrower, response);
    requests_.respond(request_id, 200, std::move(response));
}

// Rejects the request if it is outdated. Returns whether it was rejected.
bool SlotLender::reject_outdated(RequestId request_id, const PeerSyncRequest& request,
                                 const Borrower& borrower) {
    if (request.term < borrower.term) {
        requests_.respond(request_id, 409, TextBody{"a later owner has called"});
        return true;
    }
    // The commands of an outdated request could return a slot that was lent later: the tasks of a
    // gang's attempt share its number, so a lent slot may have the launch id of a slot that was
    // returned before.
    if (request.term == borrower.synced_term && request.sequence != 0 &&
        request.sequence <= borrower.sequence) {
        requests_.respond(request_id, 409, TextBody{"a later call has come"});
        return true;
    }
    return false;
}

void SlotLender::apply_request(Time now, const PeerSyncRequest& request, Borrower& borrower) {
    observe_term(now, borrower, request.term);
    borrower.synced_term = request.term;
    borrower.sequence = request.sequence;
    for (const auto& command : request.commands) {
        if (Machine* machine = machines_.find(command.machine)) {
            apply_command(*machine, command, request.from_partition);
        }
    }
    // Transfers are accepted before the provisioned machines, which may belong to their shards.
    for (const auto& transfer : request.transfers) {
        delegate_.accept_transfer(now, transfer);
    }
    // Provisioned machines count as this partition's capacity from now on, long before they run.
    for (const auto& machine : request.provisioned) {
        delegate_.expect_machine(now, machine);
    }
    queue_.clear(); // its entries point to the slot requests that are replaced below
    borrower.acked_version = request.acked_term == leadership_.term() ? request.acked_version : 0;
    borrower.requests = request.slot_requests;
    borrower.requested_at = now;
    borrower.slots_left = request.max_slots;
    demand_.on_peer_demand(now, request.from_partition, request.demand, request.capacity);
}

// Moves the borrower's new grants into the response, except for slots that are no longer lent.
void SlotLender::append_grants(Borrower& borrower, PeerSyncResponse& response) {
    for (auto& grant : std::exchange(borrower.grants, {})) {
        Machine* machine = machines_.find(grant.machine);
        if (machine && machine->lent_slots.contains(grant.launch)) {
            response.grants.push_back(std::move(grant));
        }
    }
}

// Records a term of the borrowing partition. If it is new, fences the slots that were lent to
// earlier leaders.
void SlotLender::observe_term(Time now, Borrower& borrower, std::uint64_t term) {
    if (term > borrower.term) {
        borrower.term = term;
        fence_lent_slots(now);
    }
}

std::optional<PeerSyncResponse> SlotLender::inventory_for(Time now, int partition,
                                                          std::uint64_t term) {
    Borrower& borrower = borrowers_.at(partition);
    if (term < borrower.term) {
        return std::nullopt;
    }
    observe_term(now, borrower, term);
    PeerSyncRequest request;
    request.from_partition = partition;
    request.term = term;
    PeerSyncResponse response = build_response(now, request);
    return response.reconciled && response.no_stale_grants ? std::optional(std::move(response))
                                                           : std::nullopt;
}

// Returns the response to the request, without slot grants.
PeerSyncResponse SlotLender::build_response(Time now, const PeerSyncRequest& request) {
    PeerSyncResponse response;
    response.term = leadership_.term();
    response.no_stale_grants = true;
    response.version = version_;
    response.demand = demand_.current(now).demand;
    response.capacity = demand_.current(now).capacity;
    response.complete =
        request.acked_term != leadership_.term() || request.acked_version <= dropped_version_;
    ShardSet full_shards = append_shards(request, response);
    append_machines(request, full_shards, response);
    append_changes(request, full_shards, response);
    return response;
}

// Appends the shards that this partition reports on: those that it owns, unless their transfer is
// pending. Returns the shards whose inventory the caller does not have yet and which is sent in
// full.
SlotLender::ShardSet SlotLender::append_shards(const PeerSyncRequest& request,
                                               PeerSyncResponse& response) const {
    ShardSet full_shards;
    response.reconciled = true;
    response.shards.emplace();
    for (const auto& [id, shard] : owned_shards_.all()) {
        if (shard.state == OwnedShards::State::transfer_pending) {
            continue;
        }
        auto published = published_shards_.find(id);
        bool reconciled = published != published_shards_.end();
        bool send_full =
            response.complete || (reconciled && request.acked_version < published->second);
        response.reconciled = response.reconciled && reconciled;
        response.shards->push_back({id, shard.term, reconciled, send_full});
        if (send_full) {
            full_shards.insert(id);
        }
    }
    return full_shards;
}

// Appends the caller's tasks on all machines of the given shards.
void SlotLender::append_machines(const PeerSyncRequest& request, const ShardSet& full_shards,
                                 PeerSyncResponse& response) {
    if (full_shards.empty()) {
        return;
    }
    for (const auto& [name, machine] : machines_.all()) {
        if (!full_shards.contains(machine.shard)) {
            continue;
        }
        append_tasks(machine, request.from_partition, response);
        for (const auto& [id, lent] : machine.lent_slots) {
            bool is_stale =
                lent.borrower == request.from_partition && lent.borrower_term < request.term;
            response.no_stale_grants = response.no_stale_grants && !is_stale;
        }
    }
}

// Appends the caller's tasks on machines of other shards that have changed since the version that
// the caller acknowledged.
void SlotLender::append_changes(const PeerSyncRequest& request, const ShardSet& full_shards,
                                PeerSyncResponse& response) {
    if (response.complete) {
        return;
    }
    for (auto change = change_log_.upper_bound(request.acked_version); change != change_log_.end();
         ++change) {
        const std::string& name = change->second;
        auto machine = machines_.all().find(name);
        if (machine == machines_.all().end()) {
            response.machines.push_back(name);
        } else if (!full_shards.contains(machine->second.shard)) {
            response.machines.push_back(name);
            append_tasks(machine->second, request.from_partition, response);
        }
    }
}

// Appends the borrower's tasks on one machine, and the lent slots whose launches are unconfirmed.
void SlotLender::append_tasks(const Machine& machine, int borrower, PeerSyncResponse& response) {
    ++effort_;
    for (const auto& [task, placement] : machine.tasks) {
        if (partition_of_attempt(placement.attempt) == borrower) {
            TaskStatus status{task, placement.attempt, placement.stage, ExitReason::none};
            response.tasks.push_back(
                {status, machine.name, machine.zone, placement.resources_unknown,
                 machine.draining || machine.cordoned, machine.preemption_notice_s.has_value()});
        }
    }
    for (const auto& status : machine.finished) {
        if (partition_of_attempt(status.attempt) == borrower) {
            response.tasks.push_back({status, machine.name, machine.zone, false, false, false});
        }
    }
    for (const auto& [id, lent] : machine.lent_slots) {
        if (lent.borrower == borrower) {
            response.pending_launches.push_back(id);
        }
    }
}

// Returns a hash of the machine's remote tasks as they are reported in the inventory, independent
// of their order. It stays the same when a lent slot becomes a reported task, so most changes are
// exits.
std::uint64_t SlotLender::hash_remote_tasks(const Machine& machine) const {
    std::uint64_t machine_state = (machine.draining || machine.cordoned ? kDrainingState : 0) +
                                  (machine.preemption_notice_s ? kPreemptionNoticeState : 0);
    std::uint64_t hash = 0;
    for (const auto& [task, placement] : machine.tasks) {
        if (!leadership_.is_own_attempt(placement.attempt)) {
            std::uint64_t task_state = placement.resources_unknown ? kResourcesUnknownState : 0;
            hash ^=
                hash_launch(launch_id(placement.attempt, task.index), machine_state + task_state);
        }
    }
    for (const auto& [id, lent] : machine.lent_slots) {
        hash ^= hash_launch(id, machine_state);
    }
    for (const auto& status : machine.finished) {
        if (!leadership_.is_own_attempt(status.attempt)) {
            hash ^= hash_launch(launch_id(status.attempt, status.task.index), kFinishedState);
        }
    }
    return hash;
}

void SlotLender::on_machine_changed(Machine& machine) {
    std::uint64_t hash = hash_remote_tasks(machine);
    if (hash == machine.remote_tasks_hash) {
        return;
    }
    machine.remote_tasks_hash = hash;
    change_log_.erase(machine.remote_tasks_version);
    log_change(machine.name);
    machine.remote_tasks_version = version_;
}

void SlotLender::on_machine_removed(const Machine& machine) {
    change_log_.erase(machine.remote_tasks_version);
    if (machine.remote_tasks_version > 0) {
        log_change(machine.name);
    }
}

void SlotLender::log_change(const std::string& machine) {
    change_log_[++version_] = machine;
    // Limits the log: entries of removed machines are not replaced by later ones.
    while (change_log_.size() > 2 * machines_.all().size() + kExtraLoggedChanges) {
        dropped_version_ = change_log_.begin()->first;
        change_log_.erase(change_log_.begin());
    }
}

void SlotLender::apply_command(Machine& machine, const RemoteTaskCommand& command, int borrower) {
    switch (command.type) {
    case RemoteTaskCommand::Type::return_slot: apply_return(machine, command, borrower); return;
    case RemoteTaskCommand::Type::clear:
        for (const auto& status : machine.finished) {
            if (launch_id(status.attempt, status.task.index) == command.launch) {
                machine.remote_clears.insert(command.launch);
            }
        }
        return;
    case RemoteTaskCommand::Type::stop: apply_stop(machine, command); return;
    case RemoteTaskCommand::Type::describe: apply_resources(machine, command); return;
    }
}

void SlotLender::apply_return(Machine& machine, const RemoteTaskCommand& command, int borrower) {
    auto lent = machine.lent_slots.find(command.launch);
    if (lent != machine.lent_slots.end() && lent->second.borrower == borrower &&
        lent->second.borrower_term == borrowers_.at(borrower).term) {
        machine.lent_slots.erase(lent);
        delegate_.update_slot_lists(machine);
    }
}

// Stops the task. The command is kept, because the launch may still be in transit. A later command
// replaces it only if its grace period is shorter.
void SlotLender::apply_stop(Machine& machine, const RemoteTaskCommand& command) {
    auto [it, added] = machine.remote_stops.try_emplace(command.launch, command.grace_s);
    if (!added && command.grace_s >= it->second) {
        return;
    }
    it->second = command.grace_s;
    for (const auto& [task, placement] : machine.tasks) {
        if (launch_id(placement.attempt, task.index) == command.launch &&
            placement.launch_state == Placement::LaunchState::reported) {
            machines_.queue_stop(machine, task, placement.attempt, command.grace_s);
        }
    }
}

// Sets the resources of a task if this leader lacks them since a failover.
void SlotLender::apply_resources(Machine& machine, const RemoteTaskCommand& command) {
    for (auto& [task, placement] : machine.tasks) {
        if (launch_id(placement.attempt, task.index) == command.launch &&
            placement.resources_unknown) {
            placement.kind = command.kind;
            placement.cpus = command.cpus;
            placement.gpus = command.gpus;
            placement.ram_gb = command.ram_gb;
            placement.image = command.image;
            placement.image_gb = command.image_gb;
            placement.resources_unknown = false;
            machine.touch_image(placement.image, placement.image_gb);
            delegate_.update_slot_lists(machine);
        }
    }
}

LentSlot SlotLender::make_lent_slot(Time now, const Machine& machine, int borrower,
                                    const SlotRequest& request) {
    LentSlot lent;
    lent.borrower = borrower;
    lent.borrower_term = borrowers_.at(borrower).term;
    lent.fencing_token = machine.fencing_token();
    lent.since = now;
    lent.placement = placement_for(requested_resources(request));
    lent.placement.attempt =
        request.attempt != 0 ? request.attempt : leadership_.next_attempt(borrower, false);
    lent.placement.over_guarantee = request.over_guarantee;
    lent.placement.launch_state = Placement::LaunchState::direct_command;
    lent.placement.fencing_token = lent.fencing_token;
    lent.placement.since = now;
    return lent;
}

void SlotLender::lend(Time now, Machine& machine, int borrower, SlotRequest& request,
                      std::uint32_t member) {
    Borrower& borrower_state = borrowers_.at(borrower);
    if (request.attempt != 0 && machine.lent_slots.contains(launch_id(request.attempt, member))) {
        // Already lent: the borrower holds the slot, or the grant was lost and the slot will be
        // fenced. A second slot under the same launch id could be returned, and the task launched
        // on the first would then be treated as gone.
        --request.count;
        return;
    }
    LentSlot lent = make_lent_slot(now, machine, borrower, request);
    machine.touch_image(request.image, request.image_gb);
    LaunchId id = launch_id(lent.placement.attempt, member);
    borrower_state.grants.push_back({id, request.job, machine.name, machine.endpoint,
                                     machine.agent_epoch, lent.fencing_token, machine.type.name,
                                     machine.zone, machine.spot, request.cpus, request.gpus,
                                     request.ram_gb});
    machine.lent_slots.emplace(id, std::move(lent));
    machines_with_lent_slots_.insert(machine.name);
    delegate_.update_slot_lists(machine);
    --request.count;
    --borrower_state.slots_left;
}

// Returns whether the machine has a slot that was lent since its latest fence and either has no
// reported launch in time or was lent to an earlier leader of the borrowing partition. Raising the
// token ensures that the launch never takes effect; the next heartbeat under the new token frees
// the slot.
bool SlotLender::must_fence(Time now, const Machine& machine) const {
    double max_age_s = kLaunchTimeoutHeartbeats * settings_.heartbeat_interval_s;
    return std::any_of(machine.lent_slots.begin(), machine.lent_slots.end(),
                       [&](const auto& entry) {
                           const LentSlot& lent = entry.second;
                           bool is_stale = lent.borrower_term < borrowers_.at(lent.borrower).term;
                           return (now - lent.since > max_age_s || is_stale) &&
                                  lent.fencing_token >= machine.fence_token();
                       });
}

void SlotLender::fence_lent_slots(Time now) {
    std::vector<Machine*> to_fence;
    std::erase_if(machines_with_lent_slots_, [&](const std::string& name) {
        ++effort_;
        Machine* machine = machines_.find(name);
        if (!machine || machine->lent_slots.empty()) {
            return true;
        }
        if (must_fence(now, *machine)) {
            to_fence.push_back(machine);
        }
        return false;
    });
    // A new leader of the borrowing partition places no tasks of older jobs until these slots are
    // resolved. Without the request, the heartbeat under the new token may take two intervals.
    for (Machine* machine : to_fence) {
        machines_.fence(*machine);
        delegate_.update_slot_lists(*machine);
        delegate_.request_inventory(machine->name);
    }
}

} // namespace scheduler
