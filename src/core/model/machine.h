// Machines as the cloud describes them.
#pragma once

#include <string>
#include <vector>

namespace scheduler {

// A type of machine that the cloud offers, from its catalog.
struct InstanceType {
    std::string name;
    double cpus = 0;
    double gpus = 0;
    double ram_gb = 0;
    double cache_gb = 0;       // disk space for container images
    double fetch_gb_per_s = 0; // speed of fetching an image
    double price = 0;          // of an on-demand machine, in the cloud's unit
    double spot_price = 0;
    double boot_s = 0; // usual time from the order to the first heartbeat
    std::vector<std::string> zones;

    // Slots of a machine. A slot is the scarcest unit with its proportion of the rest: one GPU on
    // a machine that has some, one CPU elsewhere.
    double slots() const { return gpus > 0 ? gpus : cpus; }
    double price_of(bool spot_kind) const { return spot_kind ? spot_price : price; }
};

enum class InstanceState { booting, running, failed };

// A machine in the cloud's list of what is rented. The list lags behind, see
// ClusterSettings::list_lag_s.
struct Instance {
    std::string name;
    std::string endpoint; // address that takes direct commands
    std::string type;
    std::string zone;
    bool spot = false;
    InstanceState state = InstanceState::booting;
    double age_s = 0; // seconds since it was rented
};

} // namespace scheduler
