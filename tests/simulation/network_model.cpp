#include "simulation/network_model.h"

namespace scheduler::test {

namespace {
constexpr double kShortestDelayS = 0.001;
constexpr double kLongestDelayS = 0.02;
constexpr double kShortestLateDelayS = 2;
constexpr double kLongestLateDelayS = 40;
} // namespace

NetworkModel::NetworkModel(std::vector<std::string> controller_zones,
                           const RandomFaults& random_faults, RandomSource& random)
    : controller_zones_(std::move(controller_zones)), random_faults_(random_faults),
      random_(random) {}

double NetworkModel::delay() {
    return random_.uniform(kShortestDelayS, kLongestDelayS + random_faults_.link_delay_s);
}

double NetworkModel::late_delay() {
    return random_.uniform(kShortestLateDelayS, kLongestLateDelayS);
}

void NetworkModel::cut_peers(int first, int second, bool cut) {
    for (auto link : {std::pair(first, second), std::pair(second, first)}) {
        if (cut) {
            cut_peers_.insert(link);
        } else {
            cut_peers_.erase(link);
        }
    }
}

void NetworkModel::cut_workers(int controller, bool cut) {
    if (cut) {
        cut_from_workers_.insert(controller);
    } else {
        cut_from_workers_.erase(controller);
    }
}

bool NetworkModel::peers_connected(int from, int to) const {
    return !cut_peers_.contains({from, to}) && isolated(from) == isolated(to);
}

bool NetworkModel::worker_connected(int controller, const std::string& zone) const {
    return !cut_from_workers_.contains(controller) && zone_connected(controller, zone);
}

bool NetworkModel::zone_connected(int controller, const std::string& zone) const {
    return zone_cut(zone) == isolated(controller);
}

bool NetworkModel::zone_cut(const std::string& zone) const {
    return !cut_zone_.empty() && zone == cut_zone_;
}

} // namespace scheduler::test
