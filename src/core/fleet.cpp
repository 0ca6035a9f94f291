#include "core/fleet.h"

#include <algorithm>
#include <cmath>

namespace orchidlanding {

namespace {
constexpr int kMostPerOrder = 50;    // the cloud's own limit
constexpr double kMissedReports = 2; // silent for so many report times: suspect
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
                              const std::map<std::string, int>& in_zone) {
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
    const MachineType& type =
        *std::min_element(types.begin(), types.end(), [](const auto& a, const auto& b) {
            return a.price / a.cpus < b.price / b.cpus;
        });
    const Demand& demand = totals.demand;
    double ordinary = totals.ordinary_cpus;
    double spot = totals.spot_cpus;
    for (const auto& p : pending_) {
        (p.rent.spot ? spot : ordinary) += p.rent.count * type.cpus;
    }
    double lack = demand.ordinary_cpus - ordinary;
    if (lack > 0) {
        ask(now, type, false, static_cast<int>(std::ceil(lack / type.cpus)), out, in_zone);
    }
    double spare = std::max(0.0, ordinary - demand.ordinary_cpus);
    lack = demand.any_cpus - spot - spare;
    if (lack > 0) {
        ask(now, type, true, static_cast<int>(std::ceil(lack / type.cpus)), out, in_zone);
    }
    return out;
}

void Fleet::ask(Time now, const MachineType& type, bool spot, int count, std::vector<Rent>& out,
                const std::map<std::string, int>& machines_in_zone) {
    // One zone after the other, the one with the fewest machines first.
    std::map<std::string, int> in_zone;
    for (const auto& zone : type.zones) {
        auto until = refused_until_.find({SlotKind{type.name, spot}, zone});
        if (until == refused_until_.end() || now >= until->second) {
            auto have = machines_in_zone.find(zone);
            in_zone[zone] = have == machines_in_zone.end() ? 0 : have->second;
        }
    }
    if (in_zone.empty()) {
        return;
    }
    std::map<std::string, int> share;
    for (int i = 0; i < count; ++i) {
        auto least = std::min_element(in_zone.begin(), in_zone.end(),
                                      [](auto& a, auto& b) { return a.second < b.second; });
        ++least->second;
        ++share[least->first];
    }
    // Several requests at once where one may not ask for enough, each zone and kind within a
    // quarter of the cloud's limit.
    auto most = static_cast<std::size_t>(std::max(1.0, facts_.cloud_rps / 4));
    for (auto& [zone, left] : share) {
        for (std::size_t i = 0; left > 0 && i < most; ++i) {
            Rent rent{"r-" + std::to_string(term_) + "-" + std::to_string(next_order_++), type.name,
                      zone, spot, std::min(left, kMostPerOrder)};
            left -= rent.count;
            pending_.push_back({rent, now, true});
            out.push_back(rent);
        }
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
    follow(recent_.ordinary_cpus, totals.demand.ordinary_cpus);
    follow(recent_.any_cpus, totals.demand.any_cpus);
    std::vector<std::string> changes;
    // While another part is not heard, what it wants may be more than it wanted then.
    bool step = now >= next_trim_ && totals.heard;
    for (bool spot : {false, true}) {
        double have = spot ? totals.spot_cpus : totals.ordinary_cpus;
        double want =
            spot ? recent_.any_cpus
                 : recent_.ordinary_cpus + std::max(0.0, recent_.any_cpus - totals.spot_cpus);
        want = want < 1 ? 0 : want * (1 + policy_.spare_share); // a fading peak is never quite 0
        std::vector<std::pair<double, const Machine*>> usables; // by what is free on them
        double own = 0;
        for (const auto& [name, m] : machines.all()) {
            if (m.spot != spot || !m.reported) {
                continue;
            }
            if (m.trimming && have < want) {
                have += m.type.cpus;
                changes.push_back(name);
            } else if (usable(now, m)) {
                own += m.type.cpus;
                usables.emplace_back(-m.free_cpus(), &m);
            }
        }
        if (!step || usables.empty()) {
            continue;
        }
        // This part's share of what all parts have too much, half of it a step: a fleet many
        // times as large shrinks in the same time. The emptiest machines go first.
        std::sort(usables.begin(), usables.end());
        double room = 0.5 * (have - want) * own / std::max(own, have);
        bool first = true;
        for (const auto& [free, m] : usables) {
            if (have - m->type.cpus < want || (!first && room < m->type.cpus)) {
                break;
            }
            first = false;
            have -= m->type.cpus;
            room -= m->type.cpus;
            changes.push_back(m->name);
            next_trim_ = now + facts_.report_s / 2;
        }
    }
    return changes;
}

std::vector<std::string> Fleet::surplus(Time now, const MachineTable& machines,
                                        const Totals& totals, bool may_suspect) const {
    std::vector<std::string> out;
    double ordinary = totals.ordinary_cpus;
    double spot = totals.spot_cpus;
    std::size_t reporting = 0;
    std::size_t missing = 0;
    for (const auto& [name, m] : machines.all()) {
        reporting += m.reported;
        missing += silent(now, m);
    }
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
            double want = m.spot ? recent_.any_cpus : recent_.ordinary_cpus;
            if (have - m.type.cpus >= want - 1) {
                have -= m.type.cpus;
                out.push_back(name);
            }
        }
    }
    return out;
}

} // namespace orchidlanding
