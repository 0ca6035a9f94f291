/// @file
/// The links between controllers, workers, cloud and state service, and their faults.
#pragma once

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/model/types.h"
#include "simulation/options.h"
#include "simulation/random_source.h"

namespace scheduler::test {

/// Which links are cut, and how long a message takes.
class NetworkModel {
  public:
    /// `controller_zones`: by the controllers' numbers. `random_faults` may change at any time.
    NetworkModel(std::vector<std::string> controller_zones, const RandomFaults& random_faults,
                 RandomSource& random);

    /// Seconds that a message takes: draws one number.
    double delay();
    /// Seconds that a message takes which comes very late: draws one number.
    double late_delay();

    /// Cuts the link between two controllers, or restores it.
    void cut_peers(int first, int second, bool cut);
    /// Cuts a zone off from all else; those inside reach each other. Empty: no zone is cut off.
    void cut_zone(const std::string& zone) { cut_zone_ = zone; }
    /// Cuts a controller off from all workers, or restores it.
    void cut_workers(int controller, bool cut);

    bool peers_connected(int from, int to) const;
    /// Whether messages pass between the controller and a machine of the zone, as far as the
    /// controller's own link and the zones go.
    bool worker_connected(int controller, const std::string& zone) const;
    /// Whether messages pass between the controller's zone and that of a machine.
    bool zone_connected(int controller, const std::string& zone) const;
    /// The controller's zone is cut off: it reaches neither the cloud nor the state service.
    bool isolated(int controller) const { return zone_cut(zone_of(controller)); }

  private:
    bool zone_cut(const std::string& zone) const;
    const std::string& zone_of(int controller) const { return controller_zones_[controller]; }

    std::vector<std::string> controller_zones_;
    const RandomFaults& troubles_;
    RandomSource& random_;
    std::set<std::pair<int, int>> cut_peers_;
    std::set<int> cut_from_workers_;
    std::string cut_zone_;
};

} // namespace scheduler::test
