// The links between controllers, workers, cloud and key-value store, and their faults.
#pragma once

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/model/types.h"
#include "simulation/options.h"
#include "simulation/random_source.h"

namespace scheduler::test {

// Knows which links are cut, and draws how long a message takes.
class NetworkModel {
  public:
    // `controller_zones` is indexed by controller number. `random_faults` may change at any time.
    NetworkModel(std::vector<std::string> controller_zones, const RandomFaults& random_faults,
                 RandomSource& random);

    // Returns the seconds that a message takes. Draws one number.
    double delay();
    // Returns the seconds that a very late message takes. Draws one number.
    double late_delay();

    // Cuts or restores the link between two controllers.
    void cut_peers(int first, int second, bool cut);
    // Isolates a zone from everything outside it. An empty name ends the isolation.
    void cut_zone(const std::string& zone) { cut_zone_ = zone; }
    // Cuts or restores the links between a controller and all workers.
    void cut_workers(int controller, bool cut);

    bool peers_connected(int from, int to) const;
    // Returns whether the controller reaches machines of the zone: its links to workers are not cut
    // and no isolated zone is in between.
    bool worker_connected(int controller, const std::string& zone) const;
    // Returns whether the controller's zone reaches the machine's zone.
    bool zone_connected(int controller, const std::string& zone) const;
    // Returns whether the controller's zone is isolated; if so, it reaches neither the cloud nor
    // the store.
    bool isolated(int controller) const { return zone_cut(zone_of(controller)); }

  private:
    bool zone_cut(const std::string& zone) const;
    const std::string& zone_of(int controller) const { return controller_zones_[controller]; }

    std::vector<std::string> controller_zones_;
    const RandomFaults& random_faults_;
    RandomSource& random_;
    std::set<std::pair<int, int>> cut_peers_;
    std::set<int> cut_from_workers_;
    std::string cut_zone_;
};

} // namespace scheduler::test
