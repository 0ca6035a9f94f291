#include "core/recovery/reconciliation.h"

#include <algorithm>

namespace scheduler {

namespace {
// A live machine responds to a probe, or sends a heartbeat, within this many heartbeat intervals.
constexpr double kResponseHeartbeats = 1.5;
// Probes sent to a machine after a failover: one to learn the agent epoch, one for the inventory,
// and one spare.
constexpr int kProbeAttempts = 3;
// Missing machines are released at most this many times per heartbeat interval.
constexpr double kReleasesPerHeartbeat = 6;
} // namespace

Reconciliation::Reconciliation(const Leadership& leadership, const ClusterSettings& settings,
                               MachineTable& machines, OutboundRequests& requests,
                               Delegate& delegate)
    : leadership_(leadership), settings_(settings), machines_(machines), requests_(requests),
      delegate_(delegate) {}

void Reconciliation::on_inventory(const Machine& machine) {
    if (auto shard = shards_.find(machine.shard); shard != shards_.end()) {
        shard->second.unreconciled.erase(machine.name);
    }
}

void Reconciliation::on_registry_read(const ShardId& shard_id) {
    Shard& shard = shards_.at(shard_id);
    shard.registry_read = true;
    for (const auto& name : shard.unreconciled) {
        pending_probes_.push_back({name, kProbeAttempts});
    }
    send_due_probes();
}

std::vector<ShardId> Reconciliation::newly_reconciled(Time now) {
    std::vector<ShardId> reconciled;
    for (auto& [id, shard] : shards_) {
        if (shard.reconciled || !shard.registry_read) {
            continue;
        }
        // Every lease that an earlier leader may have granted has expired by now.
        if (now > shard.gained_at + machines_.max_lease_s()) {
            shard.unreconciled.clear();
        }
        shard.reconciled = shard.unreconciled.empty();
        if (shard.reconciled) {
            reconciled.push_back(id);
        }
    }
    return reconciled;
}

bool Reconciliation::is_reconciled(const ShardId& shard) const {
    auto it = shards_.find(shard);
    return it != shards_.end() && it->second.reconciled;
}

bool Reconciliation::all_reconciled() const {
    return std::all_of(shards_.begin(), shards_.end(),
                       [](const auto& entry) { return entry.second.reconciled; });
}

void Reconciliation::release_missing(Time now) {
    std::size_t unreconciled = unreconciled_count();
    if (unreconciled == 0 || now < next_release_) {
        return;
    }
    if (unreconciled > responsive_count(now)) {
        return; // this controller itself is probably unreachable
    }
    std::vector<std::string> missing = missing_machines(now);
    if (!missing.empty()) {
        next_release_ = now + settings_.heartbeat_interval_s / kReleasesPerHeartbeat;
        delegate_.release_machines(now, std::move(missing));
    }
}

std::size_t Reconciliation::unreconciled_count() const {
    std::size_t count = 0;
    for (const auto& [id, shard] : shards_) {
        count += shard.unreconciled.size();
    }
    return count;
}

// Counts the machines whose heartbeat or response arrived recently.
std::size_t Reconciliation::responsive_count(Time now) const {
    double max_silence_s = kResponseHeartbeats * settings_.heartbeat_interval_s;
    std::size_t count = 0;
    for (const auto& [name, machine] : machines_.all()) {
        count += machine.reporting && now - machine.last_heartbeat < max_silence_s;
    }
    return count;
}

std::map<Time, Reconciliation::GainedGroup> Reconciliation::gained_groups() const {
    std::map<Time, GainedGroup> groups;
    for (const auto& [id, shard] : shards_) {
        groups[shard.gained_at].unreconciled += shard.unreconciled.size();
    }
    for (const auto& [name, machine] : machines_.all()) {
        if (auto shard = shards_.find(machine.shard); shard != shards_.end()) {
            ++groups[shard->second.gained_at].total;
        }
    }
    return groups;
}

std::vector<std::string> Reconciliation::missing_machines(Time now) const {
    std::map<Time, GainedGroup> groups = gained_groups();
    double response_time_s = kResponseHeartbeats * settings_.heartbeat_interval_s;
    std::vector<std::string> missing;
    for (const auto& [id, shard] : shards_) {
        const GainedGroup& group = groups[shard.gained_at];
        if (2 * group.unreconciled > group.total) {
            continue;
        }
        bool time_is_up = now - shard.gained_at > response_time_s;
        for (const auto& name : shard.unreconciled) {
            const Machine* machine = machines_.find(name);
            if (machine && !machine->reporting && !machine->releasing &&
                (time_is_up || machine->unanswered_probes >= kProbeAttempts - 1)) {
                missing.push_back(name);
            }
        }
    }
    return missing;
}

void Reconciliation::probe(const std::string& machine) {
    pending_probes_.push_back({machine, 1});
    send_due_probes();
}

// Limits the probes in flight: a probe that waited in a local queue would make the machine look
// unresponsive.
void Reconciliation::send_due_probes() {
    while (probes_in_flight_ < settings_.max_concurrent_commands && !pending_probes_.empty()) {
        Probe probe = std::move(pending_probes_.front());
        pending_probes_.pop_front();
        send_probe(probe);
    }
}

// A probe is an empty direct command with this leader's fencing token. The response is an
// inventory, and the worker rejects commands with older tokens from then on. The first response may
// state only the agent epoch.
void Reconciliation::send_probe(const Probe& probe) {
    Machine* target = machines_.find(probe.machine);
    if (!target || target->fenced || target->releasing || target->endpoint.empty()) {
        return;
    }
    ++probes_in_flight_;
    requests_.send(
        WorkerCommands{
            target->name, target->endpoint, target->fencing_token(), target->agent_epoch, {}},
        [this, probe](Time at, OutboundResponse& response) {
            --probes_in_flight_;
            on_probe_response(at, probe, response);
        });
}

void Reconciliation::on_probe_response(Time now, const Probe& probe, OutboundResponse& response) {
    Machine* machine = machines_.find(probe.machine);
    if (!machine || !leadership_.is_active(now)) {
        return;
    }
    if (response.never_sent) { // no information about the machine: retried at the next tick
        pending_probes_.push_back(probe);
        return;
    }
    machine->unanswered_probes = response.status == 0 ? machine->unanswered_probes + 1 : 0;
    if (response.heartbeat && response.heartbeat->machine == probe.machine) {
        if (response.heartbeat->agent_epoch > machine->expired_epoch) {
            machine->last_heartbeat = now;
        }
        delegate_.apply_heartbeat(now, *machine, *response.heartbeat, response.request_id);
    }
    delegate_.try_reconcile(now);
    if (probe.attempts_left > 1) {
        pending_probes_.push_back({probe.machine, probe.attempts_left - 1});
    }
    send_due_probes();
}

} // namespace scheduler
