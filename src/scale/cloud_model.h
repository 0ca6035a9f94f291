// The cloud of a region, on a clock that is handed in: the machines that are rented. CloudServer
// has the workers' process boot and end them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "scale/plan.h"

namespace scheduler::scale {

// Keeps a reference to the plan.
class CloudModel {
  public:
    // The workers of the plan are there from the beginning, and no more than these can be had.
    CloudModel(const Plan& plan, Time now);

    // Names of the machines rented; none: no capacity. The same order again gives the same names.
    std::vector<std::string> provision(Time now, const std::string& order, const std::string& zone,
                                       bool spot, int count);
    // They are gone at once; others can be rented in their place.
    void release(const std::vector<std::string>& machines);
    // The machine has died. It is listed as running for a while, then as failed; another can be
    // rented in its place.
    void terminate(Time now, const std::string& machine);
    // A part of the list of machines.
    struct Page {
        std::vector<Instance> hosts; // by their names
        bool more = false;           // there are machines after these
    };
    // Up to `limit` machines whose names come after this one. New ones are listed with a lag.
    Page list(Time now, const std::string& after, std::size_t limit) const;
    // Machines whose boot is over; each is returned once.
    std::vector<std::string> take_booted(Time now);

  private:
    struct Machine {
        int number = 0;
        std::string zone;
        bool spot = false;
        Time rented = 0;
        Time up = 0;
        Time died = -1;             // below 0: alive
        bool boot_reported = false; // by take_booted
    };
    // Machines that can replace each other.
    struct Market {
        std::string zone;
        bool spot = false;
        auto operator<=>(const Market&) const = default;
    };
    static bool is_listed(Time now, const Machine& machine);
    static InstanceState stage_of(Time now, const Machine& machine);
    Instance host_of(Time now, const std::string& name, const Machine& machine) const;

    const Plan& plan_;
    std::map<std::string, Machine> machines_;                // by name
    std::map<Market, int> available_;                        // machines that can be rented
    std::map<std::string, std::vector<std::string>> orders_; // names of the machines, by order
    int next_;
};

} // namespace scheduler::scale
