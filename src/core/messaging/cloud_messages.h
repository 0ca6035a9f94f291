// Requests to the cloud that provides the machines.
#pragma once

#include <string>
#include <vector>

namespace scheduler {

// Reads the catalog of instance types.
struct ListInstanceTypes {};

// Reads a page of the provisioned instances; OutboundResponse::more is set if there are further
// pages.
struct ListInstances {
    std::string after; // last name of the previous page; empty: first page
};

// Provisions machines. Safe to repeat: the cloud executes requests with the same key only once.
struct ScaleOut {
    std::string idempotency_key;
    std::string type;
    std::string zone;
    bool spot = false;
    int count = 0;
};

// Terminates machines and everything that runs on them.
struct ScaleIn {
    std::vector<std::string> machines;
};

} // namespace scheduler
