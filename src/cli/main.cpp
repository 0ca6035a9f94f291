// cluster-scheduler: a cluster scheduler. This file wires settings, core and network together.
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
    // The machines are small: one malloc arena for all threads, and small stacks.
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
    Controller core(settings.cluster, policy::defaults(settings.cluster));
    net::EventLoop* loop_pointer = nullptr;
    net::Clients clients(
        {settings.store, settings.cloud, settings.peers, settings.cluster.heartbeat_interval_s,
         settings.cluster.max_concurrent_commands, settings.cluster.store_requests_per_s,
         settings.store_threads},
        [&](OutboundResponse response) { loop_pointer->push(std::move(response)); });
    net::EventLoop loop(
        core, [&](const OutboundRequest& call) { clients.send(call); }, write_log);
    loop_pointer = &loop;
    net::Server server(loop, {settings.sockets, settings.cluster.heartbeat_interval_s});
    net::Server back(loop, {settings.sockets, settings.cluster.heartbeat_interval_s},
                     net::Server::Side::back);
    double patience_s = settings.cluster.heartbeat_interval_s;
    if (!server.bind_within(settings.listen_host, settings.listen_port, patience_s) ||
        !back.bind_within(settings.back_host, settings.back_port, patience_s)) {
        spdlog::error("event=listen_failed listen={}:{} back={}:{}", settings.listen_host,
                      settings.listen_port, settings.back_host, settings.back_port);
        return 1;
    }
    spdlog::info("event=server_started node={} listen={}:{}", settings.cluster.node,
                 settings.listen_host, settings.listen_port);
    std::thread acceptor([&] { server.run(); });
    std::thread back_acceptor([&] { back.run(); });
    loop.run();
    server.stop();
    back.stop();
    acceptor.join();
    back_acceptor.join();
    clients.stop();
    return 0;
}

} // namespace

// An exception that reaches main ends the start, as intended.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
    CLI::App app{"cluster-scheduler, a cluster scheduler for tasks on rented machines"};
    std::string config;
    app.add_option("--config", config, "the platform's settings (TOML)");
    app.set_version_flag("--version", kVersion);
    CLI::App* check = app.add_subcommand("check", "read the settings, say what is wrong");
    check->add_option("--config", config, "the platform's settings (TOML)");
    CLI::App* config_verb =
        app.add_subcommand("config", "guarantees and limits of teams, changed while nodes run");
    config_verb->require_subcommand(1);
    cli::ConfigPut put;
    CLI::App* put_verb = config_verb->add_subcommand("put", "change one team's");
    CLI::App* get_verb = config_verb->add_subcommand("get", "one team's, and which nodes have it");
    CLI::App* list_verb = config_verb->add_subcommand("list", "all teams'");
    for (CLI::App* verb : {put_verb, get_verb, list_verb}) {
        verb->add_option("--config", config, "the platform's settings (TOML)");
    }
    for (CLI::App* verb : {put_verb, get_verb}) {
        verb->add_option("team", put.team, "the team's name")->required();
    }
    put_verb->add_option("--cpus", put.cpus, "guaranteed");
    put_verb->add_option("--cpus-max", put.cpus_max, "at most; 0: no limit");
    put_verb->add_option("--gpus", put.gpus, "guaranteed");
    put_verb->add_option("--gpus-max", put.gpus_max, "at most; 0: no limit");
    put_verb->add_option("--version", put.version, "only over this version; 0: only if unchanged");
    try {
        app.parse(argc, argv);
    } catch (const CLI::Success& done) {
        return app.exit(done);
    } catch (const CLI::Error& error) {
        app.exit(error);
        return 2;
    }
    if (config.empty()) {
        std::cerr << "cluster-scheduler: --config FILE is needed\n";
        return 2;
    }
    cli::Settings settings;
    try {
        settings = cli::read_settings(config);
    } catch (const cli::SettingsError& bad) {
        std::cerr << "cluster-scheduler: " << bad.what() << "\n";
        return 2;
    }
    if (check->parsed()) {
        std::cout << "settings are in order\n";
        return 0;
    }
    if (put_verb->parsed()) {
        return cli::config_put(settings, put);
    }
    if (get_verb->parsed()) {
        return cli::config_get(settings, put.team);
    }
    if (list_verb->parsed()) {
        return cli::config_list(settings);
    }
    return serve(settings);
}
