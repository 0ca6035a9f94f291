// The platform's settings file.
#pragma once

#include <stdexcept>
#include <string>

#include "core/types.h"

namespace orchidlanding::cli {

struct BadSettings : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Settings {
    Facts facts;
    std::string listen_host;
    int listen_port = 0;
    std::string back_host;
    int back_port = 0;
    std::map<std::string, std::string> peers; // node: address
    std::string cloud;
    std::string state;
    int sockets = 0;
    int state_threads = 0; // calls to the state service at once
};

// Throws BadSettings, naming file, key and reason.
Settings read_settings(const std::string& file);

} // namespace orchidlanding::cli
