#include "cli/config_command.h"

#include <algorithm>
#include <iostream>
#include <sstream>

#include "core/quotas/quota_config.h"
#include "net/clients.h"

namespace scheduler::cli {

namespace {
constexpr int kNotDone = 1;
constexpr int kBadUse = 2;

int bad(const std::string& why) {
    std::cerr << "cluster-scheduler: " << why << "\n";
    return kBadUse;
}
int not_done(const std::string& why) {
    std::cerr << "cluster-scheduler: " << why << "\n";
    return kNotDone;
}

const TeamQuota* find_team(const Settings& settings, const std::string& name) {
    const auto& teams = settings.cluster.teams;
    auto it =
        std::find_if(teams.begin(), teams.end(), [&](const auto& t) { return t.name == name; });
    return it == teams.end() ? nullptr : &*it;
}

std::string to_string(const TeamQuota& quota) {
    std::ostringstream out;
    out << "cpus=" << quota.guaranteed_cpus << " cpus_max=" << quota.max_cpus
        << " gpus=" << quota.guaranteed_gpus << " gpus_max=" << quota.max_gpus;
    return out.str();
}

OutboundResponse ask_state(const Settings& settings, const OutboundBody& call) {
    return net::send_once(settings.store, call, settings.cluster.heartbeat_interval_s);
}

struct Stored { // what the team's key holds
    bool answered = false;
    bool readable = true;
    std::uint64_t version = 0; // 0: there is none
    TeamQuota facts;           // without one, or an unreadable one, as in the settings
};
Stored stored(const Settings& settings, const TeamQuota& quota) {
    OutboundResponse response = ask_state(settings, StoreGet{kQuotaConfigPrefix + quota.name});
    Stored out;
    out.facts = quota;
    out.answered = response.status == 404 || (response.status == 200 && !response.entries.empty());
    if (response.status == 200 && !response.entries.empty()) {
        out.version = response.entries[0].version;
        const auto* record = std::get_if<QuotaRecord>(&response.entries[0].record);
        out.readable = record != nullptr;
        if (record) {
            out.facts = record->quota;
            out.facts.name = quota.name;
        }
    }
    return out;
}
std::string state_failed(const Settings& settings) {
    return "external.state: " + settings.store + " does not answer, or not now";
}
} // namespace

int config_put(const Settings& settings, const ConfigPut& put) {
    const TeamQuota* quota = find_team(settings, put.team);
    if (!quota) {
        return bad("team: " + put.team + " is not in facts.teams of the settings");
    }
    Stored now = stored(settings, *quota);
    if (!now.answered) {
        return not_done(state_failed(settings));
    }
    if (!now.readable) { // it is written over as a whole
        std::cerr << "cluster-scheduler: what stands there cannot be read, version " << now.version
                  << "; numbers that are not given are those of the settings\n";
    }
    TeamQuota wanted = now.facts;
    wanted.guaranteed_cpus = put.cpus.value_or(wanted.guaranteed_cpus);
    wanted.max_cpus = put.cpus_max.value_or(wanted.max_cpus);
    wanted.guaranteed_gpus = put.gpus.value_or(wanted.guaranteed_gpus);
    wanted.max_gpus = put.gpus_max.value_or(wanted.max_gpus);
    if (std::string fault = invalid_quota_reason(*quota, wanted); !fault.empty()) {
        return bad(fault);
    }
    std::uint64_t version = put.version.value_or(now.version);
    StoreTransaction transaction;
    transaction.conditions.push_back({kQuotaConfigPrefix + put.team, version});
    transaction.writes.push_back({kQuotaConfigPrefix + put.team, QuotaRecord{wanted}, {}});
    OutboundResponse response = ask_state(settings, transaction);
    if (response.status == 200) {
        std::cout << "team=" << put.team << " version=" << response.revision << " "
                  << to_string(wanted) << "\n";
        return 0;
    }
    Stored found = stored(settings, *quota);
    if (response.status == 409) {
        return not_done(
            "team " + put.team + ": not written, another change has come: there is version " +
            std::to_string(found.version) + " " + to_string(found.facts) +
            "; wanted over version " + std::to_string(version) + " " + to_string(wanted));
    }
    if (response.status == 0) { // it may have been written, or may yet be
        return not_done("team " + put.team +
                        ": no answer, it may be written all the same; there is version " +
                        std::to_string(found.version) + " " + to_string(found.facts));
    }
    return not_done("team " + put.team + ": not written, status " +
                    std::to_string(response.status) + "; " + state_failed(settings));
}

int config_get(const Settings& settings, const std::string& name) {
    const TeamQuota* quota = find_team(settings, name);
    if (!quota) {
        return bad("team: " + name + " is not in facts.teams of the settings");
    }
    Stored now = stored(settings, *quota);
    if (!now.answered) {
        return not_done(state_failed(settings));
    }
    std::cout << "team=" << name << " version=" << now.version << " "
              << (now.readable ? to_string(now.facts) : "unreadable") << "\n";
    std::map<std::string, std::string> nodes = settings.peers;
    nodes[settings.cluster.node] = settings.back_host + ":" + std::to_string(settings.back_port);
    bool everywhere = true;
    for (const auto& [node, address] : nodes) {
        OutboundResponse response =
            net::send_once(address, QuotaStatusCall{name}, settings.cluster.heartbeat_interval_s);
        if (response.status != 200 || !response.quota_status) {
            everywhere = false;
            std::cout << "node=" << node << " "
                      << (response.status == 0 ? "no answer" : "does not know of changes") << "\n";
            continue;
        }
        const QuotaStatus& s = *response.quota_status;
        // A key that was taken away is a change as well, back to the settings.
        bool has = now.version > 0 ? s.effective_revision == now.version
                                   : to_string(s.quota) == to_string(*quota);
        everywhere = everywhere && has;
        std::cout << "node=" << node << " version=" << s.effective_revision << " "
                  << to_string(s.quota) << " in_force_for_s=" << s.effective_for_s
                  << " heard_s_ago=" << s.age_s
                  << (s.blocked ? " HELD: no good value is known, nothing of it is started" : "")
                  << "\n";
    }
    std::cout << (everywhere ? "in force at all nodes\n" : "not in force at all nodes\n");
    return 0;
}

int config_list(const Settings& settings) {
    std::map<std::string, KeyedRecord> found;
    for (std::string after;;) {
        OutboundResponse response = ask_state(settings, StoreRange{kQuotaConfigPrefix, after});
        if (response.status != 200 || (response.more && response.entries.empty())) {
            return not_done(state_failed(settings));
        }
        for (auto& item : response.entries) {
            after = item.key;
            found[item.key] = std::move(item);
        }
        if (!response.more) {
            break;
        }
    }
    for (const auto& quota : settings.cluster.teams) {
        auto it = found.find(kQuotaConfigPrefix + quota.name);
        const auto* record =
            it == found.end() ? nullptr : std::get_if<QuotaRecord>(&it->second.record);
        std::cout << "team=" << quota.name
                  << " version=" << (it == found.end() ? 0 : it->second.version) << " "
                  << (it != found.end() && !record ? "unreadable"
                                                   : to_string(record ? record->quota : quota))
                  << "\n";
    }
    return 0;
}

} // namespace scheduler::cli
