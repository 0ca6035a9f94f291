// The platform's settings file.
#pragma once

#include <stdexcept>
#include <string>

#include "core/model/types.h"

namespace scheduler::cli {

struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Settings {
    ClusterSettings cluster;
    std::string listen_host;
    int listen_port = 0;
    std::string peer_listen_host;
    int peer_listen_port = 0;
    std::map<std::string, std::string> peers; // node: address
    std::string cloud;
    std::string store;
    int max_sockets = 0;
    int store_threads = 0; // calls to the state service at once
};

// Throws BadSettings, naming file, key and reason.
Settings read_settings(const std::string& file);

} // namespace scheduler::cli
