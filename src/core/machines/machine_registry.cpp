#include "core/machines/machine_registry.h"

#include <algorithm>
#include <utility>

namespace scheduler {

namespace {
// A retry waits for the heartbeat interval divided by this.
constexpr double kRetriesPerHeartbeat = 6;
} // namespace

MachineRegistry::MachineRegistry(StoreCondition leadership_condition,
                                 const ClusterSettings& settings, OutboundRequests& requests,
                                 OnResponse on_response)
    : leadership_condition_(std::move(leadership_condition)),
      heartbeat_interval_s_(settings.heartbeat_interval_s),
      max_writes_(
          static_cast<std::size_t>(std::clamp(requests.max_writes(StoreRateLimiter::Use::user), 1,
                                              std::max(1, settings.store_transaction_limit)))),
      requests_(requests), on_response_(std::move(on_response)) {}

void MachineRegistry::add(Time now, int home_partition, const std::string& machine,
                          MachineRecord record) {
    pending_removes_.erase(machine);
    pending_adds_[machine] = {home_partition, std::move(record)};
    flush(now);
}

void MachineRegistry::remove(Time now, int home_partition, const std::string& machine) {
    pending_adds_.erase(machine);
    pending_removes_[machine] = home_partition;
    if (!versions_.contains(machine)) {
        // A write of the entry may be in flight, or an earlier leader may have written one.
        unknown_versions_[machine] = home_partition;
    }
    flush(now);
}

void MachineRegistry::on_loaded(const std::string& machine, std::uint64_t version) {
    std::uint64_t& known = versions_[machine];
    known = std::max(known, version);
    pending_adds_.erase(machine);
    unknown_versions_.erase(machine);
}

void MachineRegistry::forget(const std::string& machine) {
    pending_adds_.erase(machine);
    versions_.erase(machine);
}

// New machines are sent first, since they stay idle until they are registered. If the rate limiter
// does not admit all changes at once, fewer are sent; otherwise a large transaction could be
// delayed indefinitely by the smaller writes of others.
void MachineRegistry::flush(Time now) {
    if (in_flight_ || now < next_attempt_at_) {
        return;
    }
    if (!unknown_versions_.empty()) {
        auto [machine, home_partition] = *unknown_versions_.begin();
        in_flight_ = read(now, home_partition, machine);
        return;
    }
    std::size_t max_changes = std::min(max_writes_, pending_adds_.size() + pending_removes_.size());
    while (max_changes > 0 && !send(now, max_changes)) {
        max_changes /= 2;
    }
}

MachineRegistry::Changes MachineRegistry::next_changes(std::size_t max_changes) const {
    Changes changes;
    for (const auto& add : pending_adds_) {
        if (changes.added.size() == max_changes) {
            return changes;
        }
        changes.added.insert(add);
    }
    for (const auto& remove : pending_removes_) {
        if (changes.added.size() + changes.removed.size() == max_changes) {
            return changes;
        }
        changes.removed.insert(remove);
    }
    return changes;
}

void MachineRegistry::append_change(StoreTransaction& transaction, int home_partition,
                                    const std::string& machine,
                                    std::optional<StoredRecord> record) const {
    std::string key = prefix(home_partition) + machine;
    auto known = versions_.find(machine);
    transaction.conditions.push_back({key, known == versions_.end() ? 0 : known->second});
    transaction.writes.push_back({key, std::move(record), {}});
}

bool MachineRegistry::send(Time now, std::size_t max_changes) {
    Changes changes = next_changes(max_changes);
    StoreTransaction transaction{{leadership_condition_}, {}};
    for (const auto& [machine, entry] : changes.added) {
        append_change(transaction, entry.home_partition, machine, entry.record);
    }
    for (const auto& [machine, home_partition] : changes.removed) {
        append_change(transaction, home_partition, machine, {});
    }
    in_flight_ = requests_.send_to_store(now, StoreRateLimiter::Use::user, std::move(transaction),
                                         [this, changes](Time at, OutboundResponse& response) {
                                             in_flight_ = false;
                                             on_response(at, response, changes);
                                             flush(at);
                                         });
    if (in_flight_) {
        for (const auto& [machine, entry] : changes.added) {
            pending_adds_.erase(machine);
        }
        for (const auto& [machine, home_partition] : changes.removed) {
            pending_removes_.erase(machine);
        }
    }
    return in_flight_;
}

// A version conflict means that some entry has another version than expected: a write without a
// response was executed after all, or an earlier leader wrote the entry. The store need not report
// all conflicting keys.
MachineRegistry::Result MachineRegistry::result_of(const OutboundResponse& response) const {
    if (response.status == 200) {
        return Result::committed;
    }
    bool conflict = response.status == 409 && !response.failed_on(leadership_condition_.key);
    return conflict ? Result::version_conflict : Result::failed;
}

void MachineRegistry::on_response(Time now, const OutboundResponse& response,
                                  const Changes& changes) {
    Result result = result_of(response);
    std::vector<std::string> registered = on_added(response, result, changes.added);
    on_removed(result, changes.removed);
    if (result == Result::failed) {
        next_attempt_at_ = now + heartbeat_interval_s_ / kRetriesPerHeartbeat;
    }
    on_response_(now, response, registered);
}

// Returns the machines whose entries are durable now and that have not been removed meanwhile.
std::vector<std::string> MachineRegistry::on_added(const OutboundResponse& response, Result result,
                                                   const std::map<std::string, Entry>& added) {
    std::vector<std::string> registered;
    for (const auto& [machine, entry] : added) {
        if (result == Result::committed) {
            versions_[machine] = response.revision;
            unknown_versions_.erase(machine);
        } else if (result == Result::version_conflict) {
            unknown_versions_[machine] = entry.home_partition;
        }
        if (pending_removes_.contains(machine)) {
            continue; // removed while the transaction was in flight
        }
        if (result == Result::committed) {
            registered.push_back(machine);
        } else {
            pending_adds_.emplace(machine, entry);
        }
    }
    return registered;
}

void MachineRegistry::on_removed(Result result, const std::map<std::string, int>& removed) {
    for (const auto& [machine, home_partition] : removed) {
        if (result == Result::committed) {
            versions_.erase(machine);
        } else if (result == Result::version_conflict) {
            unknown_versions_[machine] = home_partition;
        }
        if (result != Result::committed && !pending_adds_.contains(machine)) {
            pending_removes_.emplace(machine, home_partition);
        }
    }
}

bool MachineRegistry::read(Time now, int home_partition, const std::string& machine) {
    return requests_.send_to_store(
        now, StoreRateLimiter::Use::user, StoreGet{prefix(home_partition) + machine},
        [this, machine](Time at, OutboundResponse& response) { on_read(at, machine, response); });
}

void MachineRegistry::on_read(Time now, const std::string& machine,
                              const OutboundResponse& response) {
    in_flight_ = false;
    if (response.status == 200 && !response.entries.empty()) {
        versions_[machine] = response.entries[0].version;
    } else if (response.status == 404) {
        versions_.erase(machine);
        pending_removes_.erase(machine);
    } else {
        next_attempt_at_ = now + heartbeat_interval_s_ / kRetriesPerHeartbeat;
        return;
    }
    unknown_versions_.erase(machine);
    flush(now);
}

} // namespace scheduler
