#include "core/renting.h"

#include <algorithm>

namespace orchidlanding {

namespace {
constexpr std::size_t kMostReleased = 100; // in one request, the cloud's own limit
} // namespace

Renting::Renting(const Claim& claim, const Facts& facts, const Holdings& holdings,
                 const MachineTypes& types, MachineTable& machines, Fleet& fleet,
                 DemandBook& demand, Calls& calls, Part& owner)
    : claim_(claim), facts_(facts), holdings_(holdings), types_(types), machines_(machines),
      fleet_(fleet), demand_(demand), calls_(calls), owner_(owner) {}

void Renting::run(Time now, bool may_suspect) {
    next_ = now + kRentReports * facts_.report_s;
    demand_.forget_late(now);
    Totals sum = demand_.totals(now);
    // Not before the others have said what they have, or it would be rented once more.
    if (buys() && (owner_.all_heard() || now - claim_.since() > facts_.lease_s)) {
        rent(now, sum);
    }
    for (const auto& name : fleet_.trim(now, machines_, sum)) {
        Machine& m = *machines_.find(name);
        m.trimming = !m.trimming;
        owner_.relist(m);
    }
    auto surplus = fleet_.surplus(now, machines_, sum, may_suspect);
    std::erase_if(surplus, [&](const auto& name) {
        const Machine& m = *machines_.find(name);
        return !holdings_.gives(m.share) || owner_.owes_ends(now, m);
    });
    if (!surplus.empty() && now >= next_release_) {
        release(now, surplus);
    }
}

void Renting::rent(Time now, const Totals& sum) {
    std::map<std::string, double> in_zone; // slots
    for (const auto& [name, m] : machines_.all()) {
        in_zone[m.zone] += m.type.slots();
    }
    for (const auto& [name, bought] : demand_.bought()) {
        const MachineType* t = types_.find(bought.first.type);
        in_zone[bought.first.zone] += t ? t->slots() : 0;
    }
    for (const Rent& rent : fleet_.rent(now, sum, types_.all(), in_zone)) {
        calls_.log(Level::info, "event=rent order=" + rent.order + " zone=" + rent.zone +
                                    " spot=" + (rent.spot ? "1" : "0") +
                                    " count=" + std::to_string(rent.count));
        calls_.send(rent, [this, rent](Time at, CallReply& reply) {
            fleet_.rented(at, rent, reply.status, reply.names.size());
            const MachineType* t = types_.find(rent.type);
            for (const auto& name : reply.names) {
                if (!t || machines_.find(name) || fleet_.was_released(at, name)) {
                    continue;
                }
                ShareId share = share_of_machine(facts_, name, rent.zone);
                if (const Holdings::Share* own = holdings_.find(share)) {
                    machines_.add(at, name, *t, rent.zone, rent.spot, share, own->term);
                    demand_.stale();
                } else {
                    demand_.buy(at, name, rent);
                }
            }
        });
    }
}

void Renting::expect(Time now, const Bought& b) {
    const MachineType* t = types_.find(b.type);
    ShareId share = share_of_machine(facts_, b.machine, b.zone);
    const Holdings::Share* own = holdings_.find(share);
    if (t && own && !machines_.find(b.machine) && !fleet_.was_released(now, b.machine)) {
        machines_.add(now, b.machine, *t, b.zone, b.spot, share, own->term);
        demand_.stale();
    }
}

void Renting::release(Time, std::vector<std::string> names) {
    names.resize(std::min(names.size(), kMostReleased));
    for (const auto& name : names) {
        Machine& m = *machines_.find(name);
        m.releasing = true;
        owner_.relist(m);
        calls_.log(Level::info,
                   "event=release machine=" + name + " tasks=" + std::to_string(m.tasks.size()));
    }
    calls_.send(Release{names}, [this, names](Time at, CallReply& reply) {
        for (const auto& name : names) {
            Machine* m = machines_.find(name);
            if (!m) {
                continue;
            }
            if (reply.status != 200) {
                m->releasing = false; // it is still a surplus, and tried again before long
                next_release_ = at + facts_.report_s;
                owner_.relist(*m);
                continue;
            }
            next_release_ = at + facts_.report_s / 2; // the cloud's limit is shared by all
            fleet_.released(at, name);
            owner_.released(at, name);
        }
        owner_.resume(at);
    });
}

void Renting::list(Time now) {
    if (now >= next_list_ && !listing_) {
        list_from(now, "");
    }
}

void Renting::list_from(Time, std::string after) {
    listing_ = true;
    calls_.send(ListHosts{after}, [this](Time at, CallReply& reply) {
        listing_ = false;
        next_list_ = at + facts_.list_lag_s;
        if (reply.status != 200) {
            return;
        }
        for (const auto& host : reply.hosts) {
            saw_host(at, host);
        }
        if (reply.more && !reply.hosts.empty()) {
            list_from(at, reply.hosts.back().name);
        }
    });
}

void Renting::saw_host(Time now, const Host& host) {
    ShareId share = share_of_machine(facts_, host.name, host.zone);
    const Holdings::Share* own = holdings_.find(share);
    if (!own) {
        return;
    }
    Machine* m = machines_.find(host.name);
    if (!m) {
        const MachineType* t = types_.find(host.type);
        // The list lags: what the holder before us released shows in it for a while. One that is up
        // reports.
        bool moved = own->since > claim_.since() && host.stage == HostStage::running &&
                     now - own->since < 2 * facts_.list_lag_s;
        if (!t || moved || fleet_.was_released(now, host.name)) {
            return;
        }
        m = &machines_.add(now, host.name, *t, host.zone, host.spot, share, own->term);
        m->age_at_known_s = host.age_s;
        m->endpoint = host.endpoint;
        // It may be up, and carry tasks, but if so it is on the roster as well.
    }
    if (host.stage == HostStage::failed && !m->releasing) {
        calls_.log(Level::info, "event=machine_failed machine=" + host.name);
        release(now, {host.name});
    }
}

} // namespace orchidlanding
