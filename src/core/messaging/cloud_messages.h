// Requests to the cloud that rents out the machines.
#pragma once

#include <string>
#include <vector>

namespace scheduler {

// Reads the catalog of instance types.
struct ListInstanceTypes {};

// Reads a page of the rented instances; OutboundResponse::more tells of further pages.
struct ListInstances {
    std::string after; // the last name of the page before; empty: from the start
};

// Orders machines. Safe to repeat: the cloud carries out an order id once.
struct ScaleOut {
    std::string idempotency_key;
    std::string type;
    std::string zone;
    bool spot = false;
    int count = 0;
};

// Terminates machines, with whatever runs on them.
struct ScaleIn {
    std::vector<std::string> machines;
};

} // namespace scheduler
