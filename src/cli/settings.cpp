#include "cli/settings.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <toml++/toml.h>

namespace scheduler::cli {

namespace {

// Maximum number of concurrent commands to workers. Many workers may be unreachable at once, and a
// command to each occupies a thread and a socket until its timeout; commands to the other workers
// must not wait for these.
constexpr int kMinConcurrentCommands = 16;
constexpr int kSocketsPerCommand = 40;

// Maximum number of concurrent requests to the store, including two watches. A request whose
// response is lost occupies its thread for seconds: with 12 threads and a third of the responses
// lost, lease renewals and reads queued up behind these and no controller was ready for two
// minutes.
constexpr int kMinStoreThreads = 12;
constexpr int kSocketsPerStoreThread = 20;

// Typed access to the settings by key. Each accessor throws SettingsError on an invalid value.
class Reader {
  public:
    Reader(std::string file, const toml::table& root) : file_(std::move(file)), root_(root) {}

    [[noreturn]] void fail(const std::string& key, const std::string& reason,
                           const toml::node* node = nullptr) const {
        std::ostringstream out;
        out << file_;
        if (node && node->source().begin.line > 0) {
            out << ":" << node->source().begin.line;
        }
        out << ": " << key << ": " << reason;
        throw SettingsError(out.str());
    }
    std::string text(const std::string& key) const {
        auto node = root_.at_path(key);
        if (!node) {
            fail(key, "missing");
        }
        auto value = node.value_exact<std::string>();
        if (!value || value->empty()) {
            fail(key, "not text", node.node());
        }
        return *value;
    }
    double number(const std::string& key) const { return number(root_.at_path(key), key); }
    double number(const toml::node_view<const toml::node>& node, const std::string& key) const {
        if (!node) {
            fail(key, "missing");
        }
        auto value = node.value<double>();
        if (!value || !node.is_number() || !std::isfinite(*value) || *value < 0) {
            fail(key, "not a number of 0 or more", node.node());
        }
        return *value;
    }
    double positive(const std::string& key) const {
        double value = number(key);
        if (value <= 0) {
            fail(key, "must be above 0", root_.at_path(key).node());
        }
        return value;
    }
    void address(const std::string& key, std::string& host, int& port) const {
        std::string value = text(key);
        auto colon = value.rfind(':');
        host = value.substr(0, colon);
        port = colon == std::string::npos ? 0 : std::atoi(value.c_str() + colon + 1);
        if (port < 1 || port > 65535) {
            fail(key, "not an address with a port", root_.get(key));
        }
    }
    const toml::array* list(const std::string& key) const {
        auto node = root_.at_path(key);
        if (node && !node.is_array()) {
            fail(key, "not a list", node.node());
        }
        return node.as_array();
    }

