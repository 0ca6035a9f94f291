// Reads the settings file of a controller (TOML).
#pragma once

#include <stdexcept>
#include <string>

#include "core/model/types.h"

namespace scheduler::cli {

// Thrown if the settings are invalid. what() has the form FILE:LINE: KEY: REASON; errors in the
// TOML syntax have no KEY.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Settings {
    ClusterSettings cluster;
    std::string listen_host;
    int listen_port = 0;
    std::string peer_listen_host;
    int peer_listen_port = 0;
    std::map<std::string, std::string> peers; // addresses of the other controllers, by name
    std::string cloud;
    std::string store;
    int max_sockets = 0;
    int store_threads = 0; // maximum number of concurrent requests to the store
};

// Reads and checks a settings file. Throws SettingsError for the first error.
Settings read_settings(const std::string& file);

} // namespace scheduler::cli
