#include "cli/config_command.h"

#include <algorithm>
#include <iostream>
#include <sstream>

#include "core/quotas/quota_config.h"
#include "net/clients.h"

namespace scheduler::cli {

namespace {
constexpr int kExitFailed = 1;
constexpr int kExitBadUsage = 2;

int bad_usage(const std::string& reason) {
    std::cerr << "cluster-scheduler: " << reason << "\n";
    return kExitBadUsage;
}

int failed(const std::string& reason) {
    std::cerr << "cluster-scheduler: " << reason << "\n";
    return kExitFailed;
}

const TeamQuota* find_team(const Settings& settings, const std::string& name) {
    const auto& teams = settings.cluster.teams;
    auto it = std::find_if(teams.begin(), teams.end(),
                           [&](const auto& team) { return team.name == name; });
    return it == teams.end() ? nullptr : &*it;
}

std::string to_string(const TeamQuota& quota) {
    std::ostringstream out;
    out << "cpus=" << quota.guaranteed_cpus << " cpus_max=" << quota.max_cpus
        << " gpus=" << quota.guaranteed_gpus << " gpus_max=" << quota.max_gpus;
    return out.str();
}

OutboundResponse query_store(const Settings& settings, const OutboundBody& request) {
    return net::send_once(settings.store, request, settings.cluster.heartbeat_interval_s);
}

// A team's quota as read from the store.
struct StoredQuota {
    bool store_available = false;
    bool readable = true;
    std::uint64_t version = 0; // 0: the team has no record
    TeamQuota quota;           // from the settings if there is no readable record
};

StoredQuota read_stored_quota(const Settings& settings, const TeamQuota& quota) {
    OutboundResponse response = query_store(settings, StoreGet{kQuotaConfigPrefix + quota.name});
    StoredQuota stored;
    stored.quota = quota;
    stored.store_available =
        response.status == 404 || (response.status == 200 && !response.entries.empty());
    if (response.status == 200 && !response.entries.empty()) {
        stored.version = response.entries[0].version;
        const auto* record = std::get_if<QuotaRecord>(&response.entries[0].record);
        stored.readable = record != nullptr;
        if (record) {
            stored.quota = record->quota;
            stored.quota.name = quota.name;
        }
    }
    return stored;
}

std::string store_failure(const Settings& settings) {
    return "external.state: " + settings.store + " does not respond or is unavailable";
}
} // namespace

int config_put(const Settings& settings, const QuotaChanges& changes) {
    const TeamQuota* quota = find_team(settings, changes.team);
    if (!quota) {
        return bad_usage("team: " + changes.team + " is not in facts.teams of the settings");
    }
    StoredQuota current = read_stored_quota(settings, *quota);
    if (!current.store_available) {
        return failed(store_failure(settings));
    }
    if (!current.readable) { // the whole record is replaced
        std::cerr << "cluster-scheduler: the stored record is unreadable, version "
                  << current.version << "; values that are not given are taken from the settings\n";
    }
    TeamQuota wanted = current.quota;
    wanted.guaranteed_cpus = changes.cpus.value_or(wanted.guaranteed_cpus);
    wanted.max_cpus = changes.cpus_max.value_or(wanted.max_cpus);
    wanted.guaranteed_gpus = changes.gpus.value_or(wanted.guaranteed_gpus);
    wanted.max_gpus = changes.gpus_max.value_or(wanted.max_gpus);
    if (std::string reason = invalid_quota_reason(*quota, wanted); !reason.empty()) {
        return bad_usage(reason);
    }
    std::uint64_t version = changes.version.value_or(current.version);
    StoreTransaction transaction;
    transaction.conditions.push_back({kQuotaConfigPrefix + changes.team, version});
    transaction.writes.push_back({kQuotaConfigPrefix + changes.team, QuotaRecord{wanted}, {}});
    OutboundResponse response = query_store(settings, transaction);
    if (response.status == 200) {
        std::cout << "team=" << changes.team << " version=" << response.revision << " "
                  << to_string(wanted) << "\n";
        return 0;
    }
    StoredQuota found = read_stored_quota(settings, *quota);
    if (response.status == 409) {
        return failed(
            "team " + changes.team + ": not written, another change has come: there is version " +
            std::to_string(found.version) + " " + to_string(found.quota) +
            "; tried to replace version " + std::to_string(version) + " " + to_string(wanted));
    }
    if (response.status == 0) { // the write may have happened, or may still happen
        return failed("team " + changes.team +
                      ": no answer, the change may have been written; there is version " +
                      std::to_string(found.version) + " " + to_string(found.quota));
    }
    return failed("team " + changes.team + ": not written, status " +
                  std::to_string(response.status) + "; " + store_failure(settings));
}

int config_get(const Settings& settings, const std::string& name) {
    const TeamQuota* quota = find_team(settings, name);
    if (!quota) {
        return bad_usage("team: " + name + " is not in facts.teams of the settings");
    }
    StoredQuota current = read_stored_quota(settings, *quota);
    if (!current.store_available) {
        return failed(store_failure(settings));
    }
    std::cout << "team=" << name << " version=" << current.version << " "
              << (current.readable ? to_string(current.quota) : "unreadable") << "\n";
    std::map<std::string, std::string> controllers = settings.peers;
    controllers[settings.cluster.node] =
        settings.peer_listen_host + ":" + std::to_string(settings.peer_listen_port);
    bool everywhere = true;
    for (const auto& [node, address] : controllers) {
        OutboundResponse response =
            net::send_once(address, QuotaStatusCall{name}, settings.cluster.heartbeat_interval_s);
        if (response.status != 200 || !response.quota_status) {
            everywhere = false;
            std::cout << "node=" << node << " "
                      << (response.status == 0 ? "no answer" : "does not know of changes") << "\n";
            continue;
        }
        const QuotaStatus& status = *response.quota_status;
        // Without a record (it may have been deleted), the quota of the settings must be in force.
        bool effective = current.version > 0 ? status.effective_revision == current.version
                                             : to_string(status.quota) == to_string(*quota);
        everywhere = everywhere && effective;
        std::cout << "node=" << node << " version=" << status.effective_revision << " "
                  << to_string(status.quota) << " in_force_for_s=" << status.effective_for_s
                  << " heard_s_ago=" << status.age_s
                  << (status.blocked ? " HELD: no good value is known, nothing of it is started"
                                     : "")
                  << "\n";
    }
    std::cout << (everywhere ? "in force at all nodes\n" : "not in force at all nodes\n");
    return 0;
}

int config_list(const Settings& settings) {
    std::map<std::string, KeyedRecord> found;
    for (std::string after;;) {
        OutboundResponse response = query_store(settings, StoreRange{kQuotaConfigPrefix, after});
        if (response.status != 200 || (response.more && response.entries.empty())) {
            return failed(store_failure(settings));
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