  private:
    std::string file_;
    const toml::table& root_;
};

} // namespace

Settings read_settings(const std::string& file) {
    toml::table root;
    try {
        root = toml::parse_file(file);
    } catch (const toml::parse_error& error) {
        std::ostringstream out;
        out << file << ":" << error.source().begin.line << ": " << error.description();
        throw SettingsError(out.str());
    }
    Reader reader(file, root);
    Settings settings;
    settings.cluster.node = reader.text("node");
    reader.address("listen", settings.listen_host, settings.listen_port);
    reader.address("back", settings.peer_listen_host, settings.peer_listen_port);
    settings.cluster.partitions.push_back({settings.cluster.node, reader.text("zone")});
    settings.cloud = reader.text("external.cloud");
    settings.store = reader.text("external.state");
    if (const auto* peers = reader.list("siblings")) {
        for (const auto& node : *peers) {
            const auto* table = node.as_table();
            auto name = table ? (*table)["node"].value<std::string>() : std::nullopt;
            auto zone = table ? (*table)["zone"].value<std::string>() : std::nullopt;
            auto address = table ? (*table)["peer_addr"].value<std::string>() : std::nullopt;
            if (!name || !zone || !address) {
                reader.fail("siblings", "node, zone or peer_addr is missing", &node);
            }
            settings.cluster.partitions.push_back({*name, *zone});
            settings.peers[*name] = *address;
        }
    }
    // All controllers must number the partitions in the same way, so they are sorted by name.
    std::sort(
        settings.cluster.partitions.begin(), settings.cluster.partitions.end(),
        [](const PartitionSettings& a, const PartitionSettings& b) { return a.node < b.node; });
    for (std::size_t i = 0; i < settings.cluster.partitions.size(); ++i) {
        if (settings.cluster.partitions[i].node == settings.cluster.node) {
            settings.cluster.home_partition = static_cast<int>(i);
        }
    }
    if (const auto* zones = reader.list("facts.zones")) {
        for (const auto& zone : *zones) {
            auto name = zone.value<std::string>();
            if (!name) {
                reader.fail("facts.zones", "not text", &zone);
            }
            settings.cluster.zones.push_back(*name);
        }
    }
    if (const auto* teams = reader.list("facts.teams")) {
        for (const auto& node : *teams) {
            const auto* table = node.as_table();
            auto name = table ? (*table)["name"].value<std::string>() : std::nullopt;
            if (!name) {
                reader.fail("facts.teams.name", "missing", &node);
            }
            TeamQuota quota;
            quota.name = *name;
            quota.guaranteed_cpus = reader.number((*table)["cpus"], "facts.teams.cpus");
            quota.max_cpus = reader.number((*table)["cpus_max"], "facts.teams.cpus_max");
            quota.guaranteed_gpus = reader.number((*table)["gpus"], "facts.teams.gpus");
            quota.max_gpus = reader.number((*table)["gpus_max"], "facts.teams.gpus_max");
            settings.cluster.teams.push_back(std::move(quota));
        }
    }
    if (const auto* objectives = reader.list("facts.objectives")) {
        for (const auto& node : *objectives) {
            const auto* table = node.as_table();
            std::string kind = table ? (*table)["kind"].value_or<std::string>("") : "";
            ServiceLevelObjective objective;
            objective.job_class = table ? (*table)["class"].value_or<std::string>("") : "";
            if (kind == "finished" || kind == "wait") {
                objective.kind = kind == "wait" ? ServiceLevelObjective::Kind::wait
                                                : ServiceLevelObjective::Kind::finished;
                objective.within_s =
                    reader.number((*table)["within_s"], "facts.objectives.within_s");
            } else if (kind == "deadline") {
                objective.kind = ServiceLevelObjective::Kind::deadline;
                objective.deadline_factor = (*table)["times"].value_or(1.0);
            } else {
                continue; // other kinds don't apply to a class of jobs
            }
            settings.cluster.objectives.push_back(std::move(objective));
        }
    }
    settings.cluster.heartbeat_interval_s = reader.positive("facts.workers.report_s");
    settings.cluster.worker_lease_s = reader.positive("facts.workers.lease_s");
    settings.cluster.cancel_s = reader.positive("facts.workers.cancel_s");
    settings.cluster.gang_start_timeout_s = reader.positive("facts.workers.gang_wait_s");
    settings.cluster.gang_stop_timeout_s = reader.positive("facts.workers.gang_peer_s");
    settings.cluster.store_requests_per_s = reader.positive("facts.state.rps");
    settings.cluster.store_writes_per_s = reader.positive("facts.state.write_rps");
    settings.cluster.store_value_limit_kb = reader.positive("facts.state.value_kb");
    settings.cluster.store_transaction_limit =
        static_cast<int>(reader.positive("facts.state.txn_ops"));
    settings.cluster.cloud_requests_per_s = reader.positive("facts.cloud.rps");
    settings.cluster.list_lag_s = reader.number("facts.cloud.list_lag_s");
    settings.max_sockets = static_cast<int>(reader.positive("facts.machine_limits.sockets"));
    settings.cluster.max_concurrent_commands =
        std::max(kMinConcurrentCommands, settings.max_sockets / kSocketsPerCommand);
    settings.store_threads =
        std::max(kMinStoreThreads, settings.max_sockets / kSocketsPerStoreThread);
    return settings;
}

} // namespace scheduler::cli
