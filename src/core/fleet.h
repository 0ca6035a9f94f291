// How many machines there should be, and of what kind: rent, return, and what to avoid.
#pragma once

#include <set>

#include "core/io.h"
#include "core/machine_table.h"
#include "core/slot_lists.h"

namespace orchidlanding {

// Of a report time: between two rounds of renting and giving back.
inline constexpr double kRentReports = 1.0 / 3;

// What all parts have and want together, as far as this owner has heard.
struct Totals {
    Demand demand;
    double ordinary_slots = 0;
    double spot_slots = 0;
    bool heard = false; // every other part has said lately what it has and wants
};

class Fleet {
  public:
    Fleet(const Facts& facts, const Policy& policy, std::uint64_t term)
        : facts_(facts), policy_(policy), term_(term) {}

    // Rental requests to send now. Those without an answer are sent again under their name.
    std::vector<Rent> rent(Time now, const Totals& totals, const std::vector<MachineType>& types,
                           std::map<std::string, double> in_zone);
    void rented(Time now, const Rent& rent, int status, std::size_t got);

    // Machines to give back: idle for long, never up, lost, or at fault.
    std::vector<std::string> surplus(Time now, const MachineTable& machines, const Totals& totals,
                                     bool may_suspect) const;
    // Chooses machines that take no more tasks because there are more than are wanted, some at a
    // time, and takes the choice back when there are too few.
    std::vector<std::string> trim(Time now, const MachineTable& machines, const Totals& totals);
    // A machine that can be counted on.
    bool usable(Time now, const Machine& machine) const;
    // A name that was released; the list may show it for a while yet.
    void released(Time now, const std::string& name) { released_[name] = now; }
    bool was_released(Time now, const std::string& name);

    double boot_limit_s(const MachineType& type) const {
        return policy_.boot_limit_s * type.boot_s;
    }

  private:
    bool silent(Time now, const Machine& machine) const;
    struct Pending {
        Rent rent;
        Time next = 0;
        bool in_flight = false;
    };
    void ask(Time now, const std::vector<MachineType>& types, bool spot, double lack,
             std::vector<Rent>& out, std::map<std::string, double>& in_zone,
             std::map<std::string, double>& bound);
    void add_orders(Time now, const MachineType& type, const std::string& zone, bool spot,
                    int count, std::vector<Rent>& out);

    Facts facts_;
    Policy policy_;
    std::uint64_t term_;
    std::uint64_t next_order_ = 1;
    std::vector<Pending> pending_;
    std::map<std::pair<SlotKind, std::string>, Time> refused_until_;
    std::map<std::string, Time> released_;
    Demand recent_; // the demand of late: its peaks fade over the time that a boot takes
    Time recent_at_ = 0;
    Time next_trim_ = 0;
};

} // namespace orchidlanding
