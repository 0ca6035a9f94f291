#include "core/demand_book.h"

#include <algorithm>
#include <cmath>

#include "core/waiting_order.h"

namespace orchidlanding {

namespace {
// Bound work that waits longer than this many boots is rented for once more.
constexpr double kStuckBoots = 1.5;
constexpr double kArrivalLeases = 3; // how long arrivals are remembered
constexpr double kAhead = 1.5;       // of what came in a boot time: rented before it comes
} // namespace

DemandBook::DemandBook(const Claim& claim, const Facts& facts, const Policy& policy,
                       const MachineTypes& types, const JobStore& jobs, const Teams& teams,
                       const MachineTable& machines, const Fleet& fleet)
    : claim_(claim), facts_(facts), policy_(policy), types_(types), jobs_(jobs), teams_(teams),
      machines_(machines), fleet_(fleet) {
    for (int p = 0; p < static_cast<int>(facts_.parts.size()); ++p) {
        if (p != claim_.part()) {
            peers_[p];
        }
    }
}

// Work that only ordinary machines may run and that is to start sooner than one boots needs
// machines that are there before it: as many as came of late in a boot time, and half as many
// again.
void DemandBook::arrived(Time now, const JobSpec& s) {
    if (types_.empty() || s.spot || now - claim_.since() < facts_.lease_s) {
        return; // what was there when we came says nothing about what comes
    }
    const MachineType& t = types_.usual(s);
    for (const auto& o : facts_.objectives) {
        if (o.kind == Objective::Kind::wait && o.job_class == s.job_class &&
            o.within_s < t.boot_s) {
            arrivals_.push_back(
                {now, s.tasks * slots_needed(t, s.cpus, s.gpus, s.ram_gb) * t.boot_s});
            return;
        }
    }
}

double DemandBook::ahead(Time now) const {
    double sum = 0;
    for (const auto& a : arrivals_) {
        sum += a.slots;
    }
    double seen = std::min(kArrivalLeases * facts_.lease_s, now - claim_.since() - facts_.lease_s);
    return sum > 0 ? kAhead * sum / std::max(facts_.lease_s, seen) : 0;
}

Demand DemandBook::demand(Time now) {
    // Per team: what runs, and what must run to have the waiting work done within the horizon,
    // up to the team's limit.
    struct Need {
        double ordinary = 0; // slots
        double any = 0;
        double cpus = 0;
        double gpus = 0;
    };
    Demand d;
    std::map<std::string, Need> needs;
    double left = 0;
    for (const auto& [id, job] : jobs_.all()) {
        const JobSpec& s = job->spec;
        if (!job->open() || types_.empty()) {
            continue;
        }
        const MachineType& t = types_.usual(s);
        double slots = slots_needed(t, s.cpus, s.gpus, s.ram_gb);
        double horizon = policy_.rent_horizon_s * t.boot_s;
        double waiting = static_cast<double>(job->waiting.size());
        double pace =
            s.kind == JobKind::service ? 1 : std::min(1.0, std::max(s.estimate_s, 1.0) / horizon);
        // A task longer than the horizon needs a place of its own.
        std::vector<std::string> open; // zones that its next task may be placed in
        for (const auto& zone : facts_.zones) {
            if (job->allows_zone(zone)) {
                open.push_back(zone);
            }
        }
        if (open.size() == 1 && waiting > 0) {
            d.bound[open.front()] += waiting * slots;
        }
        bool bound = s.kind == JobKind::gang || s.one_zone || s.spread || s.zone;
        double waits_s = job->waits_since > 0 ? now - job->waits_since : 0;
        if (auto stuck = static_cast<std::size_t>(waits_s / (kStuckBoots * t.boot_s));
            bound && stuck > 0) {
            // New machines would be there by now: there is room, but not where it is needed. So
            // as much again is wanted, whatever the team's limit makes of the rest.
            double again = 1;
            // All of it in one zone, one after the other: spread over the zones it may not be
            // enough in any. Nor are as many slots in the zone always enough: tasks that do not
            // fill their machines leave up to half of each. So it grows until there would be
            // twice as much in every zone. A gang of 19 tasks of 3 CPUs waited for ever beside 15
            // empty machines of 8, six in one zone and nine in the other.
            if (s.one_zone && open.size() > 1) {
                again = static_cast<double>(std::min(stuck, 2 * open.size()));
                d.bound[open[stuck % open.size()]] += 2 * waiting * slots;
            }
            (s.spot ? d.any_slots : d.ordinary_slots) += again * waiting * slots;
        }
        double tasks = job->placed + std::ceil(waiting * pace);
        Need& need = needs[s.team];
        (s.spot ? need.any : need.ordinary) += tasks * slots;
        need.cpus += tasks * s.cpus;
        need.gpus += tasks * s.gpus;
        left += WaitingOrder::left_s(*job) * slots;
    }
    d.left_slot_s = left;
    while (!arrivals_.empty() && now - arrivals_.front().at > kArrivalLeases * facts_.lease_s) {
        arrivals_.pop_front();
    }
    d.ordinary_slots += ahead(now);
    for (auto& [team, need] : needs) {
        const TeamFacts* f = teams_.facts(team);
        double cut = 1;
        if (f && f->cpus_max > 0 && need.cpus > f->cpus_max) {
            cut = f->cpus_max / need.cpus;
        }
        if (f && f->gpus_max > 0 && need.gpus > f->gpus_max) {
            cut = std::min(cut, f->gpus_max / need.gpus);
        }
        d.ordinary_slots += need.ordinary * cut;
        d.any_slots += need.any * cut;
    }
    return d;
}

const DemandBook::Standing& DemandBook::standing(Time now) {
    if (now < until_) {
        return standing_;
    }
    until_ = now + policy_.exchange_s;
    standing_.demand = demand(now);
    standing_.fleet.capacity = capacity_;
    standing_.fleet.takes = takes_;
    if (now >= counted_until_) {
        counted_until_ = now + facts_.report_s / 6;
        standing_.fleet = {0, 0, capacity_, takes_};
        for (const auto& [name, m] : machines_.all()) {
            ++effort_;
            if (fleet_.usable(now, m)) {
                (m.spot ? standing_.fleet.spot : standing_.fleet.ordinary) += m.type.slots();
            }
        }
    }
    return standing_;
}

Totals DemandBook::totals(Time now) {
    Totals sum;
    const Standing& own = standing(now);
    sum.demand = own.demand;
    sum.heard = true;
    sum.ordinary_slots = own.fleet.ordinary;
    sum.spot_slots = own.fleet.spot;
    for (const auto& [part, peer] : peers_) {
        sum.demand.ordinary_slots += peer.demand.ordinary_slots;
        sum.demand.any_slots += peer.demand.any_slots;
        sum.demand.left_slot_s += peer.demand.left_slot_s;
        for (const auto& [zone, slots] : peer.demand.bound) {
            sum.demand.bound[zone] += slots;
        }
        sum.heard = sum.heard && now - peer.heard_at < facts_.report_s;
        sum.ordinary_slots += peer.fleet.ordinary;
        sum.spot_slots += peer.fleet.spot;
    }
    for (const auto& [name, bought] : bought_) {
        if (const MachineType* t = types_.find(bought.first.type)) {
            (bought.first.spot ? sum.spot_slots : sum.ordinary_slots) += t->slots();
        }
    }
    return sum;
}

void DemandBook::heard(Time now, int part, const Demand& demand, const FleetView& fleet) {
    peers_.at(part) = {now, demand, fleet};
}

void DemandBook::buy(Time now, const std::string& machine, const Rent& rent) {
    bought_[machine] = {rent, now};
}

void DemandBook::forget_late(Time now) {
    std::erase_if(bought_, [&](const auto& b) {
        const MachineType* t = types_.find(b.second.first.type);
        return !t || now - b.second.second > fleet_.boot_limit_s(*t);
    });
}

} // namespace orchidlanding
