#include "core/share_desk.h"

#include <algorithm>

namespace orchidlanding {

namespace {
constexpr double kHeardReports = 1.5; // a machine heard within so many report times is heard
constexpr double kHears = 0.75;       // of its machines, at least: then an owner hears them
} // namespace

ShareDesk::ShareDesk(const Claim& claim, const Facts& facts, PartTable& table, Holdings& holdings,
                     const MachineTypes& types, const Fleet& fleet, MachineBooks books,
                     Calls& calls, Part& owner)
    : claim_(claim), facts_(facts), table_(table), holdings_(holdings), types_(types),
      fleet_(fleet), books_(books), calls_(calls), owner_(owner),
      mover_(claim, facts, table, holdings, calls, *this), balance_(facts) {}

void ShareDesk::follow(Time now) {
    Holdings::News news = holdings_.follow(now);
    for (const auto& [share, to] : news.lost) {
        mover_.lost(share);
        hand_on(now, share, to);
    }
    for (const auto& share : news.gained) {
        gain(now, share);
    }
    owner_.read_rosters(now);
    mover_.tick(now);
}

// What runs there is not known yet: our own tasks among it stand as borrowed until its machines
// have listed them.
void ShareDesk::gain(Time now, const ShareId& share) {
    books_.accounts.begin(now, share);
    books_.borrowing.came_home(share, holdings_.term(share));
    if (holdings_.find(share)->since > claim_.since()) {
        calls_.log(Level::info, "event=share_gained share=" + text_of(share) +
                                    " part=" + std::to_string(claim_.part()) +
                                    " term=" + std::to_string(holdings_.term(share)));
    }
}

void ShareDesk::take(Time now, const Given& given) {
    if (holdings_.take(now, given)) {
        table_.moved(given.share, claim_.part(), given.revision);
        gain(now, given.share);
        owner_.read_rosters(now);
    }
}

void ShareDesk::tell_given(int to, const Given& given) {
    table_.moved(given.share, to, given.revision);
    books_.borrowing.tell_given(to, given);
}

void ShareDesk::hand_on(Time now, const ShareId& share, int to) {
    books_.accounts.end(share);
    books_.lending.uncover(share);
    std::vector<std::string> names;
    for (const auto& [name, m] : books_.machines.all()) {
        if (m.share == share) {
            names.push_back(name);
        }
    }
    for (const auto& name : names) {
        Machine& m = *books_.machines.find(name);
        for (const auto& g : books_.machines.unqueue(m)) { // they have not gone out
            owner_.gone(now, name, g);
        }
        if (m.session == 0 && !m.on_roster && !m.roster_write) {
            // Not up yet: named to the taker, or it would be rented once more.
            books_.demand.buy(m.known_since, name, {"", m.type.name, m.zone, m.spot, 1});
        }
        for (const auto& [task, p] : m.tasks) {
            if (claim_.ours(p.attempt)) {
                books_.borrowing.sent_away(task, {p.attempt, to, name, m.zone, share, m.term});
            }
        }
        books_.roster.forget(name);
        books_.lending.forget(m);
        books_.slots.forget(name);
        books_.machines.remove(name);
    }
    books_.demand.stale();
}

bool ShareDesk::still(const ShareId& share) const {
    for (const auto& [name, m] : books_.machines.all()) {
        bool moves = m.share == share &&
                     (m.orders != 0 || m.releasing || !m.lots.empty() || !m.outbox.empty() ||
                      std::any_of(m.tasks.begin(), m.tasks.end(), [](const auto& t) {
                          return t.second.via != Placement::Via::listed;
                      }));
        if (moves) {
            return false;
        }
    }
    return true;
}

void ShareDesk::relist(const ShareId& share) {
    for (auto& [name, m] : books_.machines.all()) {
        if (m.share == share) {
            owner_.relist(m);
        }
    }
}

void ShareDesk::list_again(const ShareId& share) {
    if (books_.accounts.done(share)) {
        books_.lending.cover(share);
    }
}

bool ShareDesk::takes(Time now) const {
    if (!owner_.settled() || !books_.accounts.all_done()) {
        return false;
    }
    std::size_t heard = 0;
    for (const auto& [name, m] : books_.machines.all()) {
        heard += m.reported && now - m.last_report < kHeardReports * facts_.report_s;
    }
    return static_cast<double>(heard) >= kHears * static_cast<double>(books_.machines.reporting());
}

void ShareDesk::balance(Time now) {
    // Before the part has settled, and its peers have been heard, nothing is known well enough.
    if (mover_.busy() || !owner_.settled() || now - claim_.since() < facts_.lease_s ||
        types_.empty()) {
        return;
    }
    const FleetView& own = books_.demand.standing(now).fleet;
    std::vector<PartLoad> parts{{claim_.part(), own.slots(), own.capacity, false}};
    for (const auto& [part, peer] : books_.demand.peers()) {
        const PartTable::Part& p = table_.at(part);
        bool home = p.node == facts_.parts[static_cast<std::size_t>(part)].node;
        parts.push_back({part, peer.fleet.slots(), peer.fleet.capacity,
                         home && peer.fleet.takes && now - peer.heard_at < facts_.report_s});
    }
    std::map<ShareId, ShareLoad> loads;
    for (const auto& [id, share] : holdings_.all()) {
        loads[id] = {id, 0, books_.accounts.done(id) && table_.readable(id.home)};
    }
    for (const auto& [name, m] : books_.machines.all()) {
        if (fleet_.usable(now, m)) {
            loads[m.share].slots += m.type.slots();
        }
    }
    std::vector<ShareLoad> shares;
    for (const auto& [id, load] : loads) {
        shares.push_back(load);
    }
    double largest = 0;
    for (const auto& t : types_.all()) {
        largest = std::max(largest, t.slots());
    }
    auto choice = balance_.choose(now, claim_.part(), parts, shares, largest);
    if (choice && mover_.begin(now, choice->share, choice->to)) {
        balance_.began(now);
    }
}

} // namespace orchidlanding
