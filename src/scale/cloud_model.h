// The cloud's machines, on a clock that is handed in. Whoever runs it boots and ends the machines
// that it says are rented and released.
#pragma once

#include <map>
#include <set>

#include "scale/plan.h"

namespace scheduler::scale {

class CloudModel {
  public:
    // The workers of the plan are there from the beginning, and no more than these can be had.
    CloudModel(const Plan& plan, Time now);

    // Names of the machines rented; none: no capacity. The same order again gives the same names.
    std::vector<std::string> rent(Time now, const std::string& order, const std::string& zone,
                                  bool spot, int count);
    void release(const std::vector<std::string>& machines);
    // Those that died are listed as running for a while, then as failed.
    void died(Time now, const std::string& machine);
    std::vector<Instance> list(Time now, const std::string& after, std::size_t limit,
                               bool& more) const;
    // Machines whose boot is over and that have not been named by this before.
    std::vector<std::string> up(Time now);

  private:
    struct Machine {
        int number = 0;
        std::string zone;
        bool spot = false;
        Time rented = 0;
        Time up = 0;
        Time died = -1;
        bool named = false;
    };
    const Plan& plan_;
    std::map<std::string, Machine> machines_;
    std::map<std::pair<std::string, bool>, int> room_; // by zone and kind
    std::map<std::string, std::vector<std::string>> orders_;
    int next_;
};

} // namespace scheduler::scale
