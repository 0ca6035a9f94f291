#include "core/stealing/slot_lender.h"

#include <algorithm>
#include <utility>

namespace scheduler {

namespace {
// A slot handed over shows its start within a report or so; after that the owner fences it.
constexpr double kLotReports = 1.5;
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
    for (int p = 0; p < static_cast<int>(settings_.partitions.size()); ++p) {
        if (p != leadership_.partition()) {
            borrowers_[p];
        }
    }
}

std::vector<PeerSlotRequests> SlotLender::slot_requests() {
    std::vector<PeerSlotRequests> all;
    for (auto& [partition, borrower] : borrowers_) {
        all.push_back({partition, borrower.requested_at, &borrower.requests});
    }
    return all;
}

bool SlotLender::heard_from_all() const {
    return std::all_of(borrowers_.begin(), borrowers_.end(),
                       [](const auto& t) { return t.second.called_term > 0; });
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
    if (request.term < borrower.term) {
        requests_.respond(request_id, 409, TextBody{"a later owner has called"});
        return;
    }
    // A call that comes late would give back slots that were handed over since: the tasks of a
    // gang's attempt share its number, so a slot may come to have the name of one that went back.
    if (request.term == borrower.called_term && request.sequence != 0 &&
        request.sequence <= borrower.sequence) {
        requests_.respond(request_id, 409, TextBody{"a later call has come"});
        return;
    }
    observe_term(now, borrower, request.term);
    borrower.called_term = request.term;
    borrower.sequence = request.sequence;
    for (const auto& command : request.commands) {
        if (Machine* machine = machines_.find(command.machine)) {
            apply_command(*machine, command, request.from_partition);
        }
    }
    for (const auto& g : request.transfers) { // before the machines that it names
        delegate_.accept_transfer(now, g);
    }
    for (const auto& b : request.provisioned) { // it counts here from now on, long before it is up
        delegate_.expect_machine(now, b);
    }
    queue_.clear(); // it points into the wants of before
    borrower.acked_version = request.acked_term == leadership_.term() ? request.acked_version : 0;
    borrower.requests = request.slot_requests;
    borrower.requested_at = now;
    borrower.slots_left = request.max_slots;
    demand_.on_peer_demand(now, request.from_partition, request.demand, request.capacity);
    delegate_.on_slot_requests(now);

    PeerSyncResponse response = build_response(now, request);
    for (auto& g : std::exchange(borrower.grants, {})) {
        Machine* machine = machines_.find(g.machine);
        if (machine && machine->lent_slots.contains(g.launch)) {
            response.grants.push_back(std::move(g));
        }
    }
    requests_.respond(request_id, 200, std::move(response));
}

// Slots that an owner before it got are fenced.
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

PeerSyncResponse SlotLender::build_response(Time now, const PeerSyncRequest& request) {
    PeerSyncResponse response;
    response.term = leadership_.term();
    response.no_stale_grants = true;
    response.version = version_;
    response.demand = demand_.current(now).demand;
    response.capacity = demand_.current(now).capacity;
    response.complete =
        request.acked_term != leadership_.term() || request.acked_version <= dropped_version_;
    response.reconciled = true;
    response.shards.emplace();
    std::set<ShardId> whole; // those that the caller has not taken in yet
    for (const auto& [id, shard] : owned_shards_.all()) {
        if (shard.state == OwnedShards::State::in_doubt) {
            continue;
        }
        auto covered = published_shards_.find(id);
        bool accounted = covered != published_shards_.end();
        bool is_new = response.complete || (accounted && request.acked_version < covered->second);
        response.reconciled = response.reconciled && accounted;
        response.shards->push_back({id, shard.term, accounted, is_new});
        if (is_new) {
            whole.insert(id);
        }
    }
    if (!whole.empty()) {
        for (const auto& [name, m] : machines_.all()) {
            if (!whole.contains(m.shard)) {
                continue;
            }
            append_tasks(m, request.from_partition, response);
            for (const auto& [id, lot] : m.lent_slots) {
                response.no_stale_grants =
                    response.no_stale_grants &&
                    (lot.borrower != request.from_partition || lot.borrower_term >= request.term);
            }
        }
    }
    for (auto change = changes_.upper_bound(request.acked_version);
         !response.complete && change != changes_.end(); ++change) {
        auto m = machines_.all().find(change->second);
        if (m == machines_.all().end()) {
            response.machines.push_back(change->second);
        } else if (!whole.contains(m->second.shard)) {
            response.machines.push_back(change->second);
            append_tasks(m->second, request.from_partition, response);
        }
    }
    return response;
}

// The tasks of the thief's part on one machine, and the slots it may yet start some on.
void SlotLender::append_tasks(const Machine& machine, int borrower, PeerSyncResponse& response) {
    ++effort_;
    for (const auto& [task, p] : machine.tasks) {
        if (partition_of_attempt(p.attempt) == borrower) {
            TaskStatus status{task, p.attempt, p.stage, ExitReason::none};
            response.tasks.push_back({status, machine.name, machine.zone, p.resources_unknown,
                                      machine.draining || machine.cordoned,
                                      machine.preemption_notice_s.has_value()});
        }
    }
    for (const auto& status : machine.finished) {
        if (partition_of_attempt(status.attempt) == borrower) {
            response.tasks.push_back({status, machine.name, machine.zone, false, false, false});
        }
    }
    for (const auto& [id, lot] : machine.lent_slots) {
        if (lot.borrower == borrower) {
            response.pending_launches.push_back(id);
        }
    }
}

// Has the listing of this machine's guests changed, for any of their owners? A start that shows in
// its slot changes nothing, so that most changes are ends.
void SlotLender::on_machine_changed(Machine& machine) {
    std::uint64_t print = 0;
    auto mix = [&](const LaunchId& id, std::uint64_t state) {
        std::uint64_t x = (id.attempt * 16 + state) * 31 + id.index + 0x9e3779b97f4a7c15ULL;
        x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
        x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
        print ^= x ^ (x >> 31);
    };
    std::uint64_t leaving =
        (machine.draining || machine.cordoned ? 1 : 0) + (machine.preemption_notice_s ? 8 : 0);
    for (const auto& [task, p] : machine.tasks) {
        if (!leadership_.is_own_attempt(p.attempt)) {
            mix(launch_id(p.attempt, task.index), leaving + (p.resources_unknown ? 2 : 0));
        }
    }
    for (const auto& [id, lot] : machine.lent_slots) {
        mix(id, leaving);
    }
    for (const auto& t : machine.finished) {
        if (!leadership_.is_own_attempt(t.attempt)) {
            mix(launch_id(t.attempt, t.task.index), 4);
        }
    }
    if (print == machine.remote_tasks_hash) {
        return;
    }
    machine.remote_tasks_hash = print;
    changes_.erase(machine.remote_tasks_version);
    log_change(machine.name);
    machine.remote_tasks_version = version_;
}

void SlotLender::on_machine_removed(const Machine& machine) {
    changes_.erase(machine.remote_tasks_version);
    if (machine.remote_tasks_version > 0) {
        log_change(machine.name);
    }
}

void SlotLender::log_change(const std::string& machine) {
    changes_[++version_] = machine;
    // Machines that are gone would stay in the log for ever.
    while (changes_.size() > 2 * machines_.all().size() + 64) {
        dropped_version_ = changes_.begin()->first;
        changes_.erase(changes_.begin());
    }
}

void SlotLender::apply_command(Machine& machine, const RemoteTaskCommand& command, int borrower) {
    switch (command.type) {
    case RemoteTaskCommand::Type::return_slot: {
        auto lot = machine.lent_slots.find(command.launch);
        if (lot != machine.lent_slots.end() && lot->second.borrower == borrower &&
            lot->second.borrower_term == borrowers_.at(borrower).term) {
            machine.lent_slots.erase(lot);
            delegate_.update_slot_lists(machine);
        }
        return;
    }
    case RemoteTaskCommand::Type::clear:
        for (const auto& t : machine.finished) {
            if (launch_id(t.attempt, t.task.index) == command.launch) {
                machine.remote_clears.insert(command.launch);
            }
        }
        return;
    case RemoteTaskCommand::Type::stop:
        // Its start may be on the way yet, so the word is kept. Told anew to leave at once, it
        // must.
        if (auto [it, added] = machine.remote_stops.try_emplace(command.launch, command.grace_s);
            added || command.grace_s < it->second) {
            it->second = command.grace_s;
            for (const auto& [task, p] : machine.tasks) {
                if (launch_id(p.attempt, task.index) == command.launch &&
                    p.via == Placement::Via::reported) {
                    machines_.queue_stop(machine, task, p.attempt, command.grace_s);
                }
            }
        }
        return;
    case RemoteTaskCommand::Type::describe: apply_resources(machine, command); return;
    }
}

void SlotLender::apply_resources(Machine& machine, const RemoteTaskCommand& command) {
    for (auto& [task, p] : machine.tasks) {
        if (launch_id(p.attempt, task.index) == command.launch && p.resources_unknown) {
            p.kind = command.kind;
            p.cpus = command.cpus;
            p.gpus = command.gpus;
            p.ram_gb = command.ram_gb;
            p.image = command.image;
            p.image_gb = command.image_gb;
            p.resources_unknown = false;
            machine.touch_image(p.image, p.image_gb);
            delegate_.update_slot_lists(machine);
        }
    }
}

void SlotLender::lend(Time now, Machine& machine, int borrower, SlotRequest& request,
                      std::uint32_t member) {
    Borrower& to = borrowers_.at(borrower);
    if (request.attempt != 0 && machine.lent_slots.contains(launch_id(request.attempt, member))) {
        // Handed over already: the thief holds it, or has not heard of it and will when it is
        // fenced. A second one of the same name could be given back, and the task on the first
        // taken for gone.
        --request.count;
        return;
    }
    LentSlot lot;
    lot.borrower = borrower;
    lot.borrower_term = to.term;
    lot.fencing_token = machine.fencing_token();
    lot.since = now;
    lot.placement = placement_for(requested_resources(request));
    lot.placement.attempt =
        request.attempt != 0 ? request.attempt : leadership_.next_attempt(borrower, false);
    lot.placement.over_guarantee = request.over_guarantee;
    lot.placement.via = Placement::Via::direct_command;
    lot.placement.fencing_token = lot.fencing_token;
    lot.placement.since = now;
    machine.touch_image(request.image, request.image_gb);
    LaunchId id = launch_id(lot.placement.attempt, member);
    to.grants.push_back({id, request.job, machine.name, machine.endpoint, machine.agent_epoch,
                         lot.fencing_token, machine.type.name, machine.zone, machine.spot,
                         request.cpus, request.gpus, request.ram_gb});
    machine.lent_slots.emplace(id, std::move(lot));
    machines_with_lent_slots_.insert(machine.name);
    delegate_.update_slot_lists(machine);
    --request.count;
    --to.slots_left;
}

// A slot whose start does not show, or that an owner before the present one got: a higher token
// makes sure that the start never comes, and the next report under it frees the slot.
void SlotLender::fence_lent_slots(Time now) {
    std::vector<Machine*> fence;
    std::erase_if(machines_with_lent_slots_, [&](const std::string& name) {
        ++effort_;
        Machine* machine = machines_.find(name);
        if (!machine || machine->lent_slots.empty()) {
            return true;
        }
        bool old =
            std::any_of(machine->lent_slots.begin(), machine->lent_slots.end(), [&](const auto& l) {
                const LentSlot& lot = l.second;
                return (now - lot.since > kLotReports * settings_.heartbeat_interval_s ||
                        lot.borrower_term < borrowers_.at(lot.borrower).term) &&
                       lot.fencing_token == machine->fencing_token();
            });
        if (old) {
            fence.push_back(machine);
        }
        return false;
    });
    // The new owner of a part places no older task until these slots are settled, and a report
    // under the new token may be two report times away.
    for (Machine* machine : fence) {
        machines_.fence(*machine);
        delegate_.update_slot_lists(*machine);
        delegate_.request_inventory(machine->name);
    }
}

} // namespace scheduler
