#include "core/fleet.h"

#include <algorithm>
#include <cmath>

namespace orchidlanding {

namespace {
constexpr int kMostPerOrder = 50;     // the cloud's own limit
constexpr double kMissedReports = 2;  // silent for so many report times: suspect
constexpr double kHeardReports = 1.5; // a worker that is heard has reported within so many
} // namespace

// One that has missed its reports is most likely gone.
bool Fleet::silent(Time now, const Machine& m) const {
    return m.reported && now - m.last_report > kMissedReports * facts_.report_s;
}

bool Fleet::usable(Time now, const Machine& m) const {
    bool down = !m.reported && (m.session > 0 || m.on_roster);
    // Another in place of a silent one takes a boot to come.
    return !m.draining && !m.releasing && !m.notice_s && !m.trimming && !down && !silent(now, m);
}

std::vector<Rent> Fleet::rent(Time now, const Totals& totals, const std::vector<MachineType>& types,
                              std::map<std::string, double> in_zone) {
    std::vector<Rent> out;
    for (auto& p : pending_) {
        if (!p.in_flight && now >= p.next) {
            p.in_flight = true;
            out.push_back(p.rent);
        }
    }
    if (types.empty()) {
        return out;
    }
    const Demand& demand = totals.demand;
    double ordinary = totals.ordinary_slots;
    double spot = totals.spot_slots;
    for (const auto& p : pending_) {
        auto t = std::find_if(types.begin(), types.end(),
                              [&](const MachineType& m) { return m.name == p.rent.type; });
        if (t != types.end()) {
            (p.rent.spot ? spot : ordinary) += p.rent.count * t->slots();
            in_zone[p.rent.zone] += p.rent.count * t->slots();
        }
    }
    std::map<std::string, double> bound = demand.bound;
    ask(now, types, false, demand.ordinary_slots - ordinary, out, in_zone, bound);
    double spare = std::max(0.0, ordinary - demand.ordinary_slots);
    ask(now, types, true, demand.any_slots - spot - spare, out, in_zone, bound);
    return out;
}

// Rents what is lacking, machine by machine: where work is bound to, then in the zone with the
// fewest slots so far, of the type with the lowest price for a slot there. What is refused is left
// alone for a while, so that the next zone or type has its turn.
void Fleet::ask(Time now, const std::vector<MachineType>& types, bool spot, double lack,
                std::vector<Rent>& out, std::map<std::string, double>& in_zone,
                std::map<std::string, double>& bound) {
    std::vector<const MachineType*> cheapest;
    for (const auto& t : types) {
        cheapest.push_back(&t);
    }
    std::stable_sort(cheapest.begin(), cheapest.end(), [&](const auto* a, const auto* b) {
        return a->price_of(spot) / a->slots() < b->price_of(spot) / b->slots();
    });
    std::map<std::string, const MachineType*> open; // by zone
    for (const auto* t : cheapest) {
        for (const auto& zone : t->zones) {
            auto until = refused_until_.find({SlotKind{t->name, spot}, zone});
            if (until == refused_until_.end() || now >= until->second) {
                open.emplace(zone, t);
            }
        }
    }
    // Several requests at once where one may not ask for enough, each zone and kind within a
    // quarter of what the cloud takes until the next time.
    int most =
        kMostPerOrder *
        static_cast<int>(std::max(1.0, facts_.cloud_rps * kRentReports * facts_.report_s / 4));
    std::map<std::string, int> count;
    while (lack > 0 && !open.empty()) {
        auto least = std::min_element(open.begin(), open.end(), [&](const auto& a, const auto& b) {
            return std::pair(bound[a.first] <= 0, in_zone[a.first]) <
                   std::pair(bound[b.first] <= 0, in_zone[b.first]);
        });
        const auto& [zone, t] = *least;
        lack -= t->slots();
        in_zone[zone] += t->slots();
        bound[zone] -= t->slots();
        if (++count[zone] == most) {
            add_orders(now, *t, zone, spot, count[zone], out);
            count.erase(zone);
            open.erase(least);
        }
    }
    for (const auto& [zone, machines] : count) {
        add_orders(now, *open.at(zone), zone, spot, machines, out);
    }
}

void Fleet::add_orders(Time now, const MachineType& type, const std::string& zone, bool spot,
                       int count, std::vector<Rent>& out) {
    while (count > 0) {
        Rent rent{"r-" + std::to_string(term_) + "-" + std::to_string(next_order_++), type.name,
                  zone, spot, std::min(count, kMostPerOrder)};
        count -= rent.count;
        pending_.push_back({rent, now, true});
        out.push_back(rent);
    }
}

void Fleet::rented(Time now, const Rent& rent, int status, std::size_t got) {
    auto it = std::find_if(pending_.begin(), pending_.end(),
                           [&](const Pending& p) { return p.rent.order == rent.order; });
    if (it == pending_.end()) {
        return;
    }
    SlotKind kind{rent.type, rent.spot};
    if (status == 200 || status == 400 || status == 503) {
        // A 503 rented nothing; whether for lack of machines or of the cloud itself, this zone
        // is left alone for a while.
        if (status != 200 || got < static_cast<std::size_t>(rent.count)) {
            refused_until_[{kind, rent.zone}] = now + policy_.capacity_backoff_s;
        }
        pending_.erase(it);
        return;
    }
    it->in_flight = false;
    it->next = now + 1;
}

bool Fleet::was_released(Time now, const std::string& name) {
    std::erase_if(released_,
                  [&](const auto& r) { return now - r.second > 10 * facts_.list_lag_s; });
    return released_.contains(name);
}

std::vector<std::string> Fleet::trim(Time now, const MachineTable& machines, const Totals& totals) {
    double boot_s = 0;
    for (const auto& [name, m] : machines.all()) {
        boot_s = std::max(boot_s, m.type.boot_s);
    }
    if (boot_s == 0) {
        return {};
    }
    double fade = std::min(1.0, (now - recent_at_) / (policy_.demand_fade_s * boot_s));
    recent_at_ = now;
    auto follow = [&](double& recent, double current) {
        recent = std::max(current, recent + (current - recent) * fade);
    };
    follow(recent_.ordinary_slots, totals.demand.ordinary_slots);
    follow(recent_.any_slots, totals.demand.any_slots);
    std::vector<std::string> changes;
    // While another part is not heard, what it wants may be more than it wanted then.
    bool step = now >= next_trim_ && totals.heard;
    for (bool spot : {false, true}) {
        double have = spot ? totals.spot_slots : totals.ordinary_slots;
        double want =
            spot ? recent_.any_slots
                 : recent_.ordinary_slots + std::max(0.0, recent_.any_slots - totals.spot_slots);
        want = want < 1 ? 0 : want * (1 + policy_.spare_share); // a fading peak is never quite 0
        std::vector<std::pair<double, const Machine*>> usables; // by the share that is free on them
        double own = 0;
        for (const auto& [name, m] : machines.all()) {
            if (m.spot != spot || !m.reported) {
                continue;
            }
            if (m.trimming && have < want) {
                have += m.type.slots();
                changes.push_back(name);
            } else if (usable(now, m) && !m.has_service()) {
                own += m.type.slots();
                usables.emplace_back(-m.free_slots() / m.type.slots(), &m);
            }
        }
        if (!step || usables.empty()) {
            continue;
        }
        // This part's share of what all parts have too much, half of it a step: a fleet many
        // times as large shrinks in the same time. The emptiest machines go first.
        // Equals in the order of their names: by address, no run would repeat another.
        std::stable_sort(usables.begin(), usables.end(),
                         [](const auto& a, const auto& b) { return a.first < b.first; });
        double room = 0.5 * (have - want) * own / std::max(own, have);
        bool first = true;
        for (const auto& [free, m] : usables) {
            if (have - m->type.slots() < want || (!first && room < m->type.slots())) {
                break;
            }
            first = false;
            have -= m->type.slots();
            room -= m->type.slots();
            changes.push_back(m->name);
            next_trim_ = now + facts_.report_s / 2;
        }
    }
    return changes;
}

std::vector<std::string> Fleet::surplus(Time now, const MachineTable& machines,
                                        const Totals& totals, bool may_suspect) const {
    std::vector<std::string> out;
    double ordinary = totals.ordinary_slots;
    double spot = totals.spot_slots;
    std::size_t reporting = 0;
    std::size_t missing = 0;
    bool heard = false;
    for (const auto& [name, m] : machines.all()) {
        reporting += m.reported;
        missing += silent(now, m);
        heard = heard || (m.reported && now - m.last_report < kHeardReports * facts_.report_s);
    }
    // While none is heard, the first that falls due is not the only one that is silent.
    may_suspect = may_suspect && (heard || reporting == 1);
    for (const auto& [name, m] : machines.all()) {
        if (m.releasing) {
            continue;
        }
        if (!m.reported && m.session == 0 && !m.on_roster) { // has never been up
            if (m.age_at_known_s + (now - m.known_since) > boot_limit_s(m.type)) {
                out.push_back(name);
            }
            continue;
        }
        if (!m.reported) { // its lease has run out; it may come back, but has had its time
            if (now - m.last_report > 2 * facts_.lease_s) {
                out.push_back(name);
            }
            continue;
        }
        // Few machines silent while the rest report: these are dead, taken or cut off. A
        // release makes sure that nothing runs there, well before the lease does. Many silent
        // at once are more likely our own trouble.
        if (may_suspect && silent(now, m) && missing * 4 <= reporting + 3) {
            out.push_back(name);
            continue;
        }
        if (!m.empty() || m.has_foreign() || m.orders != 0) {
            continue;
        }
        if (m.draining || m.trimming || m.errors >= policy_.sick_errors) {
            out.push_back(name);
            continue;
        }
        if (totals.heard && now - m.idle_since > policy_.idle_return_s * m.type.boot_s) {
            double& have = m.spot ? spot : ordinary;
            double want = m.spot ? recent_.any_slots : recent_.ordinary_slots;
            if (have - m.type.slots() >= want - 1) {
                have -= m.type.slots();
                out.push_back(name);
            }
        }
    }
    return out;
}

} // namespace orchidlanding
