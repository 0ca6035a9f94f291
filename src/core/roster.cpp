#include "core/roster.h"

#include <algorithm>
#include <utility>

namespace orchidlanding {

Roster::Roster(Condition guard, const Facts& facts, Calls& calls, Answered answered)
    : guard_(std::move(guard)), report_s_(facts.report_s),
      most_(static_cast<std::size_t>(
          std::clamp(calls.most_changes(StateBudget::Use::user), 1, std::max(1, facts.txn_ops)))),
      calls_(calls), answered_(std::move(answered)) {}

void Roster::write(Time now, int home, const std::string& machine, MachineRecord record) {
    drops_.erase(machine);
    writes_[machine] = {home, std::move(record)};
    flush(now);
}

void Roster::drop(Time now, int home, const std::string& machine) {
    writes_.erase(machine);
    drops_[machine] = home;
    if (!versions_.contains(machine)) {
        unsure_[machine] = home; // an entry of ours may be under way, or there is one of others
    }
    flush(now);
}

void Roster::stands(const std::string& machine, std::uint64_t version) {
    std::uint64_t& known = versions_[machine];
    known = std::max(known, version);
    writes_.erase(machine);
    unsure_.erase(machine);
}

void Roster::forget(const std::string& machine) {
    writes_.erase(machine);
    versions_.erase(machine);
}

// New machines first: they stand idle until they are on the roster. Where the budget has not enough
// left for all, fewer go, or a large transaction would wait behind the single changes of others for
// ever.
void Roster::flush(Time now) {
    if (in_flight_ || now < next_) {
        return;
    }
    if (!unsure_.empty()) {
        auto [machine, home] = *unsure_.begin();
        in_flight_ = read(now, home, machine);
        return;
    }
    std::size_t most = std::min(most_, writes_.size() + drops_.size());
    while (most > 0 && !send(now, most)) {
        most /= 2;
    }
}

bool Roster::send(Time now, std::size_t most) {
    Txn txn{{guard_}, {}};
    std::map<std::string, Entry> written;
    std::map<std::string, int> dropped;
    auto change = [&](int home, const std::string& machine, std::optional<Record> record) {
        std::string key = prefix(home) + machine;
        auto known = versions_.find(machine);
        txn.when.push_back({key, known == versions_.end() ? 0 : known->second});
        txn.then.push_back({key, std::move(record), {}});
    };
    for (auto it = writes_.begin(); it != writes_.end() && txn.then.size() < most; ++it) {
        change(it->second.home, it->first, it->second.record);
        written.insert(*it);
    }
    for (auto it = drops_.begin(); it != drops_.end() && txn.then.size() < most; ++it) {
        change(it->second, it->first, {});
        dropped.insert(*it);
    }
    in_flight_ = calls_.send_state(now, StateBudget::Use::user, std::move(txn),
                                   [this, written, dropped](Time at, CallReply& reply) {
                                       in_flight_ = false;
                                       answered(at, reply, written, dropped);
                                       flush(at);
                                   });
    if (in_flight_) {
        for (const auto& [machine, entry] : written) {
            writes_.erase(machine);
        }
        for (const auto& [machine, home] : dropped) {
            drops_.erase(machine);
        }
    }
    return in_flight_;
}

void Roster::answered(Time now, const CallReply& reply, const std::map<std::string, Entry>& written,
                      const std::map<std::string, int>& dropped) {
    std::vector<std::string> stand;
    bool ok = reply.status == 200;
    // Refused: an entry is not what we thought. One that had no answer was carried out after all,
    // or others wrote it before us. Not all of the keys need to be named.
    bool changed = reply.status == 409 && !reply.failed_by(guard_.key);
    for (const auto& [machine, entry] : written) {
        if (ok) {
            versions_[machine] = reply.revision;
            unsure_.erase(machine);
        } else if (changed) {
            unsure_[machine] = entry.home;
        }
        if (drops_.contains(machine)) {
            continue; // it has gone meanwhile
        }
        if (ok) {
            stand.push_back(machine);
        } else {
            writes_.emplace(machine, entry);
        }
    }
    for (const auto& [machine, home] : dropped) {
        if (ok) {
            versions_.erase(machine);
        } else if (changed) {
            unsure_[machine] = home;
        }
        if (!ok && !writes_.contains(machine)) {
            drops_.emplace(machine, home);
        }
    }
    if (!ok && !changed) {
        next_ = now + report_s_ / 6;
    }
    answered_(now, reply, stand);
}

bool Roster::read(Time now, int home, const std::string& machine) {
    return calls_.send_state(now, StateBudget::Use::user, Get{prefix(home) + machine},
                             [this, machine](Time at, CallReply& reply) {
                                 in_flight_ = false;
                                 if (reply.status == 200 && !reply.items.empty()) {
                                     versions_[machine] = reply.items[0].version;
                                 } else if (reply.status == 404) {
                                     versions_.erase(machine);
                                     drops_.erase(machine);
                                 } else {
                                     next_ = at + report_s_ / 6;
                                     return;
                                 }
                                 unsure_.erase(machine);
                                 flush(at);
                             });
}

} // namespace orchidlanding
