#include "cli/settings.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <toml++/toml.h>

namespace scheduler::cli {

namespace {

// Direct commands at once: many machines may be silent at once, each holding a thread and a socket
// until its time is up, and the others must not wait behind them.
constexpr int kLeastOrders = 16;
constexpr int kSocketsAnOrder = 40;
// Calls to the state service at once, two watches among them: when many answers are lost, each such
// call holds a thread for seconds. With twelve threads and a third of the answers lost, renewals
// and questions stood behind them and no node was ready for two minutes.
constexpr int kLeastStateCalls = 12;
constexpr int kSocketsAStateCall = 20;

class Reader {
  public:
    Reader(std::string file, const toml::table& root) : file_(std::move(file)), root_(root) {}

    [[noreturn]] void fail(const std::string& key, const std::string& why,
                           const toml::node* node = nullptr) const {
        std::ostringstream out;
        out << file_;
        if (node && node->source().begin.line > 0) {
            out << ":" << node->source().begin.line;
        }
        out << ": " << key << ": " << why;
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
    Reader r(file, root);
    Settings s;
    s.cluster.node = r.text("node");
    r.address("listen", s.listen_host, s.listen_port);
    r.address("back", s.back_host, s.back_port);
    s.cluster.partitions.push_back({s.cluster.node, r.text("zone")});
    s.cloud = r.text("external.cloud");
    s.store = r.text("external.state");
    if (const auto* siblings = r.list("siblings")) {
        for (const auto& node : *siblings) {
            const auto* t = node.as_table();
            auto name = t ? (*t)["node"].value<std::string>() : std::nullopt;
            auto zone = t ? (*t)["zone"].value<std::string>() : std::nullopt;
            auto address = t ? (*t)["peer_addr"].value<std::string>() : std::nullopt;
            if (!name || !zone || !address) {
                r.fail("siblings", "node, zone or peer_addr is missing", &node);
            }
            s.cluster.partitions.push_back({*name, *zone});
            s.peers[*name] = *address;
        }
    }
    // Every node must number the parts alike, so they go by name.
    std::sort(
        s.cluster.partitions.begin(), s.cluster.partitions.end(),
        [](const PartitionSettings& a, const PartitionSettings& b) { return a.node < b.node; });
    for (std::size_t p = 0; p < s.cluster.partitions.size(); ++p) {
        if (s.cluster.partitions[p].node == s.cluster.node) {
            s.cluster.home_partition = static_cast<int>(p);
        }
    }
    if (const auto* zones = r.list("facts.zones")) {
        for (const auto& zone : *zones) {
            auto name = zone.value<std::string>();
            if (!name) {
                r.fail("facts.zones", "not text", &zone);
            }
            s.cluster.zones.push_back(*name);
        }
    }
    if (const auto* teams = r.list("facts.teams")) {
        for (const auto& node : *teams) {
            const auto* t = node.as_table();
            auto name = t ? (*t)["name"].value<std::string>() : std::nullopt;
            if (!name) {
                r.fail("facts.teams.name", "missing", &node);
            }
            TeamQuota quota;
            quota.name = *name;
            quota.guaranteed_cpus = r.number((*t)["cpus"], "facts.teams.cpus");
            quota.max_cpus = r.number((*t)["cpus_max"], "facts.teams.cpus_max");
            quota.guaranteed_gpus = r.number((*t)["gpus"], "facts.teams.gpus");
            quota.max_gpus = r.number((*t)["gpus_max"], "facts.teams.gpus_max");
            s.cluster.teams.push_back(std::move(quota));
        }
    }
    if (const auto* objectives = r.list("facts.objectives")) {
        for (const auto& node : *objectives) {
            const auto* t = node.as_table();
            std::string kind = t ? (*t)["kind"].value_or<std::string>("") : "";
            ServiceLevelObjective objective;
            objective.job_class = t ? (*t)["class"].value_or<std::string>("") : "";
            if (kind == "finished" || kind == "wait") {
                objective.kind = kind == "wait" ? ServiceLevelObjective::Kind::wait
                                                : ServiceLevelObjective::Kind::finished;
                objective.within_s = r.number((*t)["within_s"], "facts.objectives.within_s");
            } else if (kind == "deadline") {
                objective.kind = ServiceLevelObjective::Kind::deadline;
                objective.deadline_factor = (*t)["times"].value_or(1.0);
            } else {
                continue; // not about one class of jobs
            }
            s.cluster.objectives.push_back(std::move(objective));
        }
    }
    s.cluster.heartbeat_interval_s = r.positive("facts.workers.report_s");
    s.cluster.worker_lease_s = r.positive("facts.workers.lease_s");
    s.cluster.cancel_s = r.positive("facts.workers.cancel_s");
    s.cluster.gang_start_timeout_s = r.positive("facts.workers.gang_wait_s");
    s.cluster.gang_stop_timeout_s = r.positive("facts.workers.gang_peer_s");
    s.cluster.store_requests_per_s = r.positive("facts.state.rps");
    s.cluster.store_writes_per_s = r.positive("facts.state.write_rps");
    s.cluster.store_value_limit_kb = r.positive("facts.state.value_kb");
    s.cluster.store_transaction_limit = static_cast<int>(r.positive("facts.state.txn_ops"));
    s.cluster.cloud_requests_per_s = r.positive("facts.cloud.rps");
    s.cluster.list_lag_s = r.number("facts.cloud.list_lag_s");
    s.sockets = static_cast<int>(r.positive("facts.machine_limits.sockets"));
    s.cluster.max_concurrent_commands = std::max(kLeastOrders, s.sockets / kSocketsAnOrder);
    s.store_threads = std::max(kLeastStateCalls, s.sockets / kSocketsAStateCall);
    return s;
}

} // namespace scheduler::cli
