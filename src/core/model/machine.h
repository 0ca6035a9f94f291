// Instance types and machines as the cloud describes them.
#pragma once

#include <compare>
#include <string>
#include <vector>

namespace scheduler {

// An entry of the cloud's catalog of machine types.
struct InstanceType {
    std::string name;
    double cpus = 0;
    double gpus = 0;
    double ram_gb = 0;
    double cache_gb = 0;       // disk space for container images
    double fetch_gb_per_s = 0; // speed of fetching an image
    double price = 0;          // of an on-demand machine, in the cloud's unit
    double spot_price = 0;
    double boot_s = 0; // usual time from scale-out to the first heartbeat
    std::vector<std::string> zones;

    // Returns the number of slots of a machine. A slot is one GPU on machines with GPUs and one CPU
    // on others, with the corresponding fraction of the machine's other resources.
    double slots() const { return gpus > 0 ? gpus : cpus; }
    double price_of(bool spot) const { return spot ? spot_price : price; }
};

// The kind of machine that a slot is on.
struct SlotKind {
    std::string type;
    bool spot = false;
    auto operator<=>(const SlotKind&) const = default;
};

// Machines of one kind in one zone.
struct MachinePool {
    SlotKind kind;
    std::string zone;
    auto operator<=>(const MachinePool&) const = default;
};

enum class InstanceState { booting, running, failed };

// An entry of the cloud's list of provisioned machines. The list may be outdated by
// ClusterSettings::list_lag_s.
struct Instance {
    std::string name;
    std::string endpoint; // address for direct commands
    std::string type;
    std::string zone;
    bool spot = false;
    InstanceState state = InstanceState::booting;
    double age_s = 0; // since it was provisioned
};

} // namespace scheduler
