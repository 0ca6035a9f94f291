// How many machines there should be, and of what kind: rent, return, and what to avoid.
#pragma once

#include <set>

#include "core/io.h"
#include "core/machine_table.h"
#include "core/slot_lists.h"

namespace orchidlanding {

// Work that waits or runs, in slots of one machine kind.
struct Demand {
    double ordinary_cpus = 0; // for jobs that may not use spot machines
    double any_cpus = 0;      // for jobs that may
};

class Fleet {
  public:
    Fleet(const Facts& facts, const Policy& policy, std::uint64_t term)
        : facts_(facts), policy_(policy), term_(term) {}

    // Rental requests to send now. Those without an answer are sent again under their name.
    std::vector<Rent> rent(Time now, const Demand& demand, const std::vector<MachineType>& types,
                           const MachineTable& machines);
    void rented(Time now, const Rent& rent, int status, std::size_t got);

    // Machines to give back: idle for long, never up, lost, or at fault.
    std::vector<std::string> surplus(Time now, const MachineTable& machines,
                                     bool may_suspect) const;
    // A name that was released; the list may show it for a while yet.
    void released(Time now, const std::string& name) { released_[name] = now; }
    bool was_released(Time now, const std::string& name);

    double boot_limit_s(const MachineType& type) const {
        return policy_.boot_limit_s * type.boot_s;
    }

  private:
    struct Pending {
        Rent rent;
        Time next = 0;
        bool in_flight = false;
    };
    bool usable(const Machine& machine) const;
    void ask(Time now, const MachineType& type, bool spot, int count, std::vector<Rent>& out,
             const MachineTable& machines);

    Facts facts_;
    Policy policy_;
    std::uint64_t term_;
    std::uint64_t next_order_ = 1;
    std::vector<Pending> pending_;
    std::map<std::pair<SlotKind, std::string>, Time> refused_until_;
    std::map<std::string, Time> released_;
    double wanted_ordinary_ = 0;
    double wanted_any_ = 0;
};

} // namespace orchidlanding
