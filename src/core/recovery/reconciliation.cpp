#include "core/recovery/reconciliation.h"

#include <algorithm>

namespace scheduler {

namespace {
// A machine that lives answers a question, or comes by itself, within this many report times.
constexpr double kTakeoverReports = 1.5;
// Direct questions to a machine after a takeover: one for the session, one for the answer, one
// more.
constexpr int kProbes = 3;
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

void Reconciliation::on_registry_read(const ShardId& shard) {
    Shard& s = shards_.at(shard);
    s.registry_read = true;
    for (const auto& name : s.unreconciled) {
        pending_probes_.push_back({name, kProbes});
    }
    probe_due();
}

std::vector<ShardId> Reconciliation::newly_reconciled(Time now) {
    std::vector<ShardId> news;
    for (auto& [id, s] : shards_) {
        if (s.reconciled || !s.registry_read) {
            continue;
        }
        if (now > s.since + machines_.max_lease_s()) {
            s.unreconciled.clear();
        }
        s.reconciled = s.unreconciled.empty();
        if (s.reconciled) {
            news.push_back(id);
        }
    }
    return news;
}

bool Reconciliation::is_reconciled(const ShardId& shard) const {
    auto it = shards_.find(shard);
    return it != shards_.end() && it->second.reconciled;
}

bool Reconciliation::all_reconciled() const {
    return std::all_of(shards_.begin(), shards_.end(),
                       [](const auto& s) { return s.second.reconciled; });
}

void Reconciliation::release_missing(Time now) {
    struct Group { // of shares that came at the same time
        std::size_t open = 0;
        std::size_t all = 0;
    };
    std::map<Time, Group> groups;
    std::size_t open = 0;
    for (const auto& [id, s] : shards_) {
        groups[s.since].open += s.unreconciled.size();
        open += s.unreconciled.size();
    }
    if (open == 0 || now < next_release_) {
        return;
    }
    std::size_t heard = 0;
    for (const auto& [name, m] : machines_.all()) {
        heard += m.reporting &&
                 now - m.last_heartbeat < kTakeoverReports * settings_.heartbeat_interval_s;
        if (auto shard = shards_.find(m.shard); shard != shards_.end()) {
            ++groups[shard->second.since].all;
        }
    }
    if (open > heard) {
        return; // it is we who hear nothing
    }
    std::vector<std::string> missing;
    for (const auto& [id, s] : shards_) {
        const Group& group = groups[s.since];
        bool all = now - s.since > kTakeoverReports * settings_.heartbeat_interval_s;
        for (const auto& name : s.unreconciled) {
            const Machine* machine = machines_.find(name);
            if (2 * group.open <= group.all && machine && !machine->reporting &&
                !machine->releasing && (all || machine->unanswered_commands >= kProbes - 1)) {
                missing.push_back(name);
            }
        }
    }
    if (!missing.empty()) {
        next_release_ = now + settings_.heartbeat_interval_s / 6;
        delegate_.release_machines(now, missing);
    }
}

void Reconciliation::probe_due(const std::string& machine) {
    pending_probes_.push_back({machine, 1});
    probe_due();
}

// No more than may be under way at once: a question that has to wait in this process would look as
// if the machine did not answer.
void Reconciliation::probe_due() {
    while (probes_in_flight_ < settings_.max_concurrent_commands && !pending_probes_.empty()) {
        Probe question = std::move(pending_probes_.front());
        pending_probes_.pop_front();
        probe(question);
    }
}

// An empty direct command under our token: its answer is a listing, and nothing that carries an
// older token can come after it. The first answer may only tell the session.
void Reconciliation::probe(const Probe& question) {
    Machine* target = machines_.find(question.machine);
    if (!target || target->fenced || target->releasing || target->endpoint.empty()) {
        return;
    }
    ++probes_in_flight_;
    requests_.send(
        WorkerCommands{
            target->name, target->endpoint, target->fencing_token(), target->agent_epoch, {}},
        [this, question](Time at, OutboundResponse& response) {
            --probes_in_flight_;
            Machine* machine = machines_.find(question.machine);
            if (!machine || !leadership_.is_active(at)) {
                return;
            }
            if (response.never_sent) { // says nothing of the machine: asked again at the next tick
                pending_probes_.push_back(question);
                return;
            }
            machine->unanswered_commands =
                response.status == 0 ? machine->unanswered_commands + 1 : 0;
            if (response.heartbeat && response.heartbeat->machine == question.machine) {
                if (response.heartbeat->agent_epoch > machine->expired_epoch) {
                    machine->last_heartbeat = at;
                }
                delegate_.apply_heartbeat(at, *machine, *response.heartbeat, response.request_id);
            }
            delegate_.try_reconcile(at);
            if (question.attempts_left > 1) {
                pending_probes_.push_back({question.machine, question.attempts_left - 1});
            }
            probe_due();
        });
}

} // namespace scheduler
