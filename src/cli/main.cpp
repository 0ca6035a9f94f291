// The program cluster-scheduler: parses the command line, and runs a controller or a subcommand.
#include <malloc.h>
#include <pthread.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

#include "cli/config_command.h"
#include "cli/settings.h"
#include "net/clients.h"
#include "net/event_loop.h"
#include "net/server.h"
#include "policy/default_policy.h"

namespace {

using namespace scheduler;

constexpr char kVersion[] = "0.1.0";
constexpr std::size_t kStackBytes = std::size_t{256} * 1024;

void set_up_process() {
    std::signal(SIGPIPE, SIG_IGN);
    // Save memory on small machines: one malloc arena for all threads, and small stacks.
    mallopt(M_ARENA_MAX, 1);
    mallopt(M_TRIM_THRESHOLD, 256 * 1024);
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, kStackBytes);
    pthread_setattr_default_np(&attributes);
    pthread_attr_destroy(&attributes);
}

void set_up_log() {
    auto log = spdlog::stderr_logger_mt("cluster-scheduler");
    log->set_pattern("%Y-%m-%dT%H:%M:%S.%e level=%l %v");
    const char* level = std::getenv("LOG_LEVEL");
    log->set_level(spdlog::level::from_str(level ? level : "info"));
    spdlog::set_default_logger(log);
}

void write_log(const LogLine& line) {
    switch (line.level) {
    case LogLevel::error: spdlog::error("{}", line.text); break;
    case LogLevel::info: spdlog::info("{}", line.text); break;
    case LogLevel::debug: spdlog::debug("{}", line.text); break;
    }
}

int serve(const cli::Settings& settings) {
    set_up_process();
    set_up_log();
    Controller controller(settings.cluster, policy::defaults(settings.cluster));
    net::EventLoop* loop_pointer = nullptr;
    net::Clients clients(
        {settings.store, settings.cloud, settings.peers, settings.cluster.heartbeat_interval_s,
         settings.cluster.max_concurrent_commands, settings.cluster.store_requests_per_s,
         settings.store_threads},
        [&](OutboundResponse response) { loop_pointer->push(std::move(response)); });
    net::EventLoop loop(
        controller, [&](const OutboundRequest& request) { clients.send(request); }, write_log);
    loop_pointer = &loop;
    net::Server server(loop, {settings.max_sockets, settings.cluster.heartbeat_interval_s},
                       net::Server::Routes::external, write_log);
    net::Server peer_server(loop, {settings.max_sockets, settings.cluster.heartbeat_interval_s},
                            net::Server::Routes::peers, write_log);
    double bind_timeout_s = settings.cluster.heartbeat_interval_s;
    if (!server.bind_with_retries(settings.listen_host, settings.listen_port, bind_timeout_s) ||
        !peer_server.bind_with_retries(settings.peer_listen_host, settings.peer_listen_port,
                                       bind_timeout_s)) {
        spdlog::error("event=listen_failed listen={}:{} back={}:{}", settings.listen_host,
                      settings.listen_port, settings.peer_listen_host, settings.peer_listen_port);
        return 1;
    }
    spdlog::info("event=server_started node={} listen={}:{}", settings.cluster.node,
                 settings.listen_host, settings.listen_port);
    std::thread acceptor([&] { server.run(); });
    std::thread peer_acceptor([&] { peer_server.run(); });
    loop.run();
    server.stop();
    peer_server.stop();
    acceptor.join();
    peer_acceptor.join();
    clients.stop();
    return 0;
}

} // namespace

// An exception that leaves main ends the process, which is intended.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
    CLI::App app{"cluster-scheduler, a scheduler for tasks on cloud machines"};
    std::string config;
    app.add_option("--config", config, "settings file (TOML)");
    app.set_version_flag("--version", kVersion);
    CLI::App* check = app.add_subcommand("check", "check the settings file and report errors");
    check->add_option("--config", config, "settings file (TOML)");
    CLI::App* config_command = app.add_subcommand(
        "config", "read or change the quotas of teams while the controllers run");
    config_command->require_subcommand(1);
    cli::QuotaChanges changes;
    CLI::App* put_command = config_command->add_subcommand("put", "change the quota of a team");
    CLI::App* get_command = config_command->add_subcommand(
        "get", "show the quota of a team and which controllers apply it");
    CLI::App* list_command = config_command->add_subcommand("list", "show the quotas of all teams");
    for (CLI::App* subcommand : {put_command, get_command, list_command}) {
        subcommand->add_option("--config", config, "settings file (TOML)");
    }
    for (CLI::App* subcommand : {put_command, get_command}) {
        subcommand->add_option("team", changes.team, "the team's name")->required();
    }
    put_command->add_option("--cpus", changes.cpus, "guaranteed CPUs");
    put_command->add_option("--cpus-max", changes.cpus_max, "maximum CPUs; 0: no limit");
    put_command->add_option("--gpus", changes.gpus, "guaranteed GPUs");
    put_command->add_option("--gpus-max", changes.gpus_max, "maximum GPUs; 0: no limit");
    put_command->add_option("--version", changes.version,
                            "replace only this version; 0: only if none is stored");
    try {
        app.parse(argc, argv);
    } catch (const CLI::Success& done) {
        return app.exit(done);
    } catch (const CLI::Error& error) {
        app.exit(error);
        return 2;
    }
    if (config.empty()) {
        std::cerr << "cluster-scheduler: --config FILE is required\n";
        return 2;
    }
    cli::Settings settings;
    try {
        settings = cli::read_settings(config);
    } catch (const cli::SettingsError& error) {
        std::cerr << "cluster-scheduler: " << error.what() << "\n";
        return 2;
    }
    if (check->parsed()) {
        std::cout << "settings are in order\n";
        return 0;
    }
    if (put_command->parsed()) {
        return cli::config_put(settings, changes);
    }
    if (get_command->parsed()) {
        return cli::config_get(settings, changes.team);
    }
    if (list_command->parsed()) {
        return cli::config_list(settings);
    }
    return serve(settings);
}
