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
    flush(now);
}

// New machines first: they stand idle until they are on the roster. Where the budget has not enough
// left for all, fewer go, or a large transaction would wait behind the single changes of others for
// ever.
void Roster::flush(Time now) {
    if (in_flight_ || now < next_) {
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
    for (auto it = writes_.begin(); it != writes_.end() && txn.then.size() < most; ++it) {
        txn.then.push_back({prefix(it->second.home) + it->first, it->second.record, {}});
        written.insert(*it);
    }
    for (auto it = drops_.begin(); it != drops_.end() && txn.then.size() < most; ++it) {
        txn.then.push_back({prefix(it->second) + it->first, {}, {}});
        dropped.insert(*it);
    }
    in_flight_ = calls_.send_state(now, StateBudget::Use::user, std::move(txn),
                                   [this, written, dropped](Time at, CallReply& reply) {
                                       in_flight_ = false;
                                       std::vector<std::string> stand;
                                       bool ok = reply.status == 200;
                                       // What failed may take effect yet: written again it does no
                                       // harm, nor dropped again.
                                       for (const auto& [machine, entry] : written) {
                                           if (drops_.contains(machine)) {
                                               continue; // it has gone meanwhile
                                           }
                                           if (ok) {
                                               stand.push_back(machine);
                                           } else {
                                               writes_.emplace(machine, entry);
                                           }
                                       }
                                       if (!ok) {
                                           drops_.insert(dropped.begin(), dropped.end());
                                           next_ = at + report_s_ / 6;
                                       }
                                       answered_(at, reply, stand);
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

} // namespace orchidlanding
