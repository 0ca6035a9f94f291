#include "core/machines/machine_registry.h"

#include <algorithm>
#include <utility>

namespace scheduler {

MachineRegistry::MachineRegistry(StoreCondition guard, const ClusterSettings& settings,
                                 OutboundRequests& requests, OnResponse answered)
    : leadership_condition_(std::move(guard)), heartbeat_interval_s_(settings.heartbeat_interval_s),
      max_writes_(
          static_cast<std::size_t>(std::clamp(requests.max_writes(StoreRateLimiter::Use::user), 1,
                                              std::max(1, settings.store_transaction_limit)))),
      requests_(requests), on_response_(std::move(answered)) {}

void MachineRegistry::add(Time now, int home, const std::string& machine, MachineRecord record) {
    pending_removes_.erase(machine);
    pending_adds_[machine] = {home, std::move(record)};
    flush(now);
}

void MachineRegistry::remove(Time now, int home, const std::string& machine) {
    pending_adds_.erase(machine);
    pending_removes_[machine] = home;
    if (!versions_.contains(machine)) {
        unknown_versions_[machine] =
            home; // an entry of ours may be under way, or there is one of others
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

// New machines first: they stand idle until they are on the roster. Where the budget has not enough
// left for all, fewer go, or a large transaction would wait behind the single changes of others for
// ever.
void MachineRegistry::flush(Time now) {
    if (in_flight_ || now < next_) {
        return;
    }
    if (!unknown_versions_.empty()) {
        auto [machine, home] = *unknown_versions_.begin();
        in_flight_ = read(now, home, machine);
        return;
    }
    std::size_t most = std::min(max_writes_, pending_adds_.size() + pending_removes_.size());
    while (most > 0 && !send(now, most)) {
        most /= 2;
    }
}

bool MachineRegistry::send(Time now, std::size_t most) {
    StoreTransaction transaction{{leadership_condition_}, {}};
    std::map<std::string, Entry> written;
    std::map<std::string, int> dropped;
    auto change = [&](int home, const std::string& machine, std::optional<StoredRecord> record) {
        std::string key = prefix(home) + machine;
        auto known = versions_.find(machine);
        transaction.conditions.push_back({key, known == versions_.end() ? 0 : known->second});
        transaction.writes.push_back({key, std::move(record), {}});
    };
    for (auto it = pending_adds_.begin();
         it != pending_adds_.end() && transaction.writes.size() < most; ++it) {
        change(it->second.home_partition, it->first, it->second.record);
        written.insert(*it);
    }
    for (auto it = pending_removes_.begin();
         it != pending_removes_.end() && transaction.writes.size() < most; ++it) {
        change(it->second, it->first, {});
        dropped.insert(*it);
    }
    in_flight_ =
        requests_.send_to_store(now, StoreRateLimiter::Use::user, std::move(transaction),
                                [this, written, dropped](Time at, OutboundResponse& response) {
                                    in_flight_ = false;
                                    on_response(at, response, written, dropped);
                                    flush(at);
                                });
    if (in_flight_) {
        for (const auto& [machine, entry] : written) {
            pending_adds_.erase(machine);
        }
        for (const auto& [machine, home] : dropped) {
            pending_removes_.erase(machine);
        }
    }
    return in_flight_;
}

void MachineRegistry::on_response(Time now, const OutboundResponse& response,
                                  const std::map<std::string, Entry>& written,
                                  const std::map<std::string, int>& dropped) {
    std::vector<std::string> stand;
    bool ok = response.status == 200;
    // Refused: an entry is not what we thought. One that had no answer was carried out after all,
    // or others wrote it before us. Not all of the keys need to be named.
    bool changed = response.status == 409 && !response.failed_on(leadership_condition_.key);
    for (const auto& [machine, entry] : written) {
        if (ok) {
            versions_[machine] = response.revision;
            unknown_versions_.erase(machine);
        } else if (changed) {
            unknown_versions_[machine] = entry.home_partition;
        }
        if (pending_removes_.contains(machine)) {
            continue; // it has gone meanwhile
        }
        if (ok) {
            stand.push_back(machine);
        } else {
            pending_adds_.emplace(machine, entry);
        }
    }
    for (const auto& [machine, home] : dropped) {
        if (ok) {
            versions_.erase(machine);
        } else if (changed) {
            unknown_versions_[machine] = home;
        }
        if (!ok && !pending_adds_.contains(machine)) {
            pending_removes_.emplace(machine, home);
        }
    }
    if (!ok && !changed) {
        next_ = now + heartbeat_interval_s_ / 6;
    }
    on_response_(now, response, stand);
}

bool MachineRegistry::read(Time now, int home, const std::string& machine) {
    return requests_.send_to_store(now, StoreRateLimiter::Use::user,
                                   StoreGet{prefix(home) + machine},
                                   [this, machine](Time at, OutboundResponse& response) {
                                       in_flight_ = false;
                                       if (response.status == 200 && !response.entries.empty()) {
                                           versions_[machine] = response.entries[0].version;
                                       } else if (response.status == 404) {
                                           versions_.erase(machine);
                                           pending_removes_.erase(machine);
                                       } else {
                                           next_ = at + heartbeat_interval_s_ / 6;
                                           return;
                                       }
                                       unknown_versions_.erase(machine);
                                       flush(at);
                                   });
}

} // namespace scheduler
