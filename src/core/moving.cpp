// The owner of a part and the shares of machines that come and go. See docs/shares.md.
#include <algorithm>
#include <utility>

#include "core/part_owner.h"

namespace orchidlanding {

namespace {
constexpr double kHeardReports = 1.5; // a machine heard within so many report times is heard
constexpr double kHears = 0.75;       // of its machines, at least: then an owner hears them
} // namespace

std::vector<ShareId> PartOwner::shares() const {
    std::vector<ShareId> out;
    for (const auto& [id, share] : holdings_.all()) {
        out.push_back(id);
    }
    return out;
}

void PartOwner::follow(Time now) {
    Holdings::News news = holdings_.follow(now);
    for (const auto& [share, to] : news.lost) {
        mover_.lost(share);
        hand_on(now, share, to);
    }
    for (const auto& share : news.gained) {
        gain(now, share);
    }
    read_rosters(now);
    mover_.tick(now);
}

// What runs there is not known yet: our own tasks among it stand as borrowed until its machines
// have listed them.
void PartOwner::gain(Time now, const ShareId& share) {
    accounts_.begin(now, share);
    borrowing_.came_home(share, holdings_.term(share));
    if (loaded_) {
        calls_.log(Level::info, "event=share_gained share=" + text_of(share) +
                                    " part=" + std::to_string(part_) +
                                    " term=" + std::to_string(holdings_.term(share)));
    }
}

void PartOwner::take_given(Time now, const Given& given) {
    if (holdings_.take(now, given)) {
        table_.moved(given.share, part_, given.revision);
        gain(now, given.share);
        read_rosters(now);
    }
}

void PartOwner::tell_given(int to, const Given& given) {
    table_.moved(given.share, to, given.revision);
    borrowing_.tell_given(to, given);
}

void PartOwner::hand_on(Time now, const ShareId& share, int to) {
    accounts_.end(share);
    lending_.uncover(share);
    std::vector<std::string> names;
    for (const auto& [name, m] : machines_.all()) {
        if (m.share == share) {
            names.push_back(name);
        }
    }
    for (const auto& name : names) {
        Machine& m = *machines_.find(name);
        for (const auto& g : machines_.unqueue(m)) { // they have not gone out
            gone(now, name, g);
        }
        if (m.session == 0 && !m.on_roster && !m.roster_write) {
            // Not up yet: named to the taker, or it would be rented once more.
            demand_.buy(m.known_since, name, {"", m.type.name, m.zone, m.spot, 1});
        }
        for (const auto& [task, p] : m.tasks) {
            if (claim_.ours(p.attempt)) {
                borrowing_.sent_away(task, {p.attempt, to, name, m.zone, share, m.term});
            }
        }
        roster_.forget(name);
        lending_.forget(m);
        slots_.forget(name);
        machines_.remove(name);
    }
    demand_.stale();
}

bool PartOwner::still(const ShareId& share) const {
    for (const auto& [name, m] : machines_.all()) {
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

void PartOwner::relist(const ShareId& share) {
    for (auto& [name, m] : machines_.all()) {
        if (m.share == share) {
            relist(m);
        }
    }
}

void PartOwner::list_again(const ShareId& share) {
    if (accounts_.done(share)) {
        lending_.cover(share);
    }
}

// Can it be given a share? Not while it has one to account for, nor when it does not hear the
// machines that it has: such an owner looks as if it had little to do.
bool PartOwner::takes(Time now) const {
    if (!settled_ || !accounts_.all_done()) {
        return false;
    }
    std::size_t heard = 0;
    for (const auto& [name, m] : machines_.all()) {
        heard += m.reported && now - m.last_report < kHeardReports * facts_.report_s;
    }
    return static_cast<double>(heard) >= kHears * static_cast<double>(machines_.reporting());
}

void PartOwner::balance(Time now) {
    // Before the part has settled, and its peers have been heard, nothing is known well enough.
    if (mover_.busy() || !settled_ || now - claim_.since() < facts_.lease_s || types_.empty()) {
        return;
    }
    const FleetView& own = demand_.standing(now).fleet;
    std::vector<PartLoad> parts{{part_, own.slots(), own.capacity, false}};
    for (const auto& [part, peer] : demand_.peers()) {
        const PartTable::Part& p = table_.at(part);
        bool home = p.node == facts_.parts[static_cast<std::size_t>(part)].node;
        parts.push_back({part, peer.fleet.slots(), peer.fleet.capacity,
                         home && peer.fleet.takes && now - peer.heard_at < facts_.report_s});
    }
    std::map<ShareId, ShareLoad> loads;
    for (const auto& [id, share] : holdings_.all()) {
        loads[id] = {id, 0, accounts_.done(id) && table_.readable(id.home)};
    }
    for (const auto& [name, m] : machines_.all()) {
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
    auto choice = balance_.choose(now, part_, parts, shares, largest);
    if (choice && mover_.begin(now, choice->share, choice->to)) {
        balance_.began(now);
    }
}

} // namespace orchidlanding
