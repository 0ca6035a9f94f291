#include "cli/settings.h"

#include <cmath>
#include <sstream>
#include <toml++/toml.h>

namespace orchidlanding::cli {

namespace {

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
        throw BadSettings(out.str());
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
        throw BadSettings(out.str());
    }
    Reader r(file, root);
    Settings s;
    s.facts.node = r.text("node");
    std::string listen = r.text("listen");
    auto colon = listen.rfind(':');
    s.listen_host = listen.substr(0, colon);
    s.listen_port = colon == std::string::npos ? 0 : std::atoi(listen.c_str() + colon + 1);
    if (s.listen_port < 1 || s.listen_port > 65535) {
        r.fail("listen", "not an address with a port", root.get("listen"));
    }
    s.cloud = r.text("external.cloud");
    s.state = r.text("external.state");
    if (const auto* siblings = r.list("siblings")) {
        for (const auto& node : *siblings) {
            const auto* t = node.as_table();
            auto name = t ? (*t)["node"].value<std::string>() : std::nullopt;
            if (!name) {
                r.fail("siblings.node", "missing", &node);
            }
            s.facts.siblings.push_back(*name);
        }
    }
    if (const auto* zones = r.list("facts.zones")) {
        for (const auto& zone : *zones) {
            auto name = zone.value<std::string>();
            if (!name) {
                r.fail("facts.zones", "not text", &zone);
            }
            s.facts.zones.push_back(*name);
        }
    }
    if (const auto* teams = r.list("facts.teams")) {
        for (const auto& node : *teams) {
            const auto* t = node.as_table();
            auto name = t ? (*t)["name"].value<std::string>() : std::nullopt;
            if (!name) {
                r.fail("facts.teams.name", "missing", &node);
            }
            TeamFacts team;
            team.name = *name;
            team.cpus = r.number((*t)["cpus"], "facts.teams.cpus");
            team.cpus_max = r.number((*t)["cpus_max"], "facts.teams.cpus_max");
            team.gpus = r.number((*t)["gpus"], "facts.teams.gpus");
            team.gpus_max = r.number((*t)["gpus_max"], "facts.teams.gpus_max");
            s.facts.teams.push_back(std::move(team));
        }
    }
    s.facts.report_s = r.positive("facts.workers.report_s");
    s.facts.lease_s = r.positive("facts.workers.lease_s");
    s.facts.cancel_s = r.positive("facts.workers.cancel_s");
    s.facts.state_rps = r.positive("facts.state.rps");
    s.facts.state_write_rps = r.positive("facts.state.write_rps");
    s.facts.value_kb = r.positive("facts.state.value_kb");
    s.facts.txn_ops = static_cast<int>(r.positive("facts.state.txn_ops"));
    s.facts.cloud_rps = r.positive("facts.cloud.rps");
    s.facts.list_lag_s = r.number("facts.cloud.list_lag_s");
    s.sockets = static_cast<int>(r.positive("facts.machine_limits.sockets"));
    return s;
}

} // namespace orchidlanding::cli
